package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// outcome is the result of a request.
type outcome struct {
	answer  *Answer
	refusal *wire.Refusal
	target  string
	// attempts is the number of targets that the request was sent to.
	attempts int
}

// failed reports whether the request got no successful answer.
func (o outcome) failed() bool {
	return o.answer == nil || o.answer.Header.StatusCode() >= fasthttp.StatusInternalServerError
}

// execution makes attempts until a request has an outcome. A repeatable request
// is hedged with a second attempt if the first one takes too long.
type execution struct {
	e       *exchange
	retries *serviceRetries
	charge  retry.Charge
	// wait is a retry that waits for the budget.
	wait    retryWait
	results chan attemptResult
	cancels []context.CancelCauseFunc
	// running is the number of attempts without a result, and sent the number
	// that may have reached a target.
	running, sent int
	// failedTargets are the targets that failed the request, and shedBy those
	// that did not run it for lack of capacity.
	failedTargets, shedBy []string
	// offers tells whether the request may have run.
	offers *offers
	// hedgeSoon is signalled when an early hedge is wanted.
	hedgeSoon chan struct{}
	// failure is the last error answer of a target. It is passed on if no
	// better answer arrives.
	failure     *outcome
	lastRefusal *wire.Refusal
}

func countDistinct(ids []string) int {
	return len(slices.Compact(slices.Sorted(slices.Values(ids))))
}

type attemptResult struct {
	reply  Reply
	target Target
	hedge  bool
}

// unplaced reports whether no gate accepted the attempt.
func (r attemptResult) unplaced() bool {
	return r.target.ID == "" && r.reply.Refusal != nil && r.reply.Refusal.Run == wire.NotRun
}

// shed reports whether a target turned the attempt away.
func (r attemptResult) shed() bool {
	return r.reply.Refusal != nil && r.reply.Refusal.Reason == wire.ReasonTargetShed
}

// arrived reports whether the attempt reached a target, or may have. An attempt that
// has been canceled has a result that does not tell.
func (a *attempt) arrived(ctx context.Context, r attemptResult) bool {
	refusal := r.reply.Refusal
	switch {
	case refusal == nil, refusal.Reason == wire.ReasonTargetShed, refusal.Reason == wire.ReasonWrongTarget:
		return true
	case refusal.Run == wire.NotRun:
		return false
	}
	return ctx.Err() == nil || a.mayHaveArrived.Load()
}

// attemptKind says why an attempt is made.
type attemptKind int

const (
	firstAttempt attemptKind = iota
	retryAttempt             // after a failure
	hedgeAttempt             // while another one runs
)

// resultBuffer is the number of results that can arrive after the execution has
// ended.
const resultBuffer = 8

func newExecution(e *exchange) *execution {
	r := e.in.retriesOf(e.service)
	r.deposit()
	return &execution{e: e, retries: r, results: make(chan attemptResult, resultBuffer), offers: &offers{}, hedgeSoon: make(chan struct{}, 1)}
}

// hedgeQuantile is the latency quantile after which a request is hedged.
const hedgeQuantile = 0.9

// grayHedgeQuantile replaces hedgeQuantile if a hedge was requested early, for
// example because the target seems gray.
const grayHedgeQuantile = 0.6

