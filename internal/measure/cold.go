package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/coldstart"
)

// Limiter bounds the requests at one target. *coldstart.Limiter implements it.
type Limiter interface {
	Limit(now time.Time) int
	OnSuccess(now time.Time, latency time.Duration)
	OnShed(now time.Time)
	Restart(now time.Time)
	SlowAfter() time.Duration
	OnOverdue(now time.Time)
}

// ColdConfig describes a run with one target that turns cold.
type ColdConfig struct {
	Seed  uint64
	Slots int
	// Rate of requests, and their service time when warm.
	Rate   float64
	Median time.Duration
	Sigma  float64
	// ColdAt is when the target turns cold; it bears ColdCapacity at once and
	// takes ColdFactor times as long, and warms up linearly within WarmUp.
	ColdAt       time.Duration
	ColdCapacity int
	ColdFactor   float64
	WarmUp       time.Duration
	// Announced tells the limiter of it.
	Announced bool
	// Sheds makes the target refuse what it cannot bear, in place of serving
	// it slower.
	Sheds    bool
	Duration time.Duration
	Limiter  Limiter
}

// ColdResult holds what was measured from ColdAt on.
type ColdResult struct {
	// Over counts requests given to the target beyond what it bore.
	Over int
	// Excess is the sum over those of how far they were beyond.
	Excess int
	// Given counts all requests given to it, Refused those held back, and
	// Wasted those held back although it bore one more.
	Given   int
	Refused int
	Wasted  int
	// Recovered is the time from ColdAt until the limit reached the slots
	// again; -1 for never.
	Recovered time.Duration
	// Lowered tells how long after ColdAt the limit first was within what the
	// target bore; -1 for never.
	Lowered time.Duration
	// ResetsBefore counts falls of the limit while the target was warm.
	FallsBefore int
}

type coldRun struct {
	cfg      ColdConfig
	loop     *loop
	rng      *rand.Rand
	inFlight int
	res      ColdResult
	last     int
	dropped  bool
}

