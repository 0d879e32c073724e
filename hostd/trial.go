package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// outcome is what became of a request.
type outcome struct {
	answer  *Answer
	refusal *wire.Refusal
	target  string
	// attempts counts the targets that it was sent to.
	attempts int
}

// trial makes attempts until a request has an outcome. A request that may be
// repeated gets a second attempt beside one that takes too long.
type trial struct {
	e       *exchange
	budget  *retry.Budget
	results chan attemptResult
	cancels []context.CancelFunc
	// running counts attempts without a result, sent those that may have
	// reached a target.
	running, sent int
	tried         []string
	// at is where the attempts under way are.
	at *places
	// failure is the last answer that tells of a failure; it is passed on when
	// nothing better comes.
	failure *outcome
	last    *wire.Refusal
	mayRun  bool
}

type attemptResult struct {
	reply  Reply
	target Target
	hedge  bool
}

// maxParallel bounds the results that may arrive after the trial has ended.
const maxParallel = 8

func newTrial(e *exchange) *trial {
	b := e.in.budget(e.service)
	b.Deposit()
	return &trial{e: e, budget: b, results: make(chan attemptResult, maxParallel), at: &places{}}
}

// places are the targets that attempts of one request have been offered to and
// have not been refused by.
type places struct {
	mu  sync.Mutex
	ids []string
}

// enter takes a place unless another attempt has it.
func (p *places) enter(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.ids, id) {
		return false
	}
	p.ids = append(p.ids, id)
	return true
}

func (p *places) leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.ids, id); i >= 0 {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}

// hedgeQuantile is the share of requests that end before a second attempt
// starts beside the first.
const hedgeQuantile = 0.9

// run makes attempts until there is an outcome.
func (t *trial) run(ctx context.Context) outcome {
	defer t.cancelAll()
	t.launch(ctx, false)
	deadline := time.NewTimer(time.Until(t.e.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(t.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case r := <-t.results:
			if out := t.take(ctx, r); out != nil {
				return *out
			}
		case <-hedge.C:
			if t.mayRepeat(ctx) {
				t.launch(ctx, true)
			}
		case <-deadline.C:
			return t.timedOut()
		case <-ctx.Done():
			return outcome{attempts: t.sent}
		}
	}
}

func (t *trial) cancelAll() {
	for _, cancel := range t.cancels {
		cancel()
	}
}

// hedgeAfter is when a second attempt starts beside the first.
func (t *trial) hedgeAfter() time.Duration {
	w := t.e.in.work(t.e.route)
	return w.Quantile(hedgeQuantile)
}

// mayRepeat reports whether a request that may have run may be sent again.
func (t *trial) mayRepeat(ctx context.Context) bool {
	return t.e.route.Kind.Repeatable() &&
		t.sent+t.running < t.e.route.MaxAttempts &&
		time.Now().Before(t.e.deadline) &&
		t.inBudget(ctx)
}

// inBudget takes one repeat, from what this host's requests allow or else from
// what is left to the fleet.
func (t *trial) inBudget(ctx context.Context) bool {
	if t.budget.Withdraw() {
		return true
	}
	ok := t.e.in.rates.Repeat(ctx, t.e.service)
	if !ok {
		t.e.in.metrics.Add("repeats_over_budget", 1)
		t.e.in.log.Decide("over-budget", "id", t.e.caller.Attempt, "service", t.e.service)
	}
	return ok
}

// launch starts an attempt.
func (t *trial) launch(ctx context.Context, hedge bool) {
	ctx, cancel := context.WithCancel(ctx)
	t.cancels = append(t.cancels, cancel)
	t.running++
	req := &fasthttp.Request{}
	t.e.x.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(t.e.x.Request.Body())
	a := &attempt{e: t.e, req: req, avoid: slices.Clone(t.tried), at: t.at, hedge: hedge}
	go func() { t.results <- a.run(ctx) }()
}

// take takes a result and returns the outcome, if there is one.
func (t *trial) take(ctx context.Context, r attemptResult) *outcome {
	t.running--
	if r.reply.Answer != nil {
		t.sent++
		return t.takeAnswer(ctx, r)
	}
	refusal := r.reply.Refusal
	if refusal.Run != wire.NotRun {
		t.sent++
		t.mayRun = true
	}
	if refusal.Reason == wire.ReasonShed {
		t.sent++
	}
	if r.target.ID != "" {
		t.tried = append(t.tried, r.target.ID)
	}
	if !r.hedge || t.last == nil {
		t.last = refusal
	}
	t.e.in.log.Decide("attempt-failed", "id", t.e.caller.Attempt, "target", r.target.ID, "reason", refusal.Reason, "run", refusal.Run,
		"detail", refusal.Detail, "hedge", r.hedge, "running", t.running)
	if t.running > 0 {
		return nil
	}
	if t.again(ctx, refusal) {
		t.launch(ctx, false)
		return nil
	}
	return t.verdict()
}

// again reports whether another attempt follows a refusal.
func (t *trial) again(ctx context.Context, r *wire.Refusal) bool {
	if r.Run == wire.NotRun {
		// Only a target's own refusal counts against the budget; all gates
		// have been asked otherwise.
		return (r.Reason == wire.ReasonShed || r.Reason == wire.ReasonWrongTarget) &&
			t.sent < t.e.route.MaxAttempts && t.inBudget(ctx)
	}
	return t.mayRepeat(ctx)
}

func (t *trial) takeAnswer(ctx context.Context, r attemptResult) *outcome {
	out := &outcome{answer: r.reply.Answer, target: r.target.ID, attempts: t.sent}
	status := r.reply.Answer.Header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		t.e.in.learn(t.e.route, time.Since(t.e.started))
		return out
	}
	t.failure = out
	t.tried = append(t.tried, r.target.ID)
	t.mayRun = true
	if t.running > 0 {
		return nil
	}
	if t.mayRepeat(ctx) {
		t.launch(ctx, false)
		return nil
	}
	return out
}

