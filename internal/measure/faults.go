package measure

import "time"

// Fault makes a worker serve badly for a time. Its health endpoint, which no
// rule here asks, would go on saying that all is well.
type Fault struct {
	Worker   int
	From, To time.Duration
	Errors   float64
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Flap is the period of a fault that is present half of the time.
	Flap time.Duration
}

// Outage is a data centre that operators take out and bring back.
type Outage struct {
	DataCentre string
	From, To   time.Duration
	// Ramp of the returning data centre; 0 is balance.DefaultRamp.
	Ramp time.Duration
}

// Restart makes a worker start anew: it takes four times as long and warms up
// linearly.
type Restart struct {
	Worker int
	At     time.Duration
	WarmUp time.Duration
}

const coldFactor = 4.0

// bears is how many requests the worker bears at a moment.
func (r Restart) bears(at time.Duration, slots int) int {
	if at < r.At || at >= r.At+r.WarmUp {
		return slots
	}
	return 1 + int(float64(slots-1)*float64(at-r.At)/float64(r.WarmUp))
}

// slowness is the factor on the service time at a moment.
func (r Restart) slowness(at time.Duration) float64 {
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
