package h1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/bodybuf"
	"github.com/gooseberryshed/gooseberryshed/memory"
)

var errBodyMemory = errors.New("the requests in progress use the memory set aside for them; the request has not run, try again later")

const (
	// lengthChunked is the content length of a chunked body in a parsed header.
	lengthChunked = -1
	// maxTrailerBytes limits the trailer section of a chunked body, which is discarded.
	maxTrailerBytes = 4 << 10
)

var (
	errTrailerTooLarge = errors.Errorf("the trailer section of the body is larger than %d bytes", maxTrailerBytes)
	errTrailerLine     = errors.New("a line of the trailer section does not end with CR LF")
)

// meter takes the memory of an exchange from the server's account.
type meter struct{ lease *memory.Lease }

func (m meter) Grow(n int64) error {
	victims, err := m.lease.Grow(time.Now(), n)
	memory.CloseAll(victims)
	if err != nil {
		return errBodyMemory
	}
	return nil
}

func (m meter) Shrink(n int64) { m.lease.Shrink(n) }

// takeHeader counts a request and its header, which exists as bytes and parsed.
func (c *conn) takeHeader(x *Exchange) error {
	return meter{x.lease}.Grow(memory.RequestBytes + 2*int64(len(x.Request.Header.RawHeaders())))
}

// readBody reads the body of a request, whose memory is taken from the server's account
// as it arrives.
func (c *conn) readBody(x *Exchange) (status int, err error) {
	length := x.Request.Header.ContentLength()
	if length <= 0 && length != lengthChunked {
		if err := x.Request.ContinueReadBody(c.br, c.limits.BodyBytes, false); err != nil {
			return statusOf(err), err
		}
		return 0, nil
	}
	c.beginBody(time.Now())
	defer c.endBody()
	var body []byte
	if length == lengthChunked {
		body, err = bodybuf.Read(httputil.NewChunkedReader(c.br), length, c.limits.BodyBytes, meter{x.lease})
		if err == nil {
			err = skipTrailer(c.br)
		}
	} else {
		body, err = bodybuf.Read(io.LimitReader(c.br, int64(length)), length, c.limits.BodyBytes, meter{x.lease})
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		x.lease.Shrink(x.lease.Bytes())
		return statusOf(err), err
	}
	x.Request.SetBodyRaw(body)
	if len(body) == 0 {
		x.Request.Header.SetContentLength(0)
	}
	return 0, nil
}

// skipTrailer reads the trailer section up to the empty line that ends a chunked body.
func skipTrailer(br *bufio.Reader) error {
	total := 0
	for {
		line, err := br.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err == bufio.ErrBufferFull:
			return errTrailerTooLarge
		case err != nil:
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return errTrailerLine
		case len(line) == 2:
			return nil
		}
		if total += len(line); total > maxTrailerBytes {
			return errTrailerTooLarge
		}
	}
}

// beginBody starts the time limit of a body.
func (c *conn) beginBody(now time.Time) {
	c.peer.Begin(now)
	c.body = pace{begun: now, grace: c.limits.IdleTimeout, rate: c.limits.MinRate}
	c.bodyMoving = true
}

func (c *conn) endBody() {
	c.bodyMoving = false
	c.peer.End()
}

// pacedReader reads from a connection and applies the time limit of a body to each read.
type pacedReader struct{ *conn }

func (r pacedReader) Read(p []byte) (int, error) {
	if r.hasFirst && len(p) > 1 {
		r.hasFirst = false
		p[0] = r.first[0]
		n, err := r.Conn.Read(p[1:])
		if err != nil && n == 0 {
			err = nil // the next read has it
		}
		return n + 1, err
	}
	if !r.bodyMoving {
		return r.Conn.Read(p)
	}
	if err := r.Conn.SetReadDeadline(r.body.deadline()); err != nil {
		return 0, err
	}
	n, err := r.Conn.Read(p)
	if n > 0 {
		r.body.moved += int64(n)
		r.peer.Moved(time.Now(), int64(n))
	}
	return n, err
}

// pace bounds the time of a body or an answer: it may take a grace, and as long as its
// bytes take at the minimum rate.
type pace struct {
	begun time.Time
	grace time.Duration
	// rate is in bytes a second.
	rate  int
	moved int64
}

func (p pace) deadline() time.Time {
	return p.begun.Add(p.grace + time.Duration(float64(p.moved)/float64(p.rate)*float64(time.Second)))
}

// Hold uses a lease, such as that of the response's body, until the exchange has ended.
// Closing the connection then makes room of that size.
func (x *Exchange) Hold(l *memory.Lease) {
	if l == nil {
		return
	}
	l.Retain()
	l.Attach(x.conn.peer)
	x.held = append(x.held, l)
}

// Lease returns the memory of the request. It is released when the exchange has ended.
func (x *Exchange) Lease() *memory.Lease { return x.lease }

// release returns the memory of an exchange that has ended.
func (x *Exchange) release() {
	x.lease.Release()
	for _, l := range x.held {
		l.Release()
	}
	if x.onEnd != nil {
		x.onEnd(x.sent)
	}
}
