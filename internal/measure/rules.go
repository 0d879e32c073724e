package measure

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/eject"
)

// SequentialJudge adapts eject.Detector.
type SequentialJudge struct{ *eject.Detector }

// NewSequentialJudge returns the detector with default options.
func NewSequentialJudge() Judge {
	return SequentialJudge{eject.NewDetector(eject.Options{})}
}

// Tick takes the baseline and moves time on.
func (j SequentialJudge) Tick(now time.Time, others eject.Baseline) {
	j.SetBaseline(others)
	j.Detector.Tick(now)
}

// ConsecutiveJudge suspects after a run of failures and returns after a fixed
// time. It is the usual rule of proxies, for comparison.
type ConsecutiveJudge struct {
	run   int
	until time.Time
	now   time.Time
}

const (
	consecutiveFailures = 5
	consecutiveHold     = 30 * time.Second
)

// Observe counts failures in a row.
func (j *ConsecutiveJudge) Observe(now time.Time, s eject.Sample) {
	j.now = now
	if !s.Failed {
		j.run = 0
		return
	}
	j.run++
	if j.run >= consecutiveFailures {
		j.run = 0
		j.until = now.Add(consecutiveHold)
	}
}

// Tick moves time on.
func (j *ConsecutiveJudge) Tick(now time.Time, _ eject.Baseline) { j.now = now }

// ObserveOverdue is ignored.
func (j *ConsecutiveJudge) ObserveOverdue(time.Time) {}

// SlowAfter is never.
func (j *ConsecutiveJudge) SlowAfter() time.Duration { return 0 }

// Suspect reports the verdict.
func (j *ConsecutiveJudge) Suspect() bool { return j.now.Before(j.until) }

// Score is the same for all.
func (j *ConsecutiveJudge) Score() float64 { return 0 }

// Summary publishes nothing.
func (j *ConsecutiveJudge) Summary(time.Time) eject.Summary { return eject.Summary{} }

// TwoChoices is balance.Pick.
type TwoChoices struct{ Ing *Ingress }

// Choose picks by the ingress's view.
func (c TwoChoices) Choose(now time.Time, tried []int) int {
	req := balance.Request{Service: "s", Idempotent: true}
	for _, i := range tried {
		req.Tried = append(req.Tried, c.Ing.sim.workers[i].id)
	}
	choice, ok := balance.Pick(now, c.Ing.View, nil, req, c.Ing.sim.rng)
	if !ok {
		return -1
	}
	return workerOf(choice.Host)
}

// Done needs nothing beyond the loads.
func (TwoChoices) Done(time.Time, int, time.Duration) {}

func workerOf(host string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(host, "h"))
	if err != nil {
		return -1
	}
	return i
}

// Random picks any worker that is not ejected.
type Random struct{ Ing *Ingress }

// Choose picks uniformly.
func (c Random) Choose(time.Time, []int) int {
	usable := c.Ing.usable()
	return usable[c.Ing.sim.rng.IntN(len(usable))]
}

// Done needs nothing.
func (Random) Done(time.Time, int, time.Duration) {}

// LeastOfAll picks the worker with the fewest requests in flight by the last
// report, however old.
type LeastOfAll struct {
	Ing  *Ingress
	seen map[int]int
}

// NewLeastOfAll returns the rule for an ingress.
func NewLeastOfAll(ing *Ingress) Chooser { return &LeastOfAll{Ing: ing, seen: map[int]int{}} }

// Choose compares all.
func (c *LeastOfAll) Choose(time.Time, []int) int {
	return c.Ing.minimum(func(i int) float64 { return float64(c.seen[i]) })
}

// Done takes the gate's report.
func (c *LeastOfAll) Done(_ time.Time, i int, _ time.Duration) {
	w := c.Ing.sim.workers[i]
	c.seen[i] = w.running + len(w.queue)
}

// LatencyAverage picks the better of two by an exponential average of latency
// that decays towards 0, so that neglected workers are tried again.
type LatencyAverage struct {
	Ing *Ingress
	avg map[int]float64
	at  map[int]time.Time
}

const latencyHalfLife = 5 * time.Second

// NewLatencyAverage returns the rule for an ingress.
func NewLatencyAverage(ing *Ingress) Chooser {
	return &LatencyAverage{Ing: ing, avg: map[int]float64{}, at: map[int]time.Time{}}
}

// Choose compares two random workers.
func (c *LatencyAverage) Choose(now time.Time, _ []int) int {
	usable := c.Ing.usable()
	rng := c.Ing.sim.rng
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if c.now(now, b) < c.now(now, a) {
		return b
	}
	return a
}

func (c *LatencyAverage) now(now time.Time, i int) float64 {
	age := now.Sub(c.at[i])
	return c.avg[i] * math.Exp2(-float64(age)/float64(latencyHalfLife))
}

// Done takes the latency.
func (c *LatencyAverage) Done(now time.Time, i int, latency time.Duration) {
	old := c.now(now, i)
	c.avg[i] = old + (float64(latency)-old)/8
	c.at[i] = now
}

func (ing *Ingress) usable() []int {
	var out []int
	for i, w := range ing.sim.workers {
		if !w.ejected {
			out = append(out, i)
		}
	}
	return out
}

func (ing *Ingress) minimum(key func(int) float64) int {
	usable := ing.usable()
	start := ing.sim.rng.IntN(len(usable))
	best := usable[start]
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if key(i) < key(best) {
			best = i
		}
	}
	return best
}
