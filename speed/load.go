package speed

import (
	"math"
	"time"
)

// loadMemory is the time constant of the mean load. It is longer than the time between
// two reports of one target to one ingress, some seconds.
const loadMemory = 5 * time.Second

// minLoad is the mean load of an idle target, because 0 stands for an unknown one.
const minLoad = 0.01

// Load is the mean share of its limit that a target uses. The zero value is ready for
// use. It is not safe for concurrent use.
type Load struct {
	mean, last float64
	began, at  time.Time
}

// Observe records the share that is in use from now on.
func (l *Load) Observe(now time.Time, load float64) {
	l.advance(now)
	l.last = load
}

func (l *Load) advance(now time.Time) {
	if l.at.IsZero() {
		l.began, l.at = now, now
		return
	}
	if dt := now.Sub(l.at); dt > 0 {
		l.mean += (1 - math.Exp(-dt.Seconds()/loadMemory.Seconds())) * (l.last - l.mean)
		l.at = now
	}
}

// Mean is the mean load, or 0 if it has not been observed for long. Otherwise a target that
// has just been found would seem idle to all ingresses at once.
func (l *Load) Mean(now time.Time) float64 {
	l.advance(now)
	observed := l.at.Sub(l.began)
	if observed < loadMemory {
		return 0
	}
	return max(l.mean/(1-math.Exp(-observed.Seconds()/loadMemory.Seconds())), minLoad)
}
