package overload

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed reports whether the peer has closed its side of a connection, whether or not
// there are unread bytes.
func peerClosed(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != tcpEstablished
	})
	return closed || err != nil
}

// tcpEstablished is TCP_ESTABLISHED of Linux.
const tcpEstablished = 1
