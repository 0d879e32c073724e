package forward

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

// Defaults of ClientOptions.
const (
	DefaultSilence     = 1500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	DefaultGrace       = 100 * time.Millisecond
	maxReplyBytes      = 4 << 10
)

// ClientOptions configures a Client. Zero fields take the documented defaults.
type ClientOptions struct {
	// Address resolves a host to the address that takes forwarded requests.
	// It must be set.
	Address func(host string) (addr string, ok bool)
	// Secrets are the cluster secrets; the first one signs. At least one must
	// be given.
	Secrets []string
	// Links configures the connections. Its MaxHeaderBytes defaults to what a gate
	// takes from a target, and room for the gate's reply.
	Links link.Options
	// Silence is how long a server may send nothing at all while an attempt
	// runs. It must exceed the interval of its interim answers. Default 1.5 s.
	Silence time.Duration
	// IdleTimeout bounds the silence within an answer's body. Default 10 s.
	IdleTimeout time.Duration
	// Grace is how much longer than the attempt's remaining time to wait, so
	// that the gate's own word on a timeout arrives. Default 100 ms.
	Grace time.Duration
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.Silence <= 0 {
		o.Silence = DefaultSilence
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	if o.Links.MaxHeaderBytes <= 0 {
		o.Links.MaxHeaderBytes = link.DefaultMaxHeaderBytes + maxReplyBytes
	}
	return o
}

// Client sends attempts to the gates of other daemons. It is safe for
// concurrent use.
type Client struct {
	opts   ClientOptions
	signer *signer
	links  *link.Pool
	resent atomic.Int64
}

// ClientStats counts the events of a client.
type ClientStats struct {
	Resent      int64 // copies sent after a broken path
	Connections link.Stats
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	opts = opts.withDefaults()
	var first string
	if len(opts.Secrets) > 0 {
		first = opts.Secrets[0]
	}
	return &Client{opts: opts, signer: newSigner(first), links: link.New(opts.Links)}
}

// Sweep closes connections that are idle for too long; call it about once a
// second.
func (c *Client) Sweep(now time.Time) { c.links.CloseExpired(now) }

// Close closes the idle connections.
func (c *Client) Close() { c.links.Close() }

// Stats returns the counts so far.
func (c *Client) Stats() ClientStats {
	return ClientStats{Resent: c.resent.Load(), Connections: c.links.Stats()}
}

// Forward runs an attempt at the gate of host. The error is a *wire.Refusal;
// when it says Unknown and nothing of the target, settle the attempt.
//
// When the path breaks under an attempt that may not be repeated, copies of it
// are sent on new connections: the gate runs it once and answers all copies
// alike.
func (c *Client) Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error) {
	addr, ok := c.opts.Address(host)
	if !ok {
		return nil, wire.Refuse(wire.ReasonUnreachable, "no address of host %q is known", host)
	}
	first, ref, broken := c.send(ctx, host, addr, att, req, false)
	if !broken || att.Idempotent {
		return result(first, ref)
	}
	return result(c.resend(ctx, host, addr, att, req, ref))
}

// resend sends further copies of an attempt, each on a new connection, until
// the gate answers one. A copy that did not run says nothing about the first
// one, so the outcome stays unknown then.
func (c *Client) resend(ctx context.Context, host, addr string, att wire.Attempt, req *fasthttp.Request, why *wire.Refusal) (*wire.Answer, *wire.Refusal) {
	deadline := time.Now().Add(att.Remaining)
	wait := firstPause
	for range maxCopies {
		if !pause.For(ctx, wait) {
			break
		}
		wait *= 2
		att.Remaining = time.Until(deadline)
		if att.Remaining <= 0 {
			break
		}
		c.resent.Add(1)
		answer, ref, broken := c.send(ctx, host, addr, att, req, true)
		if ref == nil || (ref.Run != wire.NotRun && !broken) {
			return answer, ref
		}
		if ref.Run == wire.NotRun && ref.Reason != wire.ReasonUnreachable {
			return nil, wire.RefuseUnknown(why.Reason, "%s; a copy: %s", why.Detail, ref.Detail)
		}
	}
	return nil, why
}

