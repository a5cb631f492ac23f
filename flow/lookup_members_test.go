package flow

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Another balancer names a member once, and the member never reports here. No flow is given up until
// gossipTimeout has passed.
func TestGossipedMember(t *testing.T) {
	start := time.Unix(100, 0)
	b := testBalancer(2, start)
	if introduce := b.HandleGossip([]netip.AddrPort{memberAddr(1), memberAddr(7)}, start); !slices.Equal(introduce, []netip.AddrPort{memberAddr(7)}) {
		t.Errorf("got introductions to %v, want %v", introduce, memberAddr(7))
	}
	givenUp := func(now time.Time) bool {
		for i := range 2 {
			reportReady(b, i, testServiceName, uint32(now.Unix()), now)
		}
		b.Expire(now)
		startLookup(t, b, dataPacket(), now)
		return len(runLookups(b, now, lookupStep, noneHeld).Lost) > 0
	}
	if givenUp(start.Add(expireAfter + time.Second)) {
		t.Error("given up though a gossiped member was not queried")
	}
	if !givenUp(start.Add(gossipTimeout + time.Second)) {
		t.Error("not given up after gossipTimeout")
	}
}

// After a power loss, all balancers are new. Once all members that the store lists have reported,
// flows that none holds are given up at once. Until then, the balancer waits, but not for longer
// than settledAfter.
func TestRegisteredMembers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		registered int
		complete   bool
		after      time.Duration
		want       bool
	}{
		{"all have reported", 6, true, registeredSettledAfter + time.Millisecond, true},
		{"one has not reported", 7, true, settledAfter - 2*lookupStep, false},
		{"the store was not read", 0, true, registeredSettledAfter + time.Millisecond, false},
		{"one has not reported for long", 7, true, settledAfter + time.Millisecond, true},
		{"the restored store may have lost one", 6, false, settledAfter - 2*lookupStep, false},
		{"the restored store may have lost one long ago", 6, false, settledAfter + time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			b := testBalancer(6, now)
			var addrs []netip.AddrPort
			for i := range tt.registered {
				addrs = append(addrs, memberAddr(i))
			}
			b.SetRegistered(addrs, tt.complete)
			now = now.Add(tt.after)
			startLookup(t, b, dataPacket(), now)
			if lost := len(runLookups(b, now, lookupStep, noneHeld).Lost) > 0; lost != tt.want {
				t.Errorf("given up: got %v, want %v", lost, tt.want)
			}
		})
	}
}

// A sidecar has crashed for good, and this balancer has removed it. Another balancer goes on to name
// and count it for a while. Once that balancer has removed it as well, lookups do not wait for it.
func TestExpiredMemberDoesNotDelayLostFlows(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	for range 6 {
		now = now.Add(time.Second)
		for i := range 2 {
			reportReady(b, i, testServiceName, uint32(now.Unix()), now)
		}
		b.Expire(now)
		known := 3
		if now.Sub(time.Unix(100, 0)) > expireAfter+time.Second {
			known = 2
		}
		b.SetPeerMemberCount(testPeer, known, now)
		if known == 3 {
			b.HandleGossip([]netip.AddrPort{memberAddr(2)}, now)
		}
	}
	startLookup(t, b, dataPacket(), now)
	if len(runLookups(b, now, lookupStep, noneHeld).Lost) == 0 {
		t.Error("the flow of an expired member was not given up")
	}
}

// A lookup waits for a member that does not answer, and ends once the member has expired.
func TestMemberExpiresDuringALookup(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	now = now.Add(settledAfter + time.Millisecond)
	startLookup(t, b, dataPacket(), now)
	silent := func(addr netip.AddrPort, _ *Question) (LookupResult, bool) {
		return LookupResultNotHeld, addr != memberAddr(2)
	}
	if out := runLookups(b, now, lookupStep, silent); len(out.Lost) != 0 {
		t.Error("given up though a member did not answer")
	}
	now = now.Add(expireAfter)
	for i := range 2 {
		reportReady(b, i, testServiceName, 9, now)
	}
	startLookup(t, b, dataPacket(), now)
	b.SetPeerMemberCount(testPeer, 3, now)
	expireUntil(b, now)
	out := runLookups(b, now, 100*time.Millisecond, silent)
	if len(out.Lost) != 1 || out.Lost[0].Unreachable != 1 {
		t.Errorf("got lost flows %+v, want one with an unreachable member", out.Lost)
	}
}

// A member that joins while a flow is looked up is queried as well.
func TestMemberThatJoinsDuringALookupIsQueried(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(6, now)
	startLookup(t, b, dataPacket(), now)
	runLookups(b, now, lookupStep, noneHeld)
	reportReady(b, 6, testServiceName, 1, now)
	now = now.Add(settledAfter + time.Millisecond)
	out := runLookups(b, now, lookupStep, func(addr netip.AddrPort, _ *Question) (LookupResult, bool) {
		return LookupResultNotHeld, addr != memberAddr(6)
	})
	if len(out.Lost) != 0 {
		t.Error("given up though the new member did not answer")
	}
	out = runLookups(b, now, time.Second, func(addr netip.AddrPort, _ *Question) (LookupResult, bool) {
		if addr == memberAddr(6) {
			return LookupResultHeld, true
		}
		return LookupResultNotHeld, true
	})
	if len(out.Packets) != 1 || out.Packets[0].Path.To != memberAddr(6) {
		t.Errorf("got packets %+v, want one to %v", out.Packets, memberAddr(6))
	}
}

