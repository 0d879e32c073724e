package h1

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Callers that connect all the time, one request a connection, get an answer or
// cannot connect when the listener is closed.
func TestCloseListenerCutsNoRequest(t *testing.T) {
	t.Parallel()
	for range 5 {
		l, err := Listen("127.0.0.1:0")
		assert.NilError(t, err)
		var stopping atomic.Bool
		s := New(Options{Handler: echo, Stopping: stopping.Load})
		go s.Serve(l) //nolint:errcheck // ends with the listener
		var callers sync.WaitGroup
		for range 32 {
			callers.Go(func() {
				for {
					c, err := net.DialTimeout("tcp", l.Addr().String(), 3*time.Second)
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					if err != nil {
						t.Error(err)
						return
					}
					if err := callOnce(c); err != nil {
						t.Errorf("connected, but: %v", err)
						return
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		stopping.Store(true)
		assert.NilError(t, CloseListener(l))
		for end := time.Now().Add(2 * time.Second); !s.Settled(); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "the server does not settle")
		}
		s.Close()
		callers.Wait()
	}
}

func callOnce(c net.Conn) error {
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return err
	}
	client := &fasthttp.HostClient{Dial: func(string) (net.Conn, error) { return c, nil }, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://h/1")
	return client.Do(req, resp)
}

// A server is not settled while a request is on its way or unanswered.
func TestSettled(t *testing.T) {
	release := make(chan struct{})
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var stopping atomic.Bool
	s := New(Options{Stopping: stopping.Load, Handler: func(ctx context.Context, x *Exchange) { <-release; echo(ctx, x) }})
	go s.Serve(l) //nolint:errcheck // ends with the listener
	defer s.Close()
	assert.Assert(t, s.Settled())
	c, br := dial(t, l.Addr().String())
	await(t, "the connection counts", func() bool { return !s.Settled() })
	await(t, "it does no longer without a request", s.Settled)
	_, err = c.Write([]byte("GET /1 HTT"))
	assert.NilError(t, err)
	await(t, "part of a request counts", func() bool { return !s.Settled() })
	time.Sleep(2 * firstRequestTime)
	assert.Assert(t, !s.Settled())
	_, err = c.Write([]byte("P/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, !s.Settled())
	stopping.Store(true)
	close(release)
	assert.Equal(t, string(read(t, br).Body()), "/1")
	await(t, "all is answered", s.Settled)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}
