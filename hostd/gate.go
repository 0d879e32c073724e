package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Gate is the only door to the target of this host.
type Gate struct {
	set      func() *karpithaz.Settings
	view     func() *View
	announce func(*Target)
	// died is told of the target's death with the requests in flight.
	died    func(ctx context.Context, target string, life int64, fingerprints []uint64)
	log     *decisions.Log
	metrics *metrics.Registry
	links   *link.Pool
	// life tells this process's gate from earlier ones of the host.
	life int64

	mu     sync.Mutex
	target *local
	works  map[string]*gray.DurationModel
	// sent are the attempts that went to the target, withdrawn those that must
	// not, and waiting those in the line.
	sent, withdrawn attemptTimes
	waiting         map[string]*admission.Item
	stopping        bool
}

// targetIdle is how long a connection to the target may wait for reuse: well
// under the target's own time-out, so that few requests meet its close.
const targetIdle = 4 * time.Second

// targetDialTimeout bounds connecting to a target on the same host.
const targetDialTimeout = time.Second

// targetUserTimeout bounds how long the target may refuse to take bytes.
const targetUserTimeout = 5 * time.Second

// NewGate returns a gate that knows no target yet. announce is told of the
// target, or nil, whenever others should know.
func NewGate(set func() *karpithaz.Settings, view func() *View, announce func(*Target), l *decisions.Log, m *metrics.Registry) *Gate {
	return &Gate{
		set:       set,
		view:      view,
		announce:  announce,
		died:      func(context.Context, string, int64, []uint64) {},
		log:       l,
		metrics:   m,
		life:      time.Now().UnixNano(),
		works:     map[string]*gray.DurationModel{},
		sent:      attemptTimes{},
		withdrawn: attemptTimes{},
		waiting:   map[string]*admission.Item{},
		links: link.New(link.Options{
			DialTimeout:    targetDialTimeout,
			TCPUserTimeout: targetUserTimeout,
			IdleTimeout:    targetIdle,
		}),
	}
}

// Stop makes the gate refuse new work and what waits, so that it can go
// elsewhere. What runs goes on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	if g.target != nil {
		g.flush(g.target, "host "+g.set().Host+" is stopping")
	}
}

// CallFailed tells that a call which the target made has failed.
func (g *Gate) CallFailed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != nil && len(g.target.failedCalls) < maxFailedCalls {
		g.target.failedCalls = append(g.target.failedCalls, time.Now())
	}
}

// maxFailedCalls bounds the failures that are remembered at once.
const maxFailedCalls = 64

// Withdraw makes sure that an attempt will not go to the target, unless it has
// already, and reports whether it did or may have: what was sent to an earlier
// process, of another life, is not known here.
func (g *Gate) Withdraw(id string, life int64) (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if life != g.life || g.sent.has(id) {
		return true
	}
	g.withdrawn.add(id, time.Now())
	if it := g.waiting[id]; it != nil && g.target != nil && g.target.line.Remove(it) {
		grant(it, wire.Refuse(wire.ReasonSettled, "withdrawn"))
	}
	return false
}

// Close drops idle connections.
func (g *Gate) Close() { g.links.Close() }

// Forward takes an attempt to the target and returns the whole answer, or a
// refusal that says whether the request ran.
// onSend, if not nil, is called when the request is about to go to the target.
func (g *Gate) Forward(ctx context.Context, f Forward, req *fasthttp.Request, onSend func()) Reply {
	arrived := time.Now()
	tk, refusal := g.admit(ctx, f, arrived)
	if refusal != nil {
		g.log.Decide("gate-refused", "id", f.Attempt, "target", f.Target, "reason", refusal.Reason, "run", refusal.Run,
			"detail", refusal.Detail, "max_wait_ms", f.MaxWaitMs, "max_gray", f.MaxGray, "waited_ms", time.Since(arrived).Milliseconds(), "revision", f.Revision)
		g.metrics.Add("gate_refused_"+string(refusal.Reason), 1)
		return Reply{Refusal: refusal, Report: g.report()}
	}
	if onSend != nil {
		onSend()
	}
	reply := g.exchange(ctx, tk, req)
	reply.Report = g.report()
	return reply
}

