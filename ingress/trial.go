package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// trial tries one request at gates until it has an outcome.
type trial struct {
	in          *Ingress
	adm         admission
	req         *fasthttp.Request
	fingerprint uint64
	state       retry.State
	guard       *orderGuard

	tried []string
	alone bool
	// again is the choice to be repeated, if any.
	again *balance.Choice
	// chosen is the last choice.
	chosen balance.Choice
	// mayHaveRun is set when an attempt's fate is not known to be "not run".
	mayHaveRun bool
	// last is the refusal of the last attempt.
	last *wire.Refusal
	// lastRef names the last attempt for settling.
	lastRef attemptRef
	// final is set when the last refusal ends the request whatever it says.
	final bool
}

// attemptRef names an attempt at a gate.
type attemptRef struct {
	host  string
	id    wire.ID
	epoch wire.Epoch
}

// random is the source of randomness of the traffic goroutines.
type random struct{}

// IntN implements balance.Rand.
func (random) IntN(n int) int { return rand.IntN(n) }

// Float64 implements balance.Rand and retry.Rand.
func (random) Float64() float64 { return rand.Float64() }

func newTrial(x *exchange, req *fasthttp.Request) *trial {
	budget := x.in.budgets.of(x.adm.service.Name)
	budget.Deposit()
	return &trial{
		in:          x.in,
		adm:         x.adm,
		req:         req,
		fingerprint: fingerprintOf(req),
		guard:       newOrderGuard(x, req),
		state: retry.State{
			Idempotent:  x.adm.idempotent,
			Deadline:    x.deadline(),
			MaxAttempts: x.adm.service.Attempts,
			Attempts:    1,
			Budget:      budget,
		},
	}
}

// run makes attempts until there is a whole or streamed answer or a refusal.
// ctx governs the answer's body too, so it has no deadline.
func (t *trial) run(ctx context.Context) (*wire.Answer, *wire.Refusal) {
	now := time.Now()
	if t.in.opts.Quarantine.Quarantined(now, t.fingerprint) {
		return nil, wire.Refuse(wire.ReasonQuarantined, "requests like this one have crashed targets")
	}
	t.alone = t.in.opts.Quarantine.Suspected(now, t.fingerprint)
	bounded, cancel := context.WithDeadline(ctx, t.state.Deadline)
	defer cancel()
	for {
		ans, refusal := t.attempt(ctx, bounded)
		if refusal == nil {
			t.guard.finish(ans)
			return ans, nil
		}
		if stored := t.guard.replay(); stored != nil {
			return stored, nil
		}
		t.last = refusal
		if t.final || !t.goOn(bounded) {
			t.mayHaveRun = t.mayHaveRun || t.final && refusal.Run != wire.NotRun
			t.guard.abandon(bounded, t.mayHaveRun)
			return nil, t.verdict()
		}
	}
}

// verdict is the refusal that the caller gets: "not run" only if no attempt
// may have run.
func (t *trial) verdict() *wire.Refusal {
	r := *t.last
	r.Reason = finalReason(r.Reason)
	r.Run = wire.NotRun
	if t.mayHaveRun {
		r.Run = wire.Unknown
	}
	return &r
}

// goOn decides what follows a refusal, settling when needed.
func (t *trial) goOn(ctx context.Context) bool {
	outcome := retry.Outcome{Reason: t.last.Reason, Run: t.last.Run}
	d := retry.Next(&t.state, outcome, time.Now(), random{})
	if d.Action == retry.Settle {
		outcome = retry.Outcome{Reason: t.last.Reason, Run: t.settle(ctx), Settled: true}
		d = retry.Next(&t.state, outcome, time.Now(), random{})
	}
	if outcome.Run != wire.NotRun {
		t.mayHaveRun = true
	}
	if d.Action != retry.Retry {
		return false
	}
	t.in.stats.Retries.Add(1)
	t.again = nil
	if d.SameTarget {
		t.again = &t.chosen
	}
	t.alone = d.IdleTarget
	if d.Delay > 0 && t.state.Reroutes > 0 {
		// After a pause the members may be other ones than those tried.
		t.tried = t.tried[:0]
	}
	return pause.For(ctx, d.Delay)
}

func (t *trial) settle(ctx context.Context) wire.RunState {
	t.in.stats.Settles.Add(1)
	// Settling is worth more time than the request itself had left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	run, err := t.in.opts.Gates.Settle(ctx, t.lastRef.host, t.lastRef.id, t.lastRef.epoch)
	if err != nil {
		return wire.Unknown
	}
	return run
}

// settleTimeout bounds finding out what became of an attempt.
const settleTimeout = 3 * time.Second

