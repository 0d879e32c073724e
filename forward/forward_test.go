package forward_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

type forwarderFunc func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error)

func (f forwarderFunc) Forward(ctx context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	return f(ctx, att, req)
}

func serve(t testing.TB, opts forward.ServerOptions) (addr string, s *forward.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if opts.Secrets == nil {
		opts.Secrets = []string{"new", "old"}
	}
	s = forward.NewServer(opts)
	go s.HTTP().Serve(ln) //nolint:errcheck
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), s
}

func client(t testing.TB, addr, secret string) *forward.Client {
	t.Helper()
	c := forward.NewClient(forward.ClientOptions{
		Address: func(host string) (string, bool) { return addr, host == "h" },
		Secrets: []string{secret},
	})
	t.Cleanup(c.Close)
	return c
}

func responseWith(body io.Reader, length int) *wire.Response {
	header := &fasthttp.ResponseHeader{}
	header.Set("X-Target", "1")
	return &wire.Response{
		Header: header, Length: length, Body: io.NopCloser(body),
		Epoch: wire.Epoch{Incarnation: 4, Generation: 5},
		Load:  wire.Load{InFlight: 2, Limit: 7, Revision: 9},
	}
}

func attempt() wire.Attempt {
	return wire.Attempt{
		ID: wire.NewID(), Epoch: wire.Epoch{Incarnation: 4, Generation: 3}, Service: "orders", Target: "h/a",
		Workspace: "w", KeyID: "k", Route: "/o", Revision: 8, Remaining: 5 * time.Second, Idempotent: true,
		Fingerprint: 1 << 63,
	}
}

func request() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("PUT")
	req.SetRequestURI("/o/%2e/x?q=a+b")
	req.Header.SetHost("shop")
	req.Header.Set("X-Request-Id", "r")
	req.Header.Set("Gooseberryshed-Route", "forged")
	req.SetBodyString("body")
	return req
}

func TestAttemptAndResponseRoundTrip(t *testing.T) {
	sent := attempt()
	for _, tc := range []struct {
		name     string
		size     int
		declared int
	}{
		{"empty", 0, 0}, {"small", 100, 100}, {"large", 1 << 20, 1 << 20}, {"unknown length", 70_000, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want := bytes.Repeat([]byte("x"), tc.size)
			addr, _ := serve(t, forward.ServerOptions{Forwarder: forwarderFunc(
				func(_ context.Context, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
					assert.Equal(t, att, sent)
					assert.Equal(t, string(req.Header.RequestURI()), "/o/%2e/x?q=a+b")
					assert.Equal(t, string(req.Header.Method()), "PUT")
					assert.Equal(t, string(req.Header.Host()), "shop")
					assert.Equal(t, string(req.Header.Peek("X-Request-Id")), "r")
					assert.Equal(t, string(req.Body()), "body")
					return responseWith(bytes.NewReader(want), tc.declared), nil
				})})
			response, err := client(t, addr, "old").Forward(context.Background(), "h", sent, request())
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
			assert.Equal(t, response.Length, tc.declared)
			assert.Equal(t, response.Load, wire.Load{InFlight: 2, Limit: 7, Revision: 9})
			assert.Equal(t, response.Epoch, wire.Epoch{Incarnation: 4, Generation: 5})
			assert.Equal(t, string(response.Header.Peek("X-Target")), "1")
			assert.Equal(t, len(response.Header.Peek("Gooseberryshed-Attempt")), 0)
		})
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	want := &wire.Refusal{
		Reason: wire.ReasonStaleEpoch, Run: wire.NotRun, Detail: "späť: \r\n%", RetryAfter: time.Second,
		Epoch: wire.Epoch{Incarnation: 1, Generation: 2}, Revision: 3, Load: wire.Load{InFlight: 1, Limit: 2, Revision: 3},
	}
	addr, _ := serve(t, forward.ServerOptions{Forwarder: forwarderFunc(
		func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) { return nil, want })})
	c := client(t, addr, "new")
	for range 2 {
		_, err := c.Forward(context.Background(), "h", attempt(), request())
		assert.DeepEqual(t, wire.AsRefusal(err), want)
	}
	assert.Equal(t, c.Stats().Connections.Reuses, int64(1))
}

func TestUnauthenticatedSenderIsRefused(t *testing.T) {
	addr, s := serve(t, forward.ServerOptions{Forwarder: forwarderFunc(
		func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) {
			t.Error("ran")
			return nil, wire.Refuse(wire.ReasonBusy, "")
		})})
	_, err := client(t, addr, "wrong").Forward(context.Background(), "h", attempt(), request())
	assert.Equal(t, wire.AsRefusal(err).Reason, wire.ReasonUnauthenticatedPeer)
	assert.Equal(t, wire.AsRefusal(err).Run, wire.NotRun)
	assert.Equal(t, s.Stats().Unauthentic, int64(1))
}

