// Package clock provides a monotonic clock that includes the time that the VM is suspended, which
// Go's monotonic clock leaves out.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that includes suspensions of the VM. Compare its times only with each
// other: after a suspension they are ahead of the wall clock. Clock is safe for concurrent use.
type Clock struct {
	start time.Time
	// startUptime is the uptime at start.
	startUptime time.Duration
	// suspended is the time in nanoseconds that the VM was suspended between start and the last
	// Sync.
	suspended atomic.Int64
}

// New returns a clock that starts now.
func New() *Clock { return &Clock{start: time.Now(), startUptime: uptime()} }

// Now returns the time, including the suspensions up to the last Sync.
func (c *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(c.suspended.Load()))
}

// Sync detects suspensions of the VM since the last call, and returns the time.
func (c *Clock) Sync() time.Time {
	running := time.Since(c.start)
	// The two clocks are read microseconds apart: a difference below 1 ms is no suspension.
	if suspended := uptime() - c.startUptime - running; suspended > time.Duration(c.suspended.Load())+time.Millisecond {
		c.suspended.Store(int64(suspended))
	}
	return c.Now()
}

// Suspended returns how long the VM was suspended between the clock's start and the last Sync.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// uptime returns the time since the VM booted, including suspensions.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
