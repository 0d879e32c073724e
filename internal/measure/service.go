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

// Config configures one simulation.
type Config struct {
	Seed    uint64
	Workers int
	// Slots is the concurrency of each worker. Workers are spread over DataCentres
	// data centres.
	Slots       int
	DataCentres int
	// Ingresses is how many ingresses receive Rate requests per second in total.
	Ingresses int
	Rate      float64
	// Skew is the fraction of requests that always arrive in the first data
	// centre. The others are spread evenly over all ingresses.
	Skew float64
	// Median and Sigma describe the lognormal service time.
	Median time.Duration
	Sigma  float64
	// Errors is the fraction of requests that fail on a healthy worker.
	Errors float64
	// Speeds multiplies the service time, by worker; nil means 1 for all.
	Speeds []float64
	// GossipLag is the delay after which records reach other daemons.
	GossipLag time.Duration
	Floor     float64
	Faults    []Fault
	// Restarts are restarts of workers, each followed by a cold start.
	Restarts []Restart
	// Outage drains a data centre for a time; nil for none.
	Outage *Outage
	// ColdStart gives each worker's gate a coldstart.Limiter. Otherwise the limit
	// is the number of slots.
	ColdStart bool
	// RefuseCold makes the gate of a cold worker refuse requests instead of
	// queueing them. The ingress then tries up to two more gates.
	RefuseCold bool
	// NewDetector returns the detector of a worker; nil disables ejection.
	NewDetector func() Detector
	// NewBalancer returns the load-balancing algorithm of an ingress.
	NewBalancer func(ing *Ingress) Balancer
	Duration    time.Duration
	// MeasureFrom is when the recording of latencies and refusals starts.
	MeasureFrom time.Duration
}

// Detector detects outliers. SequentialDetector adapts *eject.Detector to it.
type Detector interface {
	Observe(now time.Time, s eject.Sample)
	Tick(now time.Time, others eject.Baseline)
	ObserveOverdue(now time.Time)
	SlowAfter() time.Duration
	Suspect() bool
	Score() float64
	Summary(now time.Time) eject.Summary
}

// Balancer is the load-balancing algorithm of an ingress.
type Balancer interface {
	// Pick returns the worker for a request, or -1 if there is none. tried
	// lists the workers that have refused the request.
	Pick(now time.Time, tried []int) int
	// OnResponse is called for each response.
	OnResponse(now time.Time, worker int, latency time.Duration)
}

const maxQueueLength = 32

// worker is a target together with its gate.
type worker struct {
	id       string
	dc       string
	detector Detector
	limiter  Limiter
	running  int
	queue    []*request
	ejected  bool
}

type request struct {
	ing       *Ingress
	startedAt time.Time
	sentAt    time.Time
}

// Ingress is the ingress of one daemon.
type Ingress struct {
	Loads    *balance.LoadTracker
	sim      *Simulation
	host     string
	dc       string
	balancer Balancer
	View     *balance.View
}

// Simulation is the state of one simulation.
type Simulation struct {
	cfg       Config
	loop      *loop
	rng       *rand.Rand
	workers   []*worker
	ingresses []*Ingress
	records   []member.Daemon
	Result    Result
}

// Result holds the measurements of one simulation.
type Result struct {
	Latencies []time.Duration
	Failed    int
	Refused   int
	// FirstEjected is the time of each worker's first ejection; -1 for none.
	FirstEjected []time.Duration
	// FalseEjections counts ejections of workers without a fault, TrueEjections
	// those of workers with a fault that is active or ended less than a minute ago.
	FalseEjections int
	TrueEjections  int
	// EjectedTime is the total time that each worker was ejected.
	EjectedTime []time.Duration
	// Dispatched counts the requests that each worker started.
	Dispatched []int
}

