package flow

import "time"

// Answer returns the answer to a balancer's query.
func (s *Sidecar) Answer(q *Query, now time.Time) *Answer {
	a := &Answer{ID: q.ID, MaxFlowAge: s.maxFlowAge(now), Results: make([]LookupResult, len(q.Questions))}
	for i := range q.Questions {
		a.Results[i] = s.lookupResult(&q.Questions[i], now)
	}
	return a
}

// maxFlowAge returns the largest age that a flow of the upstream can have; 0 if unknown.
func (s *Sidecar) maxFlowAge(now time.Time) time.Duration {
	if !s.knowsAllFlows {
		return 0
	}
	return now.Sub(s.noFlowsBefore)
}

// lookupResult returns the answer to one question.
func (s *Sidecar) lookupResult(q *Question, now time.Time) LookupResult {
	f, ok := s.flows[q.Key]
	switch {
	case !ok:
		return s.unknownFlowResult(q.Key, now)
	case !f.answered:
		return LookupResultNotHeld // the caller has been answered, by another upstream
	case f.ackMatches(q.Ack) && (f.lost || s.upstreamCrashed(now)):
		return LookupResultEnded
	case f.ackMatches(q.Ack):
		return LookupResultHeld
	case !f.lost:
		return LookupResultUncertain
	}
	return LookupResultNotHeld
}

// unknownFlowResult returns the answer about a flow that this process has no record of. The
// upstream does not hold the flow if this process has seen all of the upstream's flows, or if the
// upstream has crashed. Otherwise, the upstream has to be probed, until the flow has had no packet for
// longer than the idle timeout.
func (s *Sidecar) unknownFlowResult(k Key, now time.Time) LookupResult {
	if s.knowsAllFlows || now.Sub(s.started) > s.idleTimeout+probeSlack || s.upstreamCrashed(now) {
		return LookupResultNotHeld
	}
	p, ok := s.probes[k]
	switch {
	case ok && p.notHeld && now.Sub(p.sentAt) < probeMaxAge:
		return LookupResultNotHeld
	case ok && !p.notHeld && now.Sub(p.sentAt) < probeInterval:
		return LookupResultUncertain
	}
	return LookupResultNeedsProbe
}
