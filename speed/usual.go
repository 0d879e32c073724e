package speed

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of a report in the usual duration. Reports are
	// means over many requests of one target, and a service has some 13 targets.
	usualWeight = 1.0 / 8
	// minUsualReports is the number of reports from which the usual duration is
	// known.
	minUsualReports = 3
)

// Usual is the usual duration of a route over the targets in use. The zero value
// is ready for use. It is not safe for concurrent use.
type Usual struct {
	logSeconds float64
	reports    int
}

// Observe adds the typical duration of the route at one target.
func (u *Usual) Observe(typical time.Duration) {
	if typical <= 0 {
		return
	}
	u.reports++
	weight := max(usualWeight, 1/float64(u.reports))
	u.logSeconds += weight * (math.Log(typical.Seconds()) - u.logSeconds)
}

// Duration is the usual duration, or 0 if it is not known yet.
func (u *Usual) Duration() time.Duration {
	if u.reports < minUsualReports {
		return 0
	}
	return time.Duration(math.Exp(u.logSeconds) * float64(time.Second))
}
