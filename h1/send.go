package h1

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// sent counts a request as over.
func (c *conn) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent--
}

func (c *conn) send(x *Exchange) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	now := time.Now()
	c.unread.restart(c)
	c.peer.Begin(now)
	defer c.peer.End()
	c.answer = pace{begun: now, grace: min(x.limits.IdleTimeout, writeTimeout), rate: x.limits.MinRate}
	if err := x.Response.Write(c.bw); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	if c.answer.moved > writeBufferBytes {
		c.unread.record(c)
	}
	return nil
}

func (c *conn) write(p []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Conn.Write(p)
	return err
}

func (c *conn) sendInterim(status int) error {
	return c.write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n\r\n", status, fasthttp.StatusMessage(status)))
}

// closeWrite shuts down the write side of the connection. The reader continues
// until the peer closes its side or lingerTime has passed.
func (c *conn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite() //nolint:errcheck // the connection is closed in any case
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // only a closed connection fails
}

// writePiece is how much of a response is written under one deadline.
const writePiece = 64 << 10

// pacedWriter writes responses to a connection under their time limit.
type pacedWriter struct{ *conn }

func (w pacedWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		if err := w.Conn.SetWriteDeadline(w.answer.deadline()); err != nil {
			return written, err
		}
		n, err := w.Conn.Write(p[:min(len(p), writePiece)])
		written += n
		w.answer.moved += int64(n)
		w.peer.Moved(time.Now(), int64(n))
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