// verdict is the outcome when no attempt is left.
func (t *trial) verdict() *outcome {
	if t.failure != nil {
		return t.failure
	}
	r := *t.last
	if t.mayRun {
		r.Run = wire.Unknown
	}
	return &outcome{refusal: &r, attempts: t.sent}
}

// timedOut is the outcome at the deadline.
func (t *trial) timedOut() outcome {
	if t.failure != nil {
		return *t.failure
	}
	r := wire.RefuseUnknown(wire.ReasonTimeout, "no answer within %s", time.Since(t.e.started).Round(time.Millisecond))
	return outcome{refusal: r, attempts: t.sent + t.running}
}

// attempt finds a target that takes the request.
type attempt struct {
	e     *exchange
	req   *fasthttp.Request
	avoid []string
	at    *places
	hedge bool
}

// Bounds of the search for a target.
const (
	// maxOffers is how many gates are asked for a free slot.
	maxOffers = 8
	// maxWaits is how many gates are then asked for a place in their line.
	maxWaits = 2
)

// run offers the request to gates in the order of cost until one takes it. If
// none has a free slot, it asks those with the shortest wait for a place in
// the line.
func (a *attempt) run(ctx context.Context) attemptResult {
	cands := a.candidates()
	if len(cands) == 0 {
		return a.result(Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "no target of service %s is known and may be chosen", a.e.service)}, Target{})
	}
	placing.Order(time.Now(), cands, a.placed(), random{})
	var refused []offer
	for _, c := range cands[:min(len(cands), maxOffers)] {
		reply, target := a.offer(ctx, c, false)
		if a.settled(reply) || ctx.Err() != nil {
			return a.result(reply, target)
		}
		refused = append(refused, offer{c, reply.Refusal})
	}
	if a.hedge {
		last := refused[len(refused)-1]
		return a.result(Reply{Refusal: last.refusal}, Target{})
	}
	return a.insist(ctx, refused)
}

// offer is a gate's refusal of a request.
type offer struct {
	c       placing.Candidate
	refusal *wire.Refusal
}

// insist asks for a place in a line, or for a gray target, whichever costs
// less by what the gates have just told.
func (a *attempt) insist(ctx context.Context, refused []offer) attemptResult {
	now := time.Now()
	var open []offer
	for _, o := range refused {
		switch o.refusal.Reason {
		case wire.ReasonBusy, wire.ReasonGray, wire.ReasonCold:
			o.c.Report = a.e.in.reports.get(o.c.Target)
			open = append(open, o)
		}
	}
	slices.SortStableFunc(open, func(x, y offer) int {
		if placing.Cost(now, x.c, a.placed()) < placing.Cost(now, y.c, a.placed()) {
			return -1
		}
		return 1
	})
	last := refused[len(refused)-1].refusal
	for _, o := range open[:min(len(open), maxWaits)] {
		reply, target := a.offer(ctx, o.c, true)
		if a.settled(reply) || ctx.Err() != nil {
			return a.result(reply, target)
		}
		last = reply.Refusal
	}
	return a.result(Reply{Refusal: last}, Target{})
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
	return placing.Request{Repeatable: a.e.route.Kind.Repeatable(), Large: a.e.route.Kind == routes.Download}
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
		out = append(out, placing.Candidate{
			Target:   t.ID,
			Host:     t.Host,
			Near:     t.DataCentre == a.e.in.set().DataCentre,
			Doubtful: a.e.in.reports.doubtful(t.Host, now),
			Report:   a.e.in.reports.get(t.ID),
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
func (a *attempt) offer(ctx context.Context, c placing.Candidate, insist bool) (Reply, Target) {
	t, ok := a.e.in.control.View().TargetOf(c.Host)
	if !ok || t.ID != c.Target {
		return Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "target %s has gone", c.Target)}, t
	}
	if !a.at.enter(t.ID) {
		return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "another attempt of the request is at target %s", t.ID)}, t
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
		Priority:      e.priority(),
		Inner:         e.inner,
		Repeatable:    e.route.Kind.Repeatable(),
		MayWait:       insist,
		Insist:        insist,
		Revision:      e.revision(),
	}
	e.in.log.Decide("offered", "id", f.Attempt, "target", t.ID, "host", t.Host, "near", c.Near, "doubtful", c.Doubtful, "insist", insist,
		"hedge", a.hedge, "time_left_ms", f.TimeLeftMs, "known_gray", c.Report.Gray, "known_running", c.Report.Running,
		"known_age_ms", ageMillis(c.Report.At), "revision", f.Revision)
	reply := e.in.gates.Forward(ctx, t, f, a.req)
	a.learn(t, reply)
	return reply, t
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
	if r.Refusal != nil && r.Report.At.IsZero() && r.Refusal.Reason == wire.ReasonUnreachable {
		a.e.in.reports.failed(t.Host, time.Now())
		return
	}
	a.e.in.reports.reached(t.Host)
}

// random is the source of randomness of traffic.
type random struct{}

// Float64 implements placing.Rand.
func (random) Float64() float64 { return rand.Float64() }
