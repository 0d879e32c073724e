// Package boottime reads a steady clock that goes on while the machine is
// suspended.
//
// Go's monotonic clock stops during a suspension, so an age that must not be
// underestimated (proof of a configuration, a lease) is measured here.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the duration since the machine's boot.
type Instant time.Duration

// Now returns the present instant. Where the system lacks the clock, it falls
// back to Go's monotonic one.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(started))
	}
	return Instant(ts.Nano())
}

// started anchors the fallback clock.
var started = time.Now()

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
