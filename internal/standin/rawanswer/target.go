package rawanswer

import (
	"bufio"
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Script returns the bytes to send for the n-th request on a connection (from 1), the size of
// the pieces in which they are sent (0 sends them at once), and whether the connection is
// then closed.
type Script func(h *fasthttp.RequestHeader, n int) (answer string, piece int, last bool)

// Target serves connections with a Script.
type Target struct {
	ln     net.Listener
	script Script
	// Requests counts the requests that have arrived, Conns the connections, and Closed
	// those that the peer closed first.
	Requests, Conns, Closed atomic.Int64
}

// Start starts a target on a loopback port. Close stops it.
func Start(script Script) (*Target, error) { return StartAt("127.0.0.1:0", script) }

// StartAt starts a target at an address.
func StartAt(addr string, script Script) (*Target, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &Target{ln: ln, script: script}
	go t.accept()
	return t, nil
}

// Addr returns the address of the target.
func (t *Target) Addr() string { return t.ln.Addr().String() }

// Close stops accepting connections.
func (t *Target) Close() { t.ln.Close() }

func (t *Target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.Conns.Add(1)
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		var req fasthttp.Request
		if req.Read(br) != nil {
			t.Closed.Add(1)
			return
		}
		t.Requests.Add(1)
		answer, piece, last := t.script(&req.Header, n)
		if !send(c, answer, piece) {
			t.Closed.Add(1)
			return
		}
		if last {
			return
		}
	}
}

func send(c net.Conn, answer string, piece int) bool {
	if piece <= 0 {
		piece = max(len(answer), 1)
	}
	for len(answer) > 0 {
		n := min(piece, len(answer))
		if _, err := c.Write([]byte(answer[:n])); err != nil {
			return false
		}
		answer = answer[n:]
	}
	return true
}
