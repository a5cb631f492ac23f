package flow

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const otherServiceName = "sheet-render"

var testPeer = netip.MustParseAddrPort("10.0.0.2:7720")

// memberAddr returns the address of the i-th sidecar.
func memberAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8172)
}

// reportReady makes the i-th sidecar report as ready.
func reportReady(b *Balancer, i int, service string, sequence uint32, now time.Time) {
	b.HandleReport(memberAddr(i), Load{Incarnation: 1, Sequence: sequence, Tag: TagOf(service), DomainID: DomainID("a"), State: StateReady, Slots: 2}, now)
}

func routeTo(service string) *Route {
	return &Route{Name: "r", Services: []WeightedService{{Service: service, Tag: TagOf(service), Weight: 1}}, RequestPolicy: boardPolicy}
}

// testBalancer returns a balancer with n members of the test service.
func testBalancer(n int, now time.Time) *Balancer {
	b := NewBalancer("a", now)
	b.Configure(&Configuration{Version: 1, Routes: map[netip.AddrPort]*Route{testService: routeTo(testServiceName)}})
	for i := range n {
		reportReady(b, i, testServiceName, 1, now)
	}
	b.SetPeerMemberCount(testPeer, n, now)
	return b
}

// expireUntil calls Expire once a second, up to a time.
func expireUntil(b *Balancer, until time.Time) {
	for b.lastExpire.Before(until) {
		at := b.lastExpire.Add(time.Second)
		if at.After(until) {
			at = until
		}
		b.Expire(at)
	}
}

// openingPacket returns the opening packet of the test flow, after a number of earlier
// transmissions.
func openingPacket(earlier uint32) *Packet {
	return &Packet{Key: testKey, FromCaller: true, Flags: FlagOpen, Ack: earlier}
}

// dataPacket returns a caller's data packet of the test flow.
func dataPacket() *Packet {
	return &Packet{Key: testKey, FromCaller: true, Flags: FlagAck, Sequence: 1, Ack: 77, Length: 10}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := testBalancer(1, time.Unix(0, 0))
	for _, version := range []uint64{1, 0} {
		if b.Configure(&Configuration{Version: version}) {
			t.Errorf("version %d replaced version 1, want it ignored", version)
		}
	}
	if !b.Configure(&Configuration{Version: 9}) {
		t.Error("version 9 did not replace version 1")
	}
}

func TestOpeningWithoutRouteIsRefused(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(2, now)
	b.Configure(&Configuration{Version: 2})
	for earlier, want := range []Action{ActionReset, ActionDrop} {
		if v := b.Decide(openingPacket(uint32(earlier)), now); v.Action != want || v.Reason != ReasonNoRoute {
			t.Errorf("transmission %d: got %v, %v; want %v, %v", earlier, v.Action, v.Reason, want, ReasonNoRoute)
		}
	}
	if v := b.Decide(dataPacket(), now); v.Action != ActionDrop {
		t.Errorf("data packet without a route: got %v, want %v", v.Action, ActionDrop)
	}
}

// A balancer that has just started and knows no suitable member drops opening packets, since a
// retransmission may succeed. Once all members are known, it resets the flow at once.
func TestOpeningWithoutMembers(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(0, now)
	b.HandleReport(memberAddr(0), Load{Incarnation: 1, Sequence: 1, Tag: TagOf(testServiceName), State: StateWaiting}, now)
	if v := b.Decide(openingPacket(0), now); v.Action != ActionDrop || v.Reason != ReasonNoUpstream {
		t.Errorf("before the members are known: got %v, %v; want %v, %v", v.Action, v.Reason, ActionDrop, ReasonNoUpstream)
	}
	now = now.Add(settledAfter + time.Millisecond)
	if v := b.Decide(openingPacket(0), now); v.Action != ActionReset || v.Reason != ReasonNoUpstream {
		t.Errorf("once no member accepts flows: got %v, %v; want %v, %v", v.Action, v.Reason, ActionReset, ReasonNoUpstream)
	}
}

