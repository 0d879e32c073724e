package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/coldstart"
)

// Limiter limits the concurrency of one target. *coldstart.Limiter implements it.
type Limiter interface {
	Limit(now time.Time) int
	OnSuccess(now time.Time, latency time.Duration)
	OnShed(now time.Time)
	Restart(now time.Time)
	SlowAfter() time.Duration
	OnOverdue(now time.Time)
}

// ColdConfig configures a simulation of one target that becomes cold.
type ColdConfig struct {
	Seed  uint64
	Slots int
	// Rate is in requests per second. Median and Sigma describe the lognormal
	// service time of a warm target.
	Rate   float64
	Median time.Duration
	Sigma  float64
	// ColdAt is when the target becomes cold. It then handles ColdCapacity
	// concurrent requests and takes ColdFactor times as long; both return
	// linearly to normal within WarmUp.
	ColdAt       time.Duration
	ColdCapacity int
	ColdFactor   float64
	WarmUp       time.Duration
	// Announced notifies the limiter at ColdAt.
	Announced bool
	// Sheds makes the target refuse requests beyond its capacity instead of
	// serving them more slowly.
	Sheds    bool
	Duration time.Duration
	Limiter  Limiter
}

// ColdResult holds measurements taken from ColdAt on.
type ColdResult struct {
	// OverCapacity counts requests dispatched to the target beyond its capacity.
	OverCapacity int
	// Excess sums, over these requests, the concurrency in excess of capacity.
	Excess int
	// Dispatched counts all requests dispatched to the target, Refused those that
	// the limiter refused, and RefusedBelowCapacity those among them that the
	// target had capacity for.
	Dispatched           int
	Refused              int
	RefusedBelowCapacity int
	// TimeToRecover is the time from ColdAt until the limit was back at the number
	// of slots, or -1.
	TimeToRecover time.Duration
	// TimeToLower is the time from ColdAt until the limit was first within the
	// target's capacity, or -1.
	TimeToLower time.Duration
	// DecreasesWhileWarm counts decreases of the limit before ColdAt.
	DecreasesWhileWarm int
}

type coldRun struct {
	cfg          ColdConfig
	loop         *loop
	rng          *rand.Rand
	inFlight     int
	res          ColdResult
	lastLimit    int
	limitLowered bool
}

