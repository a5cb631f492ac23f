// Package clock tells a steady time that also counts while the VM is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a steady clock. It is safe for concurrent use.
type Clock struct {
	start     time.Time
	startBoot time.Duration
	// suspended is the time that the VM has been suspended since start.
	suspended atomic.Int64
}

// New returns a clock.
func New() *Clock { return &Clock{start: time.Now(), startBoot: sinceBoot()} }

// Now returns the time, with the suspensions known at the last Sync.
func (c *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(c.suspended.Load()))
}

// Sync looks whether the VM was suspended, and returns the time.
func (c *Clock) Sync() time.Time {
	running := time.Since(c.start)
	// Reading two clocks one after the other makes a difference of microseconds.
	if lost := sinceBoot() - c.startBoot - running; lost > time.Duration(c.suspended.Load())+time.Millisecond {
		c.suspended.Store(int64(lost))
	}
	return c.Now()
}

// Suspended returns how long the VM has been suspended since the clock started.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the system has no boot time: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
