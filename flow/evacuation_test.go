package flow

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Evacuations that arrive twice, late and in any order lead all processes to the same set: messages of
// balancers that learned of them at different times, as a failure domain is emptied and taken back.
func TestEvacuationsConverge(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Evacuations {
		ids := rapid.SliceOfN(rapid.Uint32Range(1, 4), 0, 4).Draw(t, "domains")
		return NewEvacuations(rapid.Uint64Range(0, 2).Draw(t, "era"), rapid.Uint64Range(0, 3).Draw(t, "revision"), ids)
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(draw, 1, 8).Draw(t, "list")
		merge := func(list []Evacuations) Evacuations {
			var tracker evacuationTracker
			for _, e := range list {
				tracker.observe(&e, time.Unix(0, 0))
				tracker.observe(&list[0], time.Unix(0, 0))
			}
			tracker.expire(time.Unix(0, 0).Add(EvacuationHold))
			for id := range uint32(5) {
				if _, ok := slices.BinarySearch(tracker.newest.DomainIDs, id); ok != tracker.isEvacuated(id, time.Unix(100, 0)) {
					t.Fatalf("domain %d: got %v, want as in %v", id, !ok, tracker.newest)
				}
			}
			return tracker.newest
		}
		want := merge(list)
		if got := merge(rapid.Permutation(list).Draw(t, "order")); got.Era != want.Era || got.Revision != want.Revision || !slices.Equal(got.DomainIDs, want.DomainIDs) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// The store is restored from a copy without the newest evacuation, which the operator writes again a
// moment later. The domain stays evacuated meanwhile, and no longer if it is not written again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := DomainID("a"), DomainID("b")
	var tracker evacuationTracker
	tracker.observe(&Evacuations{Era: 1, Revision: 9, DomainIDs: NewEvacuations(0, 0, []uint32{a, b}).DomainIDs}, now)
	if c := tracker.observe(&Evacuations{Era: 2, Revision: 5}, now); len(c.Restored) != 0 || c.Held != 2 {
		t.Errorf("got %+v at the restore, want nothing restored", c)
	}
	tracker.observe(&Evacuations{Era: 2, Revision: 6, DomainIDs: []uint32{a}}, now)
	if c := tracker.observe(&Evacuations{Era: 2, Revision: 7}, now); !slices.Equal(c.Restored, []uint32{a}) {
		t.Errorf("got %+v when one is written again and taken back, want it restored", c)
	}
	end := now.Add(EvacuationHold)
	if !tracker.isEvacuated(b, end.Add(-1)) || tracker.isEvacuated(b, end) {
		t.Error("the other domain is not evacuated for EvacuationHold")
	}
	if got := tracker.expire(end); !slices.Equal(got, []uint32{b}) || !tracker.endedAt[b].Equal(end) {
		t.Errorf("got %v, want the other domain", got)
	}
}

// evacuationBalancer returns a balancer of domain a, with 20 members in domain a and 4 in b.
func evacuationBalancer(now time.Time) *Balancer {
	b := testBalancer(20, now)
	for i := 20; i < 24; i++ {
		b.HandleReport(memberAddr(i), Load{Incarnation: 1, Sequence: 1, Tag: TagOf(testServiceName), DomainID: DomainID("b"), State: StateReady, Slots: 2}, now)
	}
	b.SetPeerMemberCount(testPeer, 24, now)
	return b
}

func evacuationsOf(revision uint64, domains ...string) Evacuations {
	var ids []uint32
	for _, d := range domains {
		ids = append(ids, DomainID(d))
	}
	return NewEvacuations(0, revision, ids)
}

// While a domain is evacuated, no path of a new flow or a retransmission contains its members, all
// others are still ranked, and lookups still ask its members. After that, paths are as before.
func TestBalancerEvacuation(t *testing.T) {
	start := time.Unix(100, 0)
	now := start.Add(3 * time.Second)
	b := evacuationBalancer(now)
	before := b.Decide(openingPacket(0), now)
	rank := func() *Member { return b.ranking(TagOf(testServiceName)).at(testKey.Hash(), 0) }
	first := rank()
	b.HandleEvacuations(evacuationsOf(2, "a"), now)
	for i := range 200 {
		p := openingPacket(uint32(i % 3))
		p.Key = keyOf(i)
		v := b.Decide(p, now)
		for addr := range pathMembers(&v) {
			if b.members[addr].Load.DomainID != DomainID("b") {
				t.Fatalf("flow %d: the path leads to %v in an evacuated domain", i, addr)
			}
		}
		if v.Action != ActionForward || v.Path.FallbackCount != 3 {
			t.Fatalf("flow %d: got %v with %d fallbacks, want the 4 other members", i, v.Action, v.Path.FallbackCount)
		}
	}
	if rank() != first {
		t.Error("the ranking for lookups has changed")
	}
	if _, ready := b.MemberCounts(now); ready != 24 {
		t.Errorf("got %d members for the routers, want 24", ready)
	}
	b.HandleEvacuations(evacuationsOf(3), now)
	b.HandleEvacuations(evacuationsOf(2, "a"), now) // late
	if v := b.Decide(openingPacket(0), now); v.Path.FallbackCount != before.Path.FallbackCount || b.members[v.Path.To].Load.DomainID != DomainID("a") {
		t.Errorf("got %v after the evacuation, want a member of domain a", v.Path)
	}
	if b.evacuations.endedAt[DomainID("a")] != now || b.Evacuations().IsZero() {
		t.Error("the end of the evacuation is not known or not passed on")
	}
}

// All domains of a service are evacuated: its new flows are refused at once.
func TestAllDomainsEvacuated(t *testing.T) {
	now := time.Unix(100, 0)
	b := evacuationBalancer(now)
	now = now.Add(1100 * time.Millisecond)
	for i := range 24 {
		l := b.members[memberAddr(i)].Load
		l.Sequence++
		b.HandleReport(memberAddr(i), l, now)
	}
	b.HandleEvacuations(evacuationsOf(2, "a", "b"), now)
	for earlier, want := range []Action{ActionReset, ActionDrop} {
		if v := b.Decide(openingPacket(uint32(earlier)), now); v.Action != want || v.Reason != ReasonEvacuated {
			t.Errorf("%d retransmissions: got %v, %v; want %v, %v", earlier, v.Action, v.Reason, want, ReasonEvacuated)
		}
	}
}

// A caller uses its port for a new flow while the sidecar of its former one is in an evacuated domain.
// Only the sidecar can tell, so the packet has the path of a new flow too.
func TestReusedPortInEvacuatedDomain(t *testing.T) {
	now := time.Unix(100, 0)
	b := evacuationBalancer(now)
	b.HandleFlowHeld(testKey, memberAddr(0), now)
	b.HandleEvacuations(evacuationsOf(2, "a"), now)
	v := b.Decide(openingPacket(1), now)
	if v.Path.To != memberAddr(0) || v.Path.FallbackCount != 4 || b.members[v.Path.Fallbacks[0]].Load.DomainID != DomainID("b") {
		t.Errorf("got %+v, want the sidecar of the flow and the members of domain b", v.Path)
	}
}

// With nothing evacuated, or long after, a decision allocates no memory.
func TestEvacuationCostsNoAllocation(t *testing.T) {
	now := time.Unix(100, 0)
	b := evacuationBalancer(now)
	p := openingPacket(0)
	decide := func() { b.Decide(p, now) }
	decide()
	for _, e := range []Evacuations{{}, evacuationsOf(2, "b"), evacuationsOf(3)} {
		b.HandleEvacuations(e, now)
		decide()
		if n := testing.AllocsPerRun(100, decide); n != 0 {
			t.Errorf("%v: got %v allocations, want 0", e, n)
		}
	}
}

// A sidecar in an evacuated domain opens no flow, whoever sent the packet, and its open flows live on.
func TestSidecarEvacuation(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	s.SetFailureDomain("a")
	openFlow(t, s, now)
	pending := openingTunnelPacket()
	pending.Packet.Key = keyOf(1)
	wantVerdict(t, s.FromTunnel(pending, now), ActionUpstream, ReasonPlaced)
	if changed, _ := s.HandleEvacuations(evacuationsOf(2, "a", "b"), now); !changed || s.State(now) != StateEvacuated {
		t.Fatalf("got %v, want %v", s.State(now), StateEvacuated)
	}
	opening := func(k Key, sequence, earlier uint32, fallbacks int) *TunnelPacket {
		tp := openingTunnelPacket()
		tp.Packet.Key, tp.Packet.Sequence, tp.Packet.Ack, tp.Path.FallbackCount = k, sequence, earlier, fallbacks
		return tp
	}
	for _, tt := range []struct {
		name    string
		packet  *TunnelPacket
		action  Action
		reason  Reason
		offered bool
	}{
		{"new", opening(keyOf(2), 100, 0, 1), ActionForward, ReasonEvacuated, false},
		{"retransmission of an unknown flow", opening(keyOf(2), 100, 1, 1), ActionForward, ReasonEvacuated, false},
		{"new, no sibling", opening(keyOf(2), 100, 0, 0), ActionReset, ReasonEvacuated, false},
		{"retransmission, no sibling", opening(keyOf(2), 100, 1, 0), ActionDrop, ReasonEvacuated, false},
		{"the upstream may still answer", opening(keyOf(1), 100, 0, 0), ActionDrop, ReasonEvacuated, true},
		{"open flow", opening(testKey, 100, 1, 1), ActionUpstream, ReasonPlacedAgain, false},
		{"port of an open flow used again", opening(testKey, 7000, 0, 1), ActionForward, ReasonEvacuated, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wantVerdict(t, s.FromTunnel(tt.packet, now), tt.action, tt.reason)
			if tt.packet.Offered != tt.offered {
				t.Errorf("got offered %v, want %v", tt.packet.Offered, tt.offered)
			}
		})
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonKnown)
	s.HandleEvacuations(evacuationsOf(3, "b"), now.Add(1))
	wantVerdict(t, s.FromTunnel(opening(keyOf(2), 100, 0, 1), now), ActionUpstream, ReasonPlaced)
	if s.State(now) != StateReady || !s.evacuationEndedAt.Equal(now.Add(1)) {
		t.Errorf("got %v, ended at %v", s.State(now), s.evacuationEndedAt)
	}
}

