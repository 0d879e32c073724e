package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// attempt finds a target that takes the request.
type attempt struct {
	e     *exchange
	req   *fasthttp.Request
	avoid []string
	// only, when not empty, lists the targets that the request may go to.
	only  []string
	at    *places
	risky chan<- struct{}
	hedge bool
}

// Bounds of the search for a target.
const (
	// maxOffers is how many gates are asked for a free slot.
	maxOffers = 8
	// maxFarOffers is how many of them may be in other data centres, where a
	// question costs as many bytes as a small answer.
	maxFarOffers = 3
	// maxInsists is how many gates are then asked for a place in their line, or
	// to send to a target that is likely gray.
	maxInsists = 2
	// knownFor is how long a gate's word on a full or gray target is taken
	// without asking again.
	knownFor = 100 * time.Millisecond
	// knownFarBusy and knownFarGray replace it for targets of other data centres,
	// where a question costs as many bytes as a small answer: a slot is freed
	// within about half the time of the shortest work, a gray spell lasts
	// seconds.
	knownFarBusy = 250 * time.Millisecond
	knownFarGray = time.Second
	// shortWait is the share of a route's objective that a request rather waits
	// near than goes far. It is larger where distance costs more, and for calls,
	// which come first in lines.
	shortWait      = 0.08
	shortWaitLarge = 0.4
	shortWaitInner = 0.5
)

// Likelihoods of a gray target up to which a request goes there while others
// may be sounder. Those that cannot be repeated are lost there; their limit is
// just above what is held of a target that nothing is known of, so that new
// targets get work.
const (
	grayFirstOnce       = 0.27
	grayFirstRepeatable = 0.5
)

// terms are what a request asks of a gate.
type terms struct {
	maxWait time.Duration
	maxGray float64
}

// run offers the request to gates in the order of cost until one takes it: for
// a free slot of a target that seems sound, for a short wait near, and at last
// on any terms.
func (a *attempt) run(ctx context.Context) attemptResult {
	cands := a.candidates()
	if len(cands) == 0 {
		return a.result(Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "no target of service %s is known and may be chosen", a.e.service)}, Target{})
	}
	placing.SortByCost(time.Now(), cands, a.placed(), random{})
	if a.placed().Repeatable {
		exploreFirst(cands, time.Now())
	}
	near, far := split(cands[:min(len(cands), maxOffers)])
	first := terms{maxGray: a.grayFirst()}
	short := terms{maxGray: a.grayFirst(), maxWait: a.shortWait()}
	s := &search{a: a}
	far = far[:min(len(far), maxFarOffers)]
	if s.round(ctx, near, first) || s.round(ctx, near, short) || s.round(ctx, far, first) {
		return s.result
	}
	if s.insist(ctx) {
		return s.result
	}
	return a.result(Reply{Refusal: s.last}, Target{})
}

// exploreAfter is how long nothing was heard of a near target before a request
// that can be repeated is offered to it first. Targets that seem gray would
// otherwise get nothing while others have room, and never be found sound again.
const exploreAfter = 1200 * time.Millisecond

// exploreFirst moves the near candidate of which nothing was heard for longest
// to the front.
func exploreFirst(cands []placing.Candidate, now time.Time) {
	oldest := -1
	for i, c := range cands {
		if !c.Local || c.PathFailed || now.Sub(c.Report.ReceivedAt) < exploreAfter {
			continue
		}
		if oldest < 0 || c.Report.ReceivedAt.Before(cands[oldest].Report.ReceivedAt) {
			oldest = i
		}
	}
	if oldest > 0 {
		c := cands[oldest]
		copy(cands[1:oldest+1], cands[:oldest])
		cands[0] = c
	}
}

