package eject

import "math"

// hypotheses holds the probabilities of an event under the two hypotheses: that
// the target is as healthy as the others, and that it is bad.
type hypotheses struct {
	healthy, bad float64
}

// logLikelihoodRatio is the log-likelihood ratio of bad over healthy for one
// observation.
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

	// healthySlowShare is the share of slow responses of a healthy target. The
	// bound for slow responses is a multiple of the other targets' p90.
	healthySlowShare = 0.08
	badSlowShare     = 0.5
)

const (
	minRecoveryHealthyErrorRate = 0.02
	minRecoveryBadErrorRate     = 0.3
)

var recoverySlowness = hypotheses{healthy: healthySlowShare, bad: 0.3}

// recoveryFailure returns the hypotheses on failures for recovery. They lie
// further apart than for detection, because a suspect gets only a few trial
// requests.
func (d *Detector) recoveryFailure() hypotheses {
	m := d.hypotheses().failure
	return hypotheses{healthy: max(m.healthy, minRecoveryHealthyErrorRate), bad: max(m.bad, minRecoveryBadErrorRate)}
}

type hypothesesByEvent struct {
	failure  hypotheses
	slowness hypotheses
}

// hypotheses returns the hypotheses for the current baseline.
func (d *Detector) hypotheses() hypothesesByEvent {
	healthy := clamp(d.baseline.ErrorRate, minHealthyErrorRate, maxHealthyErrorRate)
	bad := clamp(badErrorMultiple*healthy, minBadErrorRate, maxBadErrorRate)
	return hypothesesByEvent{
		failure:  hypotheses{healthy: healthy, bad: bad},
		slowness: hypotheses{healthy: healthySlowShare, bad: badSlowShare},
	}
}