func (g *Gate) report() placing.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return placing.Report{Incarnation: g.life}
	}
	r := g.target.report(time.Now())
	r.Incarnation = g.life
	return r
}

// ticket is an attempt that holds a slot.
type ticket struct {
	f        Forward
	target   *local
	deadline time.Time
	started  time.Time
	request  *gray.Request
}

// admit takes an attempt through the checks and the line to a slot.
func (g *Gate) admit(ctx context.Context, f Forward, now time.Time) (*ticket, *wire.Refusal) {
	tk := &ticket{f: f, deadline: now.Add(time.Duration(f.TimeLeftMs) * time.Millisecond)}
	g.mu.Lock()
	it, refusal := g.offer(tk, now)
	g.mu.Unlock()
	if refusal != nil || it == nil {
		return tk, refusal
	}
	return tk, g.await(ctx, tk, it)
}

// offer gives the ticket a slot, or returns its item in the line; the lock is
// held.
func (g *Gate) offer(tk *ticket, now time.Time) (*admission.Item, *wire.Refusal) {
	if refusal := g.check(tk.f, now); refusal != nil {
		return nil, refusal
	}
	t := g.target
	tk.target = t
	work := g.work(tk.f)
	it := &admission.Item{
		Nested:    tk.f.Inner,
		Priority:  tk.f.Priority,
		Expected:  work.Mean(),
		Deadline:  tk.deadline,
		Objective: aim(tk.f, now),
		MaxWait:   time.Duration(tk.f.MaxWaitMs) * time.Millisecond,
		Value:     make(chan *wire.Refusal, 1),
	}
	verdict, dropped := t.line.Offer(now, it)
	for _, d := range dropped {
		grant(d, g.busy(t, "others come before and too little time is left"))
	}
	switch verdict {
	case admission.Admitted:
		if refusal := g.send(tk, now); refusal != nil {
			t.line.Release()
			return nil, refusal
		}
		return nil, nil
	case admission.Queued:
		g.waiting[tk.f.Attempt] = it
		return it, nil
	case admission.TooLate:
		return nil, g.busy(t, "the wait would leave too little time")
	case admission.QueueFull:
		return nil, g.busy(t, "the line is full")
	}
	return nil, g.busy(t, "no free slot")
}

// aim is when the answer loses part of its worth. Calls have none: the work
// that made them waits.
func aim(f Forward, now time.Time) time.Time {
	if f.Inner {
		return time.Time{}
	}
	return now.Add(time.Duration(f.AimMs) * time.Millisecond)
}

// check runs the checks that need no slot; the lock is held.
func (g *Gate) check(f Forward, now time.Time) *wire.Refusal {
	t := g.target
	view := g.view()
	switch {
	case g.stopping:
		return wire.Refuse(wire.ReasonLeaving, "host %s is stopping", g.set().Host)
	case t == nil || t.id != f.Target:
		return wire.Refuse(wire.ReasonNoTarget, "target %s is not on host %s", f.Target, g.set().Host)
	case t.leaving:
		return wire.Refuse(wire.ReasonLeaving, "target %s is leaving", t.id)
	case view.Evacuated(g.set().DataCentre):
		return wire.Refuse(wire.ReasonDataCentreOut, "data centre %s is out", g.set().DataCentre)
	case now.Before(t.downUntil):
		return wire.Refuse(wire.ReasonUnreachable, "target %s refused a connection a moment ago", t.id)
	case g.withdrawn.has(f.Attempt):
		return wire.Refuse(wire.ReasonSettled, "the attempt has been withdrawn")
	case !f.Repeatable && g.sent.has(f.Attempt):
		return wire.RefuseUnknown(wire.ReasonDuplicateOrder, "the attempt was sent before")
	}
	if p := t.filter.Probability(now); p > f.MaxGray && !(f.Repeatable && t.mayTry(now)) {
		return wire.Refuse(wire.ReasonGray, "target %s is gray with probability %.2f", t.id, p)
	}
	return nil
}

