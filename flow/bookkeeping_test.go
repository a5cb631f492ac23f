package flow

import (
	"testing"
	"time"

	"greengagedyke/schedule"
)

// The upstream resets a flow whose request is queued. The request leaves the queue, so it takes no slot
// that it would keep until its timeout.
func TestResetFlowLeavesQueue(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	for i := range 4 {
		openAndRequest(t, s, i, now)
	}
	if s.queue.Len() != 1 || s.busy != 3 {
		t.Fatalf("got %d queued and %d at the upstream, want 1 and 3", s.queue.Len(), s.busy)
	}
	for i := 3; i >= 0; i-- {
		p := fromUpstream(FlagReset, 501, 0)
		p.Key = keyOf(i)
		s.FromUpstream(p, now)
	}
	s.ReleaseQueued(now, func([]byte) { t.Error("the upstream got the request of a flow that it has reset") })
	if s.outstanding() != 0 || len(s.running.active)+len(s.running.waiting) != 0 {
		t.Errorf("got %d requests, %d running; want none", s.outstanding(), len(s.running.active)+len(s.running.waiting))
	}
}

// A flow ends before its first request. No work is expected for it any more.
func TestEndedFlowHasNoCommitment(t *testing.T) {
	for name, end := range map[string]func(s *Sidecar, now time.Time){
		"caller resets": func(s *Sidecar, now time.Time) {
			s.FromTunnel(callerPacket(Packet{Flags: FlagReset | FlagAck, Sequence: 101, Ack: 501}), now)
		},
		"caller ends": func(s *Sidecar, now time.Time) {
			s.FromTunnel(callerPacket(Packet{Flags: FlagEnd | FlagAck, Sequence: 101, Ack: 501}), now)
		},
		"upstream resets":    func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagReset, 501, 0), now) },
		"upstream is absent": func(s *Sidecar, _ time.Time) { s.loseAllFlows() },
	} {
		t.Run(name, func(t *testing.T) {
			s, now := testSidecar(t, time.Second)
			wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now), ActionUpstream, ReasonPlaced)
			s.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
			end(s, now)
			if got := s.commitments.Work(); got != 0 {
				t.Errorf("got %v expected, want none", got)
			}
		})
	}
}

// Callers open flows and send no request. After schedule.CommitmentTimeout, a new flow is admitted, also
// if no report was sent meanwhile.
func TestAdmissionForgetsCommitments(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	s.EnableAdmission()
	open := func(i int) SidecarVerdict {
		tp := openingTunnelPacket()
		tp.Packet.Key = keyOf(i)
		tp.Path.Policy.Timeout = time.Second
		tp.Path.FallbackCount = 0
		return s.FromTunnel(tp, now)
	}
	for i := range 400 {
		open(i)
	}
	wantVerdict(t, open(400), ActionReset, ReasonOverload)
	now = now.Add(schedule.CommitmentTimeout + time.Millisecond)
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2}, now)
	wantVerdict(t, open(401), ActionUpstream, ReasonPlaced)
}

// The network delivers the first transmission of an opening packet twice, and the sidecar takes no new
// flows any more when the second copy arrives. The upstream may still answer the first one, so the
// caller is sent no reset.
func TestRepeatedOpeningPacketIsNotReset(t *testing.T) {
	for name, change := range map[string]func(s *Sidecar, tp *TunnelPacket){
		"leaving":       func(s *Sidecar, _ *TunnelPacket) { s.Leave() },
		"other service": func(_ *Sidecar, tp *TunnelPacket) { tp.Path.Tag++ },
		"evacuated": func(s *Sidecar, _ *TunnelPacket) {
			s.SetFailureDomain("a")
			s.HandleEvacuations(evacuationsOf(2, "a"), time.Unix(1001, 0))
		},
	} {
		for _, answered := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s, now := testSidecar(t, time.Second)
				opening := func() *TunnelPacket {
					tp := openingTunnelPacket()
					tp.Path.FallbackCount = 0
					return tp
				}
				wantVerdict(t, s.FromTunnel(opening(), now), ActionUpstream, ReasonPlaced)
				if answered {
					s.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
				}
				tp := opening()
				change(s, tp)
				if v := s.FromTunnel(tp, now); v.Action == ActionReset {
					t.Errorf("answered %v: got a reset, %v", answered, v.Reason)
				}
			})
		}
	}
}

// A new process at a sidecar's address is in another failure domain, which is evacuated.
func TestMemberMovesToEvacuatedDomain(t *testing.T) {
	now := time.Unix(100, 0)
	b := evacuationBalancer(now)
	b.HandleEvacuations(evacuationsOf(2, "c"), now)
	first := b.Decide(openingPacket(0), now).Path.To
	l := b.members[first].Load
	l.Incarnation++
	l.DomainID = DomainID("c")
	b.HandleReport(first, l, now)
	v := b.Decide(openingPacket(0), now)
	if pathMembers(&v)[first] {
		t.Error("the path of a new flow leads to the evacuated domain")
	}
}

// A dropped request's caller sends it again. If the upstream has free slots, it gets the request at once.
func TestDroppedRequestIsSentAgain(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	for i := range 4 {
		openAndRequest(t, s, i, now)
	}
	now = now.Add(defaultTimeout + time.Second)
	s.Expire(now)
	if s.queue.Len() != 0 || s.busy != 0 || s.DroppedRequests() != 1 {
		t.Fatalf("got %d queued, %d at the upstream, %d dropped; want only one dropped", s.queue.Len(), s.busy, s.DroppedRequests())
	}
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2}, now)
	tp := dataTunnelPacket(501)
	tp.Packet.Key = keyOf(3)
	wantVerdict(t, s.FromTunnel(tp, now), ActionUpstream, ReasonKnown)
	if s.busy != 1 {
		t.Errorf("got %d requests at the upstream, want 1", s.busy)
	}
}

