package flow

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWarmupRate = 3

// warmingSidecar returns a sidecar whose upstream warms up for 8 s, and a time after the sidecar's
// first second.
func warmingSidecar(t *testing.T) (*Sidecar, time.Time) {
	s, now := testSidecar(t, time.Second)
	now = now.Add(warmupWindow + time.Millisecond)
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2, WarmupLeft: 8 * time.Second}, now)
	return s, now
}

// limitedOpening returns the first transmission of the i-th flow's opening packet.
func limitedOpening(i int, rate uint16) *TunnelPacket {
	tp := openingTunnelPacket()
	tp.Packet.Key = keyOf(i)
	tp.Packet.Ack = 0
	tp.Path.WarmupRate = rate
	return tp
}

// All balancers send flows to an upstream as soon as its failure domain takes load again, some with a
// configuration from before the limit. The sidecar restarts meanwhile, and the upstream turns slow or
// is replaced unnoticed. In no second does it get more flows than it takes while it warms up.
func TestWarmupRateHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Uint16Range(1, 12).Draw(t, "rate")
		now := time.Unix(1000, 0)
		var s *Sidecar
		var sequence uint64
		var warming bool // or it may be, as far as the sidecar can know
		heartbeat := func(warmupLeft time.Duration) {
			sequence++
			warming = warmupLeft > 0
			s.Heartbeat(Heartbeat{
				ID: "i-1", Service: testServiceName, State: StateReady, StartedAt: time.Unix(900, 0), Sequence: sequence, Slots: 2, WarmupLeft: warmupLeft,
			}, now)
		}
		restart := func() {
			s = NewSidecar(NewHeartbeatMonitor(time.Minute), testServiceName, time.Minute, now)
			heartbeat(time.Minute)
			s.FromTunnel(limitedOpening(0, rate), now)
		}
		restart()
		var delivered []time.Time
		for i := range rapid.IntRange(1, 300).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 40, 300, 999, 1000, 1100}).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "fault") {
			case 0:
				restart()
			case 1:
				heartbeat(0)
			case 2:
				heartbeat(time.Minute)
			case 3:
				s.RecordListening(false, now)
				s.RecordListening(true, now)
				warming = true
			case 4:
				s.Heartbeat(Heartbeat{ID: "i-2", Service: testServiceName, State: StateReady, StartedAt: now, Slots: 2}, now)
				warming = true
			}
			tp := limitedOpening(rapid.IntRange(max(0, i-3), i).Draw(t, "flow"), rapid.SampledFrom([]uint16{rate, rate, 2 * rate, 0}).Draw(t, "known rate"))
			if s.FromTunnel(tp, now).Action != ActionUpstream {
				continue
			}
			delivered = append(delivered, now)
			if n := len(delivered) - int(rate) - 1; warming && n >= 0 && now.Sub(delivered[n]) <= time.Second {
				t.Fatalf("%d opening packets within %v, want at most %d", rate+1, now.Sub(delivered[n]), rate)
			}
		}
	})
}

