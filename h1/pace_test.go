package h1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/memory"
)

// Guards against a caller that loses its idle connection, or a request on it, when the
// buffers of the connection are dropped.
func TestIdleConnectionWithoutBuffersServesOn(t *testing.T) {
	account := memory.NewAccount(memory.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 10, CallerConnections: 10})
	addr := serve(t, Options{Handler: echo, Memory: account})
	c, br := dial(t, addr)
	for range 2 {
		_, err := io.WriteString(c, get("/one")+get("/two"))
		assert.NilError(t, err)
		assert.Equal(t, string(read(t, br).Body()), "/one")
		assert.Equal(t, string(read(t, br).Body()), "/two")
		assert.Assert(t, account.Stats().Used > memory.ConnectionBytes)
		for end := time.Now().Add(5 * time.Second); account.Stats().Used != memory.ConnectionBytes; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "an idle connection holds %d bytes", account.Stats().Used)
		}
	}
}

// Guards against a body that is sent for ever, a few bytes at a time, and against a bound
// that cuts a body which takes long because it is long.
func TestBodyHasAMinimumRate(t *testing.T) {
	const idle = 300 * time.Millisecond
	addr := serve(t, Options{Handler: echo, Limits: func() Limits { return Limits{IdleTimeout: idle, MinRate: 10_000} }})
	send := func(piece int) (sent int, err error) {
		c, br := dial(t, addr)
		_, err = fmt.Fprintf(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 30*piece)
		assert.NilError(t, err)
		for range 30 {
			if _, err := c.Write(make([]byte, piece)); err != nil {
				return sent, err
			}
			sent += piece
			time.Sleep(idle / 10)
		}
		_, err = br.Peek(1)
		return sent, err
	}
	_, err := send(2000) // 67 KB/s, for three times the idle time-out
	assert.NilError(t, err)
	_, err = send(10)
	assert.Assert(t, err != nil, "333 bytes a second were served")
}

// Guards against an answer that stays in memory because its caller does not read it.
func TestResponseThatIsNotReadEndsTheConnection(t *testing.T) {
	account := memory.NewAccount(memory.Limits{Bytes: 64 << 20, LargeBytes: 64 << 20, Connections: 10, CallerConnections: 10})
	addr := serve(t, Options{Memory: account, Limits: func() Limits { return Limits{IdleTimeout: 200 * time.Millisecond, MinRate: 1 << 30} },
		Handler: func(_ context.Context, x *Exchange) {
			l := account.Lease()
			l.Grow(time.Now(), 32<<20) //nolint:errcheck // there is room
			x.Hold(l)
			l.Release()
			x.Response.SetBodyRaw(make([]byte, 32<<20))
		}})
	c, _ := dial(t, addr)
	_, err := io.WriteString(c, get("/"))
	assert.NilError(t, err)
	for end := time.Now().Add(5 * time.Second); account.Stats().Used < 32<<20; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	for end := time.Now().Add(5 * time.Second); account.Stats().Used != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are still held", account.Stats().Used)
	}
}

// Guards against a slow sender that keeps others out: it is closed when memory is short,
// and what it sent does not reach the handler.
func TestSlowSenderIsClosedForOthers(t *testing.T) {
	const body = 600 << 10
	account := memory.NewAccount(memory.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 10, CallerConnections: 10})
	var handled, evicted atomic.Int64
	addr := serve(t, Options{Memory: account, Evicted: func(string, int64, float64) { evicted.Add(1) },
		Handler: func(_ context.Context, x *Exchange) { handled.Add(1) }})
	slow, slowReader := dial(t, addr)
	_, err := fmt.Fprintf(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, bytes.Repeat([]byte("x"), body-1))
	assert.NilError(t, err)
	for end := time.Now().Add(10 * time.Second); account.Stats().Used < body; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the slow sender's body is not read")
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		status, err := upload(addr, body, false)
		assert.NilError(t, err)
		if status == 200 {
			break
		}
		assert.Equal(t, status, 503)
		assert.Assert(t, time.Now().Before(end), "the slow sender is not closed")
	}
	_, err = slowReader.Peek(1)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the slow sender is still connected")
	assert.Equal(t, handled.Load(), int64(1))
	assert.Equal(t, evicted.Load(), int64(1))
}

// Guards against connections without number: one beyond the bound is closed at once, and
// those that are open, also when idle, serve on.
func TestConnectionsAreBounded(t *testing.T) {
	account := memory.NewAccount(memory.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 2, CallerConnections: 2})
	addr := serve(t, Options{Handler: echo, Memory: account})
	for range 2 {
		c, br := dial(t, addr)
		_, err := io.WriteString(c, get("/one"))
		assert.NilError(t, err)
		assert.Equal(t, string(read(t, br).Body()), "/one")
		defer func() {
			_, err := io.WriteString(c, get("/two"))
			assert.NilError(t, err)
			assert.Equal(t, string(read(t, br).Body()), "/two")
		}()
	}
	_, br := dial(t, addr)
	_, err := br.Peek(1)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, account.Stats().Unaccepted, int64(1))
}

// Guards against answers that the kernel holds for callers who do not read them: they count,
// and such a caller is closed when memory is short.
func TestAnswerInTheKernelCounts(t *testing.T) {
	const answer = 100 << 10 // the peer's kernel takes a part of it
	account := memory.NewAccount(memory.Limits{Bytes: 300 << 10, LargeBytes: 300 << 10, Connections: 10, CallerConnections: 10})
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := New(Options{Memory: account, Handler: func(_ context.Context, x *Exchange) { x.Response.SetBodyRaw(make([]byte, answer)) }})
	go s.Serve(l) //nolint:errcheck // ends with the listener
	defer s.Close()
	defer l.Close()
	c, br := dial(t, l.Addr().String())
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, get("/"))
	assert.NilError(t, err)
	const connection = memory.ConnectionBytes + DefaultHeaderBytes + writeBufferBytes
	for end := time.Now().Add(5 * time.Second); s.ActiveRequests() > 0 || account.Stats().Used < connection+20<<10; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes, %d requests", account.Stats().Used, s.ActiveRequests())
	}
	other := account.Lease()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		victims, err := other.Grow(time.Now(), 240<<10)
		memory.CloseAll(victims)
		if err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the caller is not closed")
	}
	_, err = io.Copy(io.Discard, br)
	assert.Assert(t, err != nil, "the answer was whole")
	for end := time.Now().Add(5 * time.Second); account.Stats().Used != 240<<10; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes", account.Stats().Used)
	}
}
