package gray

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func work() *DurationModel {
	w := NewDurationModel(2500 * time.Millisecond)
	for range 40 {
		w.Observe(600 * time.Millisecond)
		w.Observe(900 * time.Millisecond)
	}
	return w
}

// serveHealthy simulates a target that answers n requests, one every 250 ms.
func serveHealthy(f *Filter, w *DurationModel, n, from int) int {
	for i := range n {
		r := f.Start(at(from+250*i), w)
		f.RecordSuccess(at(from+250*i+700), r)
	}
	return from + 250*n
}

func TestHealthyTargetHasLowProbability(t *testing.T) {
	f := NewFilter(Options{})
	end := serveHealthy(f, work(), 12, 0)
	assert.Assert(t, f.Probability(at(end)) < 0.1, "%.2f", f.Probability(at(end)))
}

// A target on which all requests hang is detected from the ages of the requests,
// well before their deadline and before twice their typical duration.
func TestHangIsDetectedFromAges(t *testing.T) {
	f := NewFilter(Options{})
	w := work()
	begun := serveHealthy(f, w, 12, 0) + 800
	for i := range 4 {
		f.Start(at(begun+250*i), w)
	}
	assert.Assert(t, f.Probability(at(begun+400)) < 0.3, "too early: %.2f", f.Probability(at(begun+400)))
	assert.Assert(t, f.Probability(at(begun+1500)) > 0.6, "%.2f", f.Probability(at(begun+1500)))
}

func TestProbabilityDecaysAndFallsWithSuccesses(t *testing.T) {
	f := NewFilter(Options{})
	w := work()
	for i := range 4 {
		f.RecordFailure(at(100*i+50), f.Start(at(100*i), w))
	}
	assert.Assert(t, f.Probability(at(500)) > 0.9)
	assert.Assert(t, f.Probability(at(15_000)) < 0.35, "decays towards the prior")
	serveHealthy(f, w, 3, 1000)
	assert.Assert(t, f.Probability(at(2500)) < 0.3, "%.2f", f.Probability(at(2500)))
}

func TestRemovedRequestIsIgnored(t *testing.T) {
	f := NewFilter(Options{})
	r := f.Start(at(0), work())
	f.Remove(r)
	assert.Equal(t, f.Probability(at(5000)), PriorProbability())
}

func TestProbabilityIsInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFilter(Options{})
		w := NewDurationModel(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "objective")) * time.Millisecond)
		now := 0
		var open []*Request
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			now += rapid.IntRange(0, 3000).Draw(t, "dt")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				open = append(open, f.Start(at(now), w))
			case 2:
				if len(open) > 0 {
					f.RecordSuccess(at(now), open[0])
					open = open[1:]
				}
			case 3:
				if len(open) > 0 {
					f.RecordFailure(at(now), open[0])
					open = open[1:]
				}
			case 4:
				if len(open) > 0 {
					f.RecordCancellation(at(now), open[0])
					open = open[1:]
				}
			}
			p := f.Probability(at(now))
			if !(p >= 0 && p <= 1) {
				t.Fatalf("probability %v", p)
			}
			if len(f.requests) > defaultWindow+1 {
				t.Fatalf("window holds %d", len(f.requests))
			}
		}
	})
}

func TestDurationEstimateConverges(t *testing.T) {
	w := NewDurationModel(2 * time.Second)
	for range 100 {
		w.Observe(100 * time.Millisecond)
	}
	assert.Assert(t, w.Quantile(0.5) > 80*time.Millisecond && w.Quantile(0.5) < 120*time.Millisecond, "%s", w.Quantile(0.5))
	assert.Assert(t, w.Survival(time.Second) < 0.01)
	assert.Assert(t, w.Survival(0) == 1)
	assert.Assert(t, w.Quantile(0.9) > w.Quantile(0.6))
}