// A retransmitted opening packet goes to another sidecar, since the first one did not answer.
func TestRetransmittedOpeningGoesToAnotherSidecar(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(5, now)
	first := b.Decide(openingPacket(0), now)
	second := b.Decide(openingPacket(1), now.Add(200*time.Millisecond))
	if first.Path.To == second.Path.To || second.Reason != ReasonPlacedAgain {
		t.Errorf("sent to %v, then to %v (%v); want another sidecar (%v)", first.Path.To, second.Path.To, second.Reason, ReasonPlacedAgain)
	}
}

func TestLeavingAndSilentSidecarsGetNoNewFlows(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	now = now.Add(silentAfter)
	reportReady(b, 1, testServiceName, 2, now)
	b.HandleReport(memberAddr(2), Load{Incarnation: 1, Sequence: 2, Tag: TagOf(testServiceName), State: StateLeaving, Slots: 2}, now)
	if v := b.Decide(openingPacket(0), now); v.Path.To != memberAddr(1) || v.Path.FallbackCount != 0 {
		t.Errorf("sent to %v with %d fallbacks, want %v with none", v.Path.To, v.Path.FallbackCount, memberAddr(1))
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(1, now)
	b.HandleReport(memberAddr(0), Load{Incarnation: 1, Sequence: 5, Tag: TagOf(testServiceName), State: StateLeaving}, now)
	reportReady(b, 0, testServiceName, 4, now)
	if m, _ := b.Member(memberAddr(0)); m.Load.State != StateLeaving {
		t.Errorf("got state %v after an older report, want %v", m.Load.State, StateLeaving)
	}
}

// A report of a sidecar's former process arrives late and says that the upstream has ended. The present
// process has reported since, so the flows of its upstream are not given up while it is slow to answer.
func TestLateReportOfFormerProcess(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	now = now.Add(settledAfter + time.Millisecond)
	former := Load{Incarnation: 1, Sequence: 7, Tag: TagOf(testServiceName), State: StateLeaving, UpstreamEnded: true}
	present := Load{Incarnation: 2, Sequence: 1, Tag: TagOf(testServiceName), State: StateReady}
	b.HandleReport(memberAddr(0), present, now)
	b.HandleReport(memberAddr(0), former, now)
	if m, _ := b.Member(memberAddr(0)); m.Load != present {
		t.Errorf("got report %+v, want that of the present process", m.Load)
	}
	startLookup(t, b, dataPacket(), now)
	out := runLookups(b, now, unreachableAfter/2, func(addr netip.AddrPort, _ *Question) (LookupResult, bool) {
		return LookupResultNotHeld, addr != memberAddr(0)
	})
	if len(out.Lost) != 0 {
		t.Errorf("got %d lost flows, want none: %v has not answered", len(out.Lost), memberAddr(0))
	}
}

// A balancer restarts. A late answer to a query of its former process matches none of its own.
func TestQueryIDsDifferBetweenProcesses(t *testing.T) {
	ids := map[uint32]bool{}
	for range 4 {
		now := time.Unix(100, 0)
		b := testBalancer(1, now)
		startLookup(t, b, dataPacket(), now)
		ids[runLookups(b, now, lookupStep, noneHeld).Queries[0].Query.ID] = true
	}
	if len(ids) != 4 {
		t.Errorf("got first IDs %v, want 4 different ones", ids)
	}
}

// pathMembers returns the sidecars on the path of a verdict.
func pathMembers(v *BalancerVerdict) map[netip.AddrPort]bool {
	all := map[netip.AddrPort]bool{v.Path.To: true}
	for _, a := range v.Path.Fallbacks[:v.Path.FallbackCount] {
		all[a] = true
	}
	return all
}

// Whatever messages a balancer receives, it sends packets only to members, new flows only to ready
// members of the route's service outside of evacuated failure domains, and flows that a running sidecar
// confirmed only to that sidecar.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		b := testBalancer(0, now)
		holders := map[Key]netip.AddrPort{}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 9).Draw(t, "member")
			k := keyOf(rapid.IntRange(0, 5).Draw(t, "flow"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				service := rapid.SampledFrom([]string{testServiceName, testServiceName, otherServiceName}).Draw(t, "service")
				state := rapid.SampledFrom([]State{StateReady, StateReady, StateLeaving, StateWaiting}).Draw(t, "state")
				b.HandleReport(memberAddr(i), Load{Incarnation: 1, Sequence: uint32(step + 1), Tag: TagOf(service), DomainID: uint32(i % 3), State: state, Slots: 2}, now)
			case 1:
				if _, ok := b.Member(memberAddr(i)); ok {
					b.HandleFlowHeld(k, memberAddr(i), now)
					holders[k] = memberAddr(i)
				}
			case 2:
				expired := b.Expire(now)
				maps.DeleteFunc(holders, func(_ Key, at netip.AddrPort) bool { return slices.Contains(expired, at) })
			case 3:
				p := dataPacket()
				if rapid.Bool().Draw(t, "opening") {
					p = openingPacket(0)
				}
				p.Key = k
				checkVerdict(t, b, p, holders, now)
			case 4:
				ids := rapid.SliceOfN(rapid.Uint32Range(0, 2), 0, 3).Draw(t, "evacuated")
				b.HandleEvacuations(NewEvacuations(uint64(step/30), uint64(step+1), ids), now)
			}
		}
	})
}

