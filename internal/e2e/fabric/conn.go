package fabric

import (
	"net"
	"sync"
	"sync/atomic"
)

// copyBufferSize is the buffer size per direction, in bytes.
const copyBufferSize = 16 << 10

// conn is one proxied connection.
type conn struct {
	pair       pair
	client     net.Conn
	server     net.Conn
	blackholed atomic.Bool
}

// run relays both directions until both have ended.
func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.relay(c.server, c.client) })
	wg.Go(func() { c.relay(c.client, c.server) })
	wg.Wait()
	c.close()
}

// relay copies src to dst. Once the connection is black-holed, data and EOF are
// discarded, so neither side can detect that the other is gone.
func (c *conn) relay(dst, src net.Conn) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if c.blackholed.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			dst.Close()
			return
		}
	}
}

func (c *conn) close() {
	c.client.Close()
	c.server.Close()
}
