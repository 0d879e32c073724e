package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/memory"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/offerlog"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Gate is the reverse proxy in front of this host's target. All requests to the
// target pass through it.
type Gate struct {
	settings func() *karpithaz.Settings
	view     func() *View
	publish  func(Target) (written <-chan struct{})
	// onDeath is called with the fingerprints of the requests in flight when
	// the target has died, and onServed with that of a request that it has served.
	onDeath  func(target string, incarnation int64, fingerprints []uint64)
	onServed func(fingerprint uint64)
	// holdDeparture has other hosts hold a departure. It returns a channel that is closed when
	// enough of them do.
	holdDeparture func(r departure.Record, written <-chan struct{}) (held <-chan struct{})
	// departuresAsked is closed once other hosts have been asked for the departure of this
	// host's target.
	departuresAsked <-chan struct{}
	// deferred are the heartbeats that arrived before that, and left the departures of
	// targets of which later heartbeats may come. Both are guarded by mu.
	deferred []karpithaz.Heartbeat
	left     []leftTarget
	// shortage returns the shortage of the host's processor or link.
	shortage func() float64
	log      *decisions.Log
	metrics  *metrics.Registry
	links    *link.Pool
	memory   *memory.Account
	// incarnation distinguishes this gate process from earlier ones on the
	// host.
	incarnation int64

	mu        sync.Mutex
	target    *localTarget
	latencies map[string]*gray.DurationModel
	// records tell which attempts went to the target and which must not go there,
	// and waiting are those in the queue.
	records  *offerlog.Gate
	waiting  map[string]*admission.Item
	stopping bool
	versions versionGate

	// searched is closed when the search for the target at the start has ended.
	searched      chan struct{}
	endSearchOnce sync.Once
}

// targetIdle is how long a connection to the target may be idle before it is
// closed. It is well below the target's own idle time-out, so that requests
// rarely hit a connection that the target is closing.
const targetIdle = 4 * time.Second

// targetDialTimeout bounds connecting to a target on the same host.
const targetDialTimeout = time.Second

// targetUserTimeout bounds how long sent bytes may remain unacknowledged by the
// target.
const targetUserTimeout = 5 * time.Second

// NewGate returns a gate without a target. publish is called with the target
// whenever other hosts should be informed. It returns a channel that is closed
// when they can be.
func NewGate(settings func() *karpithaz.Settings, view func() *View, publish func(Target) <-chan struct{}, l *decisions.Log, m *metrics.Registry) *Gate {
	incarnation := time.Now().UnixNano()
	return &Gate{
		settings: settings,
		view:     view,
		publish:  publish,
		onDeath:  func(string, int64, []uint64) {},
		onServed: func(uint64) {},
		shortage: func() float64 { return 0 },

		holdDeparture:   func(departure.Record, <-chan struct{}) <-chan struct{} { return nil },
		departuresAsked: closedChannel,

		log:         l,
		metrics:     m,
		incarnation: incarnation,
		latencies:   map[string]*gray.DurationModel{},
		records:     offerlog.NewGate(incarnation),
		waiting:     map[string]*admission.Item{},
		versions:    newVersionGate(),
		searched:    make(chan struct{}),
		memory:      newAccount(settings()),
		links: link.New(link.Options{
			DialTimeout:    targetDialTimeout,
			TCPUserTimeout: targetUserTimeout,
			IdleTimeout:    targetIdle,
			OnInvalid:      recordInvalid(fromTarget, l, m),
		}),
	}
}

// Stop refuses new and queued requests, so that they can go elsewhere. Requests
// in progress continue.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	if g.target != nil {
		g.flush(g.target, "host "+g.settings().Host+" is stopping")
	}
}

// Withdraw ensures that an attempt will not be sent to the target, unless it
// already has been. It reports whether the attempt was sent or may have been,
// as the attempts of an earlier incarnation are not known.
func (g *Gate) Withdraw(id string, incarnation int64) (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.records.Withdraw(id, incarnation, time.Now()) {
		return true
	}
	if it := g.waiting[id]; it != nil && g.target != nil && g.target.queue.Remove(it) {
		answerWaiting(it, wire.Refuse(wire.ReasonSettled, "withdrawn"))
	}
	return false
}

// Record returns what is known of an attempt.
func (g *Gate) Record(id string) offerlog.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records.Record(id)
}

// Close closes idle connections.
func (g *Gate) Close() { g.links.Close() }

