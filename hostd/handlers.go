package hostd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/offerlog"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// handleForward handles an attempt or a request for changes from another daemon.
func (h *Host) handleForward(ctx context.Context, x *h1.Exchange) {
	if h.control.serveInLine(ctx, x) {
		return
	}
	if h.control.serveChanges(&x.Request, &x.Response) {
		x.OnEnd(h.control.sending.begin(len(x.Response.Body())))
		return
	}
	if h.crashes.serve(&x.Request, &x.Response) {
		return
	}
	question := x.Request.Header.Peek(headerQuestion) != nil
	f, err := readForward(&x.Request.Header)
	if err != nil || f.Attempt == "" {
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if f.Incarnation != 0 && f.Incarnation != h.gate.incarnation {
		refusal := wire.RefuseUnknown(wire.ReasonUnreachable, "host %s has restarted since the attempt was offered first", h.settings.Host)
		writeReply(&x.Response, Reply{Refusal: refusal, Report: h.gate.report()})
		return
	}
	if question {
		h.answerQuestion(ctx, x, f)
		return
	}
	// The attempt may outlast the exchange.
	req := &fasthttp.Request{}
	x.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(x.Request.Body())
	h.serveRun(ctx, x, h.runs.start(f, func(ctx context.Context, onSend func()) Reply {
		body := x.Lease() // req shares the body
		body.Retain()
		defer body.Release()
		return h.gate.Forward(ctx, f, req, onSend)
	}))
}

// answerQuestion replies with the result of an attempt of another host that the gate has, or
// with what its record says.
func (h *Host) answerQuestion(ctx context.Context, x *h1.Exchange, f Forward) {
	r, record := h.runs.find(f, h.gate.Record)
	h.log.Decide("record-asked", "id", f.Attempt, "record", record.String(), "joined", r != nil)
	reply := Reply{Report: h.gate.report()}
	switch {
	case r != nil:
		h.metrics.Add("records_joined", 1)
		h.serveRun(ctx, x, r)
		return
	case record == offerlog.RecordSent && !f.Repeatable:
		h.metrics.Add("records_without_reply", 1)
		reply.Refusal = wire.RefuseUnknown(wire.ReasonTargetFailed, "the request was sent to target %s, and its answer is not held", f.Target)
	case record == offerlog.RecordWithdrawn:
		h.metrics.Add("records_withdrawn", 1)
		reply.Refusal, reply.Settled = wire.Refuse(wire.ReasonSettled, "the attempt has been withdrawn"), true
	default:
		h.metrics.Add("records_none", 1)
		reply.Refusal = wire.RefuseUnknown(reasonNoRecord, "no record of the attempt")
	}
	writeReply(&x.Response, reply)
}

// serveRun replies with the result of an attempt of another host.
func (h *Host) serveRun(ctx context.Context, x *h1.Exchange, r *attemptRun) {
	reply, ok := h.runs.serve(ctx, r, func(status int) {
		if err := x.SendInterim(status); err != nil {
			h.metrics.Add("interim_failed", 1) // the connection has ended, and ctx is about to
		}
	})
	if ok {
		if a := reply.Answer; a != nil && a.lease != nil {
			x.Hold(a.lease)
			a.lease.Release() // the copy's
		}
		writeReply(&x.Response, reply)
	}
}

// recordDroppedReply records that the reply of an attempt is not held although it may be asked
// for: it is too large, or the replies held are.
func (h *Host) recordDroppedReply(r *attemptRun) {
	h.metrics.Add("replies_dropped", 1)
	h.log.Decide("reply-dropped", "id", r.Attempt, "target", r.Target, "bytes", r.size(), "repeatable", r.Repeatable, "time_left_ms", time.Until(r.deadline).Milliseconds())
}

func (h *Host) callerLimits() h1.Limits {
	cfg := h.control.View().Config
	if cfg == nil {
		return h1.Limits{}
	}
	return h1.Limits{
		HeaderBytes:   cfg.Limits.HeaderBytes,
		BodyBytes:     cfg.Limits.BodyBytes,
		HeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:   cfg.Limits.IdleTimeout,
	}
}

// forwardHeaderBytes is the space for the headers that daemons add to a request.
const forwardHeaderBytes = 8 << 10

// gateLimits are the limits of other daemons' requests: those of callers, with space for
// what daemons add.
func (h *Host) gateLimits() h1.Limits {
	l := h.callerLimits()
	if l.HeaderBytes > 0 {
		l.HeaderBytes += forwardHeaderBytes
	}
	return h1.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes}
}

// rejectCaller answers a request that could not be read.
func (h *Host) rejectCaller(x *h1.Exchange, status int, err error) {
	h.log.Decide("malformed", "status", status, "err", err)
	if status == fasthttp.StatusServiceUnavailable {
		h.metrics.Add("bodies_refused", 1)
		problem.Write(&x.Response, wire.Refuse(wire.ReasonBusy, "%v", err))
		karpithaz.SetProxyResponseHeaders(&x.Response.Header, karpithaz.ParseRequest(&x.Request.Header).Attempt,
			admission.RetryDelay(0, admission.LowestPriority, rand.Float64()))
		return
	}
	h.metrics.Add("malformed", 1)
	x.Response.SetStatusCode(status)
}

// rejectForward answers another daemon's request that could not be read. A first offer has
// not run then; one that is made again may have.
func (h *Host) rejectForward(x *h1.Exchange, status int, err error) {
	h.metrics.Add("gate_unreadable", 1)
	h.log.Decide("gate-unreadable", "status", status, "err", err)
	refusal := wire.RefuseUnknown(wire.ReasonBusy, "host %s could not read the request: %v", h.settings.Host, err)
	if x.Request.Header.Peek(headerForward) != nil {
		refusal.Run = wire.NotRun
	}
	writeReply(&x.Response, Reply{Refusal: refusal, Report: h.gate.report()})
}

func (h *Host) handleReady(_ context.Context, x *h1.Exchange) {
	if !karpithaz.IsReadinessPath(string(x.Request.Header.RequestURI())) {
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if h.stopping() || !h.control.View().Ready() || !h.control.proven() {
		x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (h *Host) handleMetrics(_ context.Context, x *h1.Exchange) {
	x.Response.Header.SetContentType("text/plain; charset=utf-8")
	h.metrics.WriteText(x.Response.BodyWriter()) //nolint:errcheck // writing to a buffer never fails
}
