package flow

import "time"

const (
	// checkRounds is the number of times that a flow is checked, since a packet may be lost.
	checkRounds = 3
	// checkInterval is the time between two rounds.
	checkInterval = 100 * time.Millisecond
)

// flowCheck is the progress of a check of all flows. A check is due when something suggests, but
// does not prove, that the upstream was replaced by a process that holds none of them.
type flowCheck struct {
	// requestedAt is when the check began, and next when its next round is due.
	requestedAt, next time.Time
	// rounds is the number of rounds that are left.
	rounds int
}

// request begins a check, unless one is in progress.
func (c *flowCheck) request(now time.Time) {
	if c.rounds == 0 {
		*c = flowCheck{requestedAt: now, next: now, rounds: checkRounds}
	}
}

// FlowCheckIn returns the time until CheckFlows has to be called, and whether it has to be.
func (s *Sidecar) FlowCheckIn(now time.Time) (time.Duration, bool) {
	return max(0, s.check.next.Sub(now)), s.check.rounds > 0
}

// CheckFlows calls send with the packets of a round of the check, if one is due: for each open flow,
// the newest packet of its caller that the upstream got, to be sent to the upstream again. An upstream
// that holds the flow ignores or answers the repeated packet. One that does not hold it returns the
// packet, and FromUpstream then resets the flow.
func (s *Sidecar) CheckFlows(now time.Time, send func(raw []byte)) {
	if s.check.rounds == 0 || now.Before(s.check.next) {
		return
	}
	s.check.rounds--
	s.check.next = now.Add(checkInterval)
	for _, f := range s.flows {
		if f.lost || f.ended != 0 || f.delivered == nil || f.lastAnswer.After(s.check.requestedAt) {
			continue
		}
		send(f.delivered)
	}
}

// recordDelivered records that the upstream got a packet of the caller.
func (f *flowState) recordDelivered(raw []byte) { f.delivered = append(f.delivered[:0], raw...) }

// loseFlow records that the upstream does not hold a flow any more.
func (s *Sidecar) loseFlow(k Key, f *flowState) {
	if f.pending {
		f.pending = false
		s.pendingOpenings--
	}
	s.finishRequest(f)
	s.dropQueued(k, f)
	s.commitments.Remove(k)
	f.delivered = nil
	f.lost = true
}

// loseAllFlows records that the upstream holds none of the flows that this process has seen.
func (s *Sidecar) loseAllFlows() {
	clear(s.probes)
	for k, f := range s.flows {
		if !f.lost {
			s.loseFlow(k, f)
		}
	}
}
