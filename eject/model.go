package eject

import "math"

// hypotheses are two probabilities of an event: for a target as good as the
// others, and for a bad one.
type hypotheses struct {
	good, bad float64
}

// ratio is the log-likelihood ratio of bad over good for one observation.
func (h hypotheses) ratio(event bool) float64 {
	if event {
		return math.Log(h.bad / h.good)
	}
	return math.Log((1 - h.bad) / (1 - h.good))
}

const (
	minErrorRate   = 0.01
	maxErrorRate   = 0.6
	badErrorFactor = 4.0
	minBadError    = 0.12
	maxBadError    = 0.95

	// slowGood is the share of slow answers of a healthy target. Its latency
	// bound is a multiple of the other targets' p90.
	slowGood = 0.08
	slowBad  = 0.5
)

const (
	minReturnError = 0.02
	minReturnBad   = 0.3
)

var returnSlowness = hypotheses{good: slowGood, bad: 0.3}

// returnFailure gives the hypotheses on failures for a return; with few trial
// requests they lie further apart.
func (d *Detector) returnFailure() hypotheses {
	m := d.model().failure
	return hypotheses{good: max(m.good, minReturnError), bad: max(m.bad, minReturnBad)}
}

type model struct {
	failure  hypotheses
	slowness hypotheses
}

// model gives the hypotheses that fit the other targets' present state.
func (d *Detector) model() model {
	good := clamp(d.base.ErrorRate, minErrorRate, maxErrorRate)
	bad := clamp(badErrorFactor*good, minBadError, maxBadError)
	return model{
		failure:  hypotheses{good: good, bad: bad},
		slowness: hypotheses{good: slowGood, bad: slowBad},
	}
}
