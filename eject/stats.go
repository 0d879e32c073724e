package eject

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of a new sample in the error average.
	errorWeight = 1.0 / 64
	// quantile is the tracked latency quantile.
	quantile = 0.9
	// quantileStep is the relative step of the quantile estimate.
	quantileStep = 0.05
	// errorStep is the coarseness of the published error rate.
	errorStep = 20 // permille
	// latencySteps is how many published latency steps make a doubling.
	latencySteps = 3
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
	if us > s.latency {
		s.latency *= 1 + quantileStep*quantile
		return
	}
	s.latency *= 1 - quantileStep*(1-quantile)
}

// summary rounds to coarse steps with hysteresis, so that records change
// seldom.
func (s *stats) summary(_ time.Time) Summary {
	if s.samples < minSamples {
		return Summary{}
	}
	pm := s.errors * permille
	if math.Abs(pm-float64(s.out.ErrorPermille)) > 0.75*errorStep {
		s.out.ErrorPermille = int(math.Round(pm/errorStep)) * errorStep
	}
	step := math.Log2(s.latency) * latencySteps
	old := math.Log2(max(1, float64(s.out.LatencyMicros))) * latencySteps
	if s.out.LatencyMicros == 0 || math.Abs(step-old) > 0.75 {
		s.out.LatencyMicros = int(math.Round(math.Exp2(math.Round(step) / latencySteps)))
	}
	return s.out
}
