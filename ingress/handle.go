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

// handle serves one request of a caller.
func (in *Ingress) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	in.stats.Requests.Add(1)
	in.stats.InFlight.Add(1)
	snap := in.opts.Snapshot()
	if closing(snap) {
		ctx.SetConnectionClose()
	}
	x := &exchange{in: in, caller: ctx, started: started}
	x.adm, x.refusal = admit(snap, &ctx.Request.Header)
	if x.refusal == nil && len(ctx.Request.Body()) > x.adm.service.MaxBody {
		x.refusal = tooLarge(x.adm.service.MaxBody)
	}
	if x.refusal == nil {
		x.run()
	}
	if x.refusal != nil {
		x.refuse()
	}
	if x.streaming {
		return // the stream's end finishes the exchange
	}
	x.finish()
}

// closing reports whether callers should go to another host.
func closing(snap *control.Snapshot) bool {
	return snap.Leaving || snap.DataCentreOut || !snap.UpToDate
}

// exchange is one request of a caller on its way to an outcome.
type exchange struct {
	in      *Ingress
	caller  *fasthttp.RequestCtx
	started time.Time
	adm     admission
	// refusal is set when the request gets no answer of a target.
	refusal *wire.Refusal
	// streaming is set when the answer's end comes after the handler's.
	streaming bool
	// truncated is set when a streamed answer broke off.
	truncated bool
}

// run admits the request under the rate and tries it.
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
	req := outgoing(&x.caller.Request)
	defer fasthttp.ReleaseRequest(req)
	ans, refusal := newTrial(x, req).run(ctx)
	if refusal != nil {
		x.refusal = refusal
		return
	}
	x.answer(ans, cancel)
}

func (x *exchange) deadline() time.Time {
	return x.started.Add(time.Duration(x.adm.service.Timeout))
}

// refuse writes the refusal.
func (x *exchange) refuse() {
	problem.Write(&x.caller.Response, x.refusal)
	if closing(x.in.opts.Snapshot()) {
		x.caller.SetConnectionClose()
	}
}

// finish counts the outcome.
func (x *exchange) finish() {
	x.in.stats.InFlight.Add(-1)
	o := x.outcome()
	x.count(o)
	route := ""
	if x.adm.route != nil {
		route = x.adm.route.Path
	}
	now := time.Now()
	x.in.opts.Recorder.Record(now, route, x.adm.workspace, o, now.Sub(x.started))
}

func (x *exchange) outcome() report.Outcome {
	switch {
	case x.truncated:
		return report.OutcomeBad
	case x.refusal == nil:
		return report.OutcomeServed
	case x.refusal.Reason == wire.ReasonRate:
		return report.OutcomeLimited
	case x.refusal.Reason.Status() >= fasthttp.StatusInternalServerError:
		return report.OutcomeBad
	default:
		return report.OutcomeCaller
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