// A balancer that was paused for some seconds removes no member until the members have had time to
// report again. Otherwise, it would give up flows that they hold.
func TestPausedBalancerExpiresNoMember(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	b.Expire(now)
	now = now.Add(10 * time.Second)
	if expired := b.Expire(now); len(expired) != 0 {
		t.Errorf("removed %v after a pause, want none", expired)
	}
	for range 4 {
		now = now.Add(time.Second)
		reportReady(b, 0, testServiceName, uint32(now.Unix()), now)
		b.Expire(now)
	}
	if all, _ := b.MemberCounts(now); all != 1 {
		t.Errorf("got %d members, want the one that reports", all)
	}
}

// A caller uses its port again after a change of the configuration. The new flow follows the route that
// is in force then, not the location of the former flow: review/1.
func TestOpeningFollowsChangedRoute(t *testing.T) {
	now := time.Unix(100, 0)
	open := func() (*Balancer, *Packet) {
		b := testBalancer(3, now)
		reportReady(b, 9, otherServiceName, 1, now)
		b.SetPeerMemberCount(testPeer, 4, now)
		p := openingPacket(0)
		b.HandleFlowHeld(p.Key, b.Decide(p, now).Path.To, now)
		return b, p
	}
	later := now.Add(settledAfter + time.Millisecond)
	b, p := open()
	holder := b.Decide(p, later).Path.To
	if got := b.Decide(openingPacket(1), later); got.Path.To != holder {
		t.Errorf("retransmission: got %v, want the flow's sidecar %v", got.Path.To, holder)
	}
	b.Configure(&Configuration{Version: 2, Routes: map[netip.AddrPort]*Route{testService: routeTo(otherServiceName)}})
	if got := b.Decide(dataPacket(), later); got.Path.To != holder {
		t.Errorf("open flow: got %v, want its sidecar %v", got.Path.To, holder)
	}
	if got := b.Decide(p, later); got.Action != ActionForward || got.Path.To != memberAddr(9) || got.Path.Tag != TagOf(otherServiceName) {
		t.Errorf("new flow on a moved route: got %v to %v, want %v", got.Action, got.Path.To, memberAddr(9))
	}
	b, p = open()
	b.Configure(&Configuration{Version: 2, Routes: map[netip.AddrPort]*Route{}})
	if got := b.Decide(p, later); got.Action != ActionReset || got.Reason != ReasonNoRoute {
		t.Errorf("new flow on a dropped route: got %v, %v, want %v, %v", got.Action, got.Reason, ActionReset, ReasonNoRoute)
	}
}