// A flow that a warming upstream does not take goes on to the next sidecar of its path, and is
// refused at the last one. A second copy of a packet that the upstream got is not forwarded while the
// upstream may answer the first.
func TestWarmingUpstreamPassesFlowsOn(t *testing.T) {
	s, now := warmingSidecar(t)
	for i := range testWarmupRate {
		wantVerdict(t, s.FromTunnel(limitedOpening(i, testWarmupRate), now), ActionUpstream, ReasonPlaced)
	}
	if got := s.Load(now).WarmupRoom; got != 0 {
		t.Errorf("got room for %d flows, want none", got)
	}
	v := s.FromTunnel(limitedOpening(7, testWarmupRate), now)
	wantVerdict(t, v, ActionForward, ReasonWarmingUp)
	if v.To != testSibling || v.Hop != 1 {
		t.Errorf("forwarded to %v as hop %d, want %v, 1", v.To, v.Hop, testSibling)
	}
	last := limitedOpening(7, testWarmupRate)
	last.Hop = 1
	wantVerdict(t, s.FromTunnel(last, now), ActionReset, ReasonWarmingUp)
	wantVerdict(t, s.FromTunnel(limitedOpening(0, testWarmupRate), now), ActionDrop, ReasonWarmingUp)
	for i := 1; i < testWarmupRate; i++ {
		s.FromUpstream(&Packet{Key: keyOf(i), Flags: FlagOpen | FlagAck, Sequence: 500}, now)
	}
	s.ForwardUnanswered(now.Add(openingAnswerTimeout), func(*TunnelPacket, SidecarVerdict) {})
	last = limitedOpening(0, testWarmupRate)
	last.Hop = 1
	wantVerdict(t, s.FromTunnel(last, now), ActionDrop, ReasonWarmingUp) // not a reset: the upstream may answer
	now = now.Add(warmupWindow + 1)
	wantVerdict(t, s.FromTunnel(limitedOpening(7, testWarmupRate), now), ActionUpstream, ReasonPlaced)
	if got := s.Load(now).WarmupRoom; got != testWarmupRate-1 {
		t.Errorf("got room for %d flows, want %d", got, testWarmupRate-1)
	}
}

// Without a rate, and with one once the upstream has warmed up, nothing is limited.
func TestNoWarmupLimit(t *testing.T) {
	s, now := warmingSidecar(t)
	for i := range 50 {
		wantVerdict(t, s.FromTunnel(limitedOpening(i, 0), now), ActionUpstream, ReasonPlaced)
	}
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 3}, now)
	for i := range 50 {
		wantVerdict(t, s.FromTunnel(limitedOpening(100+i, testWarmupRate), now), ActionUpstream, ReasonPlaced)
	}
}

// A balancer chooses an upstream that warms up only while it has room, or if no other takes flows, and
// names it last among the fallbacks. Without a rate, the room changes nothing. Member 0 is idle and
// warms up, the others are busier than costWarmup.
func TestBalancerLeavesFullUpstreamsOut(t *testing.T) {
	for _, tt := range []struct {
		name      string
		rate      uint16
		room      uint16
		age       time.Duration
		others    State
		wantFirst int // flows of 8 that member 0 gets
	}{
		{"room for 3", 5, 3, 0, StateReady, 3},
		{"none", 5, 0, 0, StateReady, 0},
		{"the window is over", 5, 0, warmupWindow + 1, StateReady, 5},
		{"rate below the room", 2, 9, 0, StateReady, 2},
		{"no rate", 0, 0, 0, StateReady, 8},
		{"no other takes flows", 5, 0, 0, StateLeaving, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			b := testBalancer(0, now)
			route := routeTo(testServiceName)
			route.Services[0].WarmupRate = tt.rate
			b.Configure(&Configuration{Version: 2, Routes: map[netip.AddrPort]*Route{testService: route}})
			for i := range 3 {
				l := Load{Incarnation: 1, Sequence: 2, Tag: TagOf(testServiceName), DomainID: DomainID("a"), Slots: 2, State: tt.others, Busy: 60}
				if i == 0 {
					l.State, l.Busy, l.WarmupLeft, l.WarmupRoom = StateReady, 0, 10*time.Second, tt.room
				}
				b.HandleReport(memberAddr(i), l, now)
			}
			first := 0
			for i := range 8 {
				p := openingPacket(0)
				p.Key = keyOf(i)
				v := b.Decide(p, now.Add(tt.age))
				if v.Path.WarmupRate != tt.rate {
					t.Fatalf("the path has the rate %d, want %d", v.Path.WarmupRate, tt.rate)
				}
				switch {
				case v.Path.To == memberAddr(0):
					first++
				case v.Path.Fallbacks[v.Path.FallbackCount-1] != memberAddr(0):
					t.Errorf("fallbacks %v, want the full member last", v.Path.Fallbacks[:v.Path.FallbackCount])
				}
			}
			if first != tt.wantFirst {
				t.Errorf("the warming member got %d flows of 8, want %d", first, tt.wantFirst)
			}
		})
	}
}
