package work

import "time"

const (
	// retryRatio is the number of retries allowed per request.
	retryRatio = 0.1
	// minRetriesPerSecond is the rate of retries allowed however few requests there are.
	minRetriesPerSecond = 5
	// maxRetryTokens is the largest burst of retries.
	maxRetryTokens = 50
)

// RetryBudget is a token bucket that limits retries to a share of the requests and a small fixed
// rate, so that retries do not add to an overload. It is not safe for concurrent use.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// RecordRequest adds the tokens for a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// Take reports whether a retry is allowed, and takes a token if so.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last call. The first call adds those of one second.
func (b *RetryBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = minRetriesPerSecond
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(maxRetryTokens, b.tokens+minRetriesPerSecond*elapsed.Seconds())
		b.refilledAt = now
	}
}