// busy refuses with the time after which a slot is likely; the lock is held.
func (g *Gate) busy(t *local, why string) *wire.Refusal {
	r := wire.Refuse(wire.ReasonBusy, "target %s: %s", t.id, why)
	r.RetryAfter = t.line.ExpectedWait()
	return r
}

// send is the last step before the exchange, with a slot held; the lock is held.
func (g *Gate) send(tk *ticket, now time.Time) *wire.Refusal {
	t := tk.target
	svc := g.service(t.service)
	if !t.pace.Allow(now, t.bearable(svc, g.set().Bounds)) {
		r := wire.Refuse(wire.ReasonCold, "target %s has all the requests that it bears in a second", t.id)
		r.RetryAfter = t.pace.RetryAfter(now)
		return r
	}
	g.sent.add(tk.f.Attempt, now)
	if p := t.filter.Probability(now); tk.f.Repeatable && p > tk.f.MaxGray {
		t.triedAt = now
		g.log.Decide("gray-tried", "id", tk.f.Attempt, "target", t.id, "gray", p)
	}
	tk.started = now
	tk.request = t.filter.Start(now, g.work(tk.f))
	return nil
}

func (g *Gate) service(name string) *routes.Service {
	cfg := g.view().Config
	if cfg == nil {
		return nil
	}
	svc, _ := cfg.Service(name)
	return svc
}

// work is the distribution of a route's requests; the lock is held.
func (g *Gate) work(f Forward) *gray.DurationModel {
	w := g.works[f.Route]
	if w == nil {
		w = gray.NewDurationModel(time.Duration(f.ObjectiveMs) * time.Millisecond)
		g.works[f.Route] = w
	}
	return w
}

func grant(it *admission.Item, refusal *wire.Refusal) {
	it.Value.(chan *wire.Refusal) <- refusal
}

// await waits for a slot.
func (g *Gate) await(ctx context.Context, tk *ticket, it *admission.Item) *wire.Refusal {
	timer := time.NewTimer(time.Until(tk.deadline))
	defer timer.Stop()
	defer g.forgetWaiting(tk.f.Attempt)
	granted := it.Value.(chan *wire.Refusal)
	select {
	case refusal := <-granted:
		return g.granted(tk, refusal)
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !tk.target.line.Remove(it) {
		if refusal := <-granted; refusal != nil {
			return refusal
		}
		tk.target.line.Release()
		g.pump(tk.target, time.Now())
	}
	return wire.Refuse(wire.ReasonTimeout, "the caller left or its deadline passed in the line")
}

func (g *Gate) forgetWaiting(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
}

func (g *Gate) granted(tk *ticket, refusal *wire.Refusal) *wire.Refusal {
	if refusal != nil {
		return refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	refusal = g.check(tk.f, now)
	if refusal == nil {
		refusal = g.send(tk, now)
	}
	if refusal != nil {
		tk.target.line.Release()
		g.pump(tk.target, now)
	}
	return refusal
}

// pump gives free slots to those who wait; the lock is held.
func (g *Gate) pump(t *local, now time.Time) {
	run, late := t.line.Next(now)
	for _, it := range run {
		grant(it, nil)
	}
	for _, it := range late {
		grant(it, g.busy(t, "too little time is left"))
	}
}

// attemptTimes remembers attempts for a time.
type attemptTimes map[string]time.Time

const (
	// attemptMemory is how long an attempt is remembered: longer than any caller
	// waits.
	attemptMemory = 2 * time.Minute
	// attemptSweep is how many attempts come between two looks for old ones.
	attemptSweep = 1024
)

func (s attemptTimes) has(id string) bool {
	_, ok := s[id]
	return ok
}

func (s attemptTimes) add(id string, now time.Time) {
	s[id] = now
	if len(s)%attemptSweep != 0 {
		return
	}
	for old, at := range s {
		if now.Sub(at) > attemptMemory {
			delete(s, old)
		}
	}
}

func (s attemptTimes) remove(id string) { delete(s, id) }
