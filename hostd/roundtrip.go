package hostd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// exchange sends an admitted attempt to the target.
func (g *Gate) exchange(ctx context.Context, tk *ticket, req *fasthttp.Request) Reply {
	if !tk.f.Repeatable {
		// A request that may run only once continues when its caller
		// disconnects. If it were aborted, nobody would know whether it had
		// run.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, tk.deadline.Add(answerGrace))
	defer cancel()
	sent := time.Now()
	answer, err := g.roundTrip(ctx, tk, req, false)
	if err == nil || !tk.f.Repeatable || !closedWhileIdle(err, time.Since(sent)) {
		return g.finishExchange(tk, answer, err)
	}
	// The target closed an idle connection just as it was reused, or has died of the request.
	g.metrics.Add("target_stale_connections", 1)
	g.recordPossibleRestart(tk)
	tk.retransmitted = true
	answer, err = g.roundTrip(ctx, tk, req, true)
	return g.finishExchange(tk, answer, err)
}

// answerGrace is how long after the deadline a target's answer may arrive, so
// that an answer sent at the deadline still gets through.
const answerGrace = 100 * time.Millisecond

func (g *Gate) roundTrip(ctx context.Context, tk *ticket, req *fasthttp.Request, fresh bool) (*Answer, error) {
	karpithaz.SetTargetHeaders(&req.Header, karpithaz.TargetRequest{
		TimeLeft:      time.Until(tk.deadline),
		Target:        tk.target.id,
		Workspace:     tk.f.Workspace,
		CallerService: tk.f.CallerService,
	})
	resp, err := g.links.Do(ctx, tk.target.address, req, link.RequestOptions{
		NewConnection:    fresh,
		Deadline:         tk.deadline.Add(answerGrace),
		FirstByteTimeout: time.Until(tk.deadline) + answerGrace,
		AllowUnframed:    true,
		MatchResponse: func(h *fasthttp.ResponseHeader, reused bool) bool {
			return answersAttempt(karpithaz.ParseResponse(h), tk.f.Attempt, reused)
		},
		KeepConnection: keepsTargetConnection,
	})
	if err != nil {
		return nil, err
	}
	body, lease, err := readBody(resp, g.memory)
	if err != nil {
		return nil, err
	}
	a := newAnswer(body, lease)
	resp.Header.CopyTo(&a.Header)
	return a, nil
}

// answersAttempt reports whether an answer of a target belongs to an attempt. On a
// reused connection a refusal without an attempt may be that of an earlier one.
func answersAttempt(answer karpithaz.Response, attempt string, reused bool) bool {
	if answer.Attempt == "" {
		return !answer.NotRun || !reused
	}
	return answer.Attempt == attempt
}

// keepsTargetConnection reports whether a connection to a target may be reused after an
// answer. A faulty target may repeat a refusal, and if the attempt were sent again on the
// same connection, the repeat would be taken for its answer.
func keepsTargetConnection(h *fasthttp.ResponseHeader) bool {
	return !karpithaz.ParseResponse(h).NotRun
}

// idleCloseWindow is the time after sending within which a broken connection
// means that the target had closed it while idle. Later, the request may have
// been running.
const idleCloseWindow = 20 * time.Millisecond

func closedWhileIdle(err error, after time.Duration) bool {
	le := link.AsError(err)
	return le != nil && le.Reused && le.Stage == link.StageSent && le.Cause == link.CauseClosed && after <= idleCloseWindow
}

// exchangeResult is the result of an exchange with the target.
type exchangeResult struct {
	refusal *wire.Refusal
	// signal is what the result says about the target's health.
	signal targetSignal
}

type targetSignal int

const (
	signalGood      targetSignal = iota // the request succeeded
	signalFailed                        // the target failed the request
	signalAbandoned                     // the request was cancelled or timed out
	signalNotRun                        // the target did not run the request
	signalShed                          // the target did not run the request although it had a slot
)

// finishExchange frees the slot and returns the reply.
func (g *Gate) finishExchange(tk *ticket, a *Answer, err error) Reply {
	e := classify(tk, a, err)
	if tk.retransmitted && e.refusal != nil {
		e.refusal.Run = wire.Unknown // the first transmission may have run
	}
	now := time.Now()
	g.mu.Lock()
	t := tk.target
	switch {
	case e.signal == signalFailed && err == nil && !tk.f.Nested && t.takeExcuse(now):
		e.signal = signalNotRun // not evidence against the target
	case e.signal == signalShed && !now.Before(tk.deadline):
		e.signal = signalNotRun // it was too late to run
	}
	switch e.signal {
	case signalGood:
		t.forgetBroken(tk.f.Fingerprint)
		g.observeSpeed(tk, now)
		t.filter.RecordSuccess(now, tk.request)
	case signalFailed, signalShed:
		t.filter.RecordFailure(now, tk.request)
	case signalAbandoned:
		t.filter.RecordCancellation(now, tk.request)
	case signalNotRun:
		t.filter.Remove(tk.request)
	}
	if le := link.AsError(err); le != nil {
		g.recordLinkError(tk, le, now)
	}
	run := wire.Ran
	if e.refusal != nil {
		run = e.refusal.Run
	}
	g.records.Finish(tk.f.Attempt, run)
	if e.refusal != nil {
		g.setRunState(tk.f, e.refusal)
	}
	t.bytes.End(tk.f.bodyBytes, err == nil)
	gray := t.filter.Probability(now)
	g.countResult(tk, e, err, now)
	t.running.Remove(tk.f.rank())
	if tk.f.Repeat {
		t.repeats--
	}
	t.queue.Used(now, tk.f.Workspace, now.Sub(tk.started))
	t.queue.Complete(now.Sub(tk.started), tk.f.Nested)
	g.grantSlots(t, now)
	g.mu.Unlock()
	if e.signal == signalGood {
		g.onServed(tk.f.Fingerprint)
	}
	g.logExchange(tk, a, e, now, gray)
	if e.refusal != nil {
		return Reply{Refusal: e.refusal}
	}
	return Reply{Answer: a}
}

// recordPossibleRestart records that the target may have restarted, or died, with a request
// in flight.
func (g *Gate) recordPossibleRestart(tk *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	tk.target.startLimit.MayHaveRestarted(now)
	g.recordBroken(tk, now)
}

// recordLinkError records what a failed exchange says about whether the target
// is alive. g.mu must be held.
func (g *Gate) recordLinkError(tk *ticket, le *link.Error, now time.Time) {
	t := tk.target
	t.startLimit.MayHaveRestarted(now)
	switch {
	case le.Stage == link.StageDial:
		t.downUntil = now.Add(dialFailureBackoff)
	case le.Cause == link.CauseClosed:
		g.recordBroken(tk, now)
	}
}

// dialFailureBackoff is how long a target that refused a connection receives no
// requests. Targets restart within seconds.
const dialFailureBackoff = 200 * time.Millisecond

func (g *Gate) logExchange(tk *ticket, a *Answer, e exchangeResult, now time.Time, gray float64) {
	took := now.Sub(tk.started)
	g.metrics.Observe("target_time", took)
	if e.refusal != nil {
		g.metrics.Add("target_"+string(e.refusal.Reason), 1)
		g.log.Decide("target-failed", "id", tk.f.Attempt, "target", tk.target.id, "took_ms", took.Milliseconds(),
			"reason", e.refusal.Reason, "run", e.refusal.Run, "detail", e.refusal.Detail, "gray", gray)
		return
	}
	g.metrics.Add("target_answers", 1)
	g.log.Decide("target-answered", "id", tk.f.Attempt, "target", tk.target.id, "took_ms", took.Milliseconds(),
		"status", a.Header.StatusCode(), "bytes", len(a.Body), "gray", gray)
}

func classify(tk *ticket, a *Answer, err error) exchangeResult {
	if err != nil {
		return classifyError(tk, err)
	}
	answer := karpithaz.ParseResponse(&a.Header)
	status := a.Header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return exchangeResult{wire.Refuse(wire.ReasonWrongTarget, "the address of target %s is in use by another target", tk.target.id), signalNotRun}
	case answer.NotRun:
		return exchangeResult{wire.Refuse(wire.ReasonTargetShed, "target %s did not run the request", tk.target.id), signalShed}
	case promisesNotRun(status):
		return exchangeResult{wire.RefuseUnknown(wire.ReasonTargetFailed, "target %s returned status %d without stating that it did not run the request", tk.target.id, status), signalFailed}
	case status == fasthttp.StatusGatewayTimeout:
		return exchangeResult{nil, signalAbandoned} // the target's own deadline or that of a call it made
	case status >= fasthttp.StatusInternalServerError:
		return exchangeResult{nil, signalFailed}
	case !answer.Signed && status < fasthttp.StatusMultipleChoices:
		return exchangeResult{wire.RefuseUnknown(wire.ReasonTargetFailed, "target %s returned a success without a signature", tk.target.id), signalFailed}
	}
	return exchangeResult{nil, signalGood}
}

// promisesNotRun reports whether callers take a status for the promise that their request
// has not run. In this fleet's name only a target that states it may give that promise.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		return true
	}
	return false
}

func classifyError(tk *ticket, err error) exchangeResult {
	le := link.AsError(err)
	switch {
	case le != nil && le.Stage == link.StageDial:
		return exchangeResult{wire.Refuse(wire.ReasonUnreachable, "target %s: %v", tk.target.id, err), signalNotRun}
	case le != nil && le.Cause == link.CauseCanceled:
		return exchangeResult{wire.RefuseUnknown(wire.ReasonTimeout, "cancelled by the ingress"), signalAbandoned}
	case le != nil && le.Cause == link.CauseTimeout:
		return exchangeResult{wire.RefuseUnknown(wire.ReasonTimeout, "target %s did not answer in time", tk.target.id), signalAbandoned}
	}
	return exchangeResult{wire.RefuseUnknown(wire.ReasonTargetFailed, "target %s: %v", tk.target.id, err), signalFailed}
}
