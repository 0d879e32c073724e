package gate

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxShedBody is how much of the body of a shedding response is read, so
	// that the exchange ends without being aborted.
	maxShedBody = 4 << 10
	// deathProbeTimeout bounds the check whether a target that broke a
	// connection still accepts connections.
	deathProbeTimeout = 200 * time.Millisecond
	// deathRecheckDelay is the delay before a second probe of a target that
	// still accepts connections: an exiting process closes its sockets one by
	// one, which takes some milliseconds on a busy machine.
	deathRecheckDelay = 50 * time.Millisecond
)

// newAnswer wraps the target's response for the caller. The slot is released
// when the body ends.
func (g *Gate) newAnswer(tk *ticket, resp *link.Response, latency time.Duration) *wire.Response {
	headers.CleanResponse(&resp.Header)
	kind := kindOfStatus(resp.Header.StatusCode())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Answered++
	return &wire.Response{
		Header: &resp.Header,
		Length: resp.Length,
		Body:   &slotReleasingBody{ReadCloser: resp.Body, g: g, tk: tk, kind: kind, latency: latency},
		Epoch:  g.ledger.Epoch(),
		Load:   tk.t.load(g.opts.Revision()),
	}
}

func kindOfStatus(status int) Kind {
	switch {
	case status == fasthttp.StatusServiceUnavailable:
		return KindShed
	case status >= fasthttp.StatusInternalServerError:
		return KindError
	}
	return KindOK
}

// slotReleasingBody records the outcome and releases the ticket's slot when the
// response body ends.
type slotReleasingBody struct {
	io.ReadCloser
	g       *Gate
	tk      *ticket
	kind    Kind
	latency time.Duration
	ended   bool
}

// Read implements io.Reader.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(nil)
	return err
}

// end records the outcome once. io.EOF means that the response is complete, any
// other error that it was truncated or canceled, and nil that the caller closed
// the body early.
func (b *slotReleasingBody) end(err error) {
	if b.ended {
		return
	}
	b.ended = true
	kind := b.kind
	linkErr := link.AsError(err)
	truncated := linkErr != nil && linkErr.Cause != link.CauseCanceled
	if truncated {
		kind = kindOfError(linkErr)
	}
	b.g.mu.Lock()
	if truncated {
		b.g.stats.Truncated++
	}
	if truncated && linkErr.Cause == link.CauseClosed {
		b.tk.t.recordAbort(b.tk.att.Fingerprint, b.g.opts.Clock())
	}
	b.g.mu.Unlock()
	b.g.recordOutcome(b.tk, kind, b.latency)
}

func kindOfError(linkErr *link.Error) Kind {
	switch {
	case linkErr.Cause == link.CauseTimeout:
		return KindTimeout
	case linkErr.Stage == link.StageDial:
		return KindUnreachable
	}
	return KindBroken
}

// recordOutcome finishes a ticket and records an outcome that counts for the
// target.
func (g *Gate) recordOutcome(tk *ticket, kind Kind, latency time.Duration) {
	now := g.opts.Clock()
	g.mu.Lock()
	tk.t.observe(kind, now, latency, tk.slotTime(now))
	g.finish(tk, now)
	g.mu.Unlock()
	g.opts.Observer.OnOutcome(Outcome{
		Target:      tk.t.id,
		Incarnation: tk.t.incarnation,
		Service:     tk.att.Service,
		Kind:        kind,
		Latency:     latency,
		Remaining:   tk.att.Remaining,
		Workspace:   tk.att.Workspace,
		Fingerprint: tk.att.Fingerprint,
		At:          now,
	})
}

// refuseShed finishes an attempt that the target shed with a 503, which its
// service declares to mean "not run".
func (g *Gate) refuseShed(tk *ticket, resp *link.Response, latency time.Duration) *wire.Refusal {
	ref := wire.Refuse(wire.ReasonBusy, "target %s shed the request", tk.t.id)
	ref.RetryAfter = retryAfter(&resp.Header)
	io.CopyN(io.Discard, resp.Body, maxShedBody) //nolint:errcheck // Close drops the connection
	resp.Body.Close()
	g.recordOutcome(tk, KindShed, latency)
	return ref
}