// RunCold runs the simulation described by cfg.
func RunCold(cfg ColdConfig) ColdResult {
	r := &coldRun{cfg: cfg, loop: newLoop(), rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	r.res.TimeToRecover, r.res.TimeToLower = -1, -1
	r.loop.after(0, r.arrive)
	if cfg.Announced {
		r.loop.after(cfg.ColdAt, func() { cfg.Limiter.Restart(r.loop.now) })
	}
	r.loop.runUntil(epoch.Add(cfg.Duration))
	return r.res
}

func (r *coldRun) elapsed() time.Duration { return r.loop.now.Sub(epoch) }

func (r *coldRun) isCold() bool { return r.elapsed() >= r.cfg.ColdAt }

// warmth is 1 before ColdAt and then rises from 0 to 1 within WarmUp.
func (r *coldRun) warmth() float64 {
	if !r.isCold() {
		return 1
	}
	return min(1, float64(r.elapsed()-r.cfg.ColdAt)/float64(r.cfg.WarmUp))
}

// capacity is the number of concurrent requests that the target can handle.
func (r *coldRun) capacity() int {
	cold, warm := float64(r.cfg.ColdCapacity), float64(r.cfg.Slots)
	return int(cold + r.warmth()*(warm-cold))
}

func (r *coldRun) arrive() {
	gap := time.Duration(r.rng.ExpFloat64() / r.cfg.Rate * float64(time.Second))
	r.loop.after(gap, r.arrive)
	limit := r.cfg.Limiter.Limit(r.loop.now)
	r.recordLimit(limit)
	if r.inFlight >= limit {
		if r.isCold() {
			r.res.Refused++
			if r.inFlight < r.capacity() {
				r.res.RefusedBelowCapacity++
			}
		}
		return
	}
	r.dispatch()
}

func (r *coldRun) dispatch() {
	over := r.inFlight >= r.capacity()
	if r.isCold() {
		r.res.Dispatched++
		if over {
			r.res.OverCapacity++
			r.res.Excess += r.inFlight + 1 - r.capacity()
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
	return time.Duration(t * max(1, float64(r.inFlight)/float64(r.capacity())))
}

// recordLimit records changes of the limit.
func (r *coldRun) recordLimit(limit int) {
	defer func() { r.lastLimit = limit }()
	if !r.isCold() {
		if limit < r.lastLimit {
			r.res.DecreasesWhileWarm++
		}
		return
	}
	since := r.elapsed() - r.cfg.ColdAt
	if limit <= r.capacity() && r.res.TimeToLower < 0 {
		r.res.TimeToLower = since
	}
	if limit < r.cfg.Slots {
		r.limitLowered = true
	}
	if r.limitLowered && limit >= r.cfg.Slots && r.res.TimeToRecover < 0 {
		r.res.TimeToRecover = since
	}
}

// peerLatency is the reference latency from the other targets: the p90 of a
// lognormal service time with a median of 25 ms and sigma 0.5.
const peerLatency = 47500 * time.Microsecond

// NewColdstart returns a coldstart.Limiter with the given cold time.
func NewColdstart(slots int, coldTime time.Duration) Limiter {
	l := coldstart.New(coldstart.Options{Slots: slots, ColdLimit: 1, ColdTime: coldTime}, epoch)
	l.SetPeerLatency(peerLatency)
	return l
}

// FixedLimit is a constant concurrency limit.
type FixedLimit int

// Limit returns the constant.
func (f FixedLimit) Limit(time.Time) int { return int(f) }

// OnSuccess does nothing.
func (FixedLimit) OnSuccess(time.Time, time.Duration) {}

// OnShed does nothing.
func (FixedLimit) OnShed(time.Time) {}

// Restart does nothing.
func (FixedLimit) Restart(time.Time) {}

// AIMD is an additive-increase, multiplicative-decrease limit. It rises by one per
// limit successful responses and halves on overload, that is on a shed request or
// a latency above aimdFactor times the minimum.
type AIMD struct {
	Slots      int
	limit      float64
	minLatency time.Duration
	loweredAt  time.Time
}

const (
	aimdFactor = 3
	// aimdMinInterval is the minimum time between two decreases, about one round
	// of responses.
	aimdMinInterval = 100 * time.Millisecond
)

// Limit returns the limit rounded down, at least 1.
func (a *AIMD) Limit(time.Time) int { return max(1, int(a.limit)) }

// OnSuccess raises the limit or, if the response was slow, lowers it.
func (a *AIMD) OnSuccess(now time.Time, latency time.Duration) {
	if a.minLatency == 0 || latency < a.minLatency {
		a.minLatency = latency
	}
	if latency > aimdFactor*a.minLatency {
		a.OnShed(now)
		return
	}
	a.limit = min(float64(a.Slots), a.limit+1/max(1, a.limit))
}

// OnShed halves the limit, at most once per aimdMinInterval.
func (a *AIMD) OnShed(now time.Time) {
	if now.Sub(a.loweredAt) < aimdMinInterval {
		return
	}
	a.loweredAt = now
	a.limit /= 2
}

// Restart does nothing.
func (a *AIMD) Restart(time.Time) {}

// SlowAfter disables reports of overdue requests.
func (FixedLimit) SlowAfter() time.Duration { return 0 }

// OnOverdue does nothing.
func (FixedLimit) OnOverdue(time.Time) {}

// SlowAfter disables reports of overdue requests.
func (*AIMD) SlowAfter() time.Duration { return 0 }

// OnOverdue does nothing.
func (*AIMD) OnOverdue(time.Time) {}
