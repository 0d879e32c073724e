package speed

import (
	"math"
	"time"
)

const (
	// forgetTime is the time in which the weight of past requests falls to 1/e, so that
	// the estimate follows a lasting change within half a minute.
	forgetTime = 30 * time.Second
	// localWeight is the weight of a request in the local mean, with which the next one is
	// compared. About ten requests span two seconds: slower changes, which
	// raise the duration and thereby the number in progress, are no evidence.
	localWeight = 0.1
	// maxMeanWeight bounds the weight of past requests in the slowness, in requests.
	maxMeanWeight = 60.0
	// maxLogRatio bounds the effect of one outlier: a factor of about 4.5.
	maxLogRatio = 1.5
	// priorVariance and priorVarianceWeight are the assumed variance of the
	// logarithm of the duration within a route and its weight in requests.
	priorVariance       = 0.36
	priorVarianceWeight = 8.0
	// minLimitEvidence is the log-likelihood ratio at which a limit is believed:
	// 55 to 1, because up to seven limits are compared all the time. In the plays it lowered
	// the limit of an even target for less than 1% of the requests.
	minLimitEvidence = 4.0
	// minLimitRequests is the number of requests beyond a limit, and up to it, that
	// are needed to believe it.
	minLimitRequests = 6.0
	// errorsToBelieve is how many standard errors of the slowness are discounted.
	errorsToBelieve = 1.0
	// minDifference is the logarithm of the slowness below which it is taken as 1.
	minDifference = 0.14
	// maxSlowness bounds the slowness in both directions.
	maxSlowness = 3.0
)

// Trials of a higher limit.
const (
	// minTrialDelay and maxTrialDelay bound the time until a lowered limit is
	// tried one higher. The delay doubles with each trial that fails.
	minTrialDelay = 5 * time.Second
	maxTrialDelay = 40 * time.Second
	// trialTime is how long a trial lasts: about ten requests at the limit.
	trialTime = 3 * time.Second
	// trialKeep is the share of earlier evidence that counts beside that of a trial.
	trialKeep = 0.6
)

// model is the model in which requests beyond a limit share its throughput.
type model struct {
	// local and mean are a short and a long mean of the logarithm of the relative
	// duration, less the part that the model explains.
	local, mean float64
	// errors is the sum of squared differences from the local mean, and beyond the
	// weight of the requests beyond the limit.
	errors, beyond float64
}

// Estimator estimates the speed and the limit of one target. It is not safe for
// concurrent use.
type Estimator struct {
	slots, limit int
	// models has one model for each limit; the last is that of no limit below the
	// slots.
	models      []model
	weight      float64
	observedAt  time.Time
	logSlowness float64
	// trialAt is when the next trial starts or, while trying, when it ends.
	trialAt    time.Time
	trialDelay time.Duration
	trying     bool
}

// NewEstimator returns an estimator without observations.
func NewEstimator(slots int) *Estimator {
	slots = max(slots, 1)
	return &Estimator{slots: slots, limit: slots, models: make([]model, slots)}
}

// SetSlots sets the stated slots. Another number restarts the estimate.
func (e *Estimator) SetSlots(slots int) {
	if max(slots, 1) != e.slots {
		*e = *NewEstimator(slots)
	}
}

// Limit is the number of requests that the target may have in progress, between 1
// and the stated slots.
func (e *Estimator) Limit() int { return e.limit }

// Slowness is the duration of requests relative to the usual one; 1 if it is
// not known to differ.
func (e *Estimator) Slowness() float64 { return math.Exp(e.logSlowness) }

// Sample is a successful request.
type Sample struct {
	// InProgress is the number of requests in progress when this one was sent, itself
	// included.
	InProgress int
	// Took is its duration, and Usual the usual one of its route, or 0 if that is not
	// known.
	Took, Usual time.Duration
	// Warm is set if the target is known to be warm, and Gray is the probability that it
	// is in a gray failure.
	Warm bool
	Gray float64
}

