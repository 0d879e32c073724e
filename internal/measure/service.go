package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/eject"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Config describes one run.
type Config struct {
	Seed    uint64
	Workers int
	// Slots of each worker and DataCentres that they are spread over.
	Slots       int
	DataCentres int
	// Ingresses that receive Rate requests a second together.
	Ingresses int
	Rate      float64
	// Skew is the share of requests that enter through the first data centre;
	// 0 spreads them evenly.
	Skew float64
	// Median service time and the Sigma of its lognormal distribution.
	Median time.Duration
	Sigma  float64
	// Errors is the share of requests that a healthy worker fails.
	Errors float64
	// Speeds multiplies the service time of each worker; nil means 1.
	Speeds []float64
	// GossipLag is the age of the records that others see.
	GossipLag time.Duration
	Floor     float64
	Faults    []Fault
	// Restarts of workers, each followed by a cold start.
	Restarts []Restart
	// Outage takes a data centre out of service; nil for none.
	Outage *Outage
	// ColdStart gives each worker's gate a coldstart.Limiter; otherwise the
	// gate admits all slots.
	ColdStart bool
	// RefuseCold lets the gate of a cold worker refuse what would have to
	// wait; the ingress then tries up to two more gates.
	RefuseCold bool
	// NewJudge makes the detector of each worker; nil ejects nobody.
	NewJudge func() Judge
	// NewChooser makes the way of choosing of each ingress.
	NewChooser func(ing *Ingress) Chooser
	Duration   time.Duration
	// MeasureFrom is when latencies and refusals begin to count.
	MeasureFrom time.Duration
}

// Judge is a detector. *eject.Detector is wrapped by SequentialJudge.
type Judge interface {
	Observe(now time.Time, s eject.Sample)
	Tick(now time.Time, others eject.Baseline)
	ObserveOverdue(now time.Time)
	SlowAfter() time.Duration
	Suspect() bool
	Score() float64
	Summary(now time.Time) eject.Summary
}

// Chooser picks a worker for a request of its ingress.
type Chooser interface {
	// tried lists workers that have refused it.
	Choose(now time.Time, tried []int) int
	// Done learns of an answer.
	Done(now time.Time, worker int, latency time.Duration)
}

const queueBound = 32

// worker is a target with its gate.
type worker struct {
	id      string
	dc      string
	judge   Judge
	limiter Limiter
	running int
	queue   []*request
	ejected bool
}

type request struct {
	ing   *Ingress
	begun time.Time
	sent  time.Time
}

// Ingress is one entry of requests.
type Ingress struct {
	Loads  *balance.LoadTracker
	sim    *Sim
	host   string
	dc     string
	choose Chooser
	View   *balance.View
}

// Sim is one run.
type Sim struct {
	cfg     Config
	loop    *loop
	rng     *rand.Rand
	workers []*worker
	ings    []*Ingress
	records []member.Daemon
	Result  Result
}

// Result holds what was measured.
type Result struct {
	Latencies []time.Duration
	Failed    int
	Busy      int
	// FirstEjected is the time of each worker's first ejection; -1 for none.
	FirstEjected []time.Duration
	// Ejections counts ejections of workers without any fault (False) and
	// with one (True), and returns of each.
	False int
	True  int
	// EjectedTime sums the time that each worker spent ejected.
	EjectedTime []time.Duration
	// Dispatched counts requests that each worker was given.
	Dispatched []int
}

