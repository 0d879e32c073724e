package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChargeCountsArrivalsBeyondTheFirst(t *testing.T) {
	type attempt struct{ charged, arrived bool }
	first := func(arrived bool) attempt { return attempt{false, arrived} }
	again := func(arrived bool) attempt { return attempt{true, arrived} }
	cases := []struct {
		name     string
		attempts []attempt
		refunded int
	}{
		{"one attempt", []attempt{first(true)}, 0},
		{"a retry that arrives", []attempt{first(true), again(true)}, 0},
		{"a retry that does not arrive", []attempt{first(true), again(false)}, 1},
		{"a hedge that replaces an attempt in a queue", []attempt{first(false), again(true)}, 1},
		{"neither arrives", []attempt{first(false), again(false)}, 1},
		{"two of three retries arrive", []attempt{first(true), again(true), again(false), again(true)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, concurrent := range []bool{false, true} {
				var charge Charge
				refunded := 0
				if concurrent {
					for _, a := range c.attempts {
						charge.Start(a.charged)
					}
				}
				for _, a := range c.attempts {
					if !concurrent {
						charge.Start(a.charged)
					}
					refunded += charge.End(a.arrived)
				}
				assert.Equal(t, refunded, c.refunded, "concurrent: %v", concurrent)
			}
		})
	}
}

// The retries that remain charged are never fewer than the arrivals beyond the
// first, and equal them once all attempts have ended.
func TestChargeNeverFallsBelowTheArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Charge
		taken, refunded, arrived, running := 0, 0, 0, 0
		start := func(charged bool) {
			c.Start(charged)
			running++
			if charged {
				taken++
			}
		}
		start(false)
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			if running == 0 || rapid.Bool().Draw(t, "start") {
				start(true)
			} else {
				a := rapid.Bool().Draw(t, "arrived")
				refunded += c.End(a)
				running--
				if a {
					arrived++
				}
			}
			if taken-refunded < arrived-1 {
				t.Fatalf("%d retries charged for %d arrivals", taken-refunded, arrived)
			}
		}
		for range running {
			refunded += c.End(false)
		}
		if taken-refunded != max(arrived-1, 0) {
			t.Fatalf("%d retries charged for %d arrivals", taken-refunded, arrived)
		}
	})
}
