package measure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func coldConfig(seed uint64, l Limiter) ColdConfig {
	return ColdConfig{
		Seed: seed, Slots: 7, Rate: 200, Median: 25 * time.Millisecond, Sigma: 0.5,
		ColdAt: time.Minute, ColdCapacity: 1, ColdFactor: 4, WarmUp: 20 * time.Second,
		Duration: 3 * time.Minute, Limiter: l,
	}
}

var limiters = []struct {
	name string
	make func() Limiter
}{
	{"coldstart", func() Limiter { return NewColdstart(7, 20*time.Second) }},
	{"coldstart-short", func() Limiter { return NewColdstart(7, 5*time.Second) }},
	{"fixed", func() Limiter { return FixedLimit(7) }},
	{"aimd", func() Limiter { return &AIMD{Slots: 7, limit: 7} }},
}

// A target that becomes cold without an announcement must be detected by its
// latency: it gets less than a third of the excess requests that a fixed limit
// lets through, and the limit recovers.
func TestUnannouncedColdTargetIsThrottled(t *testing.T) {
	for seed := range uint64(5) {
		ours := RunCold(coldConfig(seed, NewColdstart(7, 20*time.Second)))
		fixed := RunCold(coldConfig(seed, FixedLimit(7)))
		assert.Assert(t, ours.OverCapacity*3 < fixed.OverCapacity, "seed %d: %d requests over capacity, %d with a fixed limit", seed, ours.OverCapacity, fixed.OverCapacity)
		assert.Assert(t, ours.TimeToRecover > 0, "seed %d: limit did not recover", seed)
	}
}

// BenchmarkColdTarget counts requests beyond the capacity of a cold target.
func BenchmarkColdTarget(b *testing.B) {
	for _, tc := range []struct {
		name   string
		change func(*ColdConfig)
	}{
		{"announced", func(c *ColdConfig) { c.Announced = true }},
		{"unannounced", func(*ColdConfig) {}},
		{"sheds", func(c *ColdConfig) { c.Sheds = true }},
		{"sheds-only", func(c *ColdConfig) { c.Sheds = true; c.ColdFactor = 1 }},
		{"quick", func(c *ColdConfig) { c.WarmUp = 2 * time.Second }},
	} {
		for _, l := range limiters {
			b.Run(fmt.Sprintf("%s/%s", tc.name, l.name), func(b *testing.B) {
				for range b.N {
					reportCold(b, tc.change, l.make)
				}
			})
		}
	}
}

const coldRuns = 20

func reportCold(b *testing.B, change func(*ColdConfig), limiter func() Limiter) {
	var over, excess, given, wasted, falls, unrecovered int
	var lowered, recovered time.Duration
	for seed := range uint64(coldRuns) {
		cfg := coldConfig(seed, limiter())
		change(&cfg)
		res := RunCold(cfg)
		over += res.OverCapacity
		given += res.Dispatched
		excess += res.Excess
		wasted += res.RefusedBelowCapacity
		falls += res.DecreasesWhileWarm
		if res.TimeToLower < 0 || res.TimeToRecover < 0 {
			unrecovered++
			continue
		}
		lowered += res.TimeToLower
		recovered += res.TimeToRecover
	}
	b.ReportMetric(float64(over)/coldRuns, "over")
	b.ReportMetric(float64(excess)/coldRuns, "excess")
	b.ReportMetric(float64(wasted)/coldRuns, "wasted")
	b.ReportMetric(float64(given)/coldRuns, "given")
	b.ReportMetric(float64(falls)/coldRuns, "falls-warm")
	b.ReportMetric(float64(unrecovered), "never")
	if n := coldRuns - unrecovered; n > 0 {
		b.ReportMetric(lowered.Seconds()/float64(n)*1000, "ms-lowered")
		b.ReportMetric(recovered.Seconds()/float64(n), "s-recovered")
	}
}

// BenchmarkFalseResets counts decreases of a warm target's limit per hour.
func BenchmarkFalseResets(b *testing.B) {
	for _, sigma := range []float64{0.5, 1} {
		b.Run(fmt.Sprintf("sigma-%.1f", sigma), func(b *testing.B) {
			for range b.N {
				falls := 0
				const runs, hours = 5, 2
				for seed := range uint64(runs) {
					cfg := coldConfig(seed, NewColdstart(7, 20*time.Second))
					cfg.Sigma, cfg.Rate = sigma, 100
					cfg.ColdAt, cfg.Duration = hours*time.Hour, hours*time.Hour
					falls += RunCold(cfg).DecreasesWhileWarm
				}
				b.ReportMetric(float64(falls)/(runs*hours), "falls/h")
			}
		})
	}
}
