package gate

import (
	"context"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// defaultIdleTimeout bounds the time between two reads of a response body
	// if the service does not configure it.
	defaultIdleTimeout = 5 * time.Second
	// firstByteLatencyFactor and minFirstByteTimeout determine the first-byte
	// timeout on a reused connection: a multiple of the target's mean latency,
	// with a lower bound.
	firstByteLatencyFactor = 8
	minFirstByteTimeout    = 500 * time.Millisecond
)

// Forward implements wire.Forwarder for the targets of the gate's host.
// att.Remaining bounds the time until the response headers; ctx governs the
// whole exchange, including the body. The response body must be closed.
//
// A non-idempotent attempt continues after its dispatch even if ctx ends.
// Sending the same attempt again, with the same ID and epoch, is always safe:
// it joins the attempt in progress or receives its retained response.
func (g *Gate) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	var answer *wire.Response
	var ref *wire.Refusal
	if att.Idempotent {
		answer, ref = g.attempt(ctx, ctx, att, req)
	} else {
		answer, ref = g.forwardOnce(ctx, att, req)
	}
	if ref != nil {
		g.countRefusal(ref)
		return nil, ref
	}
	return answer, nil
}

// attempt admits an attempt and exchanges it with the target. queueCtx governs
// the wait for a slot, exchangeCtx the exchange.
func (g *Gate) attempt(queueCtx, exchangeCtx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, *wire.Refusal) {
	tk, ref := g.admit(queueCtx, att)
	if ref != nil {
		return nil, ref
	}
	return g.run(exchangeCtx, tk, req)
}

func (g *Gate) countRefusal(ref *wire.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ref.Run == wire.NotRun {
		g.stats.Refused++
		return
	}
	g.stats.Uncertain++
}

// run exchanges the request with the target. The ticket's slot is released at
// the end of the response body, or here if there is no response.
func (g *Gate) run(ctx context.Context, tk *ticket, req *fasthttp.Request) (*wire.Response, *wire.Refusal) {
	now := g.opts.Clock()
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	buildRequest(out, req, tk, now)
	resp, err := g.exchangeWithRetry(ctx, tk, out)
	if err == nil {
		err = checkAttemptEcho(tk, resp)
	}
	latency := g.opts.Clock().Sub(now)
	if err != nil {
		return nil, g.failAttempt(ctx, tk, err, latency)
	}
	if isShed(tk, &resp.Header) {
		return nil, g.refuseShed(tk, resp, latency)
	}
	return g.newAnswer(tk, resp, latency), nil
}

// isShed reports whether a response states that the target has not run the request.
func isShed(tk *ticket, h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusServiceUnavailable && tk.svc.ShedNotRun
}

// errAttemptMismatch reports a response that echoes the ID of another attempt.
var errAttemptMismatch = errors.New("the response belongs to another request; check how the target matches responses to requests")

// checkAttemptEcho rejects a response that echoes the ID of another attempt.
// Targets need not echo the attempt ID, but an echoed ID must match. On a reused
// connection a shed response must echo it, because a faulty target may repeat its
// response to an earlier attempt.
func checkAttemptEcho(tk *ticket, resp *link.Response) error {
	echo := resp.Header.Peek(headers.Attempt)
	if string(echo) == tk.att.ID.String() || len(echo) == 0 && !(resp.Reused && isShed(tk, &resp.Header)) {
		return nil
	}
	resp.Body.Close()
	return &link.Error{Stage: link.StageResponse, Cause: link.CauseProtocol, Addr: tk.t.addr, Err: errAttemptMismatch}
}

