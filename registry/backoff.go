package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"greengagedyke/daemon"
)

const (
	// minBackoff is the largest delay before the first repeat of a failed call. The largest delay
	// doubles with each repeat. The actual delay is a random time between half and all of it, so that
	// processes do not call the store at the same time.
	minBackoff = 500 * time.Millisecond
	// maxBackoff is the delay up to which the largest delay doubles.
	maxBackoff = 4 * time.Second
)

// backoff computes the time between calls to a failing store.
type backoff struct {
	// step is the largest value of the last delay; 0 after a reset.
	step time.Duration
}

// reset makes the next delay start from minBackoff again.
func (b *backoff) reset() { b.step = 0 }

// nextDelay doubles step and returns a random time between half and all of it.
func (b *backoff) nextDelay() time.Duration {
	b.step = min(max(minBackoff, 2*b.step), maxBackoff)
	return b.step/2 + rand.N(b.step/2)
}

// wait sleeps for the next delay, or until ctx ends.
func (b *backoff) wait(ctx context.Context) { daemon.Sleep(ctx, b.nextDelay()) }
