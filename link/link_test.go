package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// testServer is a TCP server that runs a given function for each connection.
type testServer struct {
	ln       net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

// startServer starts a server that calls serve for the n-th connection (from 1).
func startServer(t testing.TB, serve func(n int64, c net.Conn, br *bufio.Reader, p *testServer)) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	p := &testServer{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := p.conns.Add(1)
			go serve(n, c, bufio.NewReader(c), p)
		}
	}()
	return p
}

func (p *testServer) addr() string { return p.ln.Addr().String() }

// readRequest reads one request and counts it.
func (p *testServer) readRequest(br *bufio.Reader) bool {
	var req fasthttp.Request
	if err := req.Read(br); err != nil {
		return false
	}
	p.requests.Add(1)
	return true
}

func serveResponses(responses ...string) func(int64, net.Conn, *bufio.Reader, *testServer) {
	return func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
		defer c.Close()
		for _, a := range responses {
			if !p.readRequest(br) {
				return
			}
			io.WriteString(c, a) //nolint:errcheck
		}
	}
}

func request(method string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI("/x?y=1")
	req.Header.SetHost("h")
	if method == "POST" || method == "PUT" {
		req.SetBodyString("payload")
	}
	return req
}

func doRequest(t testing.TB, p *link.Pool, addr, method string, x link.RequestOptions) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, request(method), x)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestResponseEndIsVerified(t *testing.T) {
	tests := []struct {
		name, answer, body string
		stage              link.Stage
	}{
		{"length", okResponse, "ok", 0},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 0},
		{"interim", "HTTP/1.1 102 Processing\r\n\r\n" + okResponse, "ok", 0},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", 0},
		{"short length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", "ok", link.StageResponse},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", link.StageResponse},
		{"truncated trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "ok", link.StageResponse},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", "ok", link.StageResponse},
		{"no framing", "HTTP/1.1 200 OK\r\n\r\nok", "", link.StageResponse},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", "", link.StageResponse},
		{"interim only", "HTTP/1.1 102 Processing\r\n\r\n", "", link.StageSent},
		{"garbage", "SSH-2.0-x\r\n\r\n", "", link.StageResponse},
		{"no response", "", "", link.StageSent},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, serveResponses(tc.answer))
			pool := link.New(link.Options{})
			defer pool.Close()
			got, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
			if tc.stage == 0 {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, link.AsError(err).Stage, tc.stage)
			}
			assert.Equal(t, got, tc.body)
		})
	}
}

// Guards against status lines that the parser accepts although they hold no status: it
// reads 000 as 200.
func TestStatusOutsideTheRangeIsNoResponse(t *testing.T) {
	const rest = " X\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "600", "999", "0200", "20", "2000", "+20", "-20"} {
		for _, before := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n"} {
			t.Run(status, func(t *testing.T) {
				srv := startServer(t, serveResponses(before+"HTTP/1.1 "+status+rest))
				pool := link.New(link.Options{})
				defer pool.Close()
				body, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
				assert.Assert(t, err != nil, "taken for a response with the body %q", body)
				assert.Equal(t, link.AsError(err).Cause, link.CauseProtocol)
			})
		}
	}
}

func TestHeaderIsBounded(t *testing.T) {
	srv := startServer(t, serveResponses("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 5000)+"\r\nContent-Length: 0\r\n\r\n"))
	pool := link.New(link.Options{MaxHeaderBytes: 4096})
	_, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
	assert.Equal(t, link.AsError(err).Cause, link.CauseProtocol)
}

func TestDialFailureSendsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln.Close()
	_, err = doRequest(t, link.New(link.Options{}), ln.Addr().String(), "POST", link.RequestOptions{})
	assert.Equal(t, link.AsError(err).Stage, link.StageDial)
}

// TestRequestIsSentOnce closes every connection after the request has arrived. The
// pool must report StageSent and must not retry: a retry could execute the request
// twice.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		t.Run(method, func(t *testing.T) {
			srv := startServer(t, func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
				p.readRequest(br)
				c.Close()
			})
			_, err := doRequest(t, link.New(link.Options{}), srv.addr(), method, link.RequestOptions{})
			assert.Equal(t, link.AsError(err).Stage, link.StageSent)
			assert.Equal(t, srv.requests.Load(), int64(1))
			assert.Equal(t, srv.conns.Load(), int64(1))
		})
	}
}

