package ingress

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Limits on discarding data that a refused caller is still sending.
const (
	lingerTime  = 5 * time.Second
	lingerBytes = MaxBodyBytes
)

// callerListener sets a deadline for each write rather than for each response,
// because large responses may take a long time.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	// linger is set if the caller may still be sending a refused body. Closing the
	// connection immediately would reset it, and the refusal would be lost.
	linger atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. If linger is set, it first discards incoming data,
// limited by lingerTime and lingerBytes.
func (c *callerConn) Close() error {
	if c.linger.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *callerConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes) //nolint:errcheck // the connection is closed in any case
}
