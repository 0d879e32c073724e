package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxAhead is how many requests of one connection may be under way; the
	// reader waits when there are more.
	maxAhead = 32
	// writeTimeout bounds the writing of one answer to a peer that reads slowly.
	writeTimeout = 30 * time.Second
	// lingerTime and lingerBytes bound what is taken in after the last answer
	// of a connection; closed with unread bytes, it would be reset and the
	// answer might be lost.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// crossedPause is how long a connection stays open when a request has crossed
	// its last answer: long enough for the answer to arrive, short enough for the
	// caller to see at once that the request was not taken.
	crossedPause = 50 * time.Millisecond
	// writeBufferBytes holds a usual answer's header and small body.
	writeBufferBytes = 4 << 10
)

const (
	interimAnswer  = "HTTP/1.1 102 Processing\r\n\r\n"
	continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n"
)

// conn is one connection of a peer.
type conn struct {
	net.Conn
	s      *Server
	limits Limits
	br     *bufio.Reader
	ahead  chan struct{}
	done   sync.WaitGroup

	mu sync.Mutex
	// pending counts the requests that have been handed out and not answered.
	pending int
	// last is set when an answer has asked for the connection's close.
	last bool
	// quietSince is when the last answer went out.
	quietSince time.Time

	writing sync.Mutex
	bw      *bufio.Writer
}

func newConn(s *Server, nc net.Conn) *conn {
	limits := s.opts.Limits().withDefaults()
	return &conn{
		Conn:       nc,
		s:          s,
		limits:     limits,
		br:         bufio.NewReaderSize(nc, limits.HeaderBytes),
		bw:         bufio.NewWriterSize(nc, writeBufferBytes),
		ahead:      make(chan struct{}, maxAhead),
		quietSince: time.Now(),
	}
}

// serve reads requests until the stream ends and hands each to a goroutine.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer c.s.remove(c)
	defer c.Conn.Close()
	defer c.done.Wait()
	defer cancel()
	before := make(chan struct{})
	close(before)
	for c.awaitRequest() {
		x := &Exchange{Arrived: time.Now(), conn: c}
		status, err := c.read(x)
		if err != nil && status == 0 {
			return
		}
		if !c.begin() {
			time.Sleep(crossedPause)
			return
		}
		after := make(chan struct{})
		c.ahead <- struct{}{}
		c.done.Add(1)
		go c.run(ctx, x, status, err, before, after)
		before = after
		if err != nil || x.Request.ConnectionClose() {
			c.awaitEnd()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It gives up when the
// stream ends or the connection has been idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		if c.Conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout)) != nil {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idleTooLong() {
			return false
		}
	}
}

func (c *conn) idleTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last || c.pending == 0 && time.Since(c.quietSince) >= c.limits.IdleTimeout
}

// awaitEnd reads on until the stream ends or all requests are answered, so
// that a peer who leaves is noticed.
func (c *conn) awaitEnd() {
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	go func() {
		c.done.Wait()
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // only a closed connection fails
	}()
	// However it ends, the deferred cancel tells the handlers.
	io.CopyN(io.Discard, c.br, lingerBytes) //nolint:errcheck // any end will do
}

// read reads one request. On an error, status is what the peer should be told,
// or 0 if it cannot be told anything.
func (c *conn) read(x *Exchange) (status int, err error) {
	c.limits = c.s.opts.Limits().withDefaults()
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limits.HeaderTimeout)); err != nil {
		return 0, err
	}
	if err := checkStart(c.br); err != nil {
		return statusOf(err), err
	}
	if err := x.Request.Header.Read(c.br); err != nil {
		return statusOf(err), err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	if x.Request.MayContinue() {
		if err := c.write([]byte(continueAnswer)); err != nil {
			return 0, err
		}
	}
	if err := x.Request.ContinueReadBody(c.br, c.limits.BodyBytes, false); err != nil {
		return statusOf(err), err
	}
	return 0, nil
}

var errBareLineFeed = errors.New("a header line ends with a bare line feed")

// checkStart looks at the request line. The codec waits for an empty line that
// ends with CR LF and would wait in vain where lines end with LF alone.
func checkStart(br *bufio.Reader) error {
	buf, _ := br.Peek(br.Buffered())
	for i, b := range buf {
		if b != '\n' {
			continue
		}
		if i == 0 || buf[i-1] != '\r' {
			return errBareLineFeed
		}
		return nil
	}
	return nil
}

func statusOf(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, os.ErrDeadlineExceeded):
		return 0
	}
	var ne net.Error
	if errors.As(err, &ne) {
		return 0
	}
	return fasthttp.StatusBadRequest
}

// begin counts a request as handed out. It reports false behind an answer that
// has asked for the connection's close.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		return false
	}
	c.pending++
	c.s.active.Add(1)
	return true
}

// run answers one request, after the answer to the one before it.
func (c *conn) run(ctx context.Context, x *Exchange, status int, err error, before <-chan struct{}, after chan<- struct{}) {
	defer c.done.Done()
	defer close(after)
	defer func() { <-c.ahead }()
	defer c.s.active.Add(-1)
	if c.s.opts.Stopping() {
		// An answer cannot pass the one before it, which may not come before the
		// end. A request that has not been handed out can be repeated elsewhere.
		<-before
	}
	switch {
	case err != nil:
		c.s.opts.Reject(x, status, err)
	case ctx.Err() == nil:
		c.s.opts.Handle(ctx, x)
	}
	<-before
	closing := c.end(err != nil || x.Request.ConnectionClose())
	if ctx.Err() != nil {
		return
	}
	if closing {
		x.Response.Header.SetConnectionClose()
	}
	x.Response.Header.SetNoDefaultContentType(true)
	if x.Request.Header.IsHead() {
		x.Response.SkipBody = true
	}
	if c.send(x) != nil {
		c.Conn.Close()
		return
	}
	if closing {
		c.closeWrite()
	}
}

// end counts a request as answered and reports whether its answer is the
// connection's last. While others are behind it, it is not.
func (c *conn) end(forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.quietSince = time.Now()
	if forced || c.pending == 0 && c.s.opts.Stopping() {
		c.last = true
	}
	return c.last
}

func (c *conn) send(x *Exchange) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := x.Response.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

func (c *conn) write(p []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Conn.Write(p)
	return err
}

func (c *conn) interim() error { return c.write([]byte(interimAnswer)) }

// closeWrite tells the peer that no more answers come; the reader goes on
// until the peer closes its side or the linger time ends.
func (c *conn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite() //nolint:errcheck // the connection is closed in any case
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // only a closed connection fails
}
