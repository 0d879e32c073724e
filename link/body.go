package link

import (
	"bufio"
	"io"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	lengthChunked  = -1
	lengthIdentity = -2
	// maxTrailerBytes bounds the trailer section of a chunked body.
	maxTrailerBytes = 4 << 10
)

var (
	errTrailerTooLarge = errors.New("trailer section too large")
	errClosedEarly     = errors.New("body closed before its end")
)

// body reads an answer's body and ends the exchange.
type body struct {
	*exchange
	src    io.Reader
	left   int64 // bytes to come; unused for chunks
	chunks bool
	toEnd  bool // the body ends with the connection
	keep   bool
	err    error // set once the exchange has ended
}

func newBody(e *exchange, req *fasthttp.Request, resp *Response) io.ReadCloser {
	e.c.silence = e.IdleTimeout
	e.c.deadline = time.Time{}
	b := &body{exchange: e, src: e.c.br}
	b.keep = !resp.Header.ConnectionClose() && resp.Header.IsHTTP11()
	resp.Length = resp.Header.ContentLength()
	switch {
	case req.Header.IsHead():
		b.finish()
	case hasNoBody(resp.Header.StatusCode()):
		resp.Length = 0
		b.finish()
	case resp.Length == lengthChunked:
		b.chunks = true
		b.src = httputil.NewChunkedReader(e.c.br)
	case resp.Length == lengthIdentity:
		b.toEnd = true
		b.keep = false
	case resp.Length == 0:
		b.finish()
	default:
		b.left = int64(resp.Length)
	}
	return b
}

// isVerifiable reports whether the end of the answer's body can be told from
// a connection cut short.
func isVerifiable(req *fasthttp.Request, resp *Response) bool {
	return req.Header.IsHead() ||
		hasNoBody(resp.Header.StatusCode()) ||
		resp.Header.ContentLength() != lengthIdentity
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.chunks && !b.toEnd && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.src.Read(p)
	switch {
	case b.chunks:
		return n, b.afterChunkRead(err)
	case b.toEnd:
		return n, b.afterUnframedRead(err)
	}
	return n, b.afterFixedRead(n, err)
}

func (b *body) afterFixedRead(n int, err error) error {
	b.left -= int64(n)
	if b.left == 0 {
		b.finish()
		return nil // io.EOF comes with the next read
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
	if err := skipTrailer(b.c.br); err != nil {
		b.failRead(err)
		return b.err
	}
	b.finish()
	return b.err
}

// afterUnframedRead takes an orderly close as the end.
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

// skipTrailer reads up to the empty line that ends a chunked body.
func skipTrailer(br *bufio.Reader) error {
	total := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
		total += len(line)
		if total > maxTrailerBytes {
			return errTrailerTooLarge
		}
	}
}

// finish ends a body that was read whole.
func (b *body) finish() {
	b.err = io.EOF
	b.complete(b.keep)
}

func (b *body) failRead(err error) {
	cause := CauseProtocol
	if b.c.readErr != nil {
		cause = causeOf(b.ctx, b.c.readErr)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	b.fail(cause, err)
}

func (b *body) fail(cause Cause, err error) {
	b.err = &Error{Stage: StageAnswer, Cause: cause, Reused: b.c.reused, Addr: b.c.addr, Err: err}
	b.giveUp(cause == CauseClosed)
}

// Close implements io.Closer. Closing an unread body closes the connection.
func (b *body) Close() error {
	if b.err == nil {
		b.fail(CauseCanceled, errClosedEarly)
	}
	return nil
}
