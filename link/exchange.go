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
	// BeforeSend is called when a connection is at hand and before its first
	// byte; an error ends the exchange with nothing sent.
	BeforeSend func() error
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
	errUnverifiable = errors.New("neither Content-Length nor chunks")
	errSwitched     = errors.New("the peer switched protocols unasked")
	errInterim      = errors.New("too many interim answers")
)

const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200
	maxInterimAnswers        = 10000
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
			p.putBack(c)
			return nil, &Error{Stage: StageDial, Cause: CauseRejected, Addr: addr, Err: err}
		}
	}
	p.buffers.attach(c)
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	resp, err := p.exchange(ctx, c, req, x)
	if err != nil {
		stop()
		p.discard(c)
		if c.reused {
			p.Drop(addr)
		}
		return nil, err
	}
	resp.Body = p.newBody(ctx, c, req, resp, x, stop)
	return resp, nil
}

func (p *Pool) connect(ctx context.Context, addr string, x Exchange) (*conn, error) {
	if x.Deadline.IsZero() {
		return p.acquire(ctx, addr, x.Fresh)
	}
	dctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return p.acquire(dctx, addr, x.Fresh)
}

// putBack returns a connection on which nothing was sent.
func (p *Pool) putBack(c *conn) {
	p.buffers.attach(c)
	p.release(c)
}

func (p *Pool) exchange(ctx context.Context, c *conn, req *fasthttp.Request, x Exchange) (*Response, error) {
	c.received, c.readErr, c.writeErr = 0, nil, nil
	c.deadline = x.Deadline
	c.silence = x.Silence
	if c.reused && (c.silence <= 0 || c.silence > p.opts.FirstByte) {
		c.silence = p.opts.FirstByte
	}
	if err := p.send(c, req); err != nil {
		return nil, exchangeError(ctx, c, err)
	}
	resp := &Response{Reused: c.reused}
	if err := readHeader(c, resp, x); err != nil {
		return nil, exchangeError(ctx, c, err)
	}
	if !isVerifiable(req, resp) {
		return nil, exchangeError(ctx, c, errUnverifiable)
	}
	return resp, nil
}

func (p *Pool) send(c *conn, req *fasthttp.Request) error {
	if err := c.Conn.SetWriteDeadline(c.readDeadline()); err != nil {
		return err
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readHeader reads the final answer's header and passes over interim ones.
func readHeader(c *conn, resp *Response, x Exchange) error {
	for range maxInterimAnswers {
		if _, err := c.br.Peek(1); err != nil {
			return err
		}
		c.silence = x.Silence
		if err := resp.Header.Read(c.br); err != nil {
			return err
		}
		status := resp.Header.StatusCode()
		if status == statusSwitchingProtocols {
			return errSwitched
		}
		if status >= firstFinalStatus {
			return nil
		}
		c.received = 0
	}
	return errInterim
}

func exchangeError(ctx context.Context, c *conn, err error) *Error {
	e := &Error{Stage: StageSent, Reused: c.reused, Addr: c.addr, Err: err}
	if c.received > 0 {
		e.Stage = StageAnswer
	}
	switch {
	case c.writeErr != nil:
		e.Cause = causeOf(ctx, c.writeErr)
	case c.readErr != nil:
		e.Cause = causeOf(ctx, c.readErr)
	default:
		e.Cause = CauseProtocol
	}
	return e
}
