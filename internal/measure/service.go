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
	// NewJudge makes the detector of each worker; nil ejects nobody.
	NewJudge func() Judge
	// NewChooser makes the way of choosing of each ingress.
	NewChooser func(ing *Ingress) Chooser
	Duration   time.Duration
}

// Fault makes a worker serve badly for a time. Its health endpoint, which no
// rule here asks, would go on saying that all is well.
type Fault struct {
	Worker   int
	From, To time.Duration
	Errors   float64
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Flap is the period of a fault that is present half of the time.
	Flap time.Duration
}

// Restart makes a worker start anew: it takes four times as long and warms up
// linearly.
type Restart struct {
	Worker int
	At     time.Duration
	WarmUp time.Duration
}

const coldFactor = 4.0

// slowness is the factor on the service time at a moment.
func (r Restart) slowness(at time.Duration) float64 {
	if at < r.At || at >= r.At+r.WarmUp {
		return 1
	}
	warm := float64(at-r.At) / float64(r.WarmUp)
	return warm + (1-warm)*coldFactor
}

func (f Fault) active(at time.Duration) bool {
	if at < f.From || at >= f.To {
		return false
	}
	return f.Flap == 0 || (at-f.From)%f.Flap < f.Flap/2
}

// Judge is a detector. *eject.Detector is wrapped by SequentialJudge.
type Judge interface {
	Observe(now time.Time, s eject.Sample)
	Tick(now time.Time, others eject.Baseline)
	Overdue(now time.Time)
	SlowAfter() time.Duration
	Suspect() bool
	Score() float64
	Summary(now time.Time) eject.Summary
}

// Chooser picks a worker for a request of its ingress.
type Chooser interface {
	Choose(now time.Time) int
	// Done learns of an answer.
	Done(now time.Time, worker int, latency time.Duration)
}

const queueBound = 32

// worker is a target with its gate.
type worker struct {
	id      string
	dc      string
	judge   Judge
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
	Loads  *balance.Loads
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
		s.workers = append(s.workers, w)
	}
	s.records = s.snapshot()
	for i := range cfg.Ingresses {
		ing := &Ingress{Loads: &balance.Loads{}, sim: s, host: hostOf(i), dc: s.dcOf(i)}
		s.ings = append(s.ings, ing)
		ing.choose = cfg.NewChooser(ing)
	}
	for _, r := range cfg.Restarts {
		s.loop.after(r.At, func() { s.workers[r.Worker].judge = cfg.NewJudge() })
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
	ing := s.entry()
	i := ing.choose.Choose(s.loop.now)
	if i < 0 {
		s.Result.Busy++
		return
	}
	w := s.workers[i]
	r := &request{ing: ing, begun: s.loop.now}
	ing.Loads.Begin(w.id)
	if w.running >= s.cfg.Slots {
		s.enqueue(i, w, r)
		return
	}
	s.start(i, w, r)
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
		s.Result.Busy++
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
			s.loop.after(slow, func() { w.judge.Overdue(s.loop.now) })
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
	}
	s.Result.Latencies = append(s.Result.Latencies, s.loop.now.Sub(r.begun))
	s.answer(i, w, r)
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		s.start(i, w, next)
	}
}

// answer brings the gate's report to the ingress.
func (s *Sim) answer(i int, w *worker, r *request) {
	inFlight := w.running + len(w.queue)
	r.ing.Loads.End(w.id)
	r.ing.Loads.Report(s.loop.now, w.id, wire.Load{InFlight: inFlight, Limit: s.cfg.Slots})
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
