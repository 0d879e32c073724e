package link

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Exchange sets the bounds of one request and its answer.
type Exchange struct {
	// Fresh forbids a reused connection.
	Fresh bool
	// Deadline bounds the exchange until the answer's header is complete;
	// zero is none. The body is bounded by IdleTimeout and the context.
	Deadline time.Time
	// IdleTimeout bounds the silence between two reads of the body; 0 is none.
	IdleTimeout time.Duration
	// Silence bounds the silence while waiting for the answer on any
	// connection; 0 is none. It suits peers that send interim answers.
	Silence time.Duration
	// FirstByte replaces Options.FirstByte when it is set.
	FirstByte time.Duration
	// Linger is how long to wait, after an exchange was given up, for the peer
	// to close its end; 0 closes at once.
	Linger time.Duration
	// Ended is called once when the peer has ended the exchange: its answer
	// was received whole, it closed its end, or Linger has passed. It is not
	// called when nothing was sent.
	Ended func()
	// BeforeSend is called when a connection is at hand and before its first
	// byte; an error ends the exchange with nothing sent.
	BeforeSend func() error
	// Unframed accepts an answer without length or chunks. Its body is whole
	// when the peer closes the connection, and broken when it resets it.
	Unframed bool
	// Mine, when set, tells whether an answer belongs to this request. Others,
	// left over from earlier requests of the connection, are passed over.
	Mine func(h *fasthttp.ResponseHeader) bool
	// OnInterim is called for each interim answer.
	OnInterim func()
}

// Response is an answer whose body is still to be read.
type Response struct {
	Header fasthttp.ResponseHeader
	// Length is the Content-Length, or -1 for chunks. An answer to HEAD has
	// the length that GET would have, and an empty body.
	Length int
	// Body ends with io.EOF only when the whole body was received. Closing it
	// before closes the connection.
	Body io.ReadCloser
	// Reused reports that the connection had served an earlier exchange.
	Reused bool
}

var (
	errUnframed          = errors.New("neither Content-Length nor chunks")
	errUnexpectedUpgrade = errors.New("the peer switched protocols unasked")
	errTooManyInterim    = errors.New("too many interim answers")
	errTooManyUnmatched  = errors.New("too many answers to other requests")
)

const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200
	maxInterimResponses      = 10000
	// maxUnmatchedResponses and maxForeignBytes bound the answers to other requests
	// that are passed over.
	maxUnmatchedResponses = 3
	maxUnmatchedBytes     = 1 << 20
)

// Do sends req to addr over one connection and reads the answer's header.
// The error is an *Error. The context governs the body as well: when it ends
// before the body was read, the connection is closed.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, x Exchange) (*Response, error) {
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
	e := &exchange{Exchange: x, ctx: ctx, pool: p, conn: c}
	e.stopWatch = context.AfterFunc(ctx, c.interrupt)
	resp, failure := e.roundTrip(req)
	if failure != nil {
		e.abort(failure.Cause == CauseClosed)
		if c.reused && failure.Cause != CauseCanceled {
			p.Drop(addr) // its siblings may be as broken
		}
		return nil, failure
	}
	resp.Body = newBody(e, req, resp)
	return resp, nil
}

// exchange is one exchange under way.
type exchange struct {
	Exchange
	ctx       context.Context
	pool      *Pool
	conn      *conn
	stopWatch func() bool
}

// complete ends an exchange whose answer was received whole.
func (e *exchange) complete(keep bool) {
	canceled := !e.stopWatch()
	if keep && !canceled && e.conn.br.Buffered() == 0 {
		e.pool.release(e.conn)
	} else {
		e.conn.Conn.Close()
	}
	e.notifyEnd()
}

// abort ends an exchange whose answer is not whole.
func (e *exchange) abort(peerClosed bool) {
	e.stopWatch()
	e.pool.count.abandoned.Add(1)
	if peerClosed || e.Linger <= 0 || e.Ended == nil {
		e.conn.Conn.Close()
		e.notifyEnd()
		return
	}
	go e.linger()
}

