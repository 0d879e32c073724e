package h1

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is how long a handshake that has begun may take to complete
	// after new ones are ignored: several round trips between data centres.
	handshakeTime = 10 * time.Millisecond
	// drainTimeout bounds the wait for established connections to be accepted.
	drainTimeout    = 200 * time.Millisecond
	drainPollPeriod = time.Millisecond
)

// CloseListener closes a listener on which Serve accepts connections. Closing it
// alone would reset the connections that the kernel has established and that have
// not been accepted yet, together with the requests on them. Therefore new
// handshakes are ignored first, and the listener is closed when all established
// connections have been accepted. A caller whose handshake is ignored repeats it
// and is then refused, without having sent a request.
//
// The listener is closed in any case; an error means that connections may have
// been reset.
func CloseListener(l net.Listener) error {
	err := drainBacklog(l)
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "close the listener on %s", l.Addr())
}

func drainBacklog(l net.Listener) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return errors.Errorf("%T has no socket", l)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if err := control(raw, ignoreHandshakes); err != nil {
		return errors.Wrap(err, "ignore new handshakes")
	}
	time.Sleep(handshakeTime)
	for end := time.Now().Add(drainTimeout); ; time.Sleep(drainPollPeriod) {
		var waiting uint32
		err := control(raw, func(fd int) error {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil {
				waiting = info.Unacked // of a listener: connections not accepted yet
			}
			return err
		})
		if err != nil || waiting == 0 {
			return errors.Wrap(err, "read the length of the backlog")
		}
		if time.Now().After(end) {
			return errors.Errorf("%d connections were not accepted within %s", waiting, drainTimeout)
		}
	}
}

// control runs f with a socket's file descriptor.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}

// Offset and bit of the SYN flag in the TCP header, at which socket filters start.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// ignoreHandshakes makes a listening socket drop the first packet of handshakes.
func ignoreHandshakes(fd int) error {
	const acceptPacket = 1 << 18 // bytes to keep, more than any packet has
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
