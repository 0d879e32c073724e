package placing_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/speed"
)

// A fleet in virtual time: ingresses choose gates by placing and search them in the
// order of hostd, gates admit by admission and learn by speed, and targets differ.

// targetSpec describes a simulated target.
type targetSpec struct {
	dc    int
	slots int
	// slowness multiplies durations; beyond knee requests in progress they grow in proportion.
	slowness float64
	knee     int
	// delay is what the host adds to each request, for lack of processor, and shortage
	// what its reports say.
	delay    time.Duration
	shortage float64
}

// fleetSpec describes a simulated fleet and its load.
type fleetSpec struct {
	targets   []targetSpec
	dcs       int
	ingresses int
	rate      float64 // of arrivals a second, over the fleet
	swing     float64 // of the rate of a data centre, each in its own phase
	// tellShortage is set if gates tell the shortage of their hosts.
	tellShortage bool
	meanLoad     bool // gates tell the mean load
	learn        bool // gates learn speed and limit
	allLocal     bool // no local candidate is left out
	spill        bool // ingresses spill to other data centres
	// quiet is the share of its arrivals that a data centre other than the first has.
	quiet float64
	// lostReports is the share of reports that do not arrive.
	lostReports float64
	duration    time.Duration
	// change, if not nil, is called at changeAt.
	changeAt time.Duration
	change   func(*fleet)
	seed     uint64
}

type route struct {
	usual, objective time.Duration
}

var routes = []route{
	{80 * time.Millisecond, 400 * time.Millisecond}, {150 * time.Millisecond, 600 * time.Millisecond},
	{300 * time.Millisecond, time.Second}, {500 * time.Millisecond, 1500 * time.Millisecond},
}

const (
	sigma        = 0.6 // of the logarithm of the duration within a route
	demandPeriod = 20 * time.Second
	warmUp       = 10 * time.Second
	// localDelay and remoteDelay are round trips to a gate.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 5 * time.Millisecond
)

type target struct {
	targetSpec
	name    string
	queue   *admission.Queue
	speed   *speed.Estimator
	typical [4]speed.Usual // by route
	load    speed.Load
	// served, busy and remote count requests, slot time, and requests of other data
	// centres, all after warmUp.
	served, remote int
	busy           time.Duration
}

type ingress struct {
	dc      int
	reports []placing.Report // by target
	usual   [4]speed.Usual
	balance placing.Balance
}

type request struct {
	at      time.Duration
	in      *ingress
	route   int
	started time.Duration
	level   int
	usual   time.Duration
}

type fleet struct {
	spec      fleetSpec
	rnd       *rand.Rand
	now       time.Duration
	events    events
	seq       int
	targets   []*target
	ingresses []*ingress
	// latencies, late, refused and spilt are those of requests that arrived after warmUp.
	latencies     []time.Duration
	late, refused int
	spilt         int
}

func (f *fleet) time() time.Time { return time.Unix(1_700_000_000, 0).Add(f.now) }

func play(spec fleetSpec) *fleet {
	f := &fleet{spec: spec, rnd: rand.New(rand.NewPCG(spec.seed, 1))}
	for i, t := range spec.targets {
		f.targets = append(f.targets, &target{targetSpec: t, name: string(rune('a' + i)), queue: admission.NewQueue(t.slots), speed: speed.NewEstimator(t.slots)})
	}
	for i := range spec.ingresses {
		f.ingresses = append(f.ingresses, &ingress{dc: i % spec.dcs, reports: make([]placing.Report, len(spec.targets))})
	}
	if spec.change != nil {
		f.after(spec.changeAt, func() { spec.change(f) })
	}
	f.scheduleArrival()
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		if f.now > spec.duration {
			break
		}
		e.do()
	}
	return f
}

