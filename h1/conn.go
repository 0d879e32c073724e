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

	"github.com/gooseberryshed/gooseberryshed/bodybuf"
	"github.com/gooseberryshed/gooseberryshed/memory"
)

const (
	// maxPipelined limits the number of active requests on one connection; the
	// reader blocks at the limit.
	maxPipelined = 32
	// writeTimeout limits the time in which a peer that reads nothing is waited for. What
	// it reads gives it more time, see Limits.MinRate.
	writeTimeout = 30 * time.Second
	// lingerTime and lingerBytes limit the data that is read and discarded after
	// the last response on a connection, which may also be the rest of a body within
	// the limits. Closing a connection with unread data would reset it, and the
	// response might be lost.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// lateRequestDelay is how long a connection stays open after a request arrives
	// that was sent before the peer received the last response: long enough for
	// that response to arrive, short enough for the peer to detect without delay
	// that the request was not accepted.
	lateRequestDelay = 50 * time.Millisecond
	// firstRequestTime is how long after a connection was accepted its first
	// request is expected.
	firstRequestTime = 250 * time.Millisecond
	// closeTime is how long a peer may take to read the last response and close
	// the connection before the process ends, which resets it.
	closeTime = 100 * time.Millisecond
	// writeBufferBytes suffices for a typical response header and a small body.
	writeBufferBytes = 4 << 10
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// conn is a connection from a peer.
type conn struct {
	net.Conn
	s        *Server
	limits   Limits
	br       *bufio.Reader
	slots    chan struct{}
	handlers sync.WaitGroup

	acceptedAt time.Time
	// peer is the connection in the server's account of memory, and buffers the memory of
	// br and bw.
	peer    *memory.Peer
	buffers *memory.Lease
	unread  unread
	// body is the pace of the body that is being read while bodyMoving is set, and answer
	// that of the response that is being written, guarded by writeMu.
	body, answer pace
	bodyMoving   bool
	// first is the first byte of a request that arrived while there was no buffer.
	first    [1]byte
	hasFirst bool

	mu sync.Mutex
	// served is set when the first request has been accepted, and reading while a
	// request is being read.
	served, reading bool
	// pending counts the requests that have been accepted and not yet answered.
	pending int
	// unsent counts the requests whose response has not been sent.
	unsent int
	// closing is set once a response with "Connection: close" is due or was sent.
	closing bool
	// idleSince is the time at which the last request was answered.
	idleSince time.Time

	writeMu sync.Mutex
	bw      *bufio.Writer
}

// newConn returns a connection, or nil if there is no memory for it.
func newConn(s *Server, nc net.Conn) *conn {
	limits := s.opts.Limits().withDefaults()
	c := &conn{
		Conn:       nc,
		s:          s,
		limits:     limits,
		slots:      make(chan struct{}, maxPipelined),
		acceptedAt: time.Now(),
		idleSince:  time.Now(),
	}
	peer, victims, err := s.opts.Memory.Connect(time.Now(), s.opts.Origin, c.evict)
	memory.CloseAll(victims)
	if err != nil {
		return nil
	}
	if s.opts.Origin == memory.FromCaller {
		boundSocket(nc)
	}
	c.peer = peer
	c.buffers = peer.Lease()
	return c
}

// evict closes the connection to make room for others.
func (c *conn) evict() {
	held, rate := c.peer.Closed()
	c.s.opts.Evicted(c.Conn.RemoteAddr().String(), held, rate)
	reset(c.Conn)
}

// unsettled reports whether a request is expected or unanswered, or the peer may
// not have read the last response yet.
func (c *conn) unsettled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return c.pending > 0 || now.Sub(c.idleSince) < closeTime
	}
	return c.pending > 0 || c.reading || !c.served && now.Sub(c.acceptedAt) < firstRequestTime
}

// setReading marks that a request has begun to arrive.
func (c *conn) setReading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = on
}