// run makes attempts until there is an outcome.
func (ex *execution) run(ctx context.Context) outcome {
	defer ex.cancelAll()
	defer ex.abandonWait()
	ex.launch(ctx, firstAttempt)
	deadline := time.NewTimer(time.Until(ex.e.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(ex.hedgeDelay())
	defer hedge.Stop()
	ending := ex.e.in.refuseUnsent
	unplacedHedges := 0
	for {
		select {
		case r := <-ex.results:
			if out := ex.handleResult(ctx, r); out != nil {
				return *out
			}
			if r.hedge && r.unplaced() {
				hedge.Reset(unplacedHedgeDelay(unplacedHedges, time.Until(ex.e.deadline)))
				unplacedHedges++
			}
		case <-hedge.C:
			if !ex.retryAllowed() {
				continue
			}
			if ex.wait.waiter == nil && ex.takeRetry(ctx, true) {
				ex.launch(ctx, hedgeAttempt)
			} else {
				hedge.Reset(jitter(budgetRetryDelay))
			}
		case <-ex.wait.granted:
			ex.afterWait(ctx)
		case <-ex.wait.timeout:
			if out := ex.afterWait(ctx); out != nil {
				return *out
			}
		case <-ex.hedgeSoon:
			w := ex.e.in.latency(ex.e.route)
			hedge.Reset(w.Quantile(grayHedgeQuantile))
		case <-ending:
			ending = nil
			if ex.withdrawAll(ctx) {
				r := wire.Refuse(wire.ReasonLeaving, "this host is stopping and no target has accepted the request")
				return outcome{refusal: r, attempts: ex.sent}
			}
		case <-ex.e.in.endRequests:
			return ex.stopOutcome()
		case <-deadline.C:
			return ex.timeoutOutcome()
		case <-ctx.Done():
			return outcome{attempts: ex.sent}
		}
	}
}

// withdrawAll withdraws the request from all gates that have it. It returns
// false if a target is working on the request, has worked on it, or may have.
func (ex *execution) withdrawAll(ctx context.Context) bool {
	return ex.offers.withdraw(func(x offer) bool {
		sent, err := ex.e.in.gates.Withdraw(ctx, x.Host, ex.e.caller.Attempt, x.Incarnation)
		return err == nil && !sent
	})
}

func (ex *execution) cancelAll() {
	for _, cancel := range ex.cancels {
		cancel(errSuperseded)
	}
}

// errSuperseded cancels the attempts still running when the request has an
// outcome.
var errSuperseded = errors.New("another attempt has completed the request")

// maxHedgeDelayShare is the share of a request's time after which it is hedged
// at the latest, to leave time for the second attempt.
const maxHedgeDelayShare = 0.45

// hedgeDelay returns the delay before the first hedge.
func (ex *execution) hedgeDelay() time.Duration {
	w := ex.e.in.latency(ex.e.route)
	latest := time.Duration(maxHedgeDelayShare * float64(ex.e.deadline.Sub(ex.e.started)))
	return min(w.Quantile(hedgeQuantile), latest)
}

// budgetRetryDelay is the mean delay after which a hedge that exceeded the retry
// budget asks for it again. The budget recovers by several retries a second.
const budgetRetryDelay = 400 * time.Millisecond

const (
	// maxUnplacedHedgeDelay bounds the mean delay after which a hedge that no gate
	// accepted is tried again, and unplacedHedgeShare bounds it as a share of the
	// time left, so that a hedge remains of use.
	maxUnplacedHedgeDelay = 1600 * time.Millisecond
	unplacedHedgeShare    = 0.3
	// minUnplacedHedgeDelay keeps hedges apart when little time is left.
	minUnplacedHedgeDelay = 100 * time.Millisecond
)

// unplacedHedgeDelay returns the delay before the next hedge after several that no
// gate accepted. It grows, because such a hedge asks many gates.
func unplacedHedgeDelay(before int, left time.Duration) time.Duration {
	latest := max(time.Duration(unplacedHedgeShare*float64(left)), minUnplacedHedgeDelay)
	return jitter(min(budgetRetryDelay<<min(before, 8), maxUnplacedHedgeDelay, latest))
}

// jitter returns a random duration between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}

// retryAllowed reports whether a request that may have run may be sent again,
// apart from the retry budget.
func (ex *execution) retryAllowed() bool {
	return ex.e.route.Kind.Repeatable() &&
		ex.sent+ex.running < ex.e.route.MaxAttempts &&
		time.Now().Before(ex.e.deadline)
}

// newRequest returns a copy of the caller's request, which shares its body.
func (e *exchange) newRequest() *fasthttp.Request {
	req := &fasthttp.Request{}
	e.x.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(e.x.Request.Body())
	return req
}

// launch starts an attempt, for which a retry has been taken from the budget unless
// it is the first.
func (ex *execution) launch(ctx context.Context, kind attemptKind) {
	ctx, cancel := context.WithCancelCause(ctx)
	ex.cancels = append(ex.cancels, cancel)
	ex.running++
	a := &attempt{e: ex.e, req: ex.e.newRequest(), exclude: slices.Clone(ex.failedTargets), offers: ex.offers, hedgeSoon: ex.hedgeSoon, hedge: kind == hedgeAttempt,
		repeat: kind != firstAttempt && (ex.sent > 0 || ex.running > 1 || len(ex.shedBy) > 0)}
	if ex.sent+ex.running+countDistinct(ex.shedBy) > ex.e.route.MaxAttempts {
		a.restrictTo = slices.Clone(ex.shedBy)
	}
	ex.charge.Start(kind != firstAttempt)
	go func() {
		r := a.run(ctx)
		arrived := a.arrived(ctx, r)
		if arrived {
			ex.retries.observe(r.shed())
		}
		for range ex.charge.End(arrived) {
			ex.retries.refund()
		}
		ex.results <- r
	}()
}

// handleResult processes an attempt's result and returns the outcome, if there
// is one.
func (ex *execution) handleResult(ctx context.Context, r attemptResult) *outcome {
	ex.running--
	if r.reply.Answer != nil {
		ex.sent++
		return ex.handleAnswer(ctx, r)
	}
	refusal := r.reply.Refusal
	if refusal.Run != wire.NotRun {
		ex.sent++
	}
	switch {
	case refusal.Reason == wire.ReasonTargetShed:
		ex.shedBy = append(ex.shedBy, r.target.ID)
	case r.target.ID != "":
		ex.failedTargets = append(ex.failedTargets, r.target.ID)
	}
	if !r.hedge || ex.lastRefusal == nil {
		ex.lastRefusal = refusal
	}
	ex.e.in.log.Decide("attempt-failed", "id", ex.e.caller.Attempt, "target", r.target.ID, "reason", refusal.Reason, "run", refusal.Run,
		"detail", refusal.Detail, "hedge", r.hedge, "running", ex.running)
	if ex.running > 0 {
		return nil
	}
	return ex.retryOrEnd(ctx, ex.shouldRetry(refusal), ex.finalOutcome())
}

// shouldRetry reports whether another attempt may follow a refusal, apart from the
// retry budget.
func (ex *execution) shouldRetry(r *wire.Refusal) bool {
	if r.Run == wire.NotRun {
		// Only a refusal by the target itself leads to another attempt, which
		// counts against the budget. Otherwise the attempt has already asked
		// all gates.
		return (r.Reason == wire.ReasonTargetShed || r.Reason == wire.ReasonWrongTarget) &&
			len(ex.shedBy) < ex.maxShedReplies()
	}
	return ex.retryAllowed()
}

func (ex *execution) handleAnswer(ctx context.Context, r attemptResult) *outcome {
	out := &outcome{answer: r.reply.Answer, target: r.target.ID, attempts: ex.sent}
	status := r.reply.Answer.Header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		ex.e.in.observeLatency(ex.e.route, time.Since(ex.e.started))
		return out
	}
	ex.failure = out
	ex.failedTargets = append(ex.failedTargets, r.target.ID)
	if ex.running > 0 {
		return nil
	}
	return ex.retryOrEnd(ctx, ex.retryAllowed(), out)
}

// finalOutcome returns the outcome when no attempt is left.
func (ex *execution) finalOutcome() *outcome {
	if ex.failure != nil {
		return ex.failure
	}
	r := *ex.lastRefusal
	r.Run = ex.offers.runState()
	return &outcome{refusal: &r, attempts: ex.sent}
}

// timeoutOutcome returns the outcome at the deadline.
func (ex *execution) timeoutOutcome() outcome {
	if ex.failure != nil {
		return *ex.failure
	}
	r := wire.RefuseUnknown(wire.ReasonTimeout, "no answer within %s", time.Since(ex.e.started).Round(time.Millisecond))
	return outcome{refusal: r, attempts: ex.sent + ex.running}
}

// stopOutcome returns the outcome at the end of a planned stop.
func (ex *execution) stopOutcome() outcome {
	if ex.failure != nil {
		return *ex.failure
	}
	ex.offers.close()
	after := time.Since(ex.e.started).Round(time.Millisecond)
	r := wire.RefuseUnknown(wire.ReasonTimeout, "no answer within %s, when this host had to stop", after)
	if ex.offers.runState() == wire.NotRun {
		r = wire.Refuse(wire.ReasonLeaving, "this host had to stop after %s and no target has accepted the request", after)
	}
	return outcome{refusal: r, attempts: ex.sent + ex.running}
}
