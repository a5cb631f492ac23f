package work

import "time"

const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.1
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 5
	// maxRetryTokens bounds a burst of retries.
	maxRetryTokens = 50
)

// RetryBudget bounds retries to a share of requests, so that retries do not add to
// an overload. It is not safe for concurrent use.
type RetryBudget struct {
	tokens float64
	last   time.Time
}

// Request notes a first attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(maxRetryTokens, b.tokens+retryShare)
}

// Take reports whether a retry is allowed, and counts it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = retryFloor
		b.last = now
	}
	if dt := now.Sub(b.last); dt > 0 {
		b.tokens = min(maxRetryTokens, b.tokens+retryFloor*dt.Seconds())
		b.last = now
	}
}