// RunCold simulates cfg.
func RunCold(cfg ColdConfig) ColdResult {
	r := &coldRun{cfg: cfg, loop: newLoop(), rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	r.res.Recovered, r.res.Lowered = -1, -1
	r.loop.after(0, r.arrive)
	if cfg.Announced {
		r.loop.after(cfg.ColdAt, func() { cfg.Limiter.Restart(r.loop.now) })
	}
	r.loop.runUntil(epoch.Add(cfg.Duration))
	return r.res
}

func (r *coldRun) elapsed() time.Duration { return r.loop.now.Sub(epoch) }

func (r *coldRun) isCold() bool { return r.elapsed() >= r.cfg.ColdAt }

// warmth rises from 0 to 1 after ColdAt; it is 1 before.
func (r *coldRun) warmth() float64 {
	if !r.isCold() {
		return 1
	}
	return min(1, float64(r.elapsed()-r.cfg.ColdAt)/float64(r.cfg.WarmUp))
}

func (r *coldRun) bears() int {
	cold, warm := float64(r.cfg.ColdCapacity), float64(r.cfg.Slots)
	return int(cold + r.warmth()*(warm-cold))
}

func (r *coldRun) arrive() {
	gap := time.Duration(r.rng.ExpFloat64() / r.cfg.Rate * float64(time.Second))
	r.loop.after(gap, r.arrive)
	limit := r.cfg.Limiter.Limit(r.loop.now)
	r.watch(limit)
	if r.inFlight >= limit {
		if r.isCold() {
			r.res.Refused++
			if r.inFlight < r.bears() {
				r.res.Wasted++
			}
		}
		return
	}
	r.give()
}

func (r *coldRun) give() {
	over := r.inFlight >= r.bears()
	if r.isCold() {
		r.res.Given++
		if over {
			r.res.Over++
			r.res.Excess += r.inFlight + 1 - r.bears()
		}
	}
	if over && r.cfg.Sheds {
		r.cfg.Limiter.OnShed(r.loop.now)
		return
	}
	r.inFlight++
	took := r.serviceTime()
	if slow := r.cfg.Limiter.SlowAfter(); slow > 0 && took > slow {
		r.loop.after(slow, func() { r.cfg.Limiter.OnOverdue(r.loop.now) })
	}
	r.loop.after(took, func() {
		r.inFlight--
		r.cfg.Limiter.OnSuccess(r.loop.now, took)
	})
}

func (r *coldRun) serviceTime() time.Duration {
	t := float64(r.cfg.Median) * math.Exp(r.cfg.Sigma*r.rng.NormFloat64())
	t *= 1 + (1-r.warmth())*(r.cfg.ColdFactor-1)
	return time.Duration(t * max(1, float64(r.inFlight)/float64(r.bears())))
}

// watch notes how the limit moves.
func (r *coldRun) watch(limit int) {
	defer func() { r.last = limit }()
	if !r.isCold() {
		if limit < r.last {
			r.res.FallsBefore++
		}
		return
	}
	since := r.elapsed() - r.cfg.ColdAt
	if limit <= r.bears() && r.res.Lowered < 0 {
		r.res.Lowered = since
	}
	if limit < r.cfg.Slots {
		r.dropped = true
	}
	if r.dropped && limit >= r.cfg.Slots && r.res.Recovered < 0 {
		r.res.Recovered = since
	}
}

// referenceLatency is what the other targets show: the p90 of a lognormal
// service time with a median of 25 ms and sigma 0.5.
const referenceLatency = 47500 * time.Microsecond

// NewColdstart returns the limiter of the system with the service's cold time.
func NewColdstart(slots int, coldTime time.Duration) Limiter {
	l := coldstart.New(coldstart.Options{Slots: slots, ColdLimit: 1, ColdTime: coldTime}, epoch)
	l.SetPeerLatency(referenceLatency)
	return l
}

// FixedLimit never changes.
type FixedLimit int

// Limit is fixed.
func (f FixedLimit) Limit(time.Time) int { return int(f) }

// OnSuccess is ignored.
func (FixedLimit) OnSuccess(time.Time, time.Duration) {}

// OnShed is ignored.
func (FixedLimit) OnShed(time.Time) {}

// Restart is ignored.
func (FixedLimit) Restart(time.Time) {}

// AIMD rises by one for each limit of successes and halves on overload: a shed
// or an answer beyond aimdFactor times the smallest latency seen.
type AIMD struct {
	Slots    int
	limit    float64
	smallest time.Duration
	cutAt    time.Time
}

const (
	aimdFactor = 3
	// aimdPause is the least time between two cuts, about one round of answers.
	aimdPause = 100 * time.Millisecond
)

// Limit is the whole part, at least 1.
func (a *AIMD) Limit(time.Time) int { return max(1, int(a.limit)) }

// OnSuccess rises or, when slow, cuts.
func (a *AIMD) OnSuccess(now time.Time, latency time.Duration) {
	if a.smallest == 0 || latency < a.smallest {
		a.smallest = latency
	}
	if latency > aimdFactor*a.smallest {
		a.OnShed(now)
		return
	}
	a.limit = min(float64(a.Slots), a.limit+1/max(1, a.limit))
}

// OnShed halves.
func (a *AIMD) OnShed(now time.Time) {
	if now.Sub(a.cutAt) < aimdPause {
		return
	}
	a.cutAt = now
	a.limit /= 2
}

// Restart is ignored.
func (a *AIMD) Restart(time.Time) {}

// SlowAfter is never.
func (FixedLimit) SlowAfter() time.Duration { return 0 }

// OnOverdue is ignored.
func (FixedLimit) OnOverdue(time.Time) {}

// SlowAfter is never.
func (*AIMD) SlowAfter() time.Duration { return 0 }

// OnOverdue is ignored.
func (*AIMD) OnOverdue(time.Time) {}
