package work

import "time"

const (
	// failureThreshold is the number of consecutive failed requests after which the upstream is
	// unhealthy whatever its health checks report.
	failureThreshold = 3
	// failureMemory is how long after the last failed request these failures outweigh a passed
	// health check.
	failureMemory = 2 * time.Second
	// successMemory is how long after it a successful request outweighs a failed health check.
	successMemory = 2 * time.Second
)

// Health decides whether an upstream is healthy. The results of recent requests outweigh the
// health endpoint, whose reports may be late or wrong.
type Health struct {
	consecutiveFailures int
	lastFailure         time.Time
	lastSuccess         time.Time
	checked             bool // a health check has completed
	checkOK             bool // result of the last health check
}

// RecordRequest records whether a request to the upstream succeeded.
func (h *Health) RecordRequest(now time.Time, ok bool) {
	if ok {
		h.consecutiveFailures = 0
		h.lastSuccess = now
		return
	}
	h.consecutiveFailures++
	h.lastFailure = now
}

// RecordCheck records the result of a health check.
func (h *Health) RecordCheck(_ time.Time, ok bool) {
	h.checked = true
	h.checkOK = ok
}

// Healthy reports whether the upstream may be sent requests. It is false until the first check or
// successful request.
func (h *Health) Healthy(now time.Time) bool {
	if h.consecutiveFailures >= failureThreshold && now.Sub(h.lastFailure) < failureMemory {
		return false
	}
	if !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) < successMemory {
		return true
	}
	return h.checked && h.checkOK
}