// buildRequest derives the request to the target from the caller's request: it
// removes credentials, hop-by-hop fields and internal fields sent by the
// caller.
func buildRequest(out, req *fasthttp.Request, tk *ticket, now time.Time) {
	req.Header.CopyTo(&out.Header)
	headers.CleanRequest(&out.Header)
	headers.DropCredentials(&out.Header)
	out.Header.Set(headers.Attempt, tk.att.ID.String())
	if tk.att.Workspace != "" {
		out.Header.Set(headers.Workspace, tk.att.Workspace)
	}
	remainingMs := max(tk.deadline.Sub(now).Milliseconds(), 1)
	out.Header.Set(headers.DeadlineMs, strconv.FormatInt(remainingMs, 10))
	out.SetBodyRaw(req.Body())
}

// exchangeWithRetry sends the request. An idempotent request may use a reused
// connection, and is repeated once on a new one if the reused connection turns
// out to be broken. Other requests always use a new connection, because silence
// on a reused connection would leave their outcome unknown.
func (g *Gate) exchangeWithRetry(ctx context.Context, tk *ticket, out *fasthttp.Request) (*link.Response, error) {
	resp, err := g.roundTrip(ctx, tk, out, !tk.att.Idempotent)
	linkErr := link.AsError(err)
	if linkErr == nil || !linkErr.Reused || linkErr.Stage != link.StageSent || !tk.att.Idempotent || ctx.Err() != nil {
		return resp, err
	}
	now := g.opts.Clock()
	tk.closedOnReuse = linkErr.Cause == link.CauseClosed
	g.mu.Lock()
	g.stats.ReuseFailed++
	haveSlot := tk.holdsSlot || g.acquireSlot(tk, now)
	g.mu.Unlock()
	if !haveSlot {
		return nil, err
	}
	return g.roundTrip(ctx, tk, out, true)
}

func (g *Gate) roundTrip(ctx context.Context, tk *ticket, out *fasthttp.Request, fresh bool) (*link.Response, error) {
	x := &exchange{tk: tk}
	defer x.markReturned()
	return g.links.Do(ctx, tk.t.addr, out, link.RequestOptions{
		NewConnection:    fresh,
		Deadline:         tk.deadline,
		IdleTimeout:      idleTimeout(tk.svc),
		FirstByteTimeout: g.firstByteTimeout(tk.t),
		LingerTimeout:    g.opts.Linger,
		OnEnd:            x.onEnded,
		BeforeSend:       x.beforeSend,
		// A faulty target may repeat a shed response when the next request arrives.
		KeepConnection: func(h *fasthttp.ResponseHeader) bool { return !isShed(tk, h) },
	})
}

// firstByteTimeout returns the first-byte timeout on a reused connection. It is
// derived from the target's mean latency, so that a slow target is not mistaken
// for a silent connection. 0 selects the default of the connection pool.
func (g *Gate) firstByteTimeout(t *target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.meanLatency == 0 {
		return 0
	}
	return max(firstByteLatencyFactor*t.meanLatency, minFirstByteTimeout)
}

func idleTimeout(svc config.Service) time.Duration {
	if d := time.Duration(svc.IdleTimeout); d > 0 {
		return d
	}
	return defaultIdleTimeout
}

// dispatch records the attempt in the ledger immediately before its first byte
// is sent. Conditions that may have changed since admission are checked again.
func (g *Gate) dispatch(tk *ticket) *wire.Refusal {
	if tk.queued {
		if ref := g.checkPolicy(tk.att); ref != nil {
			return ref
		}
	}
	now := g.opts.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if ref := tk.t.refusal(g.opts, now); ref != nil {
		return ref
	}
	if !tk.dispatched {
		if ref := g.ledgerRefusal(g.ledger.Dispatch(tk.att.ID, tk.att.Epoch, now)); ref != nil {
			return ref
		}
		tk.dispatched = true
		tk.sentAt = now
		g.stats.Dispatched++
	}
	tk.holdsSlot = false
	return nil
}

// Settle implements wire.Settler.
func (g *Gate) Settle(_ context.Context, id wire.ID, epoch wire.Epoch) (wire.RunState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Settled++
	state := g.ledger.Settle(id, epoch, g.opts.Clock())
	if state == wire.NotRun {
		g.stats.Tombstones++
	}
	return state, nil
}
