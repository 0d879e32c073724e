package ingress

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/report"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// handle serves one caller request.
func (in *Ingress) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	in.stats.Requests.Add(1)
	in.stats.InFlight.Add(1)
	snap := in.opts.Snapshot()
	if shouldCloseConnections(snap) {
		ctx.SetConnectionClose()
	}
	x := &exchange{in: in, caller: ctx, started: started}
	x.admission, x.refusal = admit(snap, &ctx.Request.Header)
	if x.refusal == nil && len(ctx.Request.Body()) > x.admission.service.MaxBody {
		x.refusal = tooLargeRefusal(x.admission.service.MaxBody)
	}
	if x.refusal == nil {
		x.run()
	}
	if x.refusal != nil {
		x.writeRefusal()
	}
	if x.streaming {
		return // streamedBody.Close finishes the exchange
	}
	x.finish()
}

// shouldCloseConnections reports whether callers' connections should be closed
// after the current response so that the callers reconnect to another host.
func shouldCloseConnections(snap *control.Snapshot) bool {
	return snap.Leaving || snap.DataCentreOut || !snap.UpToDate
}

// exchange is the state of one caller request.
type exchange struct {
	in        *Ingress
	caller    *fasthttp.RequestCtx
	started   time.Time
	admission admission
	// refusal is set if the caller gets a refusal instead of a target's response.
	refusal *wire.Refusal
	// streaming is set if the response body is still being sent after the handler
	// returns.
	streaming bool
	// truncated is set if a streamed response ended early.
	truncated bool
}

// run enforces the workspace's rate limit and dispatches the request.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		if !x.streaming {
			cancel()
		}
	}()
	if x.refusal = x.takeToken(ctx); x.refusal != nil {
		return
	}
	req := forwardedRequest(&x.caller.Request)
	defer fasthttp.ReleaseRequest(req)
	resp, refusal := newDispatcher(x, req).run(ctx)
	if refusal != nil {
		x.refusal = refusal
		return
	}
	x.writeResponse(resp, cancel)
}

func (x *exchange) deadline() time.Time {
	return x.started.Add(time.Duration(x.admission.service.Timeout))
}

func (x *exchange) writeRefusal() {
	problem.Write(&x.caller.Response, x.refusal)
	if shouldCloseConnections(x.in.opts.Snapshot()) {
		x.caller.SetConnectionClose()
	}
}

// finish updates the counters and records the outcome and its latency.
func (x *exchange) finish() {
	x.in.stats.InFlight.Add(-1)
	o := x.outcome()
	x.count(o)
	route := ""
	if x.admission.route != nil {
		route = x.admission.route.Path
	}
	now := time.Now()
	x.in.opts.Recorder.Record(now, route, x.admission.workspace, o, now.Sub(x.started))
}

func (x *exchange) outcome() report.Outcome {
	switch {
	case x.truncated:
		return report.OutcomeBad
	case x.refusal == nil:
		return report.OutcomeServed
	case x.refusal.Reason == wire.ReasonRateExceeded:
		return report.OutcomeLimited
	case x.refusal.Reason.Status() >= fasthttp.StatusInternalServerError:
		return report.OutcomeBad
	default:
		return report.OutcomeCallerError
	}
}

func (x *exchange) count(o report.Outcome) {
	s := &x.in.stats
	switch {
	case x.truncated:
		s.Truncated.Add(1)
	case o == report.OutcomeServed:
		s.Served.Add(1)
	case o == report.OutcomeLimited:
		s.Limited.Add(1)
	case x.refusal.Run == wire.NotRun:
		s.Refused.Add(1)
	default:
		s.Unknown.Add(1)
	}
}