// TestRequestOnReusedConnectionIsSentOnce responds to the first request of each
// connection and closes it after the second has arrived, like a peer that
// restarts. The second request must not be retried.
func TestRequestOnReusedConnectionIsSentOnce(t *testing.T) {
	srv := startServer(t, func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
		defer c.Close()
		if p.readRequest(br) {
			io.WriteString(c, okResponse) //nolint:errcheck
		}
		p.readRequest(br)
	})
	pool := link.New(link.Options{})
	_, err := doRequest(t, pool, srv.addr(), "PUT", link.RequestOptions{})
	assert.NilError(t, err)
	_, err = doRequest(t, pool, srv.addr(), "PUT", link.RequestOptions{})
	le := link.AsError(err)
	assert.Equal(t, le.Stage, link.StageSent)
	assert.Assert(t, le.Reused)
	assert.Equal(t, srv.requests.Load(), int64(2))
}

// TestFasthttpClientRetries shows why fasthttp.Client is not used: by default it
// retries GET and PUT requests when the connection is closed.
func TestFasthttpClientRetries(t *testing.T) {
	for _, method := range []string{"GET", "PUT"} {
		t.Run(method, func(t *testing.T) {
			srv := startServer(t, func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
				p.readRequest(br)
				c.Close()
			})
			client := &fasthttp.Client{}
			req, resp := request(method), &fasthttp.Response{}
			req.SetRequestURI("http://" + srv.addr() + "/x")
			req.Header.SetHost("")
			assert.Assert(t, client.Do(req, resp) != nil)
			assert.Assert(t, srv.requests.Load() > 1, "sent %d times", srv.requests.Load())
		})
	}
}

func TestReuseAndNewConnection(t *testing.T) {
	srv := startServer(t, serveResponses(okResponse, okResponse, okResponse, okResponse))
	pool := link.New(link.Options{})
	for _, x := range []link.RequestOptions{{}, {}, {NewConnection: true}} {
		_, err := doRequest(t, pool, srv.addr(), "GET", x)
		assert.NilError(t, err)
	}
	assert.Equal(t, srv.conns.Load(), int64(2))
	assert.Equal(t, pool.Stats().Reuses, int64(1))
}

func TestSurplusBytesCloseConnection(t *testing.T) {
	srv := startServer(t, serveResponses(okResponse+"HTTP/1.1 200 OK\r\n", okResponse))
	pool := link.New(link.Options{})
	for range 2 {
		got, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
		assert.NilError(t, err)
		assert.Equal(t, got, "ok")
	}
	assert.Equal(t, srv.conns.Load(), int64(2))
}

func TestUnreadBodyClosesConnection(t *testing.T) {
	srv := startServer(t, serveResponses(okResponse, okResponse))
	pool := link.New(link.Options{})
	resp, err := pool.Do(context.Background(), srv.addr(), request("GET"), link.RequestOptions{})
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
	assert.NilError(t, err)
	assert.Equal(t, srv.conns.Load(), int64(2))
}