// maxGray is the probability of a gray failure above which durations say nothing about
// the speed. It is above the prior, which applies without requests.
const maxGray = 0.3

// Observe adds a request, unless its duration says nothing about the speed: that of a
// target that is cold or probably gray, or of a route whose usual duration is not known.
// It reports whether the limit has changed.
func (e *Estimator) Observe(now time.Time, s Sample) bool {
	if s.Took <= 0 || s.Usual <= 0 || !s.Warm || s.Gray > maxGray {
		return false
	}
	if !e.observedAt.IsZero() {
		e.forget(math.Exp(-max(now.Sub(e.observedAt).Seconds(), 0) / forgetTime.Seconds()))
	}
	e.observedAt = now
	e.weight++
	x := math.Log(s.Took.Seconds() / s.Usual.Seconds())
	x = min(max(x, -maxLogRatio), maxLogRatio)
	for i := range e.models {
		e.models[i].add(x, s.InProgress, i+1, e.weight)
	}
	best := e.best()
	e.updateSlowness(e.models[best-1].mean)
	return e.updateLimit(now, best)
}

// forget reduces the weight of past requests.
func (e *Estimator) forget(keep float64) {
	e.weight *= keep
	for i := range e.models {
		e.models[i].errors *= keep
		e.models[i].beyond *= keep
	}
}

// add adds a request. weight is that of all requests, this one included.
func (m *model) add(x float64, inProgress, limit int, weight float64) {
	if inProgress > limit {
		x -= math.Log(float64(inProgress) / float64(limit))
		m.beyond++
	}
	d := x - m.local
	m.errors += d * d
	m.local += max(localWeight, 1/weight) * d
	m.mean += (x - m.mean) / min(weight, maxMeanWeight)
}

// best returns the limit that explains the observations best, or the slots if none
// does clearly better.
func (e *Estimator) best() int {
	none := e.models[e.slots-1].errors
	best, errors := e.slots, none-2*e.variance()*minLimitEvidence
	for i, m := range e.models[:e.slots-1] {
		if m.beyond >= minLimitRequests && e.weight-m.beyond >= minLimitRequests && m.errors < errors {
			best, errors = i+1, m.errors
		}
	}
	return best
}

// variance is the variance of the logarithm of the duration, as the best model has it.
func (e *Estimator) variance() float64 {
	errors := e.models[0].errors
	for _, m := range e.models {
		errors = min(errors, m.errors)
	}
	return (priorVariance*priorVarianceWeight + errors) / (priorVarianceWeight + e.weight)
}

// updateSlowness derives the slowness from the mean of the best model.
func (e *Estimator) updateSlowness(mean float64) {
	tolerance := errorsToBelieve * math.Sqrt(e.variance()/min(e.weight, maxMeanWeight))
	e.logSlowness = 0
	if shrunk := math.Abs(mean) - tolerance; shrunk > minDifference {
		e.logSlowness = math.Copysign(min(shrunk, math.Log(maxSlowness)), mean)
	}
}

// updateLimit lowers the limit to the best one, or raises it for a trial.
func (e *Estimator) updateLimit(now time.Time, best int) bool {
	before := e.limit
	switch {
	case best < e.limit && !e.trying, best < e.limit-1:
		e.lower(now, best)
	case e.limit == e.slots && !e.trying, now.Before(e.trialAt):
	case !e.trying:
		e.limit, e.trying, e.trialAt = e.limit+1, true, now.Add(trialTime)
		e.forget(trialKeep)
	case best >= e.limit:
		e.trialDelay = minTrialDelay
		e.trying, e.trialAt = false, now.Add(trialTime)
	default:
		e.lower(now, best)
	}
	return e.limit != before
}

func (e *Estimator) lower(now time.Time, limit int) {
	e.trialDelay = min(max(2*e.trialDelay, minTrialDelay), maxTrialDelay)
	e.limit, e.trying, e.trialAt = limit, false, now.Add(e.trialDelay)
}
