package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// dispatcher sends one request to gates, with retries, until it has an outcome.
type dispatcher struct {
	in          *Ingress
	admission   admission
	req         *fasthttp.Request
	fingerprint uint64
	state       retry.State
	guard       *idempotencyGuard

	triedTargets []string
	requireIdle  bool
	// retryChoice is set if the next attempt must use the same target.
	retryChoice *balance.Choice
	lastChoice  balance.Choice
	// mayHaveRun is set if any attempt is not known to be "not run".
	mayHaveRun  bool
	lastRefusal *wire.Refusal
	// lastAttempt identifies the last attempt, for settling it.
	lastAttempt attemptRef
	// final is set if the last refusal ends the request regardless of its reason.
	final bool
}

// attemptRef identifies an attempt at a gate.
type attemptRef struct {
	host  string
	id    wire.ID
	epoch wire.Epoch
}

// random is the source of randomness for request handling.
type random struct{}

// IntN implements balance.Rand.
func (random) IntN(n int) int { return rand.IntN(n) }

// Float64 implements balance.Rand and retry.Rand.
func (random) Float64() float64 { return rand.Float64() }

func newDispatcher(x *exchange, req *fasthttp.Request) *dispatcher {
	budget := x.in.budgets.forService(x.admission.service.Name)
	budget.Deposit()
	return &dispatcher{
		in:          x.in,
		admission:   x.admission,
		req:         req,
		fingerprint: fingerprintOf(req),
		guard:       newIdempotencyGuard(x, req),
		state: retry.State{
			Idempotent:  x.admission.idempotent,
			Deadline:    x.deadline(),
			MaxAttempts: x.admission.service.Attempts,
			Attempts:    1,
			Budget:      budget,
		},
	}
}

// run makes attempts until one returns a buffered or streamed response or the
// request is refused. ctx also applies to the response body, so it must not have
// a deadline.
func (d *dispatcher) run(ctx context.Context) (*wire.Response, *wire.Refusal) {
	now := time.Now()
	if d.in.opts.Quarantine.Quarantined(now, d.fingerprint) {
		return nil, wire.Refuse(wire.ReasonQuarantined, "requests with the same method, URI, content type and body have crashed targets")
	}
	d.requireIdle = d.in.opts.Quarantine.Suspected(now, d.fingerprint)
	deadlineCtx, cancel := context.WithDeadline(ctx, d.state.Deadline)
	defer cancel()
	for {
		resp, refusal := d.attempt(ctx, deadlineCtx)
		if refusal == nil {
			d.guard.finish(resp)
			return resp, nil
		}
		if stored := d.guard.replay(); stored != nil {
			return stored, nil
		}
		d.lastRefusal = refusal
		if d.final || !d.shouldRetry(deadlineCtx) {
			d.mayHaveRun = d.mayHaveRun || d.final && refusal.Run != wire.NotRun
			d.guard.abandon(deadlineCtx, d.mayHaveRun)
			return nil, d.finalRefusal()
		}
	}
}

// finalRefusal returns the refusal for the caller. Its run state is "not run"
// only if no attempt may have run.
func (d *dispatcher) finalRefusal() *wire.Refusal {
	r := *d.lastRefusal
	r.Reason = callerReason(r.Reason)
	r.Run = wire.NotRun
	if d.mayHaveRun {
		r.Run = wire.Unknown
	}
	return &r
}

// shouldRetry decides whether to make another attempt after a refusal. It settles
// the last attempt if the decision depends on it and waits for the retry delay.
func (d *dispatcher) shouldRetry(ctx context.Context) bool {
	outcome := retry.Outcome{Reason: d.lastRefusal.Reason, Run: d.lastRefusal.Run}
	decision := retry.Next(&d.state, outcome, time.Now(), random{})
	if decision.Action == retry.Settle {
		outcome = retry.Outcome{Reason: d.lastRefusal.Reason, Run: d.settle(ctx), Settled: true}
		decision = retry.Next(&d.state, outcome, time.Now(), random{})
	}
	if outcome.Run != wire.NotRun {
		d.mayHaveRun = true
	}
	if decision.Action != retry.Retry {
		return false
	}
	d.in.stats.Retries.Add(1)
	d.retryChoice = nil
	if decision.SameTarget {
		d.retryChoice = &d.lastChoice
	}
	d.requireIdle = decision.IdleTarget
	if decision.Delay > 0 && d.state.Reroutes > 0 {
		// After a delay, the available targets may have changed.
		d.triedTargets = d.triedTargets[:0]
	}
	return pause.For(ctx, decision.Delay)
}

func (d *dispatcher) settle(ctx context.Context) wire.RunState {
	d.in.stats.Settles.Add(1)
	// Settling may exceed the request's deadline, because the caller needs the
	// run state.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	run, err := d.in.opts.Gates.Settle(ctx, d.lastAttempt.host, d.lastAttempt.id, d.lastAttempt.epoch)
	if err != nil {
		return wire.Unknown
	}
	return run
}

// settleTimeout limits the time to settle an attempt.
const settleTimeout = 3 * time.Second

