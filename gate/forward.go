package gate

import (
	"context"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

// defaultIdleTimeout bounds the silence in a body where the service sets none.
const defaultIdleTimeout = 5 * time.Second

// Forward implements wire.Forwarder for the targets of the gate's host.
// att.Remaining bounds the time to the answer's header; ctx governs the whole
// exchange, the body included.
func (g *Gate) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error) {
	tk, ref := g.admit(ctx, att)
	if ref == nil {
		var answer *wire.Answer
		if answer, ref = g.run(ctx, tk, req); ref == nil {
			return answer, nil
		}
	}
	g.countRefusal(ref)
	return nil, ref
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
	latency := g.opts.Clock().Sub(now)
	if err != nil {
		return nil, g.fail(ctx, tk, err, latency)
	}
	if resp.Header.StatusCode() == fasthttp.StatusServiceUnavailable && tk.t.svc.ShedNotRun {
		return nil, g.shed(tk, resp, latency)
	}
	return g.answer(tk, resp, latency), nil
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
// connection, and once more on a new one when that proves broken.
func (g *Gate) exchange(ctx context.Context, tk *ticket, out *fasthttp.Request) (*link.Response, error) {
	x := link.Exchange{
		Fresh:       !tk.att.Idempotent,
		Deadline:    tk.deadline,
		IdleTimeout: idleTimeout(tk),
		BeforeSend:  func() error { return g.dispatch(tk) },
	}
	resp, err := g.links.Do(ctx, tk.t.said.Address, out, x)
	le := link.AsError(err)
	if le == nil || !le.Reused || !tk.att.Idempotent || ctx.Err() != nil {
		return resp, err
	}
	x.Fresh = true
	return g.links.Do(ctx, tk.t.said.Address, out, x)
}

func idleTimeout(tk *ticket) time.Duration {
	if d := time.Duration(tk.t.svc.IdleTimeout); d > 0 {
		return d
	}
	return defaultIdleTimeout
}

// dispatch enters the attempt in the ledger, as the last step before its first
// byte goes out. What may have changed since admission is checked again.
func (g *Gate) dispatch(tk *ticket) error {
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
	if tk.dispatched {
		return nil
	}
	if ref := g.verdict(g.ledger.Dispatch(tk.att.ID, tk.att.Epoch, now)); ref != nil {
		return ref
	}
	tk.dispatched = true
	g.stats.Dispatched++
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

// end gives back the slot of a ticket; the lock is held.
func (g *Gate) end(tk *ticket, now time.Time) {
	if tk.dispatched {
		g.ledger.Done(tk.att.ID, tk.att.Epoch)
	}
	g.freeSlot(tk.t, now)
	g.leave()
}