// A caller uses its port for a new flow soon after the former one has ended. The new flow's packets
// reach the upstream, and its request is tracked.
func TestReusedPortAfterEnd(t *testing.T) {
	for name, ends := range map[string][]func(s *Sidecar, now time.Time){
		"both ended": {callerEnds, func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagEnd|FlagAck, 501, 0), now) }},
		"reset":      {func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagReset, 501, 0), now) }},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := testSidecar(t, time.Second)
			openFlow(t, s, now)
			for _, end := range ends {
				end(s, now)
			}
			tp := openingTunnelPacket()
			tp.Packet.Sequence = 70_000
			wantVerdict(t, s.FromTunnel(tp, now), ActionUpstream, ReasonPlaced)
			p := fromUpstream(FlagOpen|FlagAck, 900_000, 0)
			p.Ack = 70_001
			wantVerdict(t, s.FromUpstream(p, now), ActionCaller, ReasonKnown)
			data := dataTunnelPacket(900_001)
			data.Packet.Sequence = 70_001
			wantVerdict(t, s.FromTunnel(data, now), ActionUpstream, ReasonKnown)
			if s.busy != 1 {
				t.Errorf("got %d requests at the upstream, want 1", s.busy)
			}
		})
	}
}

// callerEnds passes the packet with which the caller ends the test flow to the sidecar.
func callerEnds(s *Sidecar, now time.Time) {
	s.FromTunnel(callerPacket(Packet{Flags: FlagEnd | FlagAck, Sequence: 101, Ack: 501}), now)
}

// A sidecar that refuses flows orders its queue for bounded work, as the replays with admission do.
func TestAdmissionOrdersQueue(t *testing.T) {
	s, _ := testSidecar(t, time.Second)
	if s.EnableAdmission(); !s.queue.requests.Admitted {
		t.Error("the queue does not know that flows may be refused")
	}
}

// In an evacuated domain the upstream gets a repeated opening packet. When the evacuation ends within a
// second, that one counts against the warm-up rate.
func TestRepeatedOpeningInEvacuationCounts(t *testing.T) {
	s, now := warmingSidecar(t)
	s.SetFailureDomain("a")
	first := limitedOpening(0, 1)
	wantVerdict(t, s.FromTunnel(first, now), ActionUpstream, ReasonPlaced)
	p := fromUpstream(FlagOpen|FlagAck, 500, 0)
	p.Key = keyOf(0)
	s.FromUpstream(p, now)
	now = now.Add(warmupWindow + time.Millisecond)
	s.HandleEvacuations(evacuationsOf(2, "a"), now)
	wantVerdict(t, s.FromTunnel(limitedOpening(0, 1), now), ActionUpstream, ReasonPlacedAgain)
	s.HandleEvacuations(evacuationsOf(3), now)
	wantVerdict(t, s.FromTunnel(limitedOpening(1, 1), now), ActionForward, ReasonWarmingUp)
}

// One of three flows with requests at an upstream with two slots is reset. The request
// that waited has its slot from then on, and the time that it takes is counted from then.
func TestFreedSlotIsTakenAtOnce(t *testing.T) {
	for name, reset := range map[string]func(s *Sidecar, now time.Time){
		"by the caller": func(s *Sidecar, now time.Time) {
			tp := callerPacket(Packet{Flags: FlagReset | FlagAck, Sequence: 151, Ack: 501})
			tp.Packet.Key = keyOf(0)
			s.FromTunnel(tp, now)
		},
		"by the upstream": func(s *Sidecar, now time.Time) {
			p := fromUpstream(FlagReset, 501, 0)
			p.Key = keyOf(0)
			s.FromUpstream(p, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := testSidecar(t, time.Second)
			for i := range 3 {
				openAndRequest(t, s, i, now)
			}
			now = now.Add(10 * time.Millisecond)
			reset(s, now)
			if got := s.flows[keyOf(2)].slotSince; !got.Equal(now) {
				t.Errorf("got %v, want %v", got, now)
			}
		})
	}
}

// A caller uses its port for a new flow after the former one, whose sidecar refuses flows by now. The
// packet has fallbacks, so a sibling may take the flow. If the sidecar takes no new flows at all, the packet
// can only repeat that of the open flow, and no sibling may open it a second time.
func TestReusedPortHasFallbacks(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(8, now)
	b.HandleFlowHeld(testKey, memberAddr(0), now)
	if v := b.Decide(openingPacket(0), now); v.Path.To != memberAddr(0) || v.Path.FallbackCount != 7 {
		t.Errorf("got %v with %d fallbacks, want the sidecar of the flow and the 7 others", v.Path.To, v.Path.FallbackCount)
	}
	l := b.members[memberAddr(0)].Load
	l.Sequence++
	l.State = StateLeaving
	b.HandleReport(memberAddr(0), l, now)
	if v := b.Decide(openingPacket(0), now); v.Path.To != memberAddr(0) || v.Path.FallbackCount != 0 {
		t.Errorf("got %v with %d fallbacks, want the sidecar of the flow alone", v.Path.To, v.Path.FallbackCount)
	}
}
