package measure

import "time"

// Fault makes a worker fail or slow down for a time. It models faults that health
// checks do not detect; the simulated algorithms do not use health checks.
type Fault struct {
	Worker   int
	From, To time.Duration
	Errors   float64
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Flap is the period of an intermittent fault, which is active in the first
	// half of each period; 0 means always active.
	Flap time.Duration
}

// Outage is a data centre that operators drain and restore.
type Outage struct {
	DataCentre string
	From, To   time.Duration
	// Ramp is how long traffic ramps up after the restoration; 0 means
	// balance.DefaultRamp.
	Ramp time.Duration
}

// Restart restarts a worker cold: service times are multiplied by coldFactor, the
// capacity is one request, and both return linearly to normal within WarmUp.
type Restart struct {
	Worker int
	At     time.Duration
	WarmUp time.Duration
}

const coldFactor = 4.0

// capacity is how many concurrent requests the worker can handle at the given time.
func (r Restart) capacity(at time.Duration, slots int) int {
	if at < r.At || at >= r.At+r.WarmUp {
		return slots
	}
	return 1 + int(float64(slots-1)*float64(at-r.At)/float64(r.WarmUp))
}

// slowdown is the factor on the service time at the given time.
func (r Restart) slowdown(at time.Duration) float64 {
	if at < r.At || at >= r.At+r.WarmUp {
		return 1
	}
	warm := float64(at-r.At) / float64(r.WarmUp)
	return warm + (1-warm)*coldFactor
}

func (f Fault) active(at time.Duration) bool {
	if at < f.From || at >= f.To {
		return false
	}
	return f.Flap == 0 || (at-f.From)%f.Flap < f.Flap/2
}