// truncatedReader returns an error after left bytes.
type truncatedReader struct{ left int }

func (r *truncatedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errors.New("target closed the connection")
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, tc := range []struct {
		name             string
		declared, served int
	}{
		{"small", 100, 50}, {"large", 1 << 20, 100_000}, {"unknown length", -1, 100_000}, {"unknown length, nothing", -1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := serve(t, forward.ServerOptions{Forwarder: forwarderFunc(
				func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) {
					return responseWith(&truncatedReader{left: tc.served}, tc.declared), nil
				})})
			response, err := client(t, addr, "new").Forward(context.Background(), "h", attempt(), request())
			if err == nil {
				_, err = io.ReadAll(response.Body)
			} else {
				assert.Equal(t, wire.AsRefusal(err).Run, wire.Unknown)
			}
			assert.Assert(t, err != nil)
		})
	}
}

// TestInterimResponsesKeepSlowAttemptAlive checks that an attempt may take longer
// than the client's ReadTimeout, because interim responses arrive.
func TestInterimResponsesKeepSlowAttemptAlive(t *testing.T) {
	addr, s := serve(t, forward.ServerOptions{
		InterimInterval: 10 * time.Millisecond,
		CheckInterval:   10 * time.Millisecond,
		Forwarder: forwarderFunc(func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) {
			time.Sleep(1200 * time.Millisecond)
			return responseWith(bytes.NewReader([]byte("ok")), 2), nil
		})})
	c := forward.NewClient(forward.ClientOptions{
		Address:     func(string) (string, bool) { return addr, true },
		Secrets:     []string{"new"},
		ReadTimeout: 600 * time.Millisecond,
	})
	response, err := c.Forward(context.Background(), "h", attempt(), request())
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "ok")
	assert.Assert(t, s.Stats().Interim > 10)
}

func TestCancellationReachesAttempt(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	addr, _ := serve(t, forward.ServerOptions{Forwarder: forwarderFunc(
		func(ctx context.Context, _ wire.Attempt, _ *fasthttp.Request) (*wire.Response, error) {
			close(arrived)
			<-ctx.Done()
			close(ended)
			return nil, wire.RefuseUnknown(wire.ReasonTimeout, "")
		})})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client(t, addr, "new").Forward(ctx, "h", attempt(), request())
	assert.Equal(t, wire.AsRefusal(err).Run, wire.Unknown)
	<-ended
}

// TestStalledClientIsDisconnected streams to a client that reads nothing and keeps
// its connection open. The response body must be closed, so that the target is
// released.
func TestStalledClientIsDisconnected(t *testing.T) {
	closed := make(chan struct{})
	addr, s := serve(t, forward.ServerOptions{
		StallTimeout:  100 * time.Millisecond,
		CheckInterval: 10 * time.Millisecond,
		Forwarder: forwarderFunc(func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) {
			response := responseWith(endlessReader{}, -1)
			response.Body = closeSignal{endlessReader{}, closed}
			return response, nil
		})})
	answer, err := client(t, addr, "new").Forward(context.Background(), "h", attempt(), request())
	assert.NilError(t, err)
	defer answer.Body.Close()
	<-closed
	assert.Equal(t, s.Stats().Abandoned, int64(1))
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

type closeSignal struct {
	io.Reader
	closed chan struct{}
}

func (c closeSignal) Close() error {
	close(c.closed)
	return nil
}

func TestRunStateAfterConnectionFailure(t *testing.T) {
	tests := []struct {
		name   string
		serve  func(net.Conn)
		host   string
		reason wire.Reason
		run    wire.RunState
	}{
		{"unknown host", nil, "x", wire.ReasonUnreachable, wire.NotRun},
		{"closed after request", func(c net.Conn) { c.Read(make([]byte, 1<<10)); c.Close() }, "h", wire.ReasonUnreachable, wire.Unknown},
		{"another attempt's answer", func(c net.Conn) {
			c.Read(make([]byte, 1<<10))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nGooseberryshed-Attempt: 00\r\nContent-Length: 0\r\n\r\n")
		}, "h", wire.ReasonUnreachable, wire.Unknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go func() {
				if c, err := ln.Accept(); err == nil && tc.serve != nil {
					tc.serve(c)
				}
			}()
			_, err = client(t, ln.Addr().String(), "new").Forward(context.Background(), tc.host, attempt(), request())
			assert.Equal(t, wire.AsRefusal(err).Reason, tc.reason)
			assert.Equal(t, wire.AsRefusal(err).Run, tc.run)
		})
	}
}
