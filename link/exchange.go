package link

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// RequestOptions holds the options of one request.
type RequestOptions struct {
	// NewConnection requires a new connection.
	NewConnection bool
	// Deadline applies until the response header is complete; zero means none.
	// The body is subject to IdleTimeout and the context.
	Deadline time.Time
	// IdleTimeout limits each read of the body; 0 means none.
	IdleTimeout time.Duration
	// ReadTimeout limits each read while waiting for the response header, on new
	// and reused connections; 0 means none. It suits peers that send interim
	// responses while they process a request.
	ReadTimeout time.Duration
	// FirstByteTimeout overrides Options.FirstByteTimeout if positive.
	FirstByteTimeout time.Duration
	// LingerTimeout is how long to wait for the peer to close its end after an
	// aborted exchange; 0 closes the connection immediately.
	LingerTimeout time.Duration
	// OnEnd is called once when the exchange has ended at the peer: the full
	// response was received, the peer closed its end, or LingerTimeout has
	// elapsed. It is not called if nothing was sent.
	OnEnd func()
	// BeforeSend is called once a connection is available and before the first
	// byte is sent. An error ends the exchange with nothing sent.
	BeforeSend func() error
	// AllowUnframed accepts a response that has no Content-Length and is not
	// chunked. Its body is complete if the peer closes the connection, and an
	// error if it resets it.
	AllowUnframed bool
	// MatchResponse, if set, reports whether a response belongs to this request.
	// Others, which are late responses to earlier requests on the connection,
	// are discarded. reused is set if the connection has carried such requests.
	MatchResponse func(h *fasthttp.ResponseHeader, reused bool) bool
	// KeepConnection, if set, reports whether the connection may be reused after a
	// response.
	KeepConnection func(h *fasthttp.ResponseHeader) bool
	// OnInterim is called with the status of each interim (1xx) response.
	OnInterim func(status int)
}

// Response is a response whose body has not been read yet.
type Response struct {
	Header fasthttp.ResponseHeader
	// Length is the Content-Length, respsyntax.LengthChunked or, with AllowUnframed,
	// respsyntax.LengthUntilClose. The response to a HEAD request has the length that GET
	// would return, and an empty body.
	Length int
	// Body returns io.EOF only after the full body was received. Closing it
	// earlier closes the connection.
	Body io.ReadCloser
	// Reused reports whether the connection had carried an earlier exchange.
	Reused bool
}

var (
	errUnframed          = errors.New("response has no Content-Length and is not chunked")
	errUnexpectedUpgrade = errors.New("unexpected 101 Switching Protocols response")
	errTooManyInterim    = errors.New("too many interim responses")
	errTooManyUnmatched  = errors.New("too many or too large responses to other requests")
)

const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200
	maxInterimResponses      = 10000
	// maxUnmatchedResponses limits the responses read for one request if
	// MatchResponse is set, and maxUnmatchedBytes the body of each response that
	// is discarded.
	maxUnmatchedResponses = 3
	maxUnmatchedBytes     = 1 << 20
)

// Do sends req to addr on one connection and reads the response header. An error
// is an *Error. The context also applies to the body: if it ends before the body
// was read, the connection is closed.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, x RequestOptions) (*Response, error) {
	x.NewConnection = x.NewConnection || transfer.Beside(ctx)
	c, err := p.connect(ctx, addr, x)
	if err != nil {
		return nil, err
	}
	if x.BeforeSend != nil {
		if err := x.BeforeSend(); err != nil {
			p.releaseUnused(c)
			return nil, &Error{Stage: StageDial, Cause: CauseRejected, Addr: addr, Err: err}
		}
	}
	p.buffers.attach(c)
	e := &exchange{RequestOptions: x, ctx: ctx, pool: p, conn: c}
	e.stopCancelWatch = context.AfterFunc(ctx, c.interrupt)
	resp, failure := e.roundTrip(req)
	if failure != nil {
		e.abort(failure.Cause == CauseClosed)
		if c.reused && failure.Cause != CauseCanceled {
			p.CloseIdle(addr) // other idle connections to addr may be broken too
		}
		return nil, failure
	}
	resp.Body = newBody(e, req, resp)
	return resp, nil
}

// exchange is an exchange in progress.
type exchange struct {
	RequestOptions
	ctx             context.Context
	pool            *Pool
	conn            *conn
	stopCancelWatch func() bool
}

// complete ends an exchange whose full response was received. The connection
// returns to the pool if it is reusable.
func (e *exchange) complete(reusable bool) {
	canceled := !e.stopCancelWatch()
	if reusable && !canceled && e.conn.br.Buffered() == 0 {
		e.pool.release(e.conn)
	} else {
		e.conn.Conn.Close()
	}
	e.notifyEnd()
}

