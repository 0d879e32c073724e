package measure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// defaultConfig is one service of 6 workers in three data centres.
func defaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Workers: 6, Slots: 7, DataCentres: 3, Ingresses: 18, Rate: 300,
		Median: 25 * time.Millisecond, Sigma: 0.5, Errors: 0.002,
		GossipLag: 2 * time.Second, Floor: 0.5,
		NewDetector: NewSequentialDetector,
		NewBalancer: func(ing *Ingress) Balancer { return TwoChoices{ing} },
	}
}

func newConsecutiveDetector() Detector { return &ConsecutiveDetector{} }

const faultAt = time.Minute

var faults = []struct {
	name  string
	fault Fault
}{
	{"errors-20pc", Fault{Errors: 0.2}},
	{"errors-100pc", Fault{Errors: 1}},
	{"slow-5x", Fault{Slow: 5}},
	{"flap-10s", Fault{Errors: 0.5, Flap: 10 * time.Second}},
}

// withFault applies f to worker 2 after a minute, for three minutes.
func withFault(cfg Config, f Fault) Config {
	f.Worker, f.From, f.To = 2, faultAt, 4*time.Minute
	cfg.Faults = []Fault{f}
	cfg.Duration = 6 * time.Minute
	return cfg
}

// A worker with a partial fault must be ejected, without false ejections, and be
// reinstated after the fault.
func TestGrayWorkerIsEjectedAndReturns(t *testing.T) {
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			cfg := withFault(defaultConfig(1), tc.fault)
			cfg.Duration = 20 * time.Minute
			res := Run(cfg)
			assert.Assert(t, res.FirstEjected[2] > 0, "not ejected")
			assert.Equal(t, res.FalseEjections, 0)
			assert.Assert(t, res.EjectedTime[2] < 15*time.Minute, "not reinstated: ejected for %s", res.EjectedTime[2])
		})
	}
}

// A fault of all workers of a service, for example in a shared dependency, must not
// eject any of them.
func TestServiceWideFaultEjectsNoWorker(t *testing.T) {
	for _, f := range []Fault{{Errors: 0.3}, {Slow: 4}} {
		cfg := defaultConfig(3)
		cfg.Rate = 150
		cfg.Duration = 3 * time.Minute
		for w := range cfg.Workers {
			f.Worker, f.From, f.To = w, faultAt, 2*time.Minute
			cfg.Faults = append(cfg.Faults, f)
		}
		res := Run(cfg)
		assert.Equal(t, res.TrueEjections+res.FalseEjections, 0, "%+v", f)
	}
}

// Workers that are restarted one after another are slow while they warm up and
// must not be ejected for it.
func TestColdStartDoesNotEject(t *testing.T) {
	cfg := defaultConfig(4)
	cfg.Duration = 8 * time.Minute
	for w := range cfg.Workers {
		at := time.Duration(w+1) * time.Minute
		cfg.Restarts = append(cfg.Restarts, Restart{Worker: w, At: at, WarmUp: 25 * time.Second})
	}
	assert.Equal(t, Run(cfg).FalseEjections, 0)
}

// A worker that is slow from the start, without a healthy history to compare with,
// must be ejected as well.
func TestWorkerSlowFromStartIsEjected(t *testing.T) {
	cfg := defaultConfig(5)
	cfg.Duration = 2 * time.Minute
	cfg.Faults = []Fault{{Worker: 2, To: time.Hour, Slow: 5}}
	assert.Assert(t, Run(cfg).FirstEjected[2] > 0)
}

func BenchmarkDetection(b *testing.B) {
	for _, detector := range []struct {
		name string
		make func() Detector
	}{{"sequential", NewSequentialDetector}, {"consecutive-5", newConsecutiveDetector}} {
		for _, rate := range []float64{30, 300} {
			for _, tc := range faults {
				b.Run(fmt.Sprintf("%s/%s/rate-%.0f", detector.name, tc.name, rate), func(b *testing.B) {
					benchDetection(b, detector.make, rate, tc.fault)
				})
			}
		}
	}
}

const detectionRuns = 20

func benchDetection(b *testing.B, detector func() Detector, rate float64, f Fault) {
	for range b.N {
		var times []float64
		missed, failed, falseEjections := 0, 0, 0
		for seed := range uint64(detectionRuns) {
			cfg := withFault(defaultConfig(seed), f)
			cfg.NewDetector, cfg.Rate = detector, rate
			res := Run(cfg)
			failed += res.Failed
			falseEjections += res.FalseEjections
			if at := res.FirstEjected[2]; at >= faultAt {
				times = append(times, (at - faultAt).Seconds())
			} else {
				missed++
			}
		}
		slices.Sort(times)
		if len(times) > 0 {
			b.ReportMetric(times[len(times)/2], "s-p50")
			b.ReportMetric(times[len(times)-1], "s-max")
		}
		b.ReportMetric(float64(missed), "missed")
		b.ReportMetric(float64(falseEjections), "false")
		b.ReportMetric(float64(failed)/detectionRuns, "failed")
	}
}

// BenchmarkFalseEjections counts ejections per hour under healthy but noisy traffic.
func BenchmarkFalseEjections(b *testing.B) {
	for _, tc := range []struct {
		name   string
		change func(*Config)
	}{
		{"plain", func(*Config) {}},
		{"errors-2pc", func(c *Config) { c.Errors = 0.02 }},
		{"heavy-tail", func(c *Config) { c.Sigma = 1 }},
		{"unequal-1.6x", func(c *Config) { c.Speeds = []float64{1, 1, 1, 1.6, 1, 0.8} }},
		{"hiccups-1s", transientFaults},
		{"busy-90pc", func(c *Config) { c.Rate = 1300 }},
	} {
		for _, detector := range []struct {
			name string
			make func() Detector
		}{{"sequential", NewSequentialDetector}, {"consecutive-5", newConsecutiveDetector}} {
			b.Run(tc.name+"/"+detector.name, func(b *testing.B) {
				const runs, hours = 4, 1
				for range b.N {
					falseEjections := 0
					for seed := range uint64(runs) {
						cfg := defaultConfig(seed)
						cfg.Duration = hours * time.Hour
						cfg.NewDetector = detector.make
						tc.change(&cfg)
						res := Run(cfg)
						falseEjections += res.FalseEjections + res.TrueEjections
					}
					b.ReportMetric(float64(falseEjections)/(runs*hours), "false/h")
				}
			})
		}
	}
}

// transientFaults makes one worker slow and failing for a second each minute,
// each worker in turn.
func transientFaults(c *Config) {
	for i := range 60 {
		at := time.Duration(i) * time.Minute
		c.Faults = append(c.Faults, Fault{Worker: i % c.Workers, From: at, To: at + time.Second, Slow: 10, Errors: 0.3})
	}
}
