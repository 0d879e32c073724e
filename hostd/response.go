package hostd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// finish writes the response.
func (e *exchange) finish(ctx context.Context, out outcome) {
	if ctx.Err() != nil {
		e.in.metrics.Add("left", 1)
		e.in.log.Decide("caller-left", "id", e.caller.Attempt, "route", e.route.Name, "after_ms", time.Since(e.started).Milliseconds(), "attempts", out.attempts)
		return
	}
	if out.answer == nil {
		e.refuse(out.refusal, "failed")
		return
	}
	took := time.Since(e.started)
	resp := &e.x.Response
	out.answer.Header.CopyTo(&resp.Header)
	for _, name := range hopByHop {
		resp.Header.Del(name)
	}
	resp.SetBodyRaw(out.answer.Body)
	e.x.Hold(out.answer.lease)
	out.answer.release()
	e.in.metrics.Add("served", 1)
	e.in.metrics.Observe("request_time", took)
	e.in.log.Decide("answered", "id", e.caller.Attempt, "route", e.route.Name, "workspace", e.workspaceName(), "status", resp.StatusCode(), "target", out.target,
		"attempts", out.attempts, "took_ms", took.Milliseconds(), "objective_ms", e.route.Objective.Milliseconds(), "late", took > e.route.Objective)
}

// refuse answers a request for which there is no answer from a target.
func (e *exchange) refuse(r *wire.Refusal, decision string) {
	resp := &e.x.Response
	status := statusFor(r)
	problem.Write(resp, r)
	resp.SetStatusCode(status)
	var after time.Duration
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		after = admission.RetryDelay(r.RetryAfter, e.priorityOrLowest(), rand.Float64())
	}
	karpithaz.SetProxyResponseHeaders(&resp.Header, e.caller.Attempt, after)
	e.in.metrics.Add(decision, 1)
	e.in.metrics.Add(decision+"_"+string(r.Reason), 1)
	e.in.log.Decide(decision, "id", e.caller.Attempt, "route", e.routeName(), "workspace", e.workspaceName(), "status", status, "reason", r.Reason, "run", r.Run, "detail", r.Detail,
		"retry_after_ms", after.Milliseconds(), "after_ms", time.Since(e.started).Milliseconds(),
		"revision", e.revision(), "proof_age_ms", e.proof.age().Milliseconds())
}

// statusFor returns the HTTP status of a refusal. Some statuses promise that
// the request has not run, and only those allow a caller to repeat an order.
func statusFor(r *wire.Refusal) int {
	status := r.Reason.Status()
	if r.Run == wire.NotRun && status >= fasthttp.StatusInternalServerError {
		return fasthttp.StatusServiceUnavailable
	}
	if r.Run != wire.NotRun && (status < fasthttp.StatusInternalServerError || status == fasthttp.StatusServiceUnavailable) {
		return fasthttp.StatusBadGateway
	}
	return status
}