// Run simulates cfg.
func Run(cfg Config) Result {
	s := &Sim{cfg: cfg, loop: newLoop(), rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	s.Result.FirstEjected = make([]time.Duration, cfg.Workers)
	s.Result.EjectedTime = make([]time.Duration, cfg.Workers)
	s.Result.Dispatched = make([]int, cfg.Workers)
	for i := range cfg.Workers {
		s.Result.FirstEjected[i] = -1
		w := &worker{id: hostOf(i) + "/w", dc: s.dcOf(i)}
		if cfg.NewJudge != nil {
			w.judge = cfg.NewJudge()
		}
		if cfg.ColdStart {
			w.limiter = NewColdstart(cfg.Slots, 5*time.Second)
		}
		s.workers = append(s.workers, w)
	}
	s.records = s.snapshot()
	for i := range cfg.Ingresses {
		ing := &Ingress{Loads: &balance.LoadTracker{}, sim: s, host: hostOf(i), dc: s.dcOf(i)}
		s.ings = append(s.ings, ing)
		ing.choose = cfg.NewChooser(ing)
	}
	for _, r := range cfg.Restarts {
		s.loop.after(r.At, func() { s.restart(s.workers[r.Worker]) })
	}
	s.rebuild()
	s.loop.after(time.Second, s.second)
	s.loop.after(0, s.arrive)
	s.loop.runUntil(epoch.Add(cfg.Duration))
	return s.Result
}

func hostOf(i int) string { return fmt.Sprintf("h%d", i) }

func (s *Sim) dcOf(i int) string { return fmt.Sprintf("dc%d", i%s.cfg.DataCentres) }

func (s *Sim) elapsed() time.Duration { return s.loop.now.Sub(epoch) }

func (s *Sim) arrive() {
	gap := time.Duration(s.rng.ExpFloat64() / s.cfg.Rate * float64(time.Second))
	s.loop.after(gap, s.arrive)
	s.place(&request{ing: s.entry(), begun: s.loop.now}, nil)
}

const maxAttempts = 3

// place sends a request to a worker.
func (s *Sim) place(r *request, tried []int) {
	i := r.ing.choose.Choose(s.loop.now, tried)
	if i < 0 {
		s.countBusy()
		return
	}
	w := s.workers[i]
	if s.cfg.RefuseCold && s.isFullAndCold(w) && len(tried) < maxAttempts-1 {
		r.ing.Loads.RecordReport(s.loop.now, w.id, s.load(w))
		s.place(r, append(tried, i))
		return
	}
	r.ing.Loads.Begin(w.id)
	if w.running >= s.limit(w) {
		s.enqueue(i, w, r)
		return
	}
	s.start(i, w, r)
}

func (s *Sim) countBusy() {
	if s.elapsed() >= s.cfg.MeasureFrom {
		s.Result.Busy++
	}
}

func (s *Sim) isFullAndCold(w *worker) bool {
	limit := s.limit(w)
	return limit < s.cfg.Slots && w.running >= limit
}

func (s *Sim) load(w *worker) wire.Load {
	return wire.Load{InFlight: w.running + len(w.queue), Limit: s.limit(w)}
}

func (s *Sim) restart(w *worker) {
	w.judge = s.cfg.NewJudge()
	if w.limiter != nil {
		w.limiter.Restart(s.loop.now)
	}
}

// entry picks the ingress of a request.
func (s *Sim) entry() *Ingress {
	n := len(s.ings)
	if s.rng.Float64() < s.cfg.Skew {
		return s.ings[s.rng.IntN(n/s.cfg.DataCentres)*s.cfg.DataCentres]
	}
	return s.ings[s.rng.IntN(n)]
}

func (s *Sim) enqueue(i int, w *worker, r *request) {
	if len(w.queue) >= queueBound {
		s.countBusy()
		s.answer(i, w, r)
		return
	}
	w.queue = append(w.queue, r)
}

func (s *Sim) start(i int, w *worker, r *request) {
	w.running++
	s.Result.Dispatched[i]++
	r.sent = s.loop.now
	service := s.serviceTime(i)
	failed := s.rng.Float64() < s.errorRate(i)
	if w.judge != nil {
		if slow := w.judge.SlowAfter(); slow > 0 && service > slow {
			s.loop.after(slow, func() { w.judge.ObserveOverdue(s.loop.now) })
		}
	}
	s.loop.after(service, func() { s.finish(i, w, r, failed) })
}

func (s *Sim) finish(i int, w *worker, r *request, failed bool) {
	w.running--
	latency := s.loop.now.Sub(r.sent)
	if w.judge != nil {
		w.judge.Observe(s.loop.now, eject.Sample{Failed: failed, Latency: latency})
	}
	if failed {
		s.Result.Failed++
	} else if w.limiter != nil {
		w.limiter.OnSuccess(s.loop.now, latency)
	}
	if s.elapsed() >= s.cfg.MeasureFrom {
		s.Result.Latencies = append(s.Result.Latencies, s.loop.now.Sub(r.begun))
	}
	s.answer(i, w, r)
	for len(w.queue) > 0 && w.running < s.limit(w) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		s.start(i, w, next)
	}
}

// limit is how many requests the worker's gate admits.
func (s *Sim) limit(w *worker) int {
	if w.limiter == nil {
		return s.cfg.Slots
	}
	return w.limiter.Limit(s.loop.now)
}

// answer brings the gate's report to the ingress.
func (s *Sim) answer(i int, w *worker, r *request) {
	r.ing.Loads.End(w.id)
	r.ing.Loads.RecordReport(s.loop.now, w.id, s.load(w))
	r.ing.choose.Done(s.loop.now, i, s.loop.now.Sub(r.begun))
}

func (s *Sim) serviceTime(i int) time.Duration {
	t := float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*s.rng.NormFloat64())
	if s.cfg.Speeds != nil {
		t *= s.cfg.Speeds[i]
	}
	for _, f := range s.cfg.Faults {
		if f.Worker == i && f.Slow > 0 && f.active(s.elapsed()) {
			t *= f.Slow
		}
	}
	for _, r := range s.cfg.Restarts {
		if r.Worker == i {
			t *= r.slowness(s.elapsed())
			t *= max(1, float64(s.workers[i].running)/float64(r.bears(s.elapsed(), s.cfg.Slots)))
		}
	}
	return time.Duration(t)
}

func (s *Sim) errorRate(i int) float64 {
	rate := s.cfg.Errors
	for _, f := range s.cfg.Faults {
		if f.Worker == i && f.active(s.elapsed()) {
			rate = max(rate, f.Errors)
		}
	}
	return rate
}
