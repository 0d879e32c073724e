package hostd

import (
	"cmp"
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

// failed reports whether the request got no good answer.
func (o outcome) failed() bool {
	return o.answer == nil || o.answer.Header.StatusCode() >= fasthttp.StatusInternalServerError
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
	// tried are the targets that failed the request, shed those that did not
	// run it for lack of room.
	tried, shed []string
	// at is where the attempts under way are.
	at *places
	// risky is told when an attempt goes to a target that seems gray.
	risky chan struct{}
	// failure is the last answer that tells of a failure; it is passed on when
	// nothing better comes.
	failure *outcome
	last    *wire.Refusal
	mayRun  bool
}

// maxSheds bounds how often targets may shed one request: each time costs a
// repeat of the budget, and by then most of them shed.
const maxSheds = 4

func distinct(ids []string) int {
	return len(slices.Compact(slices.Sorted(slices.Values(ids))))
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
	return &trial{e: e, budget: b, results: make(chan attemptResult, maxParallel), at: &places{}, risky: make(chan struct{}, 1)}
}

// places are the targets that attempts of one request have been offered to and
// have not been refused by.
type places struct {
	mu     sync.Mutex
	list   []place
	closed bool
}

type place struct {
	target, host string
	// life is that of the gate when the request was offered.
	life int64
	// sent is set when the gate has said that the request goes to the target.
	sent bool
}

// close lets no attempt go to another target.
func (p *places) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// enter takes a place unless another attempt has it or no more are given.
func (p *places) enter(t Target, life int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.find(t.ID) >= 0 {
		return false
	}
	p.list = append(p.list, place{target: t.ID, host: t.Host, life: life})
	return true
}

func (p *places) find(target string) int {
	return slices.IndexFunc(p.list, func(x place) bool { return x.target == target })
}

func (p *places) sent(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.find(target); i >= 0 {
		p.list[i].sent = true
	}
}

func (p *places) leave(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.find(target); i >= 0 {
		p.list = slices.Delete(p.list, i, i+1)
	}
}

// now lists the places taken.
func (p *places) now() []place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// hedgeQuantile is the share of requests that end before a second attempt
// starts beside the first.
const hedgeQuantile = 0.9

// riskyQuantile replaces hedgeQuantile for a request at a target that seems
// gray.
const riskyQuantile = 0.6

// run makes attempts until there is an outcome.
func (t *trial) run(ctx context.Context) outcome {
	defer t.cancelAll()
	t.launch(ctx, false)
	deadline := time.NewTimer(time.Until(t.e.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(t.hedgeAfter())
	defer hedge.Stop()
	ending := t.e.in.ending
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
		case <-t.risky:
			w := t.e.in.work(t.e.route)
			hedge.Reset(w.Quantile(riskyQuantile))
		case <-ending:
			ending = nil
			if t.withdrawn(ctx) {
				r := wire.Refuse(wire.ReasonLeaving, "this host stops, and no target has taken the request yet")
				return outcome{refusal: r, attempts: t.sent}
			}
		case <-deadline.C:
			return t.timedOut()
		case <-ctx.Done():
			return outcome{attempts: t.sent}
		}
	}
}

// withdrawn takes the request back from all gates that have it. It reports false
// when a target works on it, has worked on it, or may have.
func (t *trial) withdrawn(ctx context.Context) bool {
	// An attempt that a gate gives back must not be offered to the next one.
	t.at.close()
	if t.mayRun {
		return false
	}
	for _, p := range t.at.now() {
		if p.sent {
			return false
		}
		sent, err := t.e.in.gates.Withdraw(ctx, p.host, t.e.caller.Attempt, p.life)
		if err != nil || sent {
			return false
		}
	}
	return true
}

func (t *trial) cancelAll() {
	for _, cancel := range t.cancels {
		cancel()
	}
}

// hedgeLatest is the share of a request's time after which a second attempt
// starts at the latest, so that time is left for it.
const hedgeLatest = 0.45

// hedgeAfter is when a second attempt starts beside the first.
func (t *trial) hedgeAfter() time.Duration {
	w := t.e.in.work(t.e.route)
	latest := time.Duration(hedgeLatest * float64(t.e.deadline.Sub(t.e.started)))
	return min(w.Quantile(hedgeQuantile), latest)
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
	a := &attempt{e: t.e, req: req, avoid: slices.Clone(t.tried), at: t.at, risky: t.risky, hedge: hedge}
	if t.sent+t.running+distinct(t.shed) > t.e.route.MaxAttempts {
		a.only = slices.Clone(t.shed)
	}
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
	switch {
	case refusal.Reason == wire.ReasonShed:
		t.shed = append(t.shed, r.target.ID)
	case r.target.ID != "":
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
			len(t.shed) < maxSheds && t.inBudget(ctx)
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
	// maxInsists is how many gates are then asked for a place in their line, or
	// to send to a target that is likely gray.
	maxInsists = 2
	// knownFor is how long a gate's word on a full or gray target is taken
	// without asking again.
	knownFor = 100 * time.Millisecond
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

// offer is a gate's refusal of a request.
type offer struct {
	c       placing.Candidate
	refusal *wire.Refusal
}

// run offers the request to gates in the order of cost until one takes it: for
// a free slot of a target that seems sound, for a short wait near, and at last
// on any terms.
func (a *attempt) run(ctx context.Context) attemptResult {
	cands := a.candidates()
	if len(cands) == 0 {
		return a.result(Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "no target of service %s is known and may be chosen", a.e.service)}, Target{})
	}
	placing.Order(time.Now(), cands, a.placed(), random{})
	if a.placed().Repeatable {
		exploreFirst(cands, time.Now())
	}
	near, far := split(cands[:min(len(cands), maxOffers)])
	first := terms{maxGray: a.grayFirst()}
	short := terms{maxGray: a.grayFirst(), maxWait: a.shortWait()}
	s := &search{a: a}
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
		if !c.Near || c.Doubtful || now.Sub(c.Report.At) < exploreAfter {
			continue
		}
		if oldest < 0 || c.Report.At.Before(cands[oldest].Report.At) {
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
		if c.Near && !c.Doubtful {
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

// search is one attempt's way through the gates.
type search struct {
	a       *attempt
	refused []offer
	last    *wire.Refusal
	result  attemptResult
}

// round offers the request to candidates on the same terms. It reports whether
// that settled the attempt.
func (s *search) round(ctx context.Context, cands []placing.Candidate, t terms) bool {
	for _, c := range cands {
		if r := s.known(c, t); r != nil {
			s.note(c, r)
			continue
		}
		if s.ask(ctx, c, t) {
			return true
		}
	}
	return false
}

// known is the refusal that a gate's last word foretells, if that is fresh.
func (s *search) known(c placing.Candidate, t terms) *wire.Refusal {
	r := s.a.e.in.reports.get(c.Target)
	switch {
	case r.At.IsZero() || time.Since(r.At) > knownFor:
		return nil
	case r.Gray > t.maxGray:
		return wire.Refuse(wire.ReasonGray, "target %s was gray with probability %.2f a moment ago", c.Target, r.Gray)
	case t.maxWait == 0 && r.Running >= r.Slots:
		return wire.Refuse(wire.ReasonBusy, "target %s had no free slot a moment ago", c.Target)
	}
	return nil
}

func (s *search) note(c placing.Candidate, r *wire.Refusal) {
	s.last = r
	for i := range s.refused {
		if s.refused[i].c.Target == c.Target {
			s.refused[i].refusal = r
			return
		}
	}
	s.refused = append(s.refused, offer{c, r})
}

// ask offers the request to one gate and reports whether that settled the
// attempt.
func (s *search) ask(ctx context.Context, c placing.Candidate, t terms) bool {
	reply, target := s.a.offer(ctx, c, t)
	if s.a.settled(reply) || ctx.Err() != nil {
		s.result = s.a.result(reply, target)
		return true
	}
	s.note(c, reply.Refusal)
	return false
}

// insist asks for a place in a line, or for a gray target, whichever costs
// less by what the gates have just told. A second attempt beside another does
// not go to a gray target.
func (s *search) insist(ctx context.Context) bool {
	var open []offer
	for _, o := range s.refused {
		switch o.refusal.Reason {
		case wire.ReasonBusy, wire.ReasonGray, wire.ReasonCold:
			o.c.Report = s.a.e.in.reports.get(o.c.Target)
			open = append(open, o)
		}
	}
	now := time.Now()
	placed := s.a.placed()
	slices.SortStableFunc(open, func(x, y offer) int {
		return cmp.Compare(placing.Cost(now, x.c, placed), placing.Cost(now, y.c, placed))
	})
	any := terms{maxWait: time.Until(s.a.e.deadline), maxGray: 1}
	if s.a.hedge {
		any.maxGray = s.a.grayFirst()
	}
	for _, o := range open[:min(len(open), maxInsists)] {
		if s.ask(ctx, o.c, any) {
			return true
		}
	}
	return false
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
	return placing.Request{Repeatable: a.e.route.Kind.Repeatable(), Inner: a.e.inner, Large: a.e.route.Kind == routes.Download, Objective: a.e.route.Objective}
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
		Priority:      e.priority(),
		Inner:         e.inner,
		Repeatable:    e.route.Kind.Repeatable(),
		MaxWaitMs:     on.maxWait.Milliseconds(),
		MaxGray:       on.maxGray,
		Revision:      e.revision(),
	}
	e.in.log.Decide("offered", "id", f.Attempt, "target", t.ID, "host", t.Host, "near", c.Near, "doubtful", c.Doubtful, "max_wait_ms", f.MaxWaitMs, "max_gray", f.MaxGray,
		"hedge", a.hedge, "time_left_ms", f.TimeLeftMs, "known_gray", c.Report.Gray, "known_running", c.Report.Running,
		"known_age_ms", ageMillis(c.Report.At), "revision", f.Revision)
	reply := e.in.gates.Forward(ctx, t, f, a.req, func() { a.sent(t, on) })
	a.learn(t, reply)
	if r := reply.Refusal; r != nil && r.Reason == wire.ReasonUnreachable && r.Run != wire.NotRun && ctx.Err() == nil {
		a.settle(ctx, t, life, r)
	}
	return reply, t
}

// sent takes the gate's word that the request goes to the target.
func (a *attempt) sent(t Target, on terms) {
	a.at.sent(t.ID)
	if r := a.e.in.reports.get(t.ID); a.hedge || r.Gray <= min(on.maxGray, a.grayFirst()) {
		return
	}
	select {
	case a.risky <- struct{}{}:
	default:
	}
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
	a.e.in.reports.setLife(t.Host, r.Report.Life)
	if r.Refusal != nil && r.Report.At.IsZero() && r.Refusal.Reason == wire.ReasonUnreachable {
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
