package link

import (
	"net"
	"syscall"
)

// PeerState is the result of a non-blocking peek at a connection.
type PeerState int

const (
	// PeerIdle means that the connection is open and has no unread bytes.
	PeerIdle PeerState = iota + 1
	// PeerReadable means that the connection has unread bytes.
	PeerReadable
	// PeerClosed means that the peer has closed or reset the connection.
	PeerClosed
)

// Peek checks a connection without blocking and without consuming bytes. It
// returns PeerIdle for a connection without a file descriptor.
func Peek(c net.Conn) PeerState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeerIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeerClosed
	}
	state := PeerClosed
	err = raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) })
	if err != nil {
		return PeerClosed
	}
	return state
}

func peekDescriptor(fd int) PeerState {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return PeerReadable
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return PeerIdle
	default:
		return PeerClosed
	}
}
