package flow

import (
	"time"

	"greengagedyke/schedule"
)

const (
	// busyHops is the number of overloaded sidecars that forward an opening packet.
	busyHops = 2
	// refusalHops is the number of sidecars that forward an opening packet which they refuse. The next
	// one that refuses it resets the flow.
	refusalHops = 2
)

// admission decides which new flows the upstream gets by its load. In a burst, or
// when all callers return after an outage, a caller whose request can't be answered in time is told at
// once, before anything has run.
type admission struct {
	// enabled is set if flows may be refused.
	enabled bool
	rules   schedule.Admission
}

// EnableAdmission makes the sidecar refuse new flows whose first request can't be answered before its
// caller gives up.
func (s *Sidecar) EnableAdmission() {
	s.admission.enabled = true
	// Admission bounds the queued work, so late requests need not wait for those that can be in time.
	s.queue.requests.Admitted = true
}

// turnAway returns the decision about an opening packet that goes to a sibling or is refused because of
// the upstream's load. It returns false if the upstream takes the flow.
func (s *Sidecar) turnAway(tp *TunnelPacket, now time.Time) (SidecarVerdict, bool) {
	s.commitments.Expire(now) // admit expires them too, but is not called while flows are refused
	decision := s.decideAdmission(tp, now)
	refused := decision == schedule.Refuse || decision == schedule.RefuseLate
	switch {
	case refused && tp.Hop < refusalHops:
		return forwardToSibling(tp, ReasonOverload), true
	case refused:
		return SidecarVerdict{Action: tp.refusal(), Reason: ReasonOverload}, true
	case tp.Hop < busyHops && tp.Hop < tp.Path.FallbackCount && s.overloaded(tp, now):
		return forwardToSibling(tp, ReasonUpstreamBusy), true
	}
	return SidecarVerdict{}, false
}

// decideAdmission returns whether the first request of a new flow can be answered in time.
func (s *Sidecar) decideAdmission(tp *TunnelPacket, now time.Time) schedule.Decision {
	if !s.admission.enabled || s.slots() == 0 {
		return schedule.Admit
	}
	o := s.newOpening(tp, now)
	other := s.runningWork(now) + s.commitments.Ahead(o.Priority)
	soon, all := s.queue.requests.Ahead(o.Priority, other, s.slots(), now)
	return s.admission.rules.Decide(o, soon, all, s.slots(), now)
}

// newOpening returns what an opening packet tells about the first request of its flow.
func (s *Sidecar) newOpening(tp *TunnelPacket, now time.Time) schedule.Opening {
	return schedule.Opening{
		Priority:      tp.Path.Policy.Priority,
		LatencyTarget: tp.Path.Policy.LatencyTarget,
		Timeout:       tp.Path.Policy.Timeout,
		Cost:          s.pace.ExpectRoute(tp.Packet.Key.Service(), now),
		Waited:        openingAge(tp.Packet.Retransmissions()),
	}
}

// admit records that the upstream takes a new flow.
func (s *Sidecar) admit(tp *TunnelPacket, now time.Time) {
	o := s.newOpening(tp, now)
	s.commitments.Add(tp.Packet.Key, o.Priority, o.Cost, now)
	s.admission.rules.Record(o, now)
}