func split(cands []placing.Candidate) (near, far []placing.Candidate) {
	for _, c := range cands {
		if c.Local && !c.PathFailed {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

func (a *attempt) grayFirst() float64 {
	if a.e.route.Kind.Repeatable() {
		return grayFirstRepeatable
	}
	return grayFirstOnce
}

func (a *attempt) shortWait() time.Duration {
	share := shortWait
	switch {
	case a.e.inner:
		share = shortWaitInner
	case a.e.route.Kind == routes.Download:
		share = shortWaitLarge
	}
	return time.Duration(share * float64(a.e.route.Objective))
}

// settled reports whether a reply ends the search: an answer, a request that
// may have run, or one that came as far as the target.
func (a *attempt) settled(r Reply) bool {
	return r.Answer != nil || r.Refusal.Run != wire.NotRun ||
		r.Refusal.Reason == wire.ReasonShed || r.Refusal.Reason == wire.ReasonTimeout
}

func (a *attempt) result(r Reply, t Target) attemptResult {
	return attemptResult{reply: r, target: t, hedge: a.hedge}
}

func (a *attempt) placed() placing.Request {
	return placing.Request{Repeatable: a.e.route.Kind.Repeatable(), Nested: a.e.inner, LargeResponse: a.e.route.Kind == routes.Download, Objective: a.e.route.Objective}
}

// candidates lists the targets that may be chosen.
func (a *attempt) candidates() []placing.Candidate {
	view := a.e.in.control.View()
	now := time.Now()
	targets := view.Targets(a.e.service)
	out := make([]placing.Candidate, 0, len(targets))
	for _, t := range targets {
		if view.Evacuated(t.DataCentre) || slices.Contains(a.avoid, t.ID) || !a.allowed(t) {
			continue
		}
		if a.e.in.reports.isAbsent(t.ID, now) {
			continue
		}
		if len(a.only) > 0 && !slices.Contains(a.only, t.ID) {
			continue
		}
		out = append(out, placing.Candidate{
			Target:     t.ID,
			Host:       t.Host,
			Local:      t.DataCentre == a.e.in.set().DataCentre,
			PathFailed: a.e.in.reports.doubtful(t.Host, now),
			Report:     a.e.in.reports.get(t.ID),
		})
	}
	return out
}

// allowed reports whether route and workspace let the request run in the
// target's region.
func (a *attempt) allowed(t Target) bool {
	region := a.e.in.set().Regions[t.DataCentre]
	if len(a.e.route.Regions) > 0 && !slices.Contains(a.e.route.Regions, region) {
		return false
	}
	h := a.e.holder
	return h == nil || len(h.Regions) == 0 || slices.Contains(h.Regions, region)
}

// offer sends the request to the gate of a candidate.
func (a *attempt) offer(ctx context.Context, c placing.Candidate, on terms) (Reply, Target) {
	t, ok := a.e.in.control.View().TargetOf(c.Host)
	if !ok || t.ID != c.Target {
		return Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "target %s has gone", c.Target)}, t
	}
	life := a.e.in.reports.life(t.Host)
	if !a.at.enter(t, life) {
		return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "the request may not go to target %s: another attempt is there, or it has been taken back", t.ID)}, t
	}
	defer a.at.leave(t.ID)
	e := a.e
	f := Forward{
		Attempt:       e.caller.Attempt,
		Target:        t.ID,
		TimeLeftMs:    time.Until(e.deadline).Milliseconds(),
		Workspace:     e.workspace(),
		CallerService: e.in.set().Service,
		Route:         e.route.Name,
		ObjectiveMs:   e.route.Objective.Milliseconds(),
		AimMs:         time.Until(e.started.Add(e.route.Objective)).Milliseconds(),
		Priority:      e.priority(),
		Inner:         e.inner,
		Repeatable:    e.route.Kind.Repeatable(),
		MaxWaitMs:     on.maxWait.Milliseconds(),
		MaxGray:       on.maxGray,
		Revision:      e.revision(),
		Fingerprint:   e.fingerprint,
	}
	e.in.log.Decide("offered", "id", f.Attempt, "target", t.ID, "host", t.Host, "near", c.Local, "doubtful", c.PathFailed, "max_wait_ms", f.MaxWaitMs, "max_gray", f.MaxGray,
		"hedge", a.hedge, "time_left_ms", f.TimeLeftMs, "known_gray", c.Report.GrayProbability, "known_running", c.Report.Running,
		"known_age_ms", ageMillis(c.Report.ReceivedAt), "revision", f.Revision)
	heard := a.listen(t, on)
	reply := e.in.gates.Forward(ctx, t, f, a.req, func() {
		heard()
		a.sent(t, on)
	})
	heard()
	switch {
	case ctx.Err() == nil || !reply.Report.ReceivedAt.IsZero():
		a.learn(t, reply)
	case errors.Is(context.Cause(ctx), errOvertaken):
		// Another target answered meanwhile, or the time is up: others come
		// first for a moment. A caller who left says nothing of the target.
		a.e.in.reports.failed(t.Host, time.Now())
	}
	if r := reply.Refusal; r != nil && r.Reason == wire.ReasonUnreachable && r.Run != wire.NotRun && ctx.Err() == nil {
		a.settle(ctx, t, life, r)
	}
	return reply, t
}

