package eject

import "math"

// hypotheses are two probabilities of an event: for a target as good as the
// others, and for a bad one.
type hypotheses struct {
	healthy, bad float64
}

// logLikelihoodRatio is the log-likelihood logLikelihoodRatio of bad over good for one observation.
func (h hypotheses) logLikelihoodRatio(event bool) float64 {
	if event {
		return math.Log(h.bad / h.healthy)
	}
	return math.Log((1 - h.bad) / (1 - h.healthy))
}

const (
	minHealthyErrorRate = 0.01
	maxHealthyErrorRate = 0.6
	badErrorMultiple    = 4.0
	minBadErrorRate     = 0.12
	maxBadErrorRate     = 0.95

	// healthySlowShare is the share of slow answers of a healthy target. Its latency
	// bound is a multiple of the other targets' p90.
	healthySlowShare = 0.08
	badSlowShare     = 0.5
)

const (
	minRecoveryGoodError = 0.02
	minRecoveryBadError  = 0.3
)

var recoverySlowness = hypotheses{healthy: healthySlowShare, bad: 0.3}

// recoveryFailure gives the hypotheses on failures for a return; with few trial
// requests they lie further apart.
func (d *Detector) recoveryFailure() hypotheses {
	m := d.hypotheses().failure
	return hypotheses{healthy: max(m.healthy, minRecoveryGoodError), bad: max(m.bad, minRecoveryBadError)}
}

type hypothesesByEvent struct {
	failure  hypotheses
	slowness hypotheses
}

// hypotheses gives the hypotheses that fit the other targets' present state.
func (d *Detector) hypotheses() hypothesesByEvent {
	good := clamp(d.base.ErrorRate, minHealthyErrorRate, maxHealthyErrorRate)
	bad := clamp(badErrorMultiple*good, minBadErrorRate, maxBadErrorRate)
	return hypothesesByEvent{
		failure:  hypotheses{healthy: good, bad: bad},
		slowness: hypotheses{healthy: healthySlowShare, bad: badSlowShare},
	}
}
