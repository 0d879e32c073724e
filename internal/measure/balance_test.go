package measure

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var balancers = []struct {
	name string
	make func(ing *Ingress) Balancer
}{
	{"two-choices", func(ing *Ingress) Balancer { return TwoChoices{ing} }},
	{"random", func(ing *Ingress) Balancer { return Random{ing} }},
	{"least-of-all", NewLeastRequests},
	{"ewma", NewLatencyEWMA},
}

// capacity returns the request rate in 1/s that keeps all slots of healthy
// workers busy.
func capacity(cfg Config) float64 {
	const meanOverMedian = 1.133 // of a lognormal distribution with sigma 0.5
	return float64(cfg.Workers*cfg.Slots) / (cfg.Median.Seconds() * meanOverMedian)
}

// BenchmarkChoice compares load-balancing algorithms without outlier ejection.
func BenchmarkChoice(b *testing.B) {
	for _, workers := range []int{6, 12} {
		for _, tc := range []struct {
			name   string
			load   float64
			change func(*Config)
		}{
			{"load-70pc", 0.7, func(*Config) {}},
			{"load-90pc", 0.9, func(*Config) {}},
			{"skewed-70pc", 0.7, func(c *Config) { c.Skew = 0.7 }},
			{"one-slow-3x", 0.6, func(c *Config) { c.Faults = []Fault{{Worker: 1, To: time.Hour, Slow: 3}} }},
		} {
			for _, ch := range balancers {
				b.Run(fmt.Sprintf("%d/%s/%s", workers, tc.name, ch.name), func(b *testing.B) {
					for range b.N {
						cfg := defaultConfig(1)
						cfg.Workers, cfg.NewDetector, cfg.NewBalancer = workers, nil, ch.make
						cfg.Rate = tc.load * capacity(cfg)
						cfg.Duration = 2 * time.Minute
						tc.change(&cfg)
						reportLatency(b, Run(cfg))
					}
				})
			}
		}
	}
}

func reportLatency(b *testing.B, res Result) {
	slices.Sort(res.Latencies)
	at := func(q float64) float64 {
		return float64(res.Latencies[int(q*float64(len(res.Latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "ms-p50")
	b.ReportMetric(at(0.99), "ms-p99")
	b.ReportMetric(at(0.999), "ms-p999")
	b.ReportMetric(float64(res.Refused), "busy")
}
