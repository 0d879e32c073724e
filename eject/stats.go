package eject

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of a new sample in the error average.
	errorWeight = 1.0 / 256
	// quantile is the tracked latency quantile.
	quantile = 0.9
	// quantileStep is the relative step of the quantile estimate; the first
	// samples move it by up to firstQuantileStep.
	quantileStep      = 0.01
	firstQuantileStep = 0.2
	// errorStep is the coarseness of the published error rate.
	errorStep = 50 // permille
	// latencySteps is how many published latency steps make a doubling.
	latencySteps = 2
	// publishPeriod is the least time between two changes of the published
	// figures.
	publishPeriod = 30 * time.Second
	// minSamples is how many samples make the figures worth publishing.
	minSamples = 20
)

// Summary holds a target's published figures.
type Summary struct {
	ErrorPermille int
	LatencyMicros int
}

// stats are running figures of a target: an exponential average of failures
// and a stochastic estimate of the latency quantile.
type stats struct {
	samples int
	errors  float64
	latency float64 // microseconds
	out     Summary
	outAt   time.Time
}

func (s *stats) add(_ time.Time, smp Sample) {
	s.samples++
	failed := 0.0
	if smp.Failed {
		failed = 1
	}
	weight := max(errorWeight, 1/float64(s.samples))
	s.errors += weight * (failed - s.errors)
	s.addLatency(float64(smp.Latency.Microseconds()))
}

func (s *stats) addLatency(us float64) {
	us = max(us, 1)
	if s.latency == 0 {
		s.latency = us
		return
	}
	step := clamp(1/float64(s.samples), quantileStep, firstQuantileStep)
	if us > s.latency {
		s.latency *= 1 + step*quantile
		return
	}
	s.latency *= 1 - step*(1-quantile)
}

// summary rounds to coarse steps with hysteresis, so that records change
// seldom.
func (s *stats) summary(now time.Time) Summary {
	if s.samples < minSamples || !s.outAt.IsZero() && now.Sub(s.outAt) < publishPeriod {
		return s.out
	}
	next := s.out
	pm := s.errors * permille
	if math.Abs(pm-float64(next.ErrorPermille)) > errorStep {
		next.ErrorPermille = int(math.Round(pm/errorStep)) * errorStep
	}
	step := math.Log2(s.latency) * latencySteps
	old := math.Log2(max(1, float64(next.LatencyMicros))) * latencySteps
	if next.LatencyMicros == 0 || math.Abs(step-old) > 1 {
		next.LatencyMicros = int(math.Round(math.Exp2(math.Round(step) / latencySteps)))
	}
	if next != s.out {
		s.out = next
		s.outAt = now
	}
	return s.out
}
