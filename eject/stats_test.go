package eject

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRecordChanges counts how often the published statistics of a healthy
// target change. Each change causes gossip traffic.
func BenchmarkRecordChanges(b *testing.B) {
	for _, sigma := range []float64{0.5, 1} {
		for _, swing := range []float64{1, 2} {
			b.Run(fmt.Sprintf("sigma-%.1f/swing-%.0fx", sigma, swing), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(recordChanges(sigma, swing), "changes/h")
				}
			})
		}
	}
}

// recordChanges simulates two hours at 15 requests per second, the rate of the
// design size, with a latency that varies by the factor swing in each hour.
func recordChanges(sigma, swing float64) float64 {
	const hours, rate = 2, 15
	rng := rand.New(rand.NewPCG(1, 1))
	d := NewDetector(Options{})
	now := time.Unix(1_700_000_000, 0)
	last := d.Summary(now)
	changes := 0
	for i := range hours * 3600 * rate {
		now = now.Add(time.Second / rate)
		phase := 2 * math.Pi * float64(i) / (3600 * rate)
		median := 25e6 * math.Pow(swing, math.Sin(phase)/2)
		d.Observe(now, Sample{
			Failed:  rng.Float64() < 0.005,
			Latency: time.Duration(median * math.Exp(sigma*rng.NormFloat64())),
		})
		if i%rate != 0 {
			continue
		}
		if got := d.Summary(now); got != last {
			last = got
			changes++
		}
	}
	return float64(changes) / hours
}
