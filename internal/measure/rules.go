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

// Tick sets the baseline and advances the detector to now.
func (j SequentialJudge) Tick(now time.Time, others eject.Baseline) {
	j.SetBaseline(others)
	j.Detector.Tick(now)
}

// ConsecutiveJudge ejects after consecutive failures, for a fixed time. It is the
// usual outlier detection of proxies, for comparison.
type ConsecutiveJudge struct {
	failuresInRow int
	until         time.Time
	now           time.Time
}

const (
	consecutiveFailures     = 5
	consecutiveEjectionTime = 30 * time.Second
)

// Observe counts consecutive failures.
func (j *ConsecutiveJudge) Observe(now time.Time, s eject.Sample) {
	j.now = now
	if !s.Failed {
		j.failuresInRow = 0
		return
	}
	j.failuresInRow++
	if j.failuresInRow >= consecutiveFailures {
		j.failuresInRow = 0
		j.until = now.Add(consecutiveEjectionTime)
	}
}

// Tick sets the time that Suspect uses.
func (j *ConsecutiveJudge) Tick(now time.Time, _ eject.Baseline) { j.now = now }

// ObserveOverdue does nothing.
func (j *ConsecutiveJudge) ObserveOverdue(time.Time) {}

// SlowAfter disables reports of overdue requests.
func (j *ConsecutiveJudge) SlowAfter() time.Duration { return 0 }

// Suspect reports whether the ejection time is still running.
func (j *ConsecutiveJudge) Suspect() bool { return j.now.Before(j.until) }

// Score is the same for all workers.
func (j *ConsecutiveJudge) Score() float64 { return 0 }

// Summary is empty.
func (j *ConsecutiveJudge) Summary(time.Time) eject.Summary { return eject.Summary{} }

// TwoChoices chooses with balance.Pick, the power of two choices.
type TwoChoices struct{ Ing *Ingress }

// Choose picks from the ingress's view.
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

// Done does nothing; balance.Pick uses the ingress's load tracker.
func (TwoChoices) Done(time.Time, int, time.Duration) {}

// workerOf returns the index of the worker on host, or -1.
func workerOf(host string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(host, "h"))
	if err != nil {
		return -1
	}
	return i
}

// Random picks any worker that is not ejected.
type Random struct{ Ing *Ingress }

// Choose picks uniformly at random.
func (c Random) Choose(time.Time, []int) int {
	usable := c.Ing.usable()
	return usable[c.Ing.sim.rng.IntN(len(usable))]
}

// Done does nothing.
func (Random) Done(time.Time, int, time.Duration) {}

// LeastOfAll picks, among all workers, one with the fewest requests in flight
// according to its last report, however old that is.
type LeastOfAll struct {
	Ing      *Ingress
	inFlight map[int]int
}

// NewLeastOfAll returns a LeastOfAll for ing.
func NewLeastOfAll(ing *Ingress) Chooser { return &LeastOfAll{Ing: ing, inFlight: map[int]int{}} }

// Choose compares all usable workers.
func (c *LeastOfAll) Choose(time.Time, []int) int {
	return c.Ing.leastBy(func(i int) float64 { return float64(c.inFlight[i]) })
}

// Done records the load in the gate's report.
func (c *LeastOfAll) Done(_ time.Time, i int, _ time.Duration) {
	w := c.Ing.sim.workers[i]
	c.inFlight[i] = w.running + len(w.queue)
}

// LatencyAverage picks the better of two random workers by an exponentially weighted
// moving average of latency. The average decays towards 0, so that workers without
// recent requests are tried again.
type LatencyAverage struct {
	Ing *Ingress
	avg map[int]float64
	at  map[int]time.Time
}

const latencyHalfLife = 5 * time.Second

// NewLatencyAverage returns a LatencyAverage for ing.
func NewLatencyAverage(ing *Ingress) Chooser {
	return &LatencyAverage{Ing: ing, avg: map[int]float64{}, at: map[int]time.Time{}}
}

// Choose compares two random workers.
func (c *LatencyAverage) Choose(now time.Time, _ []int) int {
	usable := c.Ing.usable()
	rng := c.Ing.sim.rng
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if c.decayed(now, b) < c.decayed(now, a) {
		return b
	}
	return a
}

func (c *LatencyAverage) decayed(now time.Time, i int) float64 {
	age := now.Sub(c.at[i])
	return c.avg[i] * math.Exp2(-float64(age)/float64(latencyHalfLife))
}

// Done adds the latency to the average.
func (c *LatencyAverage) Done(now time.Time, i int, latency time.Duration) {
	old := c.decayed(now, i)
	c.avg[i] = old + (float64(latency)-old)/8
	c.at[i] = now
}

// usable returns the workers that are not ejected.
func (ing *Ingress) usable() []int {
	var out []int
	for i, w := range ing.sim.workers {
		if !w.ejected {
			out = append(out, i)
		}
	}
	return out
}

// leastBy returns the usable worker with the smallest key. Ties are broken at random.
func (ing *Ingress) leastBy(key func(int) float64) int {
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
