package link

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection and the state of its current exchange.
type conn struct {
	net.Conn
	addr      string
	created   time.Time
	idleSince time.Time
	reused    bool

	br *bufio.Reader
	bw *bufio.Writer

	// mu guards interrupted against the deadlines that reads set.
	mu          sync.Mutex
	interrupted bool

	// received counts the bytes of the current exchange's answer.
	received int64
	// deadline bounds reading until the header is complete; zero is none.
	deadline time.Time
	// readTimeout bounds each single read; 0 is none.
	readTimeout time.Duration
	// readErr and writeErr are the first failures of the socket.
	readErr  error
	writeErr error
}

// errInterrupted ends reads and writes after interrupt.
var errInterrupted = errors.New("interrupted")

// Read reads from the socket under the bounds of the exchange.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.armDeadline(c.Conn.SetReadDeadline); err != nil {
		return 0, c.failRead(err)
	}
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	if err != nil {
		return n, c.failRead(err)
	}
	return n, nil
}

// armDeadline sets the deadline of the next operation, unless it was interrupted.
func (c *conn) armDeadline(set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return errInterrupted
	}
	return set(c.nextDeadline())
}

// interrupt ends the operation under way and all later ones.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.Conn.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // only a closed connection fails
}

// Write writes to the socket and remembers a failure.
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

// bufferPool keeps the buffers of connections that have no exchange, so that
// an idle connection holds none.
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