// scheduleArrival schedules the next arrival by thinning a Poisson process.
func (f *fleet) scheduleArrival() {
	peak := f.spec.rate * (1 + f.spec.swing)
	f.after(time.Duration(f.rnd.ExpFloat64()/peak*float64(time.Second)), func() {
		in := f.ingresses[f.rnd.IntN(len(f.ingresses))]
		phase := 2 * math.Pi * (f.now.Seconds()/demandPeriod.Seconds() + float64(in.dc)/float64(f.spec.dcs))
		if in.dc != 0 && f.spec.quiet > 0 && f.rnd.Float64() >= f.spec.quiet {
			f.scheduleArrival()
			return
		}
		if f.rnd.Float64() < (1+f.spec.swing*math.Sin(phase))/(1+f.spec.swing) {
			f.arrive(&request{at: f.now, in: in, route: f.rnd.IntN(len(routes))})
		}
		f.scheduleArrival()
	})
}

func (f *fleet) arrive(r *request) {
	rt := routes[r.route]
	r.usual = r.in.usual[r.route].Duration()
	cands := make([]placing.Candidate, len(f.targets))
	for i, t := range f.targets {
		cands[i] = placing.Candidate{Target: t.name, Host: t.name, Local: t.dc == r.in.dc, Report: r.in.reports[i]}
	}
	placing.SortByCost(f.time(), cands, placing.Request{Repeatable: true, Objective: rt.objective}, f.rnd)
	if !f.spec.spill && !f.spec.allLocal {
		cands = cands[:min(len(cands), 8)]
	}
	steps := f.search(cands, rt)
	if f.spec.spill {
		var remote []string
		for dc := range f.spec.dcs {
			if dc != r.in.dc {
				remote = append(remote, strconv.Itoa(dc))
			}
		}
		if to := r.in.balance.Choose(f.time(), strconv.Itoa(r.in.dc), remote, placing.Request{Objective: rt.objective}, f.rnd); to != "" {
			f.countSpill(r)
			steps = append(f.stepsIn(cands, to), steps...)
		}
	}
	f.offer(r, steps, 0)
}

type step struct {
	c    placing.Candidate
	wait time.Duration
}

