package flow

import "time"

// Answer answers the questions of a balancer.
func (h *Sidecar) Answer(q *Query, now time.Time) *Answer {
	a := &Answer{ID: q.ID, MaxFlowAge: h.oldest(now), Results: make([]LookupResult, len(q.Questions))}
	for i := range q.Questions {
		a.Results[i] = h.holding(&q.Questions[i], now)
	}
	return a
}

// oldest is the largest age that a flow of the upstream can have; 0 if not known.
func (h *Sidecar) oldest(now time.Time) time.Duration {
	if !h.complete {
		return 0
	}
	return now.Sub(h.since)
}

func (h *Sidecar) holding(q *Question, now time.Time) LookupResult {
	f, ok := h.flows[q.Key]
	switch {
	case !ok:
		return h.unknownHolding(q.Key, now)
	case !f.answered:
		return LookupResultNotHeld // another upstream answered the opening packet
	case f.covers(q.Ack) && (f.incarnation != h.incarnation || h.upstreamDead(now)):
		return LookupResultEnded
	case f.covers(q.Ack):
		return LookupResultHeld
	case f.incarnation == h.incarnation:
		return LookupResultUncertain
	}
	return LookupResultNotHeld
}

// unknownHolding answers about a flow that this process does not know. It knows all
// flows of an upstream that started after it, or that is dead.
func (h *Sidecar) unknownHolding(k Key, now time.Time) LookupResult {
	if h.complete || now.Sub(h.started) > probeAge || h.upstreamDead(now) {
		return LookupResultNotHeld
	}
	s, ok := h.strangers[k]
	switch {
	case ok && s.denied && now.Sub(s.at) < strangerAge:
		return LookupResultNotHeld
	case ok && !s.denied && now.Sub(s.at) < probeInterval:
		return LookupResultUncertain
	}
	return LookupResultNeedsProbe
}