func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.Atoi(string(h.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// failAttempt finishes an attempt that got no response and returns a refusal
// that states whether it ran.
func (g *Gate) failAttempt(ctx context.Context, tk *ticket, err error, latency time.Duration) *wire.Refusal {
	linkErr := link.AsError(err)
	if linkErr.Cause == link.CauseRejected {
		g.cancelAttempt(tk)
		return dispatchRefusal(tk, linkErr)
	}
	if linkErr.Cause == link.CauseCanceled {
		g.cancelAttempt(tk)
		return failureRefusal(tk, wire.ReasonTimeout, "the caller canceled the request: %s", linkErr)
	}
	broke := linkErr.Cause == link.CauseClosed && linkErr.Stage != link.StageDial || tk.closedOnReuse && linkErr.Stage == link.StageDial
	died := broke && g.recordBrokenConnection(ctx, tk)
	kind := kindOfError(linkErr)
	g.recordOutcome(tk, kind, latency)
	switch {
	case died:
		return failureRefusal(tk, wire.ReasonTargetDied, "target %s died: %s", tk.t.id, linkErr)
	case kind == KindTimeout:
		return failureRefusal(tk, wire.ReasonTimeout, "target %s: %s", tk.t.id, linkErr)
	case kind == KindUnreachable:
		return failureRefusal(tk, wire.ReasonUnreachable, "target %s: %s", tk.t.id, linkErr)
	}
	return failureRefusal(tk, wire.ReasonTargetFailed, "target %s: %s", tk.t.id, linkErr)
}

// dispatchRefusal returns the refusal that rejected the dispatch. If an earlier
// exchange of the same attempt was already sent, the refusal must not claim
// "not run".
func dispatchRefusal(tk *ticket, linkErr *link.Error) *wire.Refusal {
	var ref *wire.Refusal
	if !errors.As(linkErr.Err, &ref) {
		return failureRefusal(tk, wire.ReasonTargetFailed, "%s", linkErr)
	}
	if tk.dispatched && ref.Run == wire.NotRun {
		return wire.RefuseUnknown(ref.Reason, "%s", ref.Detail)
	}
	return ref
}

func failureRefusal(tk *ticket, reason wire.Reason, format string, args ...any) *wire.Refusal {
	if tk.dispatched {
		return wire.RefuseUnknown(reason, format, args...)
	}
	return wire.Refuse(reason, format, args...)
}

// cancelAttempt finishes a ticket whose failure says nothing about the target.
func (g *Gate) cancelAttempt(tk *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Canceled++
	g.finish(tk, g.opts.Clock())
}

// recordBrokenConnection records the request whose connection broke as a
// possible cause of the target's death, and reports whether the target has
// stopped accepting connections.
func (g *Gate) recordBrokenConnection(ctx context.Context, tk *ticket) bool {
	now := g.opts.Clock()
	g.mu.Lock()
	tk.t.recordAbort(tk.att.Fingerprint, now)
	g.mu.Unlock()
	if g.acceptsConnections(ctx, tk.t.addr) && pause.For(ctx, deathRecheckDelay) && g.acceptsConnections(ctx, tk.t.addr) {
		return false
	}
	if ctx.Err() != nil {
		return false // canceled before the second probe
	}
	g.mu.Lock()
	death, died := g.takeDeath(tk.t, now)
	g.mu.Unlock()
	if died {
		g.opts.Observer.OnOutcome(death)
	}
	return true
}

// acceptsConnections reports whether a target accepts TCP connections.
func (g *Gate) acceptsConnections(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, deathProbeTimeout)
	defer cancel()
	return g.links.Probe(ctx, addr) == nil
}