// gateSilentAfter is how long a gate may take to say that it sends a request or
// refuses it, beyond the wait that it was allowed: many round trips between data
// centres, and one repetition of a lost packet.
const gateSilentAfter = 350 * time.Millisecond

// listen watches for a gate that says nothing: its host stands still or cannot be
// reached, and others should be chosen meanwhile. The function that it returns
// ends the watch.
func (a *attempt) listen(t Target, on terms) (heard func()) {
	timer := time.AfterFunc(on.maxWait+gateSilentAfter, func() {
		a.e.in.reports.failed(t.Host, time.Now())
		a.e.in.metrics.Add("gates_silent", 1)
		a.e.in.log.Decide("gate-silent", "id", a.e.caller.Attempt, "host", t.Host, "target", t.ID)
		a.urge()
	})
	return func() { timer.Stop() }
}

// urge asks for a second attempt soon.
func (a *attempt) urge() {
	select {
	case a.risky <- struct{}{}:
	default:
	}
}

// sent takes the gate's word that the request goes to the target.
func (a *attempt) sent(t Target, on terms) {
	a.at.sent(t.ID)
	if r := a.e.in.reports.get(t.ID); a.hedge || r.GrayProbability <= min(on.maxGray, a.grayFirst()) {
		return
	}
	a.urge()
}

// settle finds out whether a request has run whose way to the gate broke.
func (a *attempt) settle(ctx context.Context, t Target, life int64, r *wire.Refusal) {
	sent, err := a.e.in.gates.Withdraw(ctx, t.Host, a.e.caller.Attempt, life)
	if err == nil && !sent {
		r.Run = wire.NotRun
	}
	a.e.in.log.Decide("settled", "id", a.e.caller.Attempt, "target", t.ID, "sent", sent, "err", err)
}

func ageMillis(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// learn takes what a reply tells of target and path.
func (a *attempt) learn(t Target, r Reply) {
	a.e.in.reports.set(t.ID, r.Report)
	a.e.in.reports.setLife(t.Host, r.Report.Incarnation)
	if r.Refusal != nil && r.Report.ReceivedAt.IsZero() && r.Refusal.Reason == wire.ReasonUnreachable {
		a.e.in.reports.failed(t.Host, time.Now())
		return
	}
	a.e.in.reports.reached(t.Host)
	if r.Refusal == nil {
		return
	}
	switch r.Refusal.Reason {
	case wire.ReasonNoTarget, wire.ReasonLeaving, wire.ReasonDataCentreOut, wire.ReasonWrongTarget:
		a.e.in.reports.setAbsent(t.ID, time.Now())
	}
}

// random is the source of randomness of traffic.
type random struct{}

// Float64 implements placing.Rand.
func (random) Float64() float64 { return rand.Float64() }
