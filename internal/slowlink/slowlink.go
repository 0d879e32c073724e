// Package slowlink forwards connections at the rate of a slow link, for tests.
package slowlink

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// TenMegabit is the rate of a link of 10 Mbit/s in bytes a second.
const TenMegabit = 10e6 / 8

const (
	// chunk is what a link carries at once, and window what a sender may have under way, in
	// bytes.
	chunk  = 4 << 10
	window = 16 << 10
)

// Link forwards the connections to one address. What they carry back is limited together.
type Link struct {
	listener net.Listener
	to       string
	limiter  *rate.Limiter
	ctx      context.Context
	stop     context.CancelFunc
}

// Start listens on an address and forwards to another one. bytesPerSecond is the rate at which
// the far side is received.
func Start(listen, to string, bytesPerSecond float64) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "slow link")
	}
	l := &Link{listener: listener, to: to, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunk)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	go l.accept()
	return l, nil
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.stop()
	l.listener.Close()
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			near.Close()
			continue
		}
		context.AfterFunc(l.ctx, func() { near.Close(); far.Close() })
		go l.carry(near, far, nil)
		go l.carry(far, near, l.limiter)
	}
}

// carry copies one direction of a connection.
func (l *Link) carry(from, to net.Conn, limiter *rate.Limiter) {
	defer from.Close()
	defer to.Close()
	from.(*net.TCPConn).SetReadBuffer(window) //nolint:errcheck // it may be closed
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && limiter != nil && limiter.WaitN(l.ctx, n) != nil {
			return
		}
		if _, failed := to.Write(buf[:n]); failed != nil || err != nil {
			return
		}
	}
}
