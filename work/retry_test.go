package work

import (
	"testing"
	"time"
)

func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	now := time.Unix(0, 0)
	retries := 0
	for range 100_000 {
		now = now.Add(100 * time.Microsecond)
		b.RecordRequest(now)
		if b.Take(now) {
			retries++
		}
	}
	// 10 s at 10,000 requests a second: a tenth of them and 5 a second.
	if retries < 9_900 || retries > 10_150 {
		t.Errorf("%d retries of 100,000 requests, want 9,900 to 10,150", retries)
	}
}