// A sidecar's report shows that it has missed the messages about an evacuation, or about its end.
func TestReportShowsMissedEvacuation(t *testing.T) {
	b := evacuationBalancer(time.Unix(100, 0))
	states := func() (unknown []bool) {
		for _, s := range []State{StateReady, StateEvacuated, StateLeaving} {
			unknown = append(unknown, b.EvacuationUnknown(&Load{DomainID: DomainID("a"), State: s}))
		}
		return unknown
	}
	if got := states(); !reflect.DeepEqual(got, []bool{false, true, false}) {
		t.Errorf("got %v without an evacuation", got)
	}
	b.HandleEvacuations(evacuationsOf(2, "a"), time.Unix(100, 0))
	if got := states(); !reflect.DeepEqual(got, []bool{true, false, false}) {
		t.Errorf("got %v during an evacuation", got)
	}
	if got := b.MembersIn(map[uint32]bool{DomainID("b"): true}); len(got) != 4 || slices.Contains(got, netip.AddrPort{}) {
		t.Errorf("got %v, want the 4 members in b", got)
	}
}

// A sidecar whose domain stays evacuated after a restore of the store is told so only once, although
// each of many messages names the new era, and takes flows again at the end of the hold.
func TestSidecarHoldsEvacuation(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	s.SetFailureDomain("a")
	s.HandleEvacuations(evacuationsOf(2, "a"), now)
	for i, want := range []bool{true, false, false} {
		if changed, held := s.HandleEvacuations(NewEvacuations(1, 1, nil), now); changed || held != want {
			t.Errorf("message %d: got changed %v, held %v; want false, %v", i, changed, held, want)
		}
	}
	end := now.Add(EvacuationHold)
	s.Expire(end)
	if s.Evacuated(end) || !s.evacuationEndedAt.Equal(end) {
		t.Errorf("got evacuated %v, ended at %v", s.Evacuated(end), s.evacuationEndedAt)
	}
}