// abort ends an exchange without a full response and closes the connection.
func (e *exchange) abort(peerClosed bool) {
	e.stopCancelWatch()
	e.pool.count.abandoned.Add(1)
	if peerClosed || e.LingerTimeout <= 0 || e.OnEnd == nil {
		e.conn.Conn.Close()
		e.notifyEnd()
		return
	}
	go e.linger()
}

// linger closes the write side and waits for the peer to close its end.
func (e *exchange) linger() {
	defer e.notifyEnd()
	defer e.conn.Conn.Close()
	if hc, ok := e.conn.Conn.(interface{ CloseWrite() error }); ok {
		hc.CloseWrite() //nolint:errcheck // the read below detects a broken connection
	}
	if err := e.conn.Conn.SetReadDeadline(time.Now().Add(e.LingerTimeout)); err != nil {
		return
	}
	io.Copy(io.Discard, e.conn.Conn) //nolint:errcheck // EOF, error and timeout all end the wait
}

func (e *exchange) notifyEnd() {
	if e.OnEnd != nil {
		e.OnEnd()
	}
}

func (p *Pool) connect(ctx context.Context, addr string, x RequestOptions) (*conn, error) {
	if x.Deadline.IsZero() {
		return p.acquire(ctx, addr, x.NewConnection)
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return p.acquire(deadlineCtx, addr, x.NewConnection)
}

// releaseUnused returns a connection to the pool on which nothing was sent.
func (p *Pool) releaseUnused(c *conn) {
	p.buffers.attach(c)
	p.release(c)
}

func (e *exchange) roundTrip(req *fasthttp.Request) (*Response, *Error) {
	c := e.conn
	c.received, c.readErr, c.writeErr = 0, nil, nil
	c.meter = transfer.MeterOf(e.ctx)
	c.deadline = e.Deadline
	c.readTimeout = e.ReadTimeout
	if c.reused {
		c.readTimeout = shorterTimeout(c.readTimeout, e.firstByteTimeout())
	}
	if err := writeRequest(c, req); err != nil {
		return nil, e.newError(err)
	}
	resp := &Response{Reused: c.reused}
	if err := e.readResponse(req, resp); err != nil {
		return nil, e.newError(err)
	}
	return resp, nil
}

// readResponse reads the header of the response to req and discards responses to
// other requests.
func (e *exchange) readResponse(req *fasthttp.Request, resp *Response) error {
	for range maxUnmatchedResponses {
		if err := e.readHeader(resp); err != nil {
			return err
		}
		if !e.AllowUnframed && !hasVerifiableEnd(req, resp) {
			return errUnframed
		}
		if e.MatchResponse == nil || e.MatchResponse(&resp.Header, e.conn.reused) {
			return nil
		}
		if err := e.discardBody(resp); err != nil {
			return err
		}
	}
	return errTooManyUnmatched
}

// discardBody reads and discards the body of a response to another request.
func (e *exchange) discardBody(resp *Response) error {
	n := resp.Length
	if n < 0 || n > maxUnmatchedBytes {
		return errTooManyUnmatched
	}
	_, err := io.CopyN(io.Discard, e.conn.br, int64(n))
	return err
}

func (e *exchange) firstByteTimeout() time.Duration {
	if e.FirstByteTimeout > 0 {
		return e.FirstByteTimeout
	}
	return e.pool.opts.FirstByteTimeout
}

// shorterTimeout returns the shorter of two timeouts, where 0 means none.
func shorterTimeout(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	return min(a, b)
}

func writeRequest(c *conn, req *fasthttp.Request) error {
	if err := c.armDeadline(c.Conn.SetWriteDeadline); err != nil {
		c.writeErr = err
		return err
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readHeader reads interim responses up to and including the header of the final
// one.
func (e *exchange) readHeader(resp *Response) error {
	c := e.conn
	for range maxInterimResponses {
		if _, err := c.br.Peek(1); err != nil {
			return err
		}
		c.readTimeout = e.ReadTimeout
		if err := c.readHead(resp); err != nil {
			return err
		}
		status := resp.Header.StatusCode()
		if status == statusSwitchingProtocols {
			return errUnexpectedUpgrade
		}
		if status >= firstFinalStatus {
			return nil
		}
		c.received = int64(c.br.Buffered()) // of the next response
		if e.OnInterim != nil {
			e.OnInterim(status)
		}
	}
	return errTooManyInterim
}

func (e *exchange) newError(err error) *Error {
	c := e.conn
	le := &Error{Stage: StageSent, Cause: CauseProtocol, Reused: c.reused, Addr: c.addr, Err: err}
	if c.received > 0 {
		le.Stage = StageResponse
	}
	switch {
	case e.pool.reportInvalid(c.addr, err): // takes precedence over a connection that has ended
	case c.writeErr != nil:
		le.Cause = causeOf(e.ctx, c.writeErr)
	case c.readErr != nil:
		le.Cause = causeOf(e.ctx, c.readErr)
	}
	return le
}