// Forward sends an attempt to the target. It returns the complete answer, or a
// refusal that states whether the request ran. onSend, if not nil, is called
// just before the request is sent to the target.
func (g *Gate) Forward(ctx context.Context, f Forward, req *fasthttp.Request, onSend func()) Reply {
	arrived := time.Now()
	f.bodyBytes = int64(len(req.Body()))
	g.awaitTarget(ctx, time.Duration(f.TimeLeftMs)*time.Millisecond)
	tk, refusal := g.admit(ctx, f, arrived)
	if refusal != nil {
		g.mu.Lock()
		g.setRunState(f, refusal)
		g.mu.Unlock()
		g.log.Decide("gate-refused", "id", f.Attempt, "target", f.Target, "reason", refusal.Reason, "run", refusal.Run,
			"detail", refusal.Detail, "max_wait_ms", f.MaxWaitMs, "max_gray", f.MaxGray, "waited_ms", time.Since(arrived).Milliseconds(), "revision", f.Revision)
		g.metrics.Add("gate_refused_"+string(refusal.Reason), 1)
		return Reply{Refusal: refusal, Report: g.report(), Rollout: g.directive()}
	}
	if onSend != nil {
		onSend()
	}
	reply := g.exchange(ctx, tk, req)
	reply.Report, reply.Rollout = g.report(), g.directive()
	reply.Report.Typical = g.typical(f)
	return reply
}

// setRunState sets the run state of a refusal that says "not run" to what the record of the
// attempt allows. g.mu must be held.
func (g *Gate) setRunState(f Forward, refusal *wire.Refusal) {
	if refusal.Run == wire.NotRun {
		refusal.Run = g.records.Refuse(f.Attempt, f.Repeatable, f.Incarnation != 0)
	}
}

func (g *Gate) report() placing.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return placing.Report{Incarnation: g.incarnation}
	}
	r := g.target.report(time.Now())
	r.Incarnation, r.Shortage = g.incarnation, g.shortage()
	return r
}

// ticket is an attempt that holds a slot or is waiting for one.
type ticket struct {
	f        Forward
	target   *localTarget
	deadline time.Time
	started  time.Time
	request  *gray.Request
	// inProgress is the number of requests in progress when this one was sent, itself
	// included.
	inProgress int
	// retransmitted is set if the request was sent to the target a second time.
	retransmitted bool
}

// admit checks an attempt and obtains a slot for it, waiting in the queue if
// necessary.
func (g *Gate) admit(ctx context.Context, f Forward, now time.Time) (*ticket, *wire.Refusal) {
	tk := &ticket{f: f, deadline: now.Add(time.Duration(f.TimeLeftMs) * time.Millisecond)}
	g.mu.Lock()
	it, refusal := g.tryAdmit(tk, now)
	g.mu.Unlock()
	if refusal != nil || it == nil {
		return tk, refusal
	}
	return tk, g.await(ctx, tk, it)
}

// tryAdmit obtains a slot for the ticket or returns its queued item. g.mu must
// be held.
func (g *Gate) tryAdmit(tk *ticket, now time.Time) (*admission.Item, *wire.Refusal) {
	if refusal := g.precheck(tk.f, now); refusal != nil {
		return nil, refusal
	}
	t := g.target
	if refusal := g.checkBytes(t, tk.f, now); refusal != nil {
		return nil, refusal
	}
	tk.target = t
	latency := g.latency(tk.f)
	it := &admission.Item{
		Nested:    tk.f.Nested,
		Priority:  tk.f.Priority,
		Workspace: tk.f.Workspace,
		Expected:  latency.Mean(),
		Deadline:  tk.deadline,
		Objective: softDeadline(tk.f, now),
		MaxWait:   time.Duration(tk.f.MaxWaitMs) * time.Millisecond,
		Value:     make(chan *wire.Refusal, 1),
	}
	t.recordTold(now, &tk.f)
	g.updateRate(t, now)
	verdict, dropped := t.queue.Offer(now, it)
	g.logOverShare(t, tk, it, verdict, now)
	t.observeLoad(now)
	for _, d := range dropped {
		answerWaiting(d, g.busy(t, "requests with precedence leave too little time"))
	}
	switch verdict {
	case admission.Admitted:
		t.startLimit.Sent(now)
		g.dispatch(tk, now)
		return nil, nil
	case admission.Queued:
		g.waiting[tk.f.Attempt] = it
		g.scheduleGrants(t, now)
		return it, nil
	case admission.TooLate:
		return nil, g.busy(t, "the expected wait leaves too little time")
	case admission.QueueFull:
		return nil, g.busy(t, "the queue is full")
	}
	return nil, g.busy(t, "no free slot")
}

// softDeadline returns the time after which the answer loses part of its value.
// Nested calls have none, because the work that made them is waiting.
func softDeadline(f Forward, now time.Time) time.Time {
	if f.Nested {
		return time.Time{}
	}
	return now.Add(time.Duration(f.ObjectiveLeftMs) * time.Millisecond)
}