// linger closes this end and waits for the peer to close its own.
func (e *exchange) linger() {
	defer e.notifyEnd()
	defer e.conn.Conn.Close()
	if hc, ok := e.conn.Conn.(interface{ CloseWrite() error }); ok {
		hc.CloseWrite() //nolint:errcheck // the read below finds a broken connection
	}
	if err := e.conn.Conn.SetReadDeadline(time.Now().Add(e.Linger)); err != nil {
		return
	}
	io.Copy(io.Discard, e.conn.Conn) //nolint:errcheck // any end will do
}

func (e *exchange) notifyEnd() {
	if e.Ended != nil {
		e.Ended()
	}
}

func (p *Pool) connect(ctx context.Context, addr string, x Exchange) (*conn, error) {
	if x.Deadline.IsZero() {
		return p.acquire(ctx, addr, x.Fresh)
	}
	dctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return p.acquire(dctx, addr, x.Fresh)
}

// releaseUnused returns a connection on which nothing was sent.
func (p *Pool) releaseUnused(c *conn) {
	p.buffers.attach(c)
	p.release(c)
}

func (e *exchange) roundTrip(req *fasthttp.Request) (*Response, *Error) {
	c := e.conn
	c.received, c.readErr, c.writeErr = 0, nil, nil
	c.deadline = e.Deadline
	c.readTimeout = e.Silence
	if c.reused {
		c.readTimeout = shorter(c.readTimeout, e.firstByteTimeout())
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

// readResponse reads the header of the answer to req.
func (e *exchange) readResponse(req *fasthttp.Request, resp *Response) error {
	for range maxUnmatchedResponses {
		if err := e.readHeader(resp); err != nil {
			return err
		}
		if !hasVerifiableEnd(req, resp) && (!e.Unframed || resp.Header.ContentLength() != lengthIdentity) {
			return errUnframed
		}
		if e.Mine == nil || e.Mine(&resp.Header) {
			return nil
		}
		if err := e.discardBody(resp); err != nil {
			return err
		}
	}
	return errTooManyUnmatched
}

// discardBody reads the rest of an answer to another request.
func (e *exchange) discardBody(resp *Response) error {
	n := resp.Header.ContentLength()
	if n < 0 || n > maxUnmatchedBytes {
		return errTooManyUnmatched
	}
	_, err := io.CopyN(io.Discard, e.conn.br, int64(n))
	return err
}

func (e *exchange) firstByteTimeout() time.Duration {
	if e.FirstByte > 0 {
		return e.FirstByte
	}
	return e.pool.opts.FirstByte
}

// shorter returns the shorter of two bounds, of which 0 is none.
func shorter(a, b time.Duration) time.Duration {
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

// readHeader reads the final answer's header and passes over interim ones.
func (e *exchange) readHeader(resp *Response) error {
	c := e.conn
	for range maxInterimResponses {
		if _, err := c.br.Peek(1); err != nil {
			return err
		}
		c.readTimeout = e.Silence
		if err := resp.Header.Read(c.br); err != nil {
			return err
		}
		status := resp.Header.StatusCode()
		if status == statusSwitchingProtocols {
			return errUnexpectedUpgrade
		}
		if status >= firstFinalStatus {
			return nil
		}
		c.received = 0
		if e.OnInterim != nil {
			e.OnInterim()
		}
	}
	return errTooManyInterim
}

func (e *exchange) newError(err error) *Error {
	c := e.conn
	le := &Error{Stage: StageSent, Cause: CauseProtocol, Reused: c.reused, Addr: c.addr, Err: err}
	if c.received > 0 {
		le.Stage = StageAnswer
	}
	switch {
	case c.writeErr != nil:
		le.Cause = causeOf(e.ctx, c.writeErr)
	case c.readErr != nil:
		le.Cause = causeOf(e.ctx, c.readErr)
	}
	return le
}