// attempt makes one attempt. Small responses are buffered. deadlineCtx is ctx
// with the request's deadline.
func (d *dispatcher) attempt(ctx, deadlineCtx context.Context) (*wire.Response, *wire.Refusal) {
	snap := d.in.opts.Snapshot()
	if snap.View == nil {
		return nil, wire.Refuse(wire.ReasonNoTarget, "no targets are known yet")
	}
	choice, ok := d.choose(snap)
	if !ok {
		return nil, d.noTargetRefusal()
	}
	d.lastChoice = choice
	d.lastAttempt = attemptRef{host: choice.Host, id: wire.NewID()}
	d.lastAttempt.epoch, _ = d.in.epochs.get(choice.Host, time.Now())
	if r, final := d.guard.begin(deadlineCtx, &d.lastAttempt); r != nil {
		d.final = final
		return nil, r
	}
	return d.forward(ctx, snap, choice)
}

func (d *dispatcher) choose(snap *control.Snapshot) (balance.Choice, bool) {
	if d.retryChoice != nil {
		return *d.retryChoice, true
	}
	choice, ok := balance.Pick(time.Now(), snap.View, d.in.opts.Backoff, balance.Request{
		Service:     d.admission.service.Name,
		Tried:       d.triedTargets,
		Idempotent:  d.admission.idempotent,
		RequireIdle: d.requireIdle,
	}, random{})
	if ok {
		d.triedTargets = append(d.triedTargets, choice.Target)
	}
	return choice, ok
}

// noTargetRefusal returns the refusal if no target is left to try. It is that of
// the last attempt, if there was one.
func (d *dispatcher) noTargetRefusal() *wire.Refusal {
	if d.lastRefusal == nil {
		return wire.Refuse(wire.ReasonNoTarget, "no eligible target of service %s", d.admission.service.Name)
	}
	r := *d.lastRefusal
	r.Run = wire.NotRun
	return &r
}

// callerReason replaces reasons that only the ingress acts on by one that is
// meaningful to callers.
func callerReason(r wire.Reason) wire.Reason {
	switch r {
	case wire.ReasonStaleEpoch, wire.ReasonStaleConfig, wire.ReasonSettled:
		return wire.ReasonUnreachable
	}
	return r
}

func (d *dispatcher) forward(ctx context.Context, snap *control.Snapshot, c balance.Choice) (*wire.Response, *wire.Refusal) {
	d.in.stats.Attempts.Add(1)
	loads := d.in.opts.Loads
	loads.Begin(c.Target)
	sent := time.Now()
	resp, err := d.in.opts.Gates.Forward(ctx, c.Host, d.wireAttempt(snap, c), d.req)
	if err != nil {
		loads.End(c.Target)
		return nil, d.recordFailure(c, err)
	}
	d.recordSuccess(c, resp, sent)
	if err := bufferBody(resp); err != nil {
		loads.End(c.Target)
		return nil, d.truncatedRefusal(err)
	}
	if _, buffered := resp.Body.(bufferedBody); buffered || resp.Body == nil {
		loads.End(c.Target)
		return resp, nil
	}
	resp.Body = &closeNotifyBody{ReadCloser: resp.Body, onClose: func() { loads.End(c.Target) }}
	return resp, nil
}

// queueAfterReroutes is the number of reroutes after which a request may wait in
// the queue of a cold target: by then, few targets are likely to be warm.
const queueAfterReroutes = 2

func (d *dispatcher) wireAttempt(snap *control.Snapshot, c balance.Choice) wire.Attempt {
	return wire.Attempt{
		ID:          d.lastAttempt.id,
		Epoch:       d.lastAttempt.epoch,
		Service:     d.admission.service.Name,
		Target:      c.Target,
		Workspace:   d.admission.workspace,
		KeyID:       d.admission.keyID,
		Route:       d.admission.route.Path,
		Revision:    snap.Config.Revision(),
		Remaining:   time.Until(d.state.Deadline),
		Idempotent:  d.admission.idempotent,
		NoQueue:     d.state.Reroutes < queueAfterReroutes,
		Fingerprint: d.fingerprint,
	}
}

func (d *dispatcher) recordSuccess(c balance.Choice, resp *wire.Response, sent time.Time) {
	now := time.Now()
	d.in.opts.ObserveLatency(d.admission.service.Name, c.Host, now.Sub(sent))
	d.in.opts.Backoff.RecordSuccess(c.Host)
	d.in.epochs.set(c.Host, resp.Epoch, now)
	d.in.opts.Loads.RecordReport(now, c.Target, resp.Load)
	d.in.opts.ReportRevision(c.Host, resp.Load.Revision)
}

func (d *dispatcher) recordFailure(c balance.Choice, err error) *wire.Refusal {
	r := wire.AsRefusal(err)
	if r == nil {
		r = wire.RefuseUnknown(wire.ReasonUnreachable, "%v", err)
	}
	now := time.Now()
	d.in.epochs.set(c.Host, r.Epoch, now)
	d.in.opts.ReportRevision(c.Host, r.Revision)
	if r.Reason == wire.ReasonBusy || r.Reason == wire.ReasonTargetCold {
		d.in.opts.Loads.RecordRefusal(now, c.Target, r.Load.Limit)
	}
	if r.Reason == wire.ReasonUnreachable {
		d.in.opts.Backoff.RecordFailure(now, c.Host)
	} else {
		d.in.opts.Backoff.RecordSuccess(c.Host)
	}
	return r
}

// truncatedRefusal returns the refusal for a truncated response.
func (d *dispatcher) truncatedRefusal(err error) *wire.Refusal {
	return &wire.Refusal{
		Reason: wire.ReasonTargetFailed,
		Run:    wire.Ran,
		Detail: fmt.Sprintf("reading the response of target %s on host %s failed: %s", d.lastChoice.Target, d.lastChoice.Host, err),
	}
}
