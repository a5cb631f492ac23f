package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkVerdict checks the decision about a packet against the sidecars that have confirmed flows.
func checkVerdict(t *rapid.T, b *Balancer, p *Packet, holders map[Key]netip.AddrPort, now time.Time) {
	v := b.Decide(p, now)
	holder, known := holders[p.Key]
	m, ok := b.Member(holder)
	moved := ok && p.Opening() && m.Load.Tag != TagOf(testServiceName)
	if known && ok && m.Load.Incarnation == 1 && !moved && (v.Action != ActionForward || v.Path.To != holder) {
		t.Fatalf("flow that %v confirmed: got %v to %v", holder, v.Action, v.Path.To)
	}
	if moved && v.Action == ActionForward && v.Path.To == holder {
		t.Fatalf("new flow sent to %v, which serves another service by now", holder)
	}
	if moved && v.Action == ActionForward {
		delete(holders, p.Key) // the caller has a new flow
	}
	if v.Action != ActionForward {
		return
	}
	for a := range pathMembers(&v) {
		m, ok := b.Member(a)
		if !ok {
			t.Fatalf("sent to %v, which is no member", a)
		}
		if v.Reason != ReasonKnown && v.Reason != ReasonLookup && b.evacuations.evacuated[m.Load.DomainID] {
			t.Fatalf("new flow sent to %v in an evacuated domain", a)
		}
		if v.Reason == ReasonPlaced && (m.Load.State != StateReady || m.Load.Tag != TagOf(testServiceName)) {
			t.Fatalf("new flow sent to %v, which is %v for service %v", a, m.Load.State, m.Load.Tag)
		}
	}
}

func benchmarkDecide(b *testing.B, members, flows int) {
	now := time.Unix(100, 0)
	lb := testBalancer(members, now)
	for i := range flows {
		lb.locations.put(keyOf(i), location{addr: memberAddr(i % members), confirmed: true, incarnation: 1}, now)
	}
	p := dataPacket()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		p.Key = keyOf(i % flows)
		lb.Decide(p, now)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range [][2]int{{7, 10}, {7, 40_000}, {7, 400_000}, {3200, 10}, {3200, 400_000}} {
		b.Run(fmt.Sprintf("members=%d/flows=%d", size[0], size[1]), func(b *testing.B) {
			benchmarkDecide(b, size[0], size[1])
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, members := range []int{7, 3200} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchmarkPlace(b, members, PlaceByRequests) })
		b.Run(fmt.Sprintf("members=%d/expected-time", members), func(b *testing.B) { benchmarkPlace(b, members, PlaceByExpectedTime) })
	}
}

func benchmarkPlace(b *testing.B, members int, placement Placement) {
	now := time.Unix(100, 0)
	lb := testBalancer(members, now)
	lb.SetPlacement(placement, DefaultOtherDomainTime)
	p := openingPacket(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		p.Key = keyOf(i % 40_000)
		lb.Decide(p, now)
	}
}

// In a large system, sidecars report less often, and each report contains the interval. A member
// counts as silent only after silentIntervals of its intervals.
func TestLongReportInterval(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(0, now)
	const interval = 10 * time.Second
	l := Load{Incarnation: 1, Sequence: 1, Tag: TagOf(testServiceName), DomainID: DomainID("a"), State: StateReady, Slots: 2, Interval: interval}
	b.HandleReport(memberAddr(0), l, now)
	for _, tt := range []struct {
		age        time.Duration
		all, ready int
	}{
		{interval + time.Second, 1, 1},
		{silentIntervals*interval + 1, 1, 0},
		{expireIntervals*interval + 1, 0, 0},
	} {
		expireUntil(b, now.Add(tt.age))
		if all, ready := b.MemberCounts(now.Add(tt.age)); all != tt.all || ready != tt.ready {
			t.Errorf("after %v: got %d members, of which %d accept flows; want %d, %d", tt.age, all, ready, tt.all, tt.ready)
		}
	}
}