// serve reads requests until the stream ends and runs each in a goroutine.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer c.peer.Disconnect()
	defer c.unread.end(c)
	defer c.dropBuffers()
	defer c.s.remove(c)
	defer c.Conn.Close()
	defer c.handlers.Wait()
	defer cancel()
	previous := make(chan struct{})
	close(previous)
	for c.awaitRequest() {
		x := &Exchange{ReceivedAt: time.Now(), conn: c, lease: c.peer.Lease()}
		c.setReading(true)
		status, err := c.read(x)
		if err != nil && status == 0 {
			x.release()
			return
		}
		if !c.begin() {
			x.release()
			time.Sleep(lateRequestDelay)
			return
		}
		last := err != nil || x.Request.ConnectionClose() // read before the handler may change the request
		answered := make(chan struct{})
		c.slots <- struct{}{}
		c.handlers.Add(1)
		go c.run(ctx, x, status, err, previous, answered)
		previous = answered
		if last {
			c.awaitPeerClose()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the
// stream ends, the idle timeout expires or there is no memory for a request.
func (c *conn) awaitRequest() bool {
	if c.br != nil && c.br.Buffered() > 0 {
		return true
	}
	for {
		wait := c.limits.IdleTimeout
		if c.br != nil {
			wait = min(wait, keepBuffers)
		}
		if c.Conn.SetReadDeadline(time.Now().Add(wait)) != nil {
			return false
		}
		var err error
		if c.br != nil {
			_, err = c.br.Peek(1)
		} else {
			err = c.readFirst()
		}
		if err == nil {
			return c.br != nil || c.takeBuffers()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idleExpired() {
			return false
		}
		if c.br != nil && c.unread.settled(c) && c.idle() {
			c.dropBuffers()
		}
	}
}

// idle reports whether all responses have been sent and more requests may come.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent == 0 && !c.closing
}

func (c *conn) idleExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := time.Since(c.idleSince)
	return c.closing && idle >= lingerTime || c.pending == 0 && idle >= c.limits.IdleTimeout
}

// awaitPeerClose reads until the stream ends or all requests are answered, so
// that a disconnect of the peer is detected.
func (c *conn) awaitPeerClose() {
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	go func() {
		c.handlers.Wait()
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // only a closed connection fails
	}()
	// In any case, the deferred cancel in serve notifies the handlers.
	io.CopyN(io.Discard, c.br, max(lingerBytes, int64(c.limits.BodyBytes))) //nolint:errcheck // any error ends the connection
}

// read reads one request. On an error, status is the HTTP status to respond with,
// or 0 if no response can be sent.
func (c *conn) read(x *Exchange) (status int, err error) {
	c.limits = c.s.opts.Limits().withDefaults()
	x.limits = c.limits
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limits.HeaderTimeout)); err != nil {
		return 0, err
	}
	if _, err := c.br.Peek(1); err != nil {
		return statusOf(err), err
	}
	if err := checkRequestLine(c.br); err != nil {
		return statusOf(err), err
	}
	if err := x.Request.Header.Read(c.br); err != nil {
		return statusOf(err), err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout)); err != nil {
		return 0, err
	}
	c.peer.Served()
	if err := c.takeHeader(x); err != nil {
		return statusOf(err), err
	}
	if x.Request.MayContinue() {
		if err := c.write([]byte(continueResponse)); err != nil {
			return 0, err
		}
	}
	return c.readBody(x)
}

var errBareLineFeed = errors.New("a header line ends with a bare line feed")

// checkRequestLine rejects a request line that does not end with CR LF. The parser
// waits for an empty line ending with CR LF, which never arrives if the peer ends
// lines with LF only.
func checkRequestLine(br *bufio.Reader) error {
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
	case errors.Is(err, errBodyMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, bodybuf.ErrTooLarge):
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

// begin counts a request as accepted. It returns false after a response with
// "Connection: close".
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.unsent++
	c.served, c.reading = true, false
	c.s.active.Add(1)
	return true
}

// run handles one request and sends its response after the previous one.
func (c *conn) run(ctx context.Context, x *Exchange, status int, err error, previous <-chan struct{}, answered chan<- struct{}) {
	defer c.handlers.Done()
	defer close(answered)
	defer func() { <-c.slots }()
	defer c.s.active.Add(-1)
	defer c.sent()
	defer x.release()
	if c.s.opts.Stopping() {
		// A response must wait for the previous one, which may not be ready
		// before the server stops. A request that has not been passed to the
		// handler can safely be retried elsewhere.
		<-previous
	}
	switch {
	case err != nil:
		c.s.opts.ErrorHandler(x, status, err)
	case ctx.Err() == nil:
		c.s.opts.Handler(ctx, x)
	}
	<-previous
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
	started := time.Now()
	if c.send(x) != nil {
		reset(c.Conn)
		return
	}
	x.sent = true
	if c.s.opts.OnSent != nil {
		c.s.opts.OnSent(len(x.Response.Body()), time.Since(started))
	}
	if closing {
		c.closeWrite()
	}
}

// end counts a request as answered and reports whether its response is the last
// on the connection. Unless forced, it is not while other requests are pending.
func (c *conn) end(forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	if forced || c.pending == 0 && c.s.opts.Stopping() {
		c.closing = true
	}
	return c.closing
}