// attempt makes one attempt. Small answers are read whole. bounded is ctx with
// the request's deadline.
func (t *trial) attempt(ctx, bounded context.Context) (*wire.Answer, *wire.Refusal) {
	snap := t.in.opts.Snapshot()
	if snap.View == nil {
		return nil, wire.Refuse(wire.ReasonNoTarget, "no targets are known yet")
	}
	choice, ok := t.choose(snap)
	if !ok {
		return nil, t.noTarget()
	}
	t.chosen = choice
	t.lastRef = attemptRef{host: choice.Host, id: wire.NewID()}
	t.lastRef.epoch, _ = t.in.epochs.get(choice.Host, time.Now())
	if r, final := t.guard.begin(bounded, &t.lastRef); r != nil {
		t.final = final
		return nil, r
	}
	return t.forward(ctx, snap, choice)
}

func (t *trial) choose(snap *control.Snapshot) (balance.Choice, bool) {
	if t.again != nil {
		return *t.again, true
	}
	choice, ok := balance.Pick(time.Now(), snap.View, t.in.opts.Avoid, balance.Request{
		Service:     t.adm.service.Name,
		Tried:       t.tried,
		Idempotent:  t.adm.idempotent,
		RequireIdle: t.alone,
	}, random{})
	if ok {
		t.tried = append(t.tried, choice.Target)
	}
	return choice, ok
}

// noTarget is the refusal when there is nothing left to try: that of the last
// attempt, if there was one.
func (t *trial) noTarget() *wire.Refusal {
	if t.last == nil {
		return wire.Refuse(wire.ReasonNoTarget, "no target of service %s can be chosen", t.adm.service.Name)
	}
	r := *t.last
	r.Run = wire.NotRun
	return &r
}

// finalReason turns reasons that the ingress itself acts on into ones that mean
// something to callers.
func finalReason(r wire.Reason) wire.Reason {
	switch r {
	case wire.ReasonStaleEpoch, wire.ReasonStaleConfig, wire.ReasonSettled:
		return wire.ReasonUnreachable
	}
	return r
}

func (t *trial) forward(ctx context.Context, snap *control.Snapshot, c balance.Choice) (*wire.Answer, *wire.Refusal) {
	t.in.stats.Attempts.Add(1)
	loads := t.in.opts.Loads
	loads.Begin(c.Target)
	sent := time.Now()
	ans, err := t.in.opts.Gates.Forward(ctx, c.Host, t.wireAttempt(snap, c), t.req)
	if err != nil {
		loads.End(c.Target)
		return nil, t.failed(c, err)
	}
	t.succeeded(c, ans, sent)
	if err := readWhole(ans); err != nil {
		loads.End(c.Target)
		return nil, t.truncated(err)
	}
	if _, whole := ans.Body.(wholeBody); whole || ans.Body == nil {
		loads.End(c.Target)
		return ans, nil
	}
	ans.Body = &countedBody{ReadCloser: ans.Body, end: func() { loads.End(c.Target) }}
	return ans, nil
}

// queueAfterMoves is the number of moves to other targets after which a request
// waits in the queue of a cold one: then few are warm.
const queueAfterMoves = 2

func (t *trial) wireAttempt(snap *control.Snapshot, c balance.Choice) wire.Attempt {
	return wire.Attempt{
		ID:          t.lastRef.id,
		Epoch:       t.lastRef.epoch,
		Service:     t.adm.service.Name,
		Target:      c.Target,
		Workspace:   t.adm.workspace,
		KeyID:       t.adm.keyID,
		Route:       t.adm.route.Path,
		Revision:    snap.Config.Revision(),
		Remaining:   time.Until(t.state.Deadline),
		Idempotent:  t.adm.idempotent,
		NoQueue:     t.state.Reroutes < queueAfterMoves,
		Fingerprint: t.fingerprint,
	}
}

func (t *trial) succeeded(c balance.Choice, ans *wire.Answer, sent time.Time) {
	now := time.Now()
	t.in.opts.Answered(t.adm.service.Name, c.Host, now.Sub(sent))
	t.in.opts.Avoid.RecordSuccess(c.Host)
	t.in.epochs.set(c.Host, ans.Epoch, now)
	t.in.opts.Loads.RecordReport(now, c.Target, ans.Load)
	t.in.opts.Behind(c.Host, ans.Load.Revision)
}

func (t *trial) failed(c balance.Choice, err error) *wire.Refusal {
	r := wire.AsRefusal(err)
	if r == nil {
		r = wire.RefuseUnknown(wire.ReasonUnreachable, "%v", err)
	}
	now := time.Now()
	t.in.epochs.set(c.Host, r.Epoch, now)
	t.in.opts.Behind(c.Host, r.Revision)
	if r.Reason == wire.ReasonBusy || r.Reason == wire.ReasonCold {
		t.in.opts.Loads.RecordRefusal(now, c.Target, r.Load.Limit)
	}
	if r.Reason == wire.ReasonUnreachable {
		t.in.opts.Avoid.RecordFailure(now, c.Host)
	} else {
		t.in.opts.Avoid.RecordSuccess(c.Host)
	}
	return r
}

// truncated is the refusal for an answer that broke off.
func (t *trial) truncated(err error) *wire.Refusal {
	return &wire.Refusal{
		Reason: wire.ReasonTargetFailed,
		Run:    wire.Ran,
		Detail: "the answer broke off: " + err.Error(),
	}
}
