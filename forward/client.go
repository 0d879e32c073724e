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

// Defaults for ClientOptions.
const (
	DefaultReadTimeout = 1500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	DefaultGracePeriod = 100 * time.Millisecond
	maxReplyBytes      = 4 << 10
)

// ClientOptions configures a Client. Defaults replace zero values.
type ClientOptions struct {
	// Address resolves a host to the address of its forward server. Required.
	Address func(host string) (addr string, ok bool)
	// Secrets are the cluster secrets; the first one is used for signing. At
	// least one is required.
	Secrets []string
	// Pool configures the connection pool. Its MaxHeaderBytes defaults to the
	// limit for targets plus the size of the gate's reply.
	Pool link.Options
	// ReadTimeout is the time without any data from the server, including interim
	// responses, after which the connection is considered broken. It must exceed
	// the server's interval of interim responses. Default 1.5 s.
	ReadTimeout time.Duration
	// IdleTimeout limits the time without data while a body is read. Default 10 s.
	IdleTimeout time.Duration
	// GracePeriod extends the attempt's deadline at the client, so that the
	// gate's own refusal after a timeout can arrive. Default 100 ms.
	GracePeriod time.Duration
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.GracePeriod <= 0 {
		o.GracePeriod = DefaultGracePeriod
	}
	if o.Pool.MaxHeaderBytes <= 0 {
		o.Pool.MaxHeaderBytes = link.DefaultMaxHeaderBytes + maxReplyBytes
	}
	return o
}

// Client sends attempts to the gates of other daemons. It is safe for concurrent
// use.
type Client struct {
	opts   ClientOptions
	signer *signer
	pool   *link.Pool
	resent atomic.Int64
}

// ClientStats holds the counters of a Client.
type ClientStats struct {
	Resent      int64 // attempts sent again after a connection failure
	Connections link.Stats
}

// NewClient returns a Client; Close releases its connections.
func NewClient(opts ClientOptions) *Client {
	opts = opts.withDefaults()
	var first string
	if len(opts.Secrets) > 0 {
		first = opts.Secrets[0]
	}
	return &Client{opts: opts, signer: newSigner(first), pool: link.New(opts.Pool)}
}

// CloseExpired closes connections whose idle timeout has expired. It should be called
// about once a second.
func (c *Client) CloseExpired(now time.Time) { c.pool.CloseExpired(now) }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

func (c *Client) Stats() ClientStats {
	return ClientStats{Resent: c.resent.Load(), Connections: c.pool.Stats()}
}

// Forward runs an attempt at the gate of host. The error is a *wire.Refusal. If
// its run state is Unknown and its reason does not concern the target, the caller
// should settle the attempt.
//
// If the connection fails during a non-idempotent attempt, the attempt is sent
// again with the same ID on a new connection. The gate runs it only once and
// returns the same response to each copy.
func (c *Client) Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	addr, ok := c.opts.Address(host)
	if !ok {
		return nil, wire.Refuse(wire.ReasonUnreachable, "no address of host %q is known", host)
	}
	first, ref, retryable := c.send(ctx, host, addr, att, req, false)
	if !retryable || att.Idempotent {
		return result(first, ref)
	}
	return result(c.resend(ctx, host, addr, att, req, ref))
}

// resend sends an attempt again, each time on a new connection, until the gate
// responds. A refusal of a copy with run state NotRun does not apply to the first
// copy, so the outcome remains unknown in that case.
func (c *Client) resend(ctx context.Context, host, addr string, att wire.Attempt, req *fasthttp.Request, first *wire.Refusal) (*wire.Response, *wire.Refusal) {
	deadline := time.Now().Add(att.Remaining)
	wait := firstResendDelay
	for range maxResends {
		if !pause.For(ctx, wait) {
			break
		}
		wait *= 2
		att.Remaining = time.Until(deadline)
		if att.Remaining <= 0 {
			break
		}
		c.resent.Add(1)
		response, ref, retryable := c.send(ctx, host, addr, att, req, true)
		if ref == nil || (ref.Run != wire.NotRun && !retryable) {
			return response, ref
		}
		if ref.Run == wire.NotRun && ref.Reason != wire.ReasonUnreachable {
			return nil, wire.RefuseUnknown(first.Reason, "%s; the resent attempt was refused with reason %s: %s", first.Detail, ref.Reason, ref.Detail)
		}
	}
	return nil, first
}