// memberTwoSilent answers that no upstream holds the flow, except for member 2, which does not
// answer.
func memberTwoSilent(addr netip.AddrPort, _ *Question) (LookupResult, bool) {
	return LookupResultNotHeld, addr != memberAddr(2)
}

// One member does not answer. A flow that no other member holds is given up when the member counts
// as unreachable or has expired. Which comes first, and when, depends on the member's last report.
func TestSilentMember(t *testing.T) {
	for _, tt := range []struct {
		name  string
		state State
		ended bool
		// The flow is given up between least and most after its first packet.
		least, most time.Duration
	}{
		{"stopped without notice", StateReady, false, unreachableAfter, unreachableAfter + 2*maxRetryInterval},
		{"planned stop, after which it restarts", StateLeaving, false, expireAfter - settledAfter, expireAfter + time.Second},
		{"its upstream had ended", StateLeaving, true, minRetryInterval, 5 * minRetryInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			b := testBalancer(3, now)
			b.HandleReport(memberAddr(2), Load{Incarnation: 1, Sequence: 2, Tag: TagOf(testServiceName), State: tt.state, UpstreamEnded: tt.ended}, now)
			now = now.Add(settledAfter + time.Millisecond)
			elapsed := time.Duration(-1)
			for after := time.Duration(0); after < 6*time.Second && elapsed < 0; after += 100 * time.Millisecond {
				at := now.Add(after)
				for i := range 2 {
					reportReady(b, i, testServiceName, uint32(3+after/time.Millisecond), at)
				}
				b.SetPeerMemberCount(testPeer, 3, at)
				if after%time.Second == 0 {
					b.Expire(at)
				}
				startLookup(t, b, dataPacket(), at)
				if out := runLookups(b, at, 90*time.Millisecond, memberTwoSilent); len(out.Lost) > 0 {
					elapsed = out.Lost[0].Elapsed
				}
			}
			if elapsed < tt.least || elapsed > tt.most {
				t.Errorf("given up after %v, want %v to %v", elapsed, tt.least, tt.most)
			}
		})
	}
}

// Once one lookup has found a member unreachable, the next lookups do not wait for the member,
// until it reports again.
func TestUnreachableMemberIsSharedBetweenLookups(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(3, now)
	now = now.Add(settledAfter + time.Millisecond)
	startLookup(t, b, dataPacket(), now)
	runLookups(b, now, unreachableAfter+2*maxRetryInterval, memberTwoSilent)
	now = now.Add(unreachableAfter + 2*maxRetryInterval)
	p := dataPacket()
	p.Key = keyOf(1)
	startLookup(t, b, p, now)
	if out := runLookups(b, now, 2*lookupStep, memberTwoSilent); len(out.Lost) != 1 || out.Lost[0].Unreachable != 1 {
		t.Errorf("got lost flows %+v, want one with an unreachable member", out.Lost)
	}
	reportReady(b, 2, testServiceName, 9, now.Add(time.Second))
	p.Key = keyOf(2)
	startLookup(t, b, p, now.Add(time.Second))
	if out := runLookups(b, now.Add(time.Second), 100*time.Millisecond, memberTwoSilent); len(out.Lost) != 0 {
		t.Error("given up though the member has reported since")
	}
}

// Another balancer goes on to name a member that has crashed and never reported here. After several
// introductions without an answer, lookups no longer wait for the member.
func TestUnreachableGossipedMember(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(2, now)
	now = now.Add(settledAfter + time.Millisecond)
	startLookup(t, b, dataPacket(), now)
	introduced, elapsed := 0, time.Duration(-1)
	for after := time.Duration(0); after < 3*time.Second && elapsed < 0; after += 100 * time.Millisecond {
		at := now.Add(after)
		b.HandleGossip([]netip.AddrPort{memberAddr(7)}, at)
		b.SetPeerMemberCount(testPeer, 3, at)
		out := runLookups(b, at, 90*time.Millisecond, noneHeld)
		introduced += len(out.Introduce)
		if len(out.Lost) > 0 {
			elapsed = out.Lost[0].Elapsed
		}
	}
	if elapsed < unreachableAfter || elapsed > unreachableAfter+2*introduceInterval {
		t.Errorf("given up after %v, want %v to %v", elapsed, unreachableAfter, unreachableAfter+2*introduceInterval)
	}
	if introduced < unreachableAttempts-1 {
		t.Errorf("got %d introductions, want at least %d", introduced, unreachableAttempts-1)
	}
}
