package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func checkVerdict(t *rapid.T, s *Balancer, p *Packet, held map[Key]netip.AddrPort, now time.Time) {
	v := s.Decide(p, now)
	at, known := held[p.Key]
	if m, ok := s.Member(at); known && ok && m.Load.Incarnation == 1 && (v.Action != ActionForward || v.Path.To != at) {
		t.Fatalf("flow held at %v: %v to %v", at, v.Action, v.Path.To)
	}
	if v.Action != ActionForward {
		return
	}
	for a := range onPath(&v) {
		m, ok := s.Member(a)
		if !ok {
			t.Fatalf("sent to %v, which is no member", a)
		}
		if v.Reason == ReasonPlaced && (m.Load.State != StateReady || m.Load.Tag != TagOf(testName)) {
			t.Fatalf("new flow to %v, %v", a, m.Load.State)
		}
	}
}

func benchmarkDecide(b *testing.B, members, flows int) {
	now := time.Unix(100, 0)
	s := testBalancer(members, now)
	for i := range flows {
		s.flows.put(keyOf(i), location{addr: member(i % members), confirmed: true, start: 1}, now)
	}
	p := dataPacket()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		p.Key = keyOf(i % flows)
		s.Decide(p, now)
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
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			now := time.Unix(100, 0)
			s := testBalancer(members, now)
			p := openingPacket(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Key = keyOf(i % 40_000)
				s.Decide(p, now)
			}
		})
	}
}

// Sidecars of a large system report more rarely, and say so: they are not silent before
// their next report is due.
func TestRareReports(t *testing.T) {
	now := time.Unix(100, 0)
	s := testBalancer(0, now)
	const interval = 10 * time.Second
	l := Load{Incarnation: 1, Sequence: 1, Tag: TagOf(testName), DomainID: DomainID("a"), State: StateReady, Slots: 2, Interval: interval}
	s.HandleReport(member(0), l, now)
	for _, tt := range []struct {
		age         time.Duration
		all, taking int
	}{
		{interval + time.Second, 1, 1},
		{silentReports*interval + 1, 1, 0},
		{forgetReports*interval + 1, 0, 0},
	} {
		expireUntil(s, now.Add(tt.age))
		if all, taking := s.MemberCounts(now.Add(tt.age)); all != tt.all || taking != tt.taking {
			t.Errorf("after %v: %d members, %d take flows, want %d, %d", tt.age, all, taking, tt.all, tt.taking)
		}
	}
}
