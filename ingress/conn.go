package ingress

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Bounds of taking in what a refused caller still sends.
const (
	lingerTime  = 5 * time.Second
	lingerBytes = MaxBodyBytes
)

// callerListener bounds each write instead of each answer, since large answers
// may take long.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	// linger is set when the caller may still be sending a refused body. Closed
	// at once, the connection would be reset and the refusal lost.
	linger atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It drops what the caller still sends, within
// bounds, if the connection lingers.
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
