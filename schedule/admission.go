package schedule

import "time"

// maxReserve is the part of the wait that is kept in reserve, once requests have been refused for as
// long as a whole timeout. Without it, an estimate that is a little low admits requests that fail at
// their deadline, and the slots have enough other work.
const maxReserve = 0.25

// Decision is a decision about a new request.
type Decision uint8

// The decisions.
const (
	// Admit means that the request is expected to meet its latency target.
	Admit Decision = iota
	// AdmitLate means that the request is expected to miss its latency target, so that a sibling may
	// be quicker, and to meet its deadline.
	AdmitLate
	// Refuse means that the request can't be answered before its deadline.
	Refuse
	// RefuseLate means that the request would be late in an overload that lasts; see
	// Admission.RefuseLate.
	RefuseLate
)

// String returns the decision's name in logs.
func (d Decision) String() string {
	return [...]string{"admit", "admit-late", "refuse", "refuse-late"}[d]
}

// Opening is a new request, as far as its opening packet tells.
type Opening struct {
	// Priority, LatencyTarget, Timeout and Cost are as in Request.
	Priority                     uint8
	LatencyTarget, Timeout, Cost time.Duration
	// Waited is how long the caller has waited already.
	Waited time.Duration
}

// Admission decides about new requests when the upstream has more work than slots, as in a burst of
// one kind of request beside others that matter more. A request is refused only if the work of the
// same and higher priorities leaves no time for it before its deadline. So lower priorities are
// refused first. Work of higher priorities is expected to go on arriving as it did lately.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Admission struct {
	// RefuseLate makes Decide also refuse requests that would be late, once it has refused others of
	// the priority for as long as a whole timeout. Without it, all requests that are admitted in a
	// lasting overload are answered shortly before their deadline.
	RefuseLate bool

	rates rates
	lost  [Levels]losses
	epoch time.Time
}

// Decide decides about a new request. soon and all are the work before it, as Queue.Ahead returns
// it, with running requests and those that were admitted and haven't arrived yet.
func (a *Admission) Decide(o Opening, soon, all time.Duration, slots int, now time.Time) Decision {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	level := levelOf(o.Priority)
	timeout := timeoutOf(o.Timeout)
	cost := min(o.Cost, timeout/2)
	free := float64(max(1, slots)) * (1 - a.rates.higherShare(level, slots, now))
	latency := func(work float64) time.Duration { return o.Waited + time.Duration(work/free) + cost }
	lost, t := &a.lost[level], now.Sub(a.epoch)
	late := o.LatencyTarget > 0 && latency(float64(soon)) > o.LatencyTarget
	switch {
	case latency(float64(all)*(1+maxReserve*lost.part(t, timeout))) > timeout:
		lost.record(t, timeout)
		return Refuse
	case late && a.RefuseLate && lost.lasting(t):
		lost.record(t, timeout)
		return RefuseLate
	}
	if late {
		return AdmitLate
	}
	return Admit
}

// Record records that a request has been admitted. It is not called for those that are forwarded.
func (a *Admission) Record(o Opening, now time.Time) {
	a.rates.add(levelOf(o.Priority), min(o.Cost, timeoutOf(o.Timeout)/2), now)
}
