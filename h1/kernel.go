package h1

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryshed/gooseberryshed/memory"
)

// callerSocketBytes bounds what the kernel buffers for a caller's connection in each
// direction, which counts against the process as well. It carries 10 Mbit/s over a round
// trip of 50 ms. The buffers of other daemons' connections, which cross data centres, are
// left to the kernel.
const callerSocketBytes = 64 << 10

// boundSocket bounds the kernel's buffers of a caller's connection.
func boundSocket(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// If this fails, the kernel's own bounds hold.
		tcp.SetReadBuffer(callerSocketBytes)  //nolint:errcheck // see above
		tcp.SetWriteBuffer(callerSocketBytes) //nolint:errcheck // see above
	}
}

// reset closes a connection at once, with what the kernel still holds for it.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // it is closed in any case
	}
	nc.Close()
}

// unread is what the kernel holds of responses that the peer has not received. As long as
// there is any, the connection counts as one that is being written to.
type unread struct {
	mu      sync.Mutex
	lease   *memory.Lease
	pending bool
}

// record counts what the kernel holds after a response has been written.
func (u *unread) record(c *conn) {
	held := c.unsentBytes()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lease == nil {
		u.lease = c.peer.Lease()
	}
	if n := held - u.lease.Bytes(); n < 0 {
		u.lease.Shrink(-n)
	} else if n > 0 {
		// If there is no memory, the connection has it all the same, for a short time.
		victims, _ := u.lease.Grow(time.Now(), n) //nolint:errcheck // see above
		memory.CloseAll(victims)
	}
	switch {
	case held > 0 && !u.pending:
		u.pending = true
		c.peer.Begin(time.Now())
	case held == 0 && u.pending:
		u.pending = false
		c.peer.End()
	}
}

// restart begins a new measurement for the next response, so that a caller who has read the
// last one counts as slow only for what follows.
func (u *unread) restart(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pending {
		u.pending = false
		c.peer.End()
	}
}

// settled updates the count and reports whether the kernel holds nothing.
func (u *unread) settled(c *conn) bool {
	u.mu.Lock()
	pending := u.pending
	u.mu.Unlock()
	if !pending {
		return true
	}
	u.record(c)
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.pending
}

// end returns the memory when the connection has ended.
func (u *unread) end(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lease != nil {
		u.lease.Release()
	}
	if u.pending {
		u.pending = false
		c.peer.End()
	}
}

// unsentBytes returns the bytes that have been written to the connection and that the peer
// has not acknowledged.
func (c *conn) unsentBytes() int64 {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	held := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			held = n
		}
	})
	if err != nil {
		return 0 // closed
	}
	return int64(held)
}