// Run runs the simulation described by cfg.
func Run(cfg Config) Result {
	s := &Simulation{cfg: cfg, loop: newLoop(), rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	s.Result.FirstEjected = make([]time.Duration, cfg.Workers)
	s.Result.EjectedTime = make([]time.Duration, cfg.Workers)
	s.Result.Dispatched = make([]int, cfg.Workers)
	for i := range cfg.Workers {
		s.Result.FirstEjected[i] = -1
		w := &worker{id: hostOf(i) + "/w", dc: s.dcOf(i)}
		if cfg.NewDetector != nil {
			w.detector = cfg.NewDetector()
		}
		if cfg.ColdStart {
			w.limiter = NewColdstart(cfg.Slots, 5*time.Second)
		}
		s.workers = append(s.workers, w)
	}
	s.records = s.snapshot()
	for i := range cfg.Ingresses {
		ing := &Ingress{Loads: &balance.LoadTracker{}, sim: s, host: hostOf(i), dc: s.dcOf(i)}
		s.ingresses = append(s.ingresses, ing)
		ing.balancer = cfg.NewBalancer(ing)
	}
	for _, r := range cfg.Restarts {
		s.loop.after(r.At, func() { s.restart(s.workers[r.Worker]) })
	}
	s.rebuild()
	s.loop.after(time.Second, s.controlTick)
	s.loop.after(0, s.arrive)
	s.loop.runUntil(epoch.Add(cfg.Duration))
	return s.Result
}

func hostOf(i int) string { return fmt.Sprintf("h%d", i) }

func (s *Simulation) dcOf(i int) string { return fmt.Sprintf("dc%d", i%s.cfg.DataCentres) }

func (s *Simulation) elapsed() time.Duration { return s.loop.now.Sub(epoch) }

func (s *Simulation) arrive() {
	gap := time.Duration(s.rng.ExpFloat64() / s.cfg.Rate * float64(time.Second))
	s.loop.after(gap, s.arrive)
	s.dispatch(&request{ing: s.pickIngress(), startedAt: s.loop.now}, nil)
}

const maxAttempts = 3

// dispatch sends a request to a worker.
func (s *Simulation) dispatch(r *request, tried []int) {
	i := r.ing.balancer.Pick(s.loop.now, tried)
	if i < 0 {
		s.countRefused()
		return
	}
	w := s.workers[i]
	if s.cfg.RefuseCold && s.isFullAndCold(w) && len(tried) < maxAttempts-1 {
		r.ing.Loads.RecordReport(s.loop.now, w.id, s.load(w))
		s.dispatch(r, append(tried, i))
		return
	}
	r.ing.Loads.Begin(w.id)
	if w.running >= s.limit(w) {
		s.enqueue(i, w, r)
		return
	}
	s.start(i, w, r)
}

func (s *Simulation) countRefused() {
	if s.elapsed() >= s.cfg.MeasureFrom {
		s.Result.Refused++
	}
}

func (s *Simulation) isFullAndCold(w *worker) bool {
	limit := s.limit(w)
	return limit < s.cfg.Slots && w.running >= limit
}

func (s *Simulation) load(w *worker) wire.Load {
	return wire.Load{InFlight: w.running + len(w.queue), Limit: s.limit(w)}
}

func (s *Simulation) restart(w *worker) {
	w.detector = s.cfg.NewDetector()
	if w.limiter != nil {
		w.limiter.Restart(s.loop.now)
	}
}

// pickIngress returns the ingress at which a request arrives.
func (s *Simulation) pickIngress() *Ingress {
	n := len(s.ingresses)
	if s.rng.Float64() < s.cfg.Skew {
		return s.ingresses[s.rng.IntN(n/s.cfg.DataCentres)*s.cfg.DataCentres]
	}
	return s.ingresses[s.rng.IntN(n)]
}

func (s *Simulation) enqueue(i int, w *worker, r *request) {
	if len(w.queue) >= maxQueueLength {
		s.countRefused()
		s.complete(i, w, r)
		return
	}
	w.queue = append(w.queue, r)
}

func (s *Simulation) start(i int, w *worker, r *request) {
	w.running++
	s.Result.Dispatched[i]++
	r.sentAt = s.loop.now
	service := s.serviceTime(i)
	failed := s.rng.Float64() < s.errorRate(i)
	if w.detector != nil {
		if slow := w.detector.SlowAfter(); slow > 0 && service > slow {
			s.loop.after(slow, func() { w.detector.ObserveOverdue(s.loop.now) })
		}
	}
	s.loop.after(service, func() { s.finish(i, w, r, failed) })
}

func (s *Simulation) finish(i int, w *worker, r *request, failed bool) {
	w.running--
	latency := s.loop.now.Sub(r.sentAt)
	if w.detector != nil {
		w.detector.Observe(s.loop.now, eject.Sample{Failed: failed, Latency: latency})
	}
	if failed {
		s.Result.Failed++
	} else if w.limiter != nil {
		w.limiter.OnSuccess(s.loop.now, latency)
	}
	if s.elapsed() >= s.cfg.MeasureFrom {
		s.Result.Latencies = append(s.Result.Latencies, s.loop.now.Sub(r.startedAt))
	}
	s.complete(i, w, r)
	for len(w.queue) > 0 && w.running < s.limit(w) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		s.start(i, w, next)
	}
}

// limit is the concurrency limit of the worker's gate.
func (s *Simulation) limit(w *worker) int {
	if w.limiter == nil {
		return s.cfg.Slots
	}
	return w.limiter.Limit(s.loop.now)
}

// complete passes the gate's load report to the ingress.
func (s *Simulation) complete(i int, w *worker, r *request) {
	r.ing.Loads.End(w.id)
	r.ing.Loads.RecordReport(s.loop.now, w.id, s.load(w))
	r.ing.balancer.OnResponse(s.loop.now, i, s.loop.now.Sub(r.startedAt))
}

func (s *Simulation) serviceTime(i int) time.Duration {
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
			t *= r.slowdown(s.elapsed())
			t *= max(1, float64(s.workers[i].running)/float64(r.capacity(s.elapsed(), s.cfg.Slots)))
		}
	}
	return time.Duration(t)
}

func (s *Simulation) errorRate(i int) float64 {
	rate := s.cfg.Errors
	for _, f := range s.cfg.Faults {
		if f.Worker == i && f.active(s.elapsed()) {
			rate = max(rate, f.Errors)
		}
	}
	return rate
}
