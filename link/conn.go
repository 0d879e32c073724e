package link

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// conn is a connection and the state of its current exchange.
type conn struct {
	net.Conn
	addr      string
	created   time.Time
	idleSince time.Time
	reused    bool

	br *bufio.Reader
	bw *bufio.Writer

	// mu guards interrupted and the setting of deadlines, so that a later
	// operation cannot replace the deadline set by interrupt.
	mu          sync.Mutex
	interrupted bool

	// received counts the response bytes of the current exchange, and so does meter, if any.
	received int64
	meter    *transfer.Meter
	// deadline applies until the response header is complete; zero means none.
	deadline time.Time
	// readTimeout limits each single read; 0 means none.
	readTimeout time.Duration
	// readErr and writeErr are the first errors of the socket.
	readErr  error
	writeErr error
}

// errInterrupted is returned by reads and writes after interrupt.
var errInterrupted = errors.New("exchange interrupted")

// Read implements io.Reader with the time limits of the exchange.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.armDeadline(c.Conn.SetReadDeadline); err != nil {
		return 0, c.failRead(err)
	}
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	c.meter.Add(n)
	if err != nil {
		return n, c.failRead(err)
	}
	return n, nil
}

// armDeadline sets the deadline of the next operation, or fails after interrupt.
func (c *conn) armDeadline(set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return errInterrupted
	}
	return set(c.nextDeadline())
}

// interrupt aborts the current operation and makes all later ones fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.Conn.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
}

// Write implements io.Writer and records the first error.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *conn) failRead(err error) error {
	if c.readErr == nil {
		c.readErr = err
	}
	return err
}

func (c *conn) nextDeadline() time.Time {
	if c.readTimeout <= 0 {
		return c.deadline
	}
	t := time.Now().Add(c.readTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}
	return t
}

// bufferPool holds read and write buffers, which are attached to a connection only
// during an exchange. Idle connections hold none.
type bufferPool struct {
	readers sync.Pool
	writers sync.Pool
	size    int
}

const writeBufferBytes = 4 << 10

func (b *bufferPool) attach(c *conn) {
	if br, ok := b.readers.Get().(*bufio.Reader); ok {
		br.Reset(c)
		c.br = br
	} else {
		c.br = bufio.NewReaderSize(c, b.size)
	}
	if bw, ok := b.writers.Get().(*bufio.Writer); ok {
		bw.Reset(c)
		c.bw = bw
	} else {
		c.bw = bufio.NewWriterSize(c, writeBufferBytes)
	}
}

func (b *bufferPool) detach(c *conn) {
	c.br.Reset(nil)
	c.bw.Reset(nil)
	b.readers.Put(c.br)
	b.writers.Put(c.bw)
	c.br, c.bw = nil, nil
}
