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

// patientListener bounds each write instead of each answer, since large answers
// may take long.
type patientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &patientConn{Conn: conn}, nil
}

// patientConn is one connection of a caller.
type patientConn struct {
	net.Conn
	// linger is set when the caller may still be sending a refused body. Closed
	// at once, the connection would be reset and the refusal lost.
	linger atomic.Bool
}

// Write implements net.Conn.
func (c *patientConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It drops what the caller still sends, within
// bounds, if the connection lingers.
func (c *patientConn) Close() error {
	if c.linger.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *patientConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes) //nolint:errcheck // the connection is closed in any case
}
