package forward

import (
	"context"
	"time"

	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

// Defaults of ClientOptions.
const (
	DefaultSilence     = 1500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	DefaultGrace       = 100 * time.Millisecond
)

// ClientOptions configures a Client. Zero fields take the documented defaults.
type ClientOptions struct {
	// Address resolves a host to the address that takes forwarded requests.
	// It must be set.
	Address func(host string) (addr string, ok bool)
	// Secrets are the cluster secrets; the first one signs. At least one must
	// be given.
	Secrets []string
	// Links configures the connections.
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
	return o
}

// Client sends attempts to the gates of other daemons. It is safe for
// concurrent use.
type Client struct {
	opts   ClientOptions
	secret []byte
	links  *link.Pool
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	opts = opts.withDefaults()
	c := &Client{opts: opts, links: link.New(opts.Links)}
	if len(opts.Secrets) > 0 {
		c.secret = []byte(opts.Secrets[0])
	}
	return c
}

// Sweep closes connections that are idle for too long; call it about once a
// second.
func (c *Client) Sweep(now time.Time) { c.links.Sweep(now) }

// Close closes the idle connections.
func (c *Client) Close() { c.links.Close() }

// Stats returns the counts of the connections.
func (c *Client) Stats() link.Stats { return c.links.Stats() }

// Forward runs an attempt at the gate of host. The error is a *wire.Refusal;
// when it says Unknown and nothing of the target, settle the attempt.
func (c *Client) Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error) {
	addr, ok := c.opts.Address(host)
	if !ok {
		return nil, wire.Refuse(wire.ReasonUnreachable, "no address of host %q is known", host)
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	req.Header.CopyTo(&out.Header)
	headers.CleanRequest(&out.Header)
	writeAttempt(&out.Header, att, c.secret)
	out.SetBodyRaw(req.Body())
	resp, err := c.links.Do(ctx, addr, out, c.bounds(att))
	if err != nil {
		return nil, refusalOf(host, err)
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

func (c *Client) bounds(att wire.Attempt) link.Exchange {
	return link.Exchange{
		Deadline:    time.Now().Add(att.Remaining + c.opts.Grace),
		Silence:     c.opts.Silence,
		IdleTimeout: c.opts.IdleTimeout,
	}
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

func (c *Client) answer(host string, att wire.Attempt, resp *link.Response) (*wire.Answer, error) {
	h := &resp.Header
	if string(h.Peek(fieldAttempt)) != att.ID.String() {
		resp.Body.Close()
		return nil, wire.RefuseUnknown(wire.ReasonUnreachable, "host %s: %s", host, errOtherAttempt)
	}
	if ref := readRefusal(h); ref != nil {
		drain(resp)
		return nil, ref
	}
	p := parser{h: h}
	answer := &wire.Answer{
		Header: h,
		Length: resp.Length,
		Body:   resp.Body,
		Epoch:  readEpoch(&p),
		Load:   readLoad(&p),
	}
	if p.err != nil {
		resp.Body.Close()
		return nil, wire.RefuseUnknown(wire.ReasonUnreachable, "host %s: %s", host, p.err)
	}
	if length, ok := readLength(h); ok {
		answer.Length = length
		answer.Body = &countedBody{ReadCloser: resp.Body, left: length}
	}
	headers.CleanResponse(h)
	return answer, nil
}

// drain reads the empty body of a refusal, so that the connection is kept.
func drain(resp *link.Response) {
	var buf [1]byte
	resp.Body.Read(buf[:]) //nolint:errcheck // Close drops the connection
	resp.Body.Close()
}
