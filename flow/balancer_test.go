package flow

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const otherName = "sheet-render"

var testPeer = netip.MustParseAddrPort("10.0.0.2:7720")

func member(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8172)
}

// report makes the i-th sidecar known as ready.
func report(s *Balancer, i int, service string, sequence uint32, now time.Time) {
	s.HandleReport(member(i), Load{Incarnation: 1, Sequence: sequence, Tag: TagOf(service), DomainID: DomainID("a"), State: StateReady, Slots: 2}, now)
}

func route(service string) *Route {
	return &Route{Name: "r", Services: []WeightedService{{Service: service, Tag: TagOf(service), Weight: 1}}, RequestPolicy: boards}
}

// testBalancer returns a balancer that knows n sidecars of the test service.
func testBalancer(n int, now time.Time) *Balancer {
	s := NewBalancer("a", now)
	s.Configure(&Configuration{Version: 1, Routes: map[netip.AddrPort]*Route{testService: route(testName)}})
	for i := range n {
		report(s, i, testName, 1, now)
	}
	s.SetPeerMemberCount(testPeer, n, now)
	return s
}

// expireUntil lets time pass, during which members are forgotten.
func expireUntil(s *Balancer, until time.Time) {
	for s.expired.Before(until) {
		at := s.expired.Add(time.Second)
		if at.After(until) {
			at = until
		}
		s.Expire(at)
	}
}

func openingPacket(copies uint32) *Packet {
	return &Packet{Key: testKey, FromCaller: true, Flags: FlagOpen, Ack: copies}
}

func dataPacket() *Packet {
	return &Packet{Key: testKey, FromCaller: true, Flags: FlagAck, Sequence: 1, Ack: 77, Length: 10}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := testBalancer(1, time.Unix(0, 0))
	for _, version := range []uint64{1, 0} {
		if s.Configure(&Configuration{Version: version}) {
			t.Errorf("version %d replaced version 1", version)
		}
	}
	if !s.Configure(&Configuration{Version: 9}) {
		t.Error("version 9 was not taken")
	}
}

func TestOpeningWithoutRouteIsRefused(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(2, now)
	s.Configure(&Configuration{Version: 2})
	for copies, want := range []Action{ActionReset, ActionDrop} {
		if v := s.Decide(openingPacket(uint32(copies)), now); v.Action != want || v.Reason != ReasonNoRoute {
			t.Errorf("copy %d: %v, %v", copies, v.Action, v.Reason)
		}
	}
	if v := s.Decide(dataPacket(), now); v.Action != ActionDrop {
		t.Errorf("packet of a flow without a route: %v", v.Action)
	}
}

// A balancer that has just started refuses nothing for want of sidecars: the caller's
// next copy may be served. Once all members are known, it refuses at once.
func TestOpeningWithoutMembers(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(0, now)
	s.HandleReport(member(0), Load{Incarnation: 1, Sequence: 1, Tag: TagOf(testName), State: StateWaiting}, now)
	if v := s.Decide(openingPacket(0), now); v.Action != ActionDrop || v.Reason != ReasonNoUpstream {
		t.Errorf("%v, %v before the members are known", v.Action, v.Reason)
	}
	now = now.Add(settledAfter + time.Millisecond)
	if v := s.Decide(openingPacket(0), now); v.Action != ActionReset || v.Reason != ReasonNoUpstream {
		t.Errorf("%v, %v when no member takes flows", v.Action, v.Reason)
	}
}

// A later copy goes to another sidecar, since the first did not answer.
func TestCopyGoesElsewhere(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(5, now)
	first := s.Decide(openingPacket(0), now)
	second := s.Decide(openingPacket(1), now.Add(200*time.Millisecond))
	if first.Path.To == second.Path.To || second.Reason != ReasonPlacedAgain {
		t.Errorf("both copies went to %v", first.Path.To)
	}
}

func TestLeavingAndSilentSidecarsGetNoNewFlows(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(3, now)
	now = now.Add(silentAfter)
	report(s, 1, testName, 2, now)
	s.HandleReport(member(2), Load{Incarnation: 1, Sequence: 2, Tag: TagOf(testName), State: StateLeaving, Slots: 2}, now)
	if v := s.Decide(openingPacket(0), now); v.Path.To != member(1) || v.Path.FallbackCount != 0 {
		t.Errorf("went to %v with %d alternatives", v.Path.To, v.Path.FallbackCount)
	}
}

func TestOlderReportChangesNothing(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(1, now)
	s.HandleReport(member(0), Load{Incarnation: 1, Sequence: 5, Tag: TagOf(testName), State: StateLeaving}, now)
	report(s, 0, testName, 4, now)
	if m, _ := s.Member(member(0)); m.Load.State != StateLeaving {
		t.Errorf("state %v after an older report", m.Load.State)
	}
}

// onPath lists the sidecars on the path of a verdict.
func onPath(v *BalancerVerdict) map[netip.AddrPort]bool {
	all := map[netip.AddrPort]bool{v.Path.To: true}
	for _, a := range v.Path.Fallbacks[:v.Path.FallbackCount] {
		all[a] = true
	}
	return all
}

// Whatever a balancer hears, a packet only goes to members, new flows only to ready
// members of the route's service, and no flow that a running sidecar confirmed goes
// elsewhere.
func TestSteeringInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		s := testBalancer(0, now)
		held := map[Key]netip.AddrPort{}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 9).Draw(t, "member")
			k := keyOf(rapid.IntRange(0, 5).Draw(t, "flow"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				service := rapid.SampledFrom([]string{testName, testName, otherName}).Draw(t, "service")
				state := rapid.SampledFrom([]State{StateReady, StateReady, StateLeaving, StateWaiting}).Draw(t, "state")
				s.HandleReport(member(i), Load{Incarnation: 1, Sequence: uint32(step + 1), Tag: TagOf(service), State: state, Slots: 2}, now)
			case 1:
				if _, ok := s.Member(member(i)); ok {
					s.HandleFlowHeld(k, member(i), now)
					held[k] = member(i)
				}
			case 2:
				lost := s.Expire(now)
				maps.DeleteFunc(held, func(_ Key, at netip.AddrPort) bool { return slices.Contains(lost, at) })
			case 3:
				p := dataPacket()
				if rapid.Bool().Draw(t, "opening") {
					p = openingPacket(0)
				}
				p.Key = k
				checkVerdict(t, s, p, held, now)
			}
		}
	})
}

// A balancer that was paused for some seconds forgets nobody until it has listened again:
// the others were not silent, and a flow that they hold is not given up.
func TestPausedBalancerForgetsNobody(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(3, now)
	s.Expire(now)
	now = now.Add(10 * time.Second)
	if lost := s.Expire(now); len(lost) != 0 {
		t.Errorf("forgot %v", lost)
	}
	for range 4 {
		now = now.Add(time.Second)
		report(s, 0, testName, uint32(now.Unix()), now)
		s.Expire(now)
	}
	if all, _ := s.MemberCounts(now); all != 1 {
		t.Errorf("%d members are known, want the one that reports", all)
	}
}
