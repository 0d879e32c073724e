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
	// maxShedBody is how much of a shed answer is read so that the connection
	// can be kept.
	maxShedBody = 4 << 10
	// deathProbe bounds the check whether a target that broke a connection
	// still listens.
	deathProbe = 200 * time.Millisecond
	// deathPause comes before a second look at a target that still listens: a
	// process that ends closes its sockets one after the other, and takes some
	// milliseconds on a busy machine.
	deathPause = 50 * time.Millisecond
)

// answer hands the target's answer on; the slot is kept until its body ends.
func (g *Gate) answer(tk *ticket, resp *link.Response, latency time.Duration) *wire.Answer {
	headers.CleanResponse(&resp.Header)
	kind := kindOfStatus(resp.Header.StatusCode())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Answered++
	return &wire.Answer{
		Header: &resp.Header,
		Length: resp.Length,
		Body:   &answerBody{ReadCloser: resp.Body, g: g, tk: tk, kind: kind, latency: latency},
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

// answerBody gives the ticket's slot back when the body has ended.
type answerBody struct {
	io.ReadCloser
	g       *Gate
	tk      *ticket
	kind    Kind
	latency time.Duration
	ended   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(nil)
	return err
}

// end settles the outcome: io.EOF is a whole answer, another error one cut
// short, and nil one that the caller did not want to its end.
func (b *answerBody) end(err error) {
	if b.ended {
		return
	}
	b.ended = true
	kind := b.kind
	le := link.AsError(err)
	cut := le != nil && le.Cause != link.CauseCanceled
	if cut {
		kind = kindOfError(le)
	}
	b.g.mu.Lock()
	if cut {
		b.g.stats.Truncated++
	}
	if cut && le.Cause == link.CauseClosed {
		b.tk.t.remember(b.tk.att.Fingerprint, b.g.opts.Clock())
	}
	b.g.mu.Unlock()
	b.g.conclude(b.tk, kind, b.latency)
}

func kindOfError(le *link.Error) Kind {
	switch {
	case le.Cause == link.CauseTimeout:
		return KindTimeout
	case le.Stage == link.StageDial:
		return KindUnreachable
	}
	return KindBroken
}

// conclude ends a ticket with an outcome that counts for the target.
func (g *Gate) conclude(tk *ticket, kind Kind, latency time.Duration) {
	now := g.opts.Clock()
	g.mu.Lock()
	tk.t.observe(kind, now, latency, tk.hold(now))
	g.end(tk, now)
	g.mu.Unlock()
	g.opts.Observer.OnOutcome(Outcome{
		Target:      tk.t.id,
		Incarnation: tk.t.incarnation,
		Service:     tk.att.Service,
		Kind:        kind,
		Latency:     latency,
		Allowed:     tk.att.Remaining,
		Workspace:   tk.att.Workspace,
		Fingerprint: tk.att.Fingerprint,
		At:          now,
	})
}

// shed ends an attempt that the target refused for load, which its service
// declares to mean "not run".
func (g *Gate) shed(tk *ticket, resp *link.Response, latency time.Duration) *wire.Refusal {
	ref := wire.Refuse(wire.ReasonBusy, "target %s shed the request", tk.t.id)
	ref.RetryAfter = retryAfter(&resp.Header)
	io.CopyN(io.Discard, resp.Body, maxShedBody) //nolint:errcheck // Close drops the connection
	resp.Body.Close()
	g.conclude(tk, KindShed, latency)
	return ref
}

func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.Atoi(string(h.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// fail ends an attempt without an answer and says whether it ran.
func (g *Gate) fail(ctx context.Context, tk *ticket, err error, latency time.Duration) *wire.Refusal {
	le := link.AsError(err)
	if le.Cause == link.CauseRejected {
		g.abandon(tk)
		return rejection(tk, le)
	}
	if le.Cause == link.CauseCanceled {
		g.abandon(tk)
		return refuseFailed(tk, wire.ReasonTimeout, "the caller gave up: %s", le)
	}
	died := le.Cause == link.CauseClosed && le.Stage != link.StageDial && g.noteBreak(ctx, tk)
	kind := kindOfError(le)
	g.conclude(tk, kind, latency)
	switch {
	case died:
		return refuseFailed(tk, wire.ReasonTargetDied, "target %s died: %s", tk.t.id, le)
	case kind == KindTimeout:
		return refuseFailed(tk, wire.ReasonTimeout, "target %s: %s", tk.t.id, le)
	case kind == KindUnreachable:
		return refuseFailed(tk, wire.ReasonUnreachable, "target %s: %s", tk.t.id, le)
	}
	return refuseFailed(tk, wire.ReasonTargetFailed, "target %s: %s", tk.t.id, le)
}

// rejection returns the refusal of dispatch. After a first try was sent, a
// refusal of the second one cannot say "not run".
func rejection(tk *ticket, le *link.Error) *wire.Refusal {
	var ref *wire.Refusal
	if !errors.As(le.Err, &ref) {
		return refuseFailed(tk, wire.ReasonTargetFailed, "%s", le)
	}
	if tk.dispatched && ref.Run == wire.NotRun {
		return wire.RefuseUnknown(ref.Reason, "%s", ref.Detail)
	}
	return ref
}

func refuseFailed(tk *ticket, reason wire.Reason, format string, args ...any) *wire.Refusal {
	if tk.dispatched {
		return wire.RefuseUnknown(reason, format, args...)
	}
	return wire.Refuse(reason, format, args...)
}

// abandon ends a ticket whose failure says nothing about the target.
func (g *Gate) abandon(tk *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Canceled++
	g.end(tk, g.opts.Clock())
}

// noteBreak remembers the request that a broken connection carried, and
// reports whether the target has stopped listening.
func (g *Gate) noteBreak(ctx context.Context, tk *ticket) bool {
	now := g.opts.Clock()
	g.mu.Lock()
	tk.t.remember(tk.att.Fingerprint, now)
	g.mu.Unlock()
	if g.listens(ctx, tk.t.addr) && pause.For(ctx, deathPause) && g.listens(ctx, tk.t.addr) {
		return false
	}
	if ctx.Err() != nil {
		return false // nobody waited for the second look
	}
	g.mu.Lock()
	d, died := g.death(tk.t, now)
	g.mu.Unlock()
	if died {
		g.opts.Observer.OnOutcome(d)
	}
	return true
}

// listens reports whether a target takes connections.
func (g *Gate) listens(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, deathProbe)
	defer cancel()
	return g.links.Probe(ctx, addr) == nil
}