// precheck performs the checks that do not require a slot. What is known of the attempt comes
// first, as none of the other checks tells whether it has run. g.mu must be held.
func (g *Gate) precheck(f Forward, now time.Time) *wire.Refusal {
	switch g.records.Check(f.Attempt, f.Repeatable) {
	case offerlog.RecordSent:
		return wire.RefuseUnknown(wire.ReasonDuplicateAttempt, "the attempt was already sent to the target")
	case offerlog.RecordWithdrawn:
		return wire.Refuse(wire.ReasonSettled, "the attempt has been withdrawn")
	}
	t := g.target
	view := g.view()
	switch {
	case g.stopping:
		return wire.Refuse(wire.ReasonLeaving, "host %s is stopping", g.settings().Host)
	case t == nil || t.id != f.Target && t.service != f.Service:
		return wire.Refuse(wire.ReasonNoTarget, "target %s is not on host %s", f.Target, g.settings().Host)
	case t.leaving, view.hasDeparted(g.settings().Host, t.id, t.born):
		return wire.Refuse(wire.ReasonLeaving, "target %s is leaving", t.id)
	case view.Evacuated(g.settings().DataCentre):
		t.startLimit.Restarted(now) // its targets may turn cold meanwhile
		return wire.Refuse(wire.ReasonDataCentreOut, "data centre %s is evacuated", g.settings().DataCentre)
	case now.Before(t.downUntil):
		return wire.Refuse(wire.ReasonUnreachable, "target %s recently refused a connection", t.id)
	}
	if refusal := recheckAccess(view.Config, f); refusal != nil {
		return refusal
	}
	if why := g.versionRefusal(t); why != "" {
		return wire.Refuse(wire.ReasonVersionWithdrawn, "target %s of version %s: %s", t.id, g.versionOf(t), why)
	}
	if p := t.filter.Probability(now); p > f.MaxGray && !(f.Repeatable && t.grayProbeDue(now)) {
		return wire.Refuse(wire.ReasonTargetGray, "target %s is gray-failing with probability %.2f", t.id, p)
	}
	return nil
}

// busy returns a refusal with the time until a slot is likely to be free. g.mu
// must be held.
func (g *Gate) busy(t *localTarget, why string) *wire.Refusal {
	r := wire.Refuse(wire.ReasonBusy, "target %s: %s", t.id, why)
	if t.queue.Running() < t.queue.Limit() {
		r = wire.Refuse(wire.ReasonTargetCold, "target %s has reached its cold-start rate limit: %s", t.id, why)
	}
	r.RetryAfter = t.queue.ExpectedWait()
	return r
}

// dispatch marks a request as sent. The ticket must have a slot and g.mu must be
// held.
func (g *Gate) dispatch(tk *ticket, now time.Time) {
	t := tk.target
	g.records.Send(tk.f.Attempt, now, tk.deadline)
	g.countSent(t)
	if p := t.filter.Probability(now); tk.f.Repeatable && p > tk.f.MaxGray {
		t.grayProbedAt = now
		g.log.Decide("gray-tried", "id", tk.f.Attempt, "target", t.id, "gray", p)
	}
	t.running.Add(tk.f.rank())
	if tk.f.Repeat {
		t.repeats++
	}
	tk.started, tk.inProgress = now, t.queue.Running()
	t.bytes.Start(tk.f.bodyBytes)
	tk.request = t.filter.Start(now, g.latency(tk.f))
}

func answerWaiting(it *admission.Item, refusal *wire.Refusal) {
	it.Value.(chan *wire.Refusal) <- refusal
}

// await waits for a slot.
func (g *Gate) await(ctx context.Context, tk *ticket, it *admission.Item) *wire.Refusal {
	timer := time.NewTimer(time.Until(tk.deadline))
	defer timer.Stop()
	defer g.removeWaiting(tk.f.Attempt)
	granted := it.Value.(chan *wire.Refusal)
	select {
	case refusal := <-granted:
		return g.granted(tk, refusal)
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !tk.target.queue.Remove(it) {
		if refusal := <-granted; refusal != nil {
			return refusal
		}
		tk.target.queue.Release()
		g.grantSlots(tk.target, time.Now())
	}
	return wire.Refuse(wire.ReasonTimeout, "the caller disconnected or its deadline passed in the queue")
}

func (g *Gate) removeWaiting(id string) {
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
	refusal = g.precheck(tk.f, now)
	if refusal == nil {
		refusal = g.checkBytes(tk.target, tk.f, now)
	}
	if refusal != nil {
		tk.target.queue.Release()
		g.grantSlots(tk.target, now)
		return refusal
	}
	g.dispatch(tk, now)
	return nil
}
