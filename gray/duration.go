package gray

import (
	"math"
	"time"
)

const (
	// initialObjectiveShare is the assumed ratio of a request's duration to its
	// route's objective before responses have been observed.
	initialObjectiveShare = 0.35
	// initialSigma is the assumed standard deviation of the logarithm of the
	// duration before responses have been observed.
	initialSigma = 0.6
	// initialWeight is the weight of the initial estimate in observations,
	// maxWeight the maximum weight of all past observations.
	initialWeight = 4.0
	maxWeight     = 60.0
	minSigma      = 0.25
	maxSigma      = 1.2
	minDuration   = time.Millisecond
)

// DurationModel is a log-normal estimate of the distribution of the durations of
// similar requests. It is not safe for concurrent use.
type DurationModel struct {
	mu       float64 // mean of the logarithm of seconds
	variance float64
	weight   float64
}

// NewDurationModel returns an initial estimate derived from a route's objective.
func NewDurationModel(objective time.Duration) *DurationModel {
	typical := max(time.Duration(initialObjectiveShare*float64(objective)), minDuration)
	return &DurationModel{mu: math.Log(typical.Seconds()), variance: initialSigma * initialSigma, weight: initialWeight}
}

// Observe adds the duration of a successful request.
func (w *DurationModel) Observe(d time.Duration) {
	x := math.Log(max(d, minDuration).Seconds())
	w.weight = min(w.weight+1, maxWeight)
	delta := x - w.mu
	w.mu += delta / w.weight
	w.variance += (delta*(x-w.mu) - w.variance) / w.weight
}

func (w *DurationModel) sigma() float64 {
	return min(max(math.Sqrt(w.variance), minSigma), maxSigma)
}

// Survival is the probability that a request takes longer than d.
func (w *DurationModel) Survival(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	z := (math.Log(d.Seconds()) - w.mu) / w.sigma()
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

// Mean is the mean duration.
func (w *DurationModel) Mean() time.Duration {
	s := w.sigma()
	return time.Duration(math.Exp(w.mu+s*s/2) * float64(time.Second))
}

// Typical is the geometric mean of the durations.
func (w *DurationModel) Typical() time.Duration {
	return time.Duration(math.Exp(w.mu) * float64(time.Second))
}

// Observations is the weight of the observed requests, without that of the initial
// estimate.
func (w *DurationModel) Observations() float64 { return w.weight - initialWeight }

// Quantile is the duration within which the share q of requests ends.
func (w *DurationModel) Quantile(q float64) time.Duration {
	z := math.Sqrt2 * math.Erfinv(2*q-1)
	return time.Duration(math.Exp(w.mu+z*w.sigma()) * float64(time.Second))
}

// logRatio is the log-likelihood ratio of a duration for durations that are
// longer by a factor to those of the model.
func (w *DurationModel) logRatio(d time.Duration, factor float64) float64 {
	s := w.sigma()
	z := (math.Log(max(d, minDuration).Seconds()) - w.mu) / s
	shift := math.Log(factor) / s
	return shift*z - shift*shift/2
}
