package flow

import "time"

// SetFailureDomain sets the name of the sidecar's failure domain. Without one, it is in no evacuated
// domain.
func (s *Sidecar) SetFailureDomain(name string) { s.domain = DomainID(name) }

// HandleEvacuations processes evacuations that a balancer named. It reports whether the evacuation of
// the sidecar's own failure domain has begun or ended, and whether it has begun to be held after the
// store was restored, so that it may end by itself after EvacuationHold.
func (s *Sidecar) HandleEvacuations(e Evacuations, now time.Time) (changed, held bool) {
	if s.domain == 0 {
		return false, false
	}
	before := s.Evacuated(now)
	_, heldBefore := s.evacuations.heldUntil[s.domain]
	s.evacuations.observe(&e, now)
	_, held = s.evacuations.heldUntil[s.domain]
	s.recordEvacuationEnd()
	return before != s.Evacuated(now), held && !heldBefore
}

// Evacuated reports whether the sidecar's failure domain gets no new flows.
func (s *Sidecar) Evacuated(now time.Time) bool { return s.evacuations.isEvacuated(s.domain, now) }

// expireEvacuations ends evacuations that were held.
func (s *Sidecar) expireEvacuations(now time.Time) {
	s.evacuations.expire(now)
	s.recordEvacuationEnd()
}

// recordEvacuationEnd sets evacuationEndedAt once an evacuation of the sidecar's domain has ended.
func (s *Sidecar) recordEvacuationEnd() {
	if at, ok := s.evacuations.endedAt[s.domain]; ok {
		s.evacuationEndedAt = at
	}
}

// openEvacuated returns the decision about an opening packet in an evacuated failure domain. Only a
// retransmission of the opening packet of a flow that the upstream has answered still goes to the
// upstream, since the flow is open there. Other packets go to a sibling, whoever sent them: a balancer
// or sibling may have chosen the path before it knew of the evacuation.
func (s *Sidecar) openEvacuated(tp *TunnelPacket, now time.Time) SidecarVerdict {
	f, ok := s.flows[tp.Packet.Key]
	if ok && f.answered && !f.lost && f.repeatsOpening(&tp.Packet) {
		f.lastUsed = now
		s.warmup.record(now)
		return SidecarVerdict{Action: ActionUpstream, Reason: ReasonPlacedAgain}
	}
	if ok && !f.answered {
		tp.Offered = true // the upstream got the opening packet before the evacuation
	}
	return s.decline(tp, ReasonEvacuated)
}

// repeatsOpening reports whether an opening packet repeats the one that opened the flow, so that the
// caller does not use its port for a new flow.
func (f *flowState) repeatsOpening(p *Packet) bool {
	if f.learned {
		return f.ended == 0 && p.Retransmissions() > 0
	}
	return f.ended == 0 && p.Sequence == f.opening.Packet.Sequence
}
