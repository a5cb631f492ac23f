package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// probedFleet answers a balancer's lookups like sidecars that all have restarted: each needs a packet
// to say whether its upstream holds a flow, and none does.
type probedFleet struct {
	b *Balancer
	// lose reports whether a packet that is relayed to a member is lost.
	lose func(netip.AddrPort) bool
	// direct and relayed are the messages with packets that the balancer sent, and perMember the
	// packets that each member received.
	direct, relayed int
	perMember       map[netip.AddrPort]int
	lost            []LostFlow
}

// run runs lookups until a time. Members answer at once, and upstreams return packets 10 ms later.
func (f *probedFleet) run(now, end time.Time) {
	returned := map[Key][]netip.AddrPort{}
	for ; !now.After(end); now = now.Add(lookupStep) {
		for k, members := range returned {
			for _, addr := range members {
				f.b.HandleNotDelivered(k, addr, true, now)
			}
		}
		clear(returned)
		out := f.b.RunLookups(now)
		for i := 0; i < len(out.Queries); i++ {
			for _, addr := range recipients(out.Queries[i]) {
				answerQuery(f.b, addr, out.Queries[i].Query, needsProbe, &out, now)
			}
		}
		for _, p := range out.Packets {
			f.direct++
			f.perMember[p.Path.To]++
			returned[flowOfPacket(p.Raw)] = append(returned[flowOfPacket(p.Raw)], p.Path.To)
		}
		for _, p := range out.Probes {
			f.relayed++
			for _, addr := range append([]netip.AddrPort{p.To}, p.RelayTo...) {
				for _, packet := range p.Packets {
					if f.perMember[addr]++; !f.lose(addr) {
						returned[flowOfPacket(packet.Raw)] = append(returned[flowOfPacket(packet.Raw)], addr)
					}
				}
			}
		}
		f.lost = append(f.lost, out.Lost...)
	}
}

// needsProbe answers that a packet is needed.
func needsProbe(netip.AddrPort, *Question) (LookupResult, bool) { return LookupResultNeedsProbe, true }

// flowOfPacket returns the flow of a packet of startProbedLookups.
func flowOfPacket(raw []byte) Key {
	var i int
	if _, err := fmt.Sscan(string(raw), &i); err != nil {
		panic(err)
	}
	return keyOf(i)
}

// startProbedLookups starts the lookups of n flows.
func startProbedLookups(b *Balancer, n int, now time.Time) {
	for i := range n {
		p := dataPacket()
		p.Key = keyOf(i)
		b.Decide(p, now)
		b.BufferPacket(p, []byte(fmt.Sprint(i)))
	}
}

// All VMs lost power. No sidecar knows what its upstream holds, so each has to probe it for each flow.
// The callers are reset within a quarter of a second, and the balancer itself sends few packets: members
// relay them.
func TestCallersAreResetAfterPowerLoss(t *testing.T) {
	for _, n := range []int{10, 47, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			const flows = 40
			now := time.Unix(100, 0)
			b := testBalancer(n, now)
			now = now.Add(settledAfter + time.Millisecond)
			startProbedLookups(b, flows, now)
			f := &probedFleet{b: b, perMember: map[netip.AddrPort]int{}, lose: func(netip.AddrPort) bool { return false }}
			f.run(now, now.Add(250*time.Millisecond))
			if len(f.lost) != flows {
				t.Errorf("got %d lost flows, want %d", len(f.lost), flows)
			}
			if most := flows * (min(n, RankingDepth) + 1); n > broadcastOnlyMembers && f.direct+f.relayed > most {
				t.Errorf("the balancer sent %d packets and %d messages to relays, want at most %d", f.direct, f.relayed, most)
			}
			for addr, got := range f.perMember {
				if got > 2*flows {
					t.Errorf("%v got %d packets, want at most %d", addr, got, 2*flows)
				}
			}
		})
	}
}

// A relayed packet that is lost is sent again, through another relay.
func TestLostProbeIsRepeated(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(47, now)
	now = now.Add(settledAfter + time.Millisecond)
	startProbedLookups(b, 1, now)
	lost := map[netip.AddrPort]bool{}
	f := &probedFleet{b: b, perMember: map[netip.AddrPort]int{}, lose: func(addr netip.AddrPort) bool {
		first := !lost[addr]
		lost[addr] = true
		return first
	}}
	f.run(now, now.Add(500*time.Millisecond))
	if len(f.lost) != 1 {
		t.Errorf("got %d lost flows, want 1", len(f.lost))
	}
}

// A member's upstream has returned a packet before the member is queried together with all others. It is
// not probed again, so the lookup does not wait for a second answer that may be lost.
func TestMemberIsNotProbedTwice(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	now = now.Add(settledAfter + time.Millisecond)
	for _, m := range b.members {
		m.needsProbes = true
	}
	startProbedLookups(b, 1, now)
	for addr := range b.members {
		b.HandleNotDelivered(keyOf(0), addr, true, now)
	}
	out := runLookups(b, now, 100*time.Millisecond, needsProbe)
	if len(out.Packets) != 0 || len(out.Lost) != 1 {
		t.Errorf("got %d packets and %d lost flows, want none and 1", len(out.Packets), len(out.Lost))
	}
}

// A flow that a member may hold is not given up while the upstream has not returned its packet.
func TestUnansweredProbeEndsNoFlow(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(47, now)
	now = now.Add(settledAfter + time.Millisecond)
	startProbedLookups(b, 1, now)
	holder := memberAddr(7)
	f := &probedFleet{b: b, perMember: map[netip.AddrPort]int{}, lose: func(addr netip.AddrPort) bool { return addr == holder }}
	if b.isRanked(b.lookupOrder[0], holder) {
		t.Fatal("the member is ranked for the flow, so it gets no relayed packet")
	}
	f.run(now, now.Add(lookupTimeout-lookupStep))
	if len(f.lost) != 0 {
		t.Errorf("got %d lost flows, want none", len(f.lost))
	}
}

// The flows whose packets are relayed to all members are bounded.
func TestRelayedProbesAreBounded(t *testing.T) {
	const flows = 1000
	now := time.Unix(100, 0)
	b := testBalancer(150, now)
	now = now.Add(settledAfter + time.Millisecond)
	startProbedLookups(b, flows, now)
	f := &probedFleet{b: b, perMember: map[netip.AddrPort]int{}, lose: func(netip.AddrPort) bool { return false }}
	f.run(now, now.Add(time.Second))
	ranked := flows // at most one packet of each flow directly
	for addr, got := range f.perMember {
		if most := ranked + relayedFlowBurst + relayedFlowRate; got > most {
			t.Errorf("%v got %d packets, want at most %d", addr, got, most)
		}
	}
}
