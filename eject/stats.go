package eject

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of a new sample in the moving average of
	// failures.
	errorWeight = 1.0 / 256
	// quantile is the tracked latency quantile.
	quantile = 0.9
	// quantileStep is the relative step of the quantile estimate; for the first
	// samples the step is larger, up to firstQuantileStep.
	quantileStep      = 0.01
	firstQuantileStep = 0.2
	// errorGranularity is the granularity of the published error rate.
	errorGranularity = 50 // permille
	// latencyStepsPerDoubling is the number of steps of the published latency
	// in a doubling.
	latencyStepsPerDoubling = 2
	// publishPeriod is the minimum time between two changes of the published
	// statistics.
	publishPeriod = 30 * time.Second
	// minSamples is the number of samples before statistics are published.
	minSamples = 20
)

// Summary holds the published statistics of a target.
type Summary struct {
	ErrorPermille int
	LatencyMicros int
}

// stats holds the running statistics of a target: an exponential moving average
// of failures and a stochastic approximation of the latency quantile.
type stats struct {
	samples         int
	errorRate       float64
	latencyQuantile float64 // microseconds
	published       Summary
	publishedAt     time.Time
}

func (s *stats) add(_ time.Time, sample Sample) {
	s.samples++
	failed := 0.0
	if sample.Failed {
		failed = 1
	}
	weight := max(errorWeight, 1/float64(s.samples))
	s.errorRate += weight * (failed - s.errorRate)
	s.addLatency(float64(sample.Latency.Microseconds()))
}

func (s *stats) addLatency(us float64) {
	us = max(us, 1)
	if s.latencyQuantile == 0 {
		s.latencyQuantile = us
		return
	}
	step := clamp(1/float64(s.samples), quantileStep, firstQuantileStep)
	if us > s.latencyQuantile {
		s.latencyQuantile *= 1 + step*quantile
		return
	}
	s.latencyQuantile *= 1 - step*(1-quantile)
}

// summary rounds the statistics to coarse steps with hysteresis, so that the
// gossiped record changes rarely.
func (s *stats) summary(now time.Time) Summary {
	if s.samples < minSamples || !s.publishedAt.IsZero() && now.Sub(s.publishedAt) < publishPeriod {
		return s.published
	}
	next := s.published
	pm := s.errorRate * permille
	if math.Abs(pm-float64(next.ErrorPermille)) > errorGranularity {
		next.ErrorPermille = int(math.Round(pm/errorGranularity)) * errorGranularity
	}
	step := math.Log2(s.latencyQuantile) * latencyStepsPerDoubling
	old := math.Log2(max(1, float64(next.LatencyMicros))) * latencyStepsPerDoubling
	if next.LatencyMicros == 0 || math.Abs(step-old) > 1 {
		next.LatencyMicros = int(math.Round(math.Exp2(math.Round(step) / latencyStepsPerDoubling)))
	}
	if next != s.published {
		s.published = next
		s.publishedAt = now
	}
	return s.published
}