// TestUnresponsiveReusedConnection simulates a connection that stops responding
// after its first exchange. The first-byte timeout must detect it, the error must
// report a reused connection, and the next exchange must use a new one.
func TestUnresponsiveReusedConnection(t *testing.T) {
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	srv := startServer(t, func(n int64, c net.Conn, br *bufio.Reader, p *testServer) {
		defer c.Close()
		p.readRequest(br)
		io.WriteString(c, okResponse) //nolint:errcheck
		p.readRequest(br)
		<-silent
	})
	pool := link.New(link.Options{FirstByteTimeout: 50 * time.Millisecond})
	_, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
	assert.NilError(t, err)
	_, err = doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
	le := link.AsError(err)
	assert.Equal(t, le.Cause, link.CauseTimeout)
	assert.Assert(t, le.Reused)
	_, err = doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
	assert.NilError(t, err)
	assert.Equal(t, srv.conns.Load(), int64(2))
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	arrived := make(chan struct{})
	srv := startServer(t, func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
		p.readRequest(br)
		close(arrived)
		_, err := br.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := link.New(link.Options{}).Do(ctx, srv.addr(), request("POST"), link.RequestOptions{})
	assert.Equal(t, link.AsError(err).Cause, link.CauseCanceled)
	assert.Equal(t, link.AsError(err).Stage, link.StageSent)
	assert.Assert(t, <-closed != nil)
}

func TestBeforeSendErrorSendsNothing(t *testing.T) {
	srv := startServer(t, serveResponses(okResponse))
	pool := link.New(link.Options{})
	_, err := doRequest(t, pool, srv.addr(), "POST", link.RequestOptions{BeforeSend: func() error { return io.ErrNoProgress }})
	assert.Equal(t, link.AsError(err).Cause, link.CauseRejected)
	got, err := doRequest(t, pool, srv.addr(), "POST", link.RequestOptions{})
	assert.NilError(t, err)
	assert.Equal(t, got, "ok")
	assert.Equal(t, srv.requests.Load(), int64(1))
	assert.Equal(t, srv.conns.Load(), int64(1))
}

func readResponseBody(t *testing.T, p *link.Pool, addr string, x link.RequestOptions) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), addr, request("GET"), x)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// A response without framing is complete if the connection is closed in an orderly
// way, and an error if it is reset.
func TestUnframedAnswer(t *testing.T) {
	serve := func(reset bool) string {
		p := startServer(t, func(_ int64, c net.Conn, br *bufio.Reader, p *testServer) {
			defer c.Close()
			p.readRequest(br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it") //nolint:errcheck // the client reports a failure
			if reset {
				time.Sleep(20 * time.Millisecond) // let the client read the data before the reset
				c.(*net.TCPConn).SetLinger(0)     //nolint:errcheck // the client reports a failure
			}
		})
		return p.addr()
	}
	pool := link.New(link.Options{})
	defer pool.Close()
	body, err := readResponseBody(t, pool, serve(false), link.RequestOptions{AllowUnframed: true})
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
	_, err = readResponseBody(t, pool, serve(true), link.RequestOptions{AllowUnframed: true})
	assert.Assert(t, err != nil, "response accepted although the connection was reset")
	_, err = readResponseBody(t, pool, serve(false), link.RequestOptions{})
	assert.Assert(t, err != nil, "unframed response accepted without the option")
}

// A late response to an earlier request on the connection must not be returned as
// the response to the current request.
func TestAnswersToOthersArePassedOver(t *testing.T) {
	p := startServer(t, serveResponses(
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+
			"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright"))
	pool := link.New(link.Options{})
	defer pool.Close()
	mine := func(h *fasthttp.ResponseHeader, _ bool) bool { return string(h.Peek("Id")) == "mine" }
	body, err := readResponseBody(t, pool, p.addr(), link.RequestOptions{MatchResponse: mine})
	assert.NilError(t, err)
	assert.Equal(t, body, "right")
}

func TestInterimResponsesAreReported(t *testing.T) {
	p := startServer(t, serveResponses("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	pool := link.New(link.Options{})
	defer pool.Close()
	n := 0
	body, err := readResponseBody(t, pool, p.addr(), link.RequestOptions{OnInterim: func(int) { n++ }})
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, n, 1)
}
