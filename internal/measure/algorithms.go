package measure

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/eject"
)

// SequentialDetector adapts eject.Detector.
type SequentialDetector struct{ *eject.Detector }

// NewSequentialDetector returns the detector with default options.
func NewSequentialDetector() Detector {
	return SequentialDetector{eject.NewDetector(eject.Options{})}
}

// Tick sets the baseline and advances the detector to now.
func (j SequentialDetector) Tick(now time.Time, others eject.Baseline) {
	j.SetBaseline(others)
	j.Detector.Tick(now)
}

// ConsecutiveDetector ejects after consecutive failures, for a fixed time. It is
// the usual outlier detection of proxies, for comparison.
type ConsecutiveDetector struct {
	failuresInRow int
	until         time.Time
	now           time.Time
}

const (
	consecutiveFailures     = 5
	consecutiveEjectionTime = 30 * time.Second
)

// Observe counts consecutive failures.
func (j *ConsecutiveDetector) Observe(now time.Time, s eject.Sample) {
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
func (j *ConsecutiveDetector) Tick(now time.Time, _ eject.Baseline) { j.now = now }

// ObserveOverdue does nothing.
func (j *ConsecutiveDetector) ObserveOverdue(time.Time) {}

// SlowAfter disables reports of overdue requests.
func (j *ConsecutiveDetector) SlowAfter() time.Duration { return 0 }

// Suspect reports whether the ejection time is still running.
func (j *ConsecutiveDetector) Suspect() bool { return j.now.Before(j.until) }

// Score is the same for all workers.
func (j *ConsecutiveDetector) Score() float64 { return 0 }

// Summary is empty.
func (j *ConsecutiveDetector) Summary(time.Time) eject.Summary { return eject.Summary{} }

// TwoChoices chooses with balance.Pick, the power of two choices.
type TwoChoices struct{ Ing *Ingress }

// Pick chooses from the ingress's view.
func (c TwoChoices) Pick(now time.Time, tried []int) int {
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

// OnResponse does nothing; balance.Pick uses the ingress's load tracker.
func (TwoChoices) OnResponse(time.Time, int, time.Duration) {}

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

// Pick chooses a usable worker uniformly at random.
func (c Random) Pick(time.Time, []int) int {
	usable := c.Ing.usable()
	return usable[c.Ing.sim.rng.IntN(len(usable))]
}

// OnResponse does nothing.
func (Random) OnResponse(time.Time, int, time.Duration) {}

// LeastRequests picks, among all workers, one with the fewest requests in flight
// according to its last report, however old that is.
type LeastRequests struct {
	Ing      *Ingress
	inFlight map[int]int
}

// NewLeastRequests returns a LeastRequests for ing.
func NewLeastRequests(ing *Ingress) Balancer {
	return &LeastRequests{Ing: ing, inFlight: map[int]int{}}
}

// Pick compares all usable workers.
func (c *LeastRequests) Pick(time.Time, []int) int {
	return c.Ing.leastBy(func(i int) float64 { return float64(c.inFlight[i]) })
}

// OnResponse records the load in the gate's report.
func (c *LeastRequests) OnResponse(_ time.Time, i int, _ time.Duration) {
	w := c.Ing.sim.workers[i]
	c.inFlight[i] = w.running + len(w.queue)
}

// LatencyEWMA picks the better of two random workers by an exponentially
// weighted moving average of latency. The average decays towards 0, so that
// workers without recent requests are tried again.
type LatencyEWMA struct {
	Ing *Ingress
	avg map[int]float64
	at  map[int]time.Time
}

const latencyHalfLife = 5 * time.Second

// NewLatencyEWMA returns a LatencyEWMA for ing.
func NewLatencyEWMA(ing *Ingress) Balancer {
	return &LatencyEWMA{Ing: ing, avg: map[int]float64{}, at: map[int]time.Time{}}
}

// Pick compares two random workers.
func (c *LatencyEWMA) Pick(now time.Time, _ []int) int {
	usable := c.Ing.usable()
	rng := c.Ing.sim.rng
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if c.decayed(now, b) < c.decayed(now, a) {
		return b
	}
	return a
}

func (c *LatencyEWMA) decayed(now time.Time, i int) float64 {
	age := now.Sub(c.at[i])
	return c.avg[i] * math.Exp2(-float64(age)/float64(latencyHalfLife))
}

// OnResponse adds the latency to the average.
func (c *LatencyEWMA) OnResponse(now time.Time, i int, latency time.Duration) {
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
