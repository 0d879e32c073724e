package fabric

import (
	"net"
	"sync"
	"sync/atomic"
)

// copySize is the buffer of one direction, in bytes.
const copySize = 16 << 10

// conn is one connection on its way through the fabric.
type conn struct {
	pair   pair
	client net.Conn
	server net.Conn
	silent atomic.Bool
}

// run copies both ways until both ends are done.
func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(c.server, c.client) })
	wg.Go(func() { c.copy(c.client, c.server) })
	wg.Wait()
	c.close()
}

// copy passes bytes on. Once the connection is silent, bytes and ends of
// streams are swallowed, so neither side learns anything of the other.
func (c *conn) copy(dst, src net.Conn) {
	buf := make([]byte, copySize)
	for {
		n, err := src.Read(buf)
		if c.silent.Load() {
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
