// Package boottime reads a monotonic clock that includes the time during which the
// host is suspended.
//
// Go's monotonic clock stops during suspension. Durations that must not be
// underestimated, such as the age of a configuration proof or of a lease, are
// therefore measured with this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the duration since boot.
type Instant time.Duration

// Now returns the current instant. If CLOCK_BOOTTIME is unavailable, it falls back
// to Go's monotonic clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(fallbackStart))
	}
	return Instant(ts.Nano())
}

// fallbackStart is the origin of the fallback clock.
var fallbackStart = time.Now()

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