const (
	// maxResends limits how often an attempt is sent again.
	maxResends = 4
	// firstResendDelay is the delay before the first resend; it doubles each time.
	firstResendDelay = 5 * time.Millisecond
)

func result(response *wire.Response, ref *wire.Refusal) (*wire.Response, error) {
	if ref != nil {
		return nil, ref
	}
	return response, nil
}

// send sends an attempt once. retryable is true if the attempt may have arrived,
// no reply of the gate was received, and sending it again may succeed.
func (c *Client) send(ctx context.Context, host, addr string, att wire.Attempt, req *fasthttp.Request, newConnection bool) (response *wire.Response, ref *wire.Refusal, retryable bool) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	req.Header.CopyTo(&out.Header)
	headers.CleanRequest(&out.Header)
	writeAttempt(&out.Header, att, c.signer)
	out.SetBodyRaw(req.Body())
	opts := c.requestOptions(att)
	opts.NewConnection = newConnection
	resp, err := c.pool.Do(ctx, addr, out, opts)
	if err != nil {
		return nil, refusalFor(host, err), resendMayHelp(link.AsError(err))
	}
	return c.readResponse(host, att, resp)
}

// ForwarderFor returns a wire.Forwarder that sends all attempts to host.
func (c *Client) ForwarderFor(host string) wire.Forwarder {
	return hostForwarder{client: c, host: host}
}

type hostForwarder struct {
	client *Client
	host   string
}

// Forward implements wire.Forwarder.
func (f hostForwarder) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	return f.client.Forward(ctx, f.host, att, req)
}

func (c *Client) requestOptions(att wire.Attempt) link.RequestOptions {
	return link.RequestOptions{
		Deadline:    time.Now().Add(att.Remaining + c.opts.GracePeriod),
		ReadTimeout: c.opts.ReadTimeout,
		IdleTimeout: c.opts.IdleTimeout,
	}
}

// resendMayHelp reports whether sending an attempt again on a new connection may
// succeed. It may not if a new connection has already timed out.
func resendMayHelp(le *link.Error) bool {
	return le.Stage != link.StageDial && (le.Reused || le.Cause == link.CauseClosed)
}

// refusalFor converts a connection error into a refusal of the attempt.
func refusalFor(host string, err error) *wire.Refusal {
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

func (c *Client) readResponse(host string, att wire.Attempt, resp *link.Response) (response *wire.Response, ref *wire.Refusal, retryable bool) {
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
	response = &wire.Response{
		Header: &resp.Header,
		Length: resp.Length,
		Body:   resp.Body,
		Epoch:  r.epoch,
		Load:   r.load,
	}
	if r.length >= 0 {
		response.Length = r.length
		response.Body = &lengthCheckedBody{ReadCloser: resp.Body, left: r.length}
	}
	if err := bufferResponse(response, att); err != nil {
		return nil, wire.RefuseUnknown(wire.ReasonUnreachable, "host %s: reading the response body of %d bytes failed: %s", host, response.Length, err), true
	}
	return response, nil, false
}

// bufferResponse buffers a small response to a non-idempotent attempt, so that the
// attempt can be sent again if the response is truncated.
func bufferResponse(response *wire.Response, att wire.Attempt) error {
	if att.Idempotent || response.Length < 0 || response.Length > maxBuffered {
		return nil
	}
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	return err
}

// drain reads the empty body of a refusal, so that the connection can be reused.
func drain(resp *link.Response) {
	var buf [1]byte
	resp.Body.Read(buf[:]) //nolint:errcheck // after an error, Close closes the connection
	resp.Body.Close()
}
