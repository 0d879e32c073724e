package hostload

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the means: longer than a burst of requests, shorter than
	// a period of heavy load.
	memory = 2 * time.Second
	// lateFrom is the mean lateness from which the processor counts as short, and lateFull that
	// at which the shortage is 1. Idle hosts are late by 1 ms or less; a host held
	// back for half of each 100 ms is late by 12 ms in the mean.
	lateFrom = 6 * time.Millisecond
	lateFull = 40 * time.Millisecond
	// maxLateness bounds the effect of one pause of the process.
	maxLateness = 100 * time.Millisecond
	// blockedFrom and blockedFull are the shares of time with a blocked write between which
	// the shortage of the link rises from 0 to 1.
	blockedFrom = 0.25
	blockedFull = 0.9
	// minBytes is the size from which a write counts. Smaller answers fit into the
	// connection's send buffer.
	minBytes = 32 << 10
	// minBlocked is the time from which a write counts as blocked.
	minBlocked = 5 * time.Millisecond
	// minShortage is the least shortage that is stated, and scale rounds it to tenths.
	minShortage = 0.1
	scale       = 10
)

// Monitor measures one host. The zero value is ready for use. It is not safe for
// concurrent use.
type Monitor struct {
	lateness, blocked float64 // mean seconds of lateness, mean share of time
	tickedAt          time.Time
	// pending is the time of blocked writes since the last tick.
	pending time.Duration
}

// Sent records a write of an answer to another daemon.
func (m *Monitor) Sent(bytes int, took time.Duration) {
	if bytes >= minBytes && took >= minBlocked {
		m.pending += took
	}
}

// Tick records that a timer that was due at the given time fired now. It is called a few
// times a second.
func (m *Monitor) Tick(now, due time.Time) {
	late := min(max(now.Sub(due), 0), maxLateness).Seconds()
	if m.tickedAt.IsZero() {
		m.tickedAt, m.pending = now, 0
		return
	}
	elapsed := now.Sub(m.tickedAt)
	if elapsed <= 0 {
		return
	}
	// A long pause is one sample, not as many as would have fitted into it.
	weight := 1 - math.Exp(-min(elapsed, memory/4).Seconds()/memory.Seconds())
	m.lateness += weight * (late - m.lateness)
	m.blocked += weight * (min(m.pending.Seconds()/elapsed.Seconds(), 1) - m.blocked)
	m.tickedAt, m.pending = now, 0
}

// Shortage returns the shortage of processor or link, whichever is greater, between 0
// and 1.
func (m *Monitor) Shortage() float64 {
	processor := (m.lateness - lateFrom.Seconds()) / (lateFull - lateFrom).Seconds()
	link := (m.blocked - blockedFrom) / (blockedFull - blockedFrom)
	s := math.Round(min(max(processor, link, 0), 1)*scale) / scale
	if s < minShortage {
		return 0
	}
	return s
}

// Lateness is the mean lateness of the timer.
func (m *Monitor) Lateness() time.Duration {
	return time.Duration(m.lateness * float64(time.Second))
}

// Blocked is the mean share of time with a blocked write.
func (m *Monitor) Blocked() float64 { return m.blocked }
