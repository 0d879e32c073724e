package link

import (
	"net"
	"syscall"
)

// PeerState is what a non-blocking look at a connection shows.
type PeerState int

const (
	// PeerQuiet means that the connection is open and has no unread bytes.
	PeerQuiet PeerState = iota + 1
	// PeerSpoke means that unread bytes are waiting.
	PeerSpoke
	// PeerClosed means that the peer has closed or reset the connection.
	PeerClosed
)

// Peek looks at a connection without blocking and without taking bytes from
// it. A connection without a file descriptor counts as quiet.
func Peek(c net.Conn) PeerState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeerQuiet
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
		return PeerSpoke
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return PeerQuiet
	default:
		return PeerClosed
	}
}