const (
	// maxCopies bounds the copies after the first one.
	maxCopies = 4
	// firstPause precedes the first copy; it doubles for each further one.
	firstPause = 5 * time.Millisecond
)

func result(answer *wire.Answer, ref *wire.Refusal) (*wire.Answer, error) {
	if ref != nil {
		return nil, ref
	}
	return answer, nil
}

// send sends one copy of an attempt. It reports as broken when the copy may
// have arrived, no answer of the gate has, and another copy may fare better.
func (c *Client) send(ctx context.Context, host, addr string, att wire.Attempt, req *fasthttp.Request, fresh bool) (answer *wire.Answer, ref *wire.Refusal, broken bool) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	req.Header.CopyTo(&out.Header)
	headers.CleanRequest(&out.Header)
	writeAttempt(&out.Header, att, c.signer)
	out.SetBodyRaw(req.Body())
	x := c.bounds(att)
	x.NewConnection = fresh
	resp, err := c.links.Do(ctx, addr, out, x)
	if err != nil {
		return nil, refusalOf(host, err), mayHeal(link.AsError(err))
	}
	return c.answer(host, att, resp)
}

// To returns a wire.Forwarder for one host.
func (c *Client) To(host string) wire.Forwarder { return peer{c: c, host: host} }

type peer struct {
	c    *Client
	host string
}

// Forward implements wire.Forwarder.
func (p peer) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error) {
	return p.c.Forward(ctx, p.host, att, req)
}

func (c *Client) bounds(att wire.Attempt) link.RequestOptions {
	return link.RequestOptions{
		Deadline:    time.Now().Add(att.Remaining + c.opts.Grace),
		ReadTimeout: c.opts.Silence,
		IdleTimeout: c.opts.IdleTimeout,
	}
}

// mayHeal reports whether another copy on a new connection has a chance: not
// when a new connection was silent already.
func mayHeal(le *link.Error) bool {
	return le.Stage != link.StageDial && (le.Reused || le.Cause == link.CauseClosed)
}

// refusalOf says what a failed exchange means for the attempt.
func refusalOf(host string, err error) *wire.Refusal {
	le := link.AsError(err)
	if le.Stage == link.StageDial {
		return wire.Refuse(wire.ReasonUnreachable, "host %s: %s", host, le)
	}
	reason := wire.ReasonUnreachable
	if le.Cause == link.CauseTimeout || le.Cause == link.CauseCanceled {
		reason = wire.ReasonTimeout
	}
	return wire.RefuseUnknown(reason, "host %s: %s", host, le)
}

func (c *Client) answer(host string, att wire.Attempt, resp *link.Response) (answer *wire.Answer, ref *wire.Refusal, broken bool) {
	r, err := readReply(&resp.Header, att.ID)
	if err != nil {
		resp.Body.Close()
		return nil, wire.RefuseUnknown(wire.ReasonUnreachable, "host %s: %s", host, err), true
	}
	if r.refusal != nil {
		drain(resp)
		return nil, r.refusal, false
	}
	headers.CleanResponse(&resp.Header)
	answer = &wire.Answer{
		Header: &resp.Header,
		Length: resp.Length,
		Body:   resp.Body,
		Epoch:  r.epoch,
		Load:   r.load,
	}
	if r.length >= 0 {
		answer.Length = r.length
		answer.Body = &countedBody{ReadCloser: resp.Body, left: r.length}
	}
	if err := buffer(answer, att); err != nil {
		return nil, wire.RefuseUnknown(wire.ReasonUnreachable, "host %s: answer cut short: %s", host, err), true
	}
	return answer, nil, false
}

// buffer reads a small answer to an attempt that may not be repeated, so that
// one cut short on the way can be asked for again.
func buffer(answer *wire.Answer, att wire.Attempt) error {
	if att.Idempotent || answer.Length < 0 || answer.Length > maxBuffered {
		return nil
	}
	data, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	answer.Body = io.NopCloser(bytes.NewReader(data))
	return err
}

// drain reads the empty body of a refusal, so that the connection is kept.
func drain(resp *link.Response) {
	var buf [1]byte
	resp.Body.Read(buf[:]) //nolint:errcheck // Close drops the connection
	resp.Body.Close()
}
