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
	// defaultIdleTimeout bounds the silence in a body where the service sets
	// none.
	defaultIdleTimeout = 5 * time.Second
	// firstByteMeans and minFirstByte give the bound on the first byte on a
	// reused connection: so many mean latencies, but not less than the latter.
	firstByteMeans = 8
	minFirstByte   = 500 * time.Millisecond
)

// Forward implements wire.Forwarder for the targets of the gate's host.
// att.Remaining bounds the time to the answer's header; ctx governs the whole
// exchange, the body included. The answer's body must be closed.
//
// An attempt that may not be repeated runs on when ctx ends after its
// dispatch. Sending the same attempt again, with the same id and epoch, is
// always safe: it joins the first one or gets its kept answer.
func (g *Gate) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error) {
	var answer *wire.Answer
	var ref *wire.Refusal
	if att.Idempotent {
		answer, ref = g.attempt(ctx, ctx, att, req)
	} else {
		answer, ref = g.once(ctx, att, req)
	}
	if ref != nil {
		g.countRefusal(ref)
		return nil, ref
	}
	return answer, nil
}

// attempt takes an attempt through the queue under the context waiting, and
// through the exchange under the context running.
func (g *Gate) attempt(waiting, running context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, *wire.Refusal) {
	tk, ref := g.admit(waiting, att)
	if ref != nil {
		return nil, ref
	}
	return g.run(running, tk, req)
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

// run exchanges the request with the target. The ticket's slot is given back
// at the end of the answer's body, or here when there is no answer.
func (g *Gate) run(ctx context.Context, tk *ticket, req *fasthttp.Request) (*wire.Answer, *wire.Refusal) {
	now := g.opts.Clock()
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	prepare(out, req, tk, now)
	resp, err := g.exchange(ctx, tk, out)
	if err == nil {
		err = checkEcho(tk, resp)
	}
	latency := g.opts.Clock().Sub(now)
	if err != nil {
		return nil, g.fail(ctx, tk, err, latency)
	}
	if resp.Header.StatusCode() == fasthttp.StatusServiceUnavailable && tk.svc.ShedNotRun {
		return nil, g.shed(tk, resp, latency)
	}
	return g.answer(tk, resp, latency), nil
}

// errCrossed reports an answer that names another attempt.
var errCrossed = errors.New("the answer belongs to another request; check how the target matches answers to requests")

// checkEcho refuses an answer that names another attempt than the one it came
// for. Targets need not echo the attempt, but what they echo must be right.
func checkEcho(tk *ticket, resp *link.Response) error {
	echo := resp.Header.Peek(headers.Attempt)
	if len(echo) == 0 || string(echo) == tk.att.ID.String() {
		return nil
	}
	resp.Body.Close()
	return &link.Error{Stage: link.StageAnswer, Cause: link.CauseProtocol, Addr: tk.t.addr, Err: errCrossed}
}

// prepare builds the request that the target gets: the caller's, without
// credentials, hop-by-hop fields and foreign internal fields.
func prepare(out, req *fasthttp.Request, tk *ticket, now time.Time) {
	req.Header.CopyTo(&out.Header)
	headers.CleanRequest(&out.Header)
	headers.DropCredentials(&out.Header)
	out.Header.Set(headers.Attempt, tk.att.ID.String())
	if tk.att.Workspace != "" {
		out.Header.Set(headers.Workspace, tk.att.Workspace)
	}
	left := max(tk.deadline.Sub(now).Milliseconds(), 1)
	out.Header.Set(headers.DeadlineMs, strconv.FormatInt(left, 10))
	out.SetBodyRaw(req.Body())
}

// exchange sends the request. An idempotent one may go out on a reused
// connection, and once more on a new one when the reused one proves broken.
// Others always get a new connection, because silence on a reused one would
// leave their outcome unknown.
func (g *Gate) exchange(ctx context.Context, tk *ticket, out *fasthttp.Request) (*link.Response, error) {
	resp, err := g.try(ctx, tk, out, !tk.att.Idempotent)
	le := link.AsError(err)
	if le == nil || !le.Reused || le.Stage != link.StageSent || !tk.att.Idempotent || ctx.Err() != nil {
		return resp, err
	}
	now := g.opts.Clock()
	g.mu.Lock()
	g.stats.ReuseFailed++
	again := tk.held || g.takeSlot(tk, now)
	g.mu.Unlock()
	if !again {
		return nil, err
	}
	return g.try(ctx, tk, out, true)
}

func (g *Gate) try(ctx context.Context, tk *ticket, out *fasthttp.Request, fresh bool) (*link.Response, error) {
	y := &try{tk: tk}
	defer y.returns()
	return g.links.Do(ctx, tk.t.addr, out, link.Exchange{
		Fresh:       fresh,
		Deadline:    tk.deadline,
		IdleTimeout: idleTimeout(tk.svc),
		FirstByte:   g.firstByte(tk.t),
		Linger:      g.opts.Linger,
		Ended:       y.ended,
		BeforeSend:  y.beforeSend,
	})
}

// firstByte bounds the wait on a reused connection by what the target usually
// takes, so that a slow target is not taken for a silent connection.
func (g *Gate) firstByte(t *target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.meanLatency == 0 {
		return 0
	}
	return max(firstByteMeans*t.meanLatency, minFirstByte)
}

func idleTimeout(svc config.Service) time.Duration {
	if d := time.Duration(svc.IdleTimeout); d > 0 {
		return d
	}
	return defaultIdleTimeout
}

// dispatch enters the attempt in the ledger, as the last step before its first
// byte goes out. What may have changed since admission is checked again.
func (g *Gate) dispatch(tk *ticket) *wire.Refusal {
	if tk.waited {
		if ref := g.check(tk.att); ref != nil {
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
		if ref := g.verdict(g.ledger.Dispatch(tk.att.ID, tk.att.Epoch, now)); ref != nil {
			return ref
		}
		tk.dispatched = true
		tk.sentAt = now
		g.stats.Dispatched++
	}
	tk.held = false
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
