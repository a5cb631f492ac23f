package schedule

import "time"

// lossGap is the time without a lost request after which a period of losses is over.
const lossGap = time.Second

// losses is a period in which requests are lost without a gap of lossGap.
type losses struct {
	any         bool
	first, last time.Duration
	// timeout is that of the last lost request.
	timeout time.Duration
}

// record records that a request with a timeout is lost.
func (l *losses) record(now, timeout time.Duration) {
	if !l.any || now-l.last > lossGap {
		l.first = now
	}
	l.any, l.last, l.timeout = true, now, timeout
}

// lasting reports whether requests have been lost for as long as a whole timeout.
func (l *losses) lasting(now time.Duration) bool { return l.part(now, l.timeout) >= 1 }

// part returns for what part of a timeout requests have been lost, at most 1.
func (l *losses) part(now, timeout time.Duration) float64 {
	if !l.any || now-l.last > lossGap {
		return 0
	}
	return min(1, float64(now-l.first)/float64(timeout))
}