// search returns the offers in the order of hostd's attempt.search and tryLastResort.
func (f *fleet) search(cands []placing.Candidate, rt route) []step {
	var local, remote []placing.Candidate
	for _, c := range cands {
		if c.Local {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	var steps []step
	for _, c := range local {
		steps = append(steps, step{c: c})
	}
	for _, c := range local {
		steps = append(steps, step{c: c, wait: time.Duration(0.08 * float64(rt.objective))})
	}
	for _, c := range remote[:min(len(remote), 3)] {
		steps = append(steps, step{c: c})
	}
	for _, c := range cands[:min(len(cands), 2)] {
		steps = append(steps, step{c: c, wait: 2 * rt.objective})
	}
	return steps
}

// stepsIn returns the offers to the first two candidates in a data centre.
func (f *fleet) stepsIn(cands []placing.Candidate, dc string) []step {
	var steps []step
	for _, c := range cands {
		if len(steps) < 2 && strconv.Itoa(f.targets[f.index(c)].dc) == dc {
			steps = append(steps, step{c: c})
		}
	}
	return steps
}

func (f *fleet) index(c placing.Candidate) int {
	return slices.IndexFunc(f.targets, func(t *target) bool { return t.name == c.Target })
}

// offer makes the offers from the given step on until a gate accepts.
func (f *fleet) offer(r *request, steps []step, at int) {
	if at == len(steps) {
		f.countRefused(r)
		return
	}
	s := steps[at]
	i := f.index(s.c)
	last := r.in.reports[i]
	fresh := 100 * time.Millisecond
	delay := localDelay
	if !s.c.Local {
		fresh, delay = 250*time.Millisecond, remoteDelay
	}
	if s.wait == 0 && !last.ReceivedAt.IsZero() && f.time().Sub(last.ReceivedAt) < fresh && last.Running >= last.Slots {
		f.offer(r, steps, at+1)
		return
	}
	f.after(delay/2, func() {
		t := f.targets[i]
		it := &admission.Item{Expected: routes[r.route].usual, Deadline: f.time().Add(4 * routes[r.route].objective), MaxWait: s.wait}
		it.Value = func() { f.run(i, r) }
		v, dropped := t.queue.Offer(f.time(), it)
		t.observeLoad(f.time())
		for range dropped {
			f.countRefused(r)
		}
		switch v {
		case admission.Admitted:
			f.run(i, r)
		case admission.Queued:
		default:
			f.after(delay/2, func() {
				f.report(i, r)
				f.offer(r, steps, at+1)
			})
		}
	})
}

// report delivers the report of a target's gate to the ingress of a request.
func (f *fleet) report(i int, r *request) {
	if f.rnd.Float64() < f.spec.lostReports {
		return
	}
	t := f.targets[i]
	rep := placing.Report{ReceivedAt: f.time(), Running: t.queue.Running(), Waiting: t.queue.Waiting(), Slots: t.queue.Limit(), ExpectedWait: t.queue.ExpectedWait(), GrayProbability: 0.1}
	if f.spec.tellShortage {
		rep.Shortage = t.shortage
	}
	if f.spec.meanLoad {
		rep.MeanLoad = t.load.Mean(f.time())
	}
	if f.spec.learn {
		rep.Slowness = t.speed.Slowness()
	}
	r.in.reports[i] = rep
	r.in.balance.Observe(f.time(), strconv.Itoa(t.dc), rep)
	r.in.usual[r.route].Observe(t.typical[r.route].Duration())
}

// run runs a request that has a slot.
func (f *fleet) run(i int, r *request) {
	t := f.targets[i]
	r.started, r.level = f.now, t.queue.Running()
	crowding := max(1, float64(r.level)/float64(t.knee))
	took := time.Duration(float64(routes[r.route].usual) * t.slowness * crowding * math.Exp(sigma*f.rnd.NormFloat64()))
	if f.counted(r) {
		t.served++
		t.busy += took
		if t.dc != r.in.dc {
			t.remote++
		}
	}
	f.after(t.delay, func() { f.finish(i, r, took) })
}

// finish runs a request at its target.
func (f *fleet) finish(i int, r *request, took time.Duration) {
	t := f.targets[i]
	f.after(took, func() {
		t.typical[r.route].Observe(took)
		if f.spec.learn {
			t.speed.Observe(f.time(), speed.Sample{InProgress: r.level, Took: took, Usual: r.usual, Warm: true})
			t.queue.SetLimit(t.speed.Limit())
		}
		t.queue.Complete(took, false)
		run, late := t.queue.Next(f.time())
		t.observeLoad(f.time())
		for _, it := range run {
			it.Value.(func())()
		}
		f.refused += len(late)
		f.report(i, r)
		if !f.counted(r) {
			return
		}
		f.latencies = append(f.latencies, f.now-r.at)
		if f.now-r.at > routes[r.route].objective {
			f.late++
		}
	})
}

func (f *fleet) counted(r *request) bool { return r.at >= warmUp }

func (f *fleet) countSpill(r *request) {
	if f.counted(r) {
		f.spilt++
	}
}

func (f *fleet) countRefused(r *request) {
	if f.counted(r) {
		f.refused++
	}
}

// result is what the callers and the targets of a fleet got.
type result struct {
	// busiest and mostServed are the busiest target's slot time per slot and the highest
	// number of requests of a target, each relative to the mean.
	busiest, mostServed float64
	p50, p95            time.Duration
	lateShare, refused  float64
	remoteShare         float64
	spilt               float64
}

func (f *fleet) result() result {
	var busy, served []float64
	remote := 0
	for _, t := range f.targets {
		busy = append(busy, t.busy.Seconds()/float64(min(t.slots, t.knee)))
		served = append(served, float64(t.served))
		remote += t.remote
	}
	slices.Sort(f.latencies)
	n := len(f.latencies)
	return result{
		busiest: relativeMax(busy), mostServed: relativeMax(served),
		p50: f.latencies[n/2].Round(time.Millisecond), p95: f.latencies[n*95/100].Round(time.Millisecond),
		lateShare: float64(f.late) / float64(n), refused: float64(f.refused) / float64(n+f.refused),
		remoteShare: float64(remote) / float64(n),
		spilt:       float64(f.spilt) / float64(n),
	}
}

func relativeMax(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return slices.Max(xs) * float64(len(xs)) / sum
}

func (t *target) observeLoad(now time.Time) {
	t.load.Observe(now, float64(t.queue.Running()+t.queue.Waiting())/float64(t.queue.Limit()))
}
