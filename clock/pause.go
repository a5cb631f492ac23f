package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks of Pauses.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest time without a check that counts as a pause. It is below the time after
	// which callers retransmit an opening packet.
	minPause = 180 * time.Millisecond
	// drainTime is how long packets that arrived during a pause may be read after it.
	drainTime = 100 * time.Millisecond
)

// Pauses detects that this process did not run for a while, though its VM may not have been
// suspended. Packets that it then reads may have waited so long that their senders have sent them again on
// another way. Pauses is safe for concurrent use; without calls of Run it detects nothing.
type Pauses struct {
	mu        sync.Mutex
	checkedAt time.Time
	// drainedAt is when all packets are read that arrived during the last pause.
	drainedAt time.Time
}

// Run checks for pauses on the clock c until ctx is done.
func (p *Pauses) Run(ctx context.Context, c *Clock) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		p.Check(c.Now())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// Check records that this process runs at the time now.
func (p *Pauses) Check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pausedAt(now) {
		p.drainedAt = now.Add(drainTime)
	}
	p.checkedAt = now
}

// pausedAt reports whether a pause has ended of which no check knows yet. The caller holds mu.
func (p *Pauses) pausedAt(now time.Time) bool {
	return !p.checkedAt.IsZero() && now.Sub(p.checkedAt) > minPause
}

// Recent reports whether a packet that is read now may have arrived before or during a pause.
func (p *Pauses) Recent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedAt(now) || now.Before(p.drainedAt)
}
