package measure

import (
	"testing"
	"time"
)

// BenchmarkDataCentreReturn drains one of three data centres for a minute, restores
// it with cold workers and measures the minute after.
func BenchmarkDataCentreReturn(b *testing.B) {
	for _, tc := range []struct {
		name   string
		ramp   time.Duration
		cold   bool
		refuse bool
	}{
		{"ramp-limit-refuse", 0, true, true},
		{"ramp-limit", 0, true, false},
		{"ramp", 0, false, false},
		{"limit-refuse", 1, true, true},
		{"limit", 1, true, false},
		{"nothing", 1, false, false},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				cfg := dataCentreReturnConfig(tc.ramp, tc.cold)
				cfg.RefuseCold = tc.refuse
				reportLatency(b, Run(cfg))
			}
		})
	}
}

func dataCentreReturnConfig(ramp time.Duration, cold bool) Config {
	const back = 3 * time.Minute
	cfg := defaultConfig(1)
	cfg.Rate = 0.5 * capacity(cfg)
	cfg.ColdStart = cold
	cfg.Outage = &Outage{DataCentre: "dc0", From: 2 * time.Minute, To: back, Ramp: ramp}
	for _, w := range []int{0, 3} {
		cfg.Restarts = append(cfg.Restarts, Restart{Worker: w, At: back, WarmUp: 20 * time.Second})
	}
	cfg.MeasureFrom, cfg.Duration = back, back+time.Minute
	return cfg
}
