package work

import "time"

const (
	// failuresToDoubt is how many requests in a row must fail before the upstream
	// counts as unhealthy, whatever its endpoint says.
	failuresToDoubt = 3
	// doubtFor is how long own failures outweigh a good report.
	doubtFor = 2 * time.Second
	// trustFor is how long own successes outweigh a bad report.
	trustFor = 2 * time.Second
)

// Health judges an upstream. Its endpoint lags or misleads, so what was seen of
// own requests weighs more.
type Health struct {
	failures    int
	lastFailure time.Time
	lastSuccess time.Time
	reported    bool
	reportedOK  bool
}

// Observe notes the end of an own request.
func (h *Health) Observe(now time.Time, ok bool) {
	if ok {
		h.failures = 0
		h.lastSuccess = now
		return
	}
	h.failures++
	h.lastFailure = now
}

// Report notes what the endpoint said.
func (h *Health) Report(_ time.Time, ok bool) {
	h.reported = true
	h.reportedOK = ok
}

// Healthy reports whether the upstream may be given work.
func (h *Health) Healthy(now time.Time) bool {
	if h.failures >= failuresToDoubt && now.Sub(h.lastFailure) < doubtFor {
		return false
	}
	if !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) < trustFor {
		return true
	}
	return h.reported && h.reportedOK
}
