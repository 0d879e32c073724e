package link

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

var errClosedBeforeEnd = errors.New("response body closed before its end")

// body reads the body of a response and completes the exchange at its end.
type body struct {
	*exchange
	reader     io.Reader
	remaining  int64 // bytes not read yet, if the length is known
	chunked    bool
	untilClose bool // the body ends when the peer closes the connection
	reusable   bool
	err        error // io.EOF or the error that ended the exchange
}

func newBody(e *exchange, req *fasthttp.Request, resp *Response) io.ReadCloser {
	e.conn.readTimeout = e.IdleTimeout
	e.conn.deadline = time.Time{}
	b := &body{exchange: e, reader: e.conn.br}
	b.reusable = !resp.Header.ConnectionClose() && resp.Header.IsHTTP11() &&
		(e.KeepConnection == nil || e.KeepConnection(&resp.Header))
	switch {
	case req.Header.IsHead():
		b.finish()
	case hasNoBody(resp.Header.StatusCode()):
		resp.Length = 0
		b.finish()
	case resp.Length == respsyntax.LengthChunked:
		b.chunked = true
		b.reader = newChunkReader(e.conn)
	case resp.Length == respsyntax.LengthUntilClose:
		b.untilClose = true
		b.reusable = false
	case resp.Length == 0:
		b.finish()
	default:
		b.remaining = int64(resp.Length)
	}
	return b
}

// hasVerifiableEnd reports whether a complete body can be distinguished from a
// truncated one.
func hasVerifiableEnd(req *fasthttp.Request, resp *Response) bool {
	return req.Header.IsHead() ||
		hasNoBody(resp.Header.StatusCode()) ||
		resp.Length != respsyntax.LengthUntilClose
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.chunked && !b.untilClose && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	switch {
	case b.chunked:
		return n, b.afterChunkRead(err)
	case b.untilClose:
		return n, b.afterUnframedRead(err)
	}
	return n, b.afterFixedRead(n, err)
}

func (b *body) afterFixedRead(n int, err error) error {
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.finish()
		return nil // the next Read returns io.EOF
	}
	if err != nil {
		b.failRead(err)
		return b.err
	}
	return nil
}

func (b *body) afterChunkRead(err error) error {
	if err == nil {
		return nil
	}
	if err != io.EOF {
		b.failRead(err)
		return b.err
	}
	b.finish()
	return b.err
}

// afterUnframedRead treats an orderly close as the end of the body.
func (b *body) afterUnframedRead(err error) error {
	switch err {
	case nil:
		return nil
	case io.EOF:
		b.finish()
	default:
		b.failRead(err)
	}
	return b.err
}

// finish completes the exchange after the full body was read.
func (b *body) finish() {
	b.err = io.EOF
	b.complete(b.reusable)
}

func (b *body) failRead(err error) {
	cause := CauseProtocol
	if !b.pool.reportInvalid(b.conn.addr, err) && b.conn.readErr != nil {
		cause = causeOf(b.ctx, b.conn.readErr)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	b.fail(cause, err)
}

func (b *body) fail(cause Cause, err error) {
	b.err = &Error{Stage: StageResponse, Cause: cause, Reused: b.conn.reused, Addr: b.conn.addr, Err: err}
	b.abort(cause == CauseClosed)
}

// Close implements io.Closer. It closes the connection if the body has not been
// read to its end.
func (b *body) Close() error {
	if b.err == nil {
		b.fail(CauseCanceled, errClosedBeforeEnd)
	}
	return nil
}
