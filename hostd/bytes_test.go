package hostd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Guards against a target that dies again of the same load: its gate learns how many bytes
// it held, also for the next incarnation, and refuses more, as not run.
func TestDeathOfATargetBoundsTheBytesAtIt(t *testing.T) {
	const uploads, uploadBytes = 4, 100 << 10
	g, _ := newTestGate(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	arrived := make(chan net.Conn, uploads)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) == nil {
					arrived <- c
				}
			}()
		}
	}()
	h := newHeartbeat("a", 1, 1, false)
	h.Slots, h.Address = uploads, l.Addr().String()
	g.applyHeartbeat(h, time.Now())
	upload := func(i, n int) Reply {
		req := &fasthttp.Request{}
		req.Header.SetMethod("POST")
		req.Header.SetRequestURI("/r")
		req.Header.SetHost("h")
		req.SetBodyRaw(make([]byte, n))
		return g.Forward(context.Background(), Forward{Attempt: fmt.Sprint("upload-", i), Target: "a", TimeLeftMs: 5000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
	}
	replies := make(chan Reply, uploads)
	for i := range uploads {
		go func() { replies <- upload(i, uploadBytes) }()
	}
	var conns []net.Conn
	for range uploads {
		conns = append(conns, <-arrived)
	}
	l.Close()
	for _, c := range conns {
		c.Close()
	}
	for range uploads {
		r := <-replies
		assert.Assert(t, r.Refusal != nil && r.Refusal.Run != wire.NotRun)
	}
	bound := func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.target.bytes.Bound(time.Now())
	}
	for end := time.Now().Add(5 * time.Second); bound() == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the death taught nothing")
	}
	assert.Equal(t, bound(), int64(uploads*uploadBytes*3/4))

	l, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close() // it answers nothing
		}
	}()
	h = newHeartbeat("a", 2, 1, false)
	h.Slots, h.Address = uploads, l.Addr().String()
	g.applyHeartbeat(h, time.Now())
	assert.Equal(t, bound(), int64(uploads*uploadBytes*3/4))
	for i := range uploads - 1 {
		go upload(10+i, uploadBytes)
	}
	inFlight := func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.target.bytes.InFlight()
	}
	for end := time.Now().Add(5 * time.Second); inFlight() != (uploads-1)*uploadBytes; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes in flight", inFlight())
	}
	r := upload(20, uploadBytes)
	assert.Assert(t, r.Refusal != nil)
	assert.Equal(t, r.Refusal.Run, wire.NotRun)
	assert.Equal(t, r.Refusal.Reason, wire.ReasonBusy)
}
