package hostd

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/retry"
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
	cancels []context.CancelCauseFunc
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
		cancel(errOvertaken)
	}
}

// errOvertaken ends the attempts that still run when their request has its
// outcome.
var errOvertaken = errors.New("the request has its outcome")

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
	ctx, cancel := context.WithCancelCause(ctx)
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
