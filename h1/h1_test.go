package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func serve(t *testing.T, o Options) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := New(o)
	go s.Serve(l) //nolint:errcheck // ends with the listener
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func read(t *testing.T, br *bufio.Reader) *fasthttp.Response {
	t.Helper()
	var r fasthttp.Response
	assert.NilError(t, r.Read(br))
	return &r
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func echo(_ context.Context, x *Exchange) {
	x.Response.SetBodyString(string(x.Request.Header.RequestURI()))
}

// Pipelined requests run concurrently, and responses are sent in order.
func TestPipelinedRequestsOverlap(t *testing.T) {
	addr := serve(t, Options{Handler: func(ctx context.Context, x *Exchange) {
		if strings.HasPrefix(string(x.Request.Header.RequestURI()), "/slow") {
			time.Sleep(200 * time.Millisecond)
		}
		echo(ctx, x)
	}})
	c, br := dial(t, addr)
	begun := time.Now()
	io.WriteString(c, get("/slow1")+get("/slow2")+get("/quick")) //nolint:errcheck // seen by the reads
	for _, want := range []string{"/slow1", "/slow2", "/quick"} {
		assert.Equal(t, string(read(t, br).Body()), want)
	}
	assert.Assert(t, time.Since(begun) < 350*time.Millisecond, "requests ran sequentially: %s", time.Since(begun))
}

func TestPeerDisconnectCancelsContext(t *testing.T) {
	ended := make(chan time.Time, 1)
	started := make(chan struct{}, 1)
	addr := serve(t, Options{Handler: func(ctx context.Context, _ *Exchange) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- time.Now()
	}})
	c, _ := dial(t, addr)
	io.WriteString(c, get("/")) //nolint:errcheck // seen by started
	<-started
	left := time.Now()
	c.Close()
	select {
	case at := <-ended:
		assert.Assert(t, at.Sub(left) < 200*time.Millisecond)
	case <-time.After(2 * time.Second):
		t.Fatal("the handler's context was not canceled")
	}
}

func TestMalformedRequests(t *testing.T) {
	addr := serve(t, Options{Handler: echo, Limits: func() Limits { return Limits{HeaderBytes: 1024, BodyBytes: 10} }})
	cases := []struct {
		name, send string
		status     int
	}{
		{"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", 400},
		{"no request line", "hello\r\n\r\n", 400},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n", 431},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, br := dial(t, addr)
			io.WriteString(conn, c.send) //nolint:errcheck // seen by the read
			r := read(t, br)
			assert.Equal(t, r.StatusCode(), c.status)
			assert.Assert(t, r.ConnectionClose())
		})
	}
}

func TestChunkedBody(t *testing.T) {
	addr := serve(t, Options{Handler: func(_ context.Context, x *Exchange) { x.Response.SetBody(x.Request.Body()) }})
	c, br := dial(t, addr)
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+get("/next")) //nolint:errcheck // seen by the reads
	assert.Equal(t, string(read(t, br).Body()), "abcde")
	assert.Equal(t, read(t, br).StatusCode(), 200)
}

// A request that arrives after the last response on a connection must not be
// handled, and its caller must see the connection close without delay.
func TestRequestBehindTheLastAnswer(t *testing.T) {
	var stopping atomic.Bool
	var handled atomic.Int64
	addr := serve(t, Options{Stopping: stopping.Load, Handler: func(ctx context.Context, x *Exchange) {
		handled.Add(1)
		echo(ctx, x)
	}})
	c, br := dial(t, addr)
	io.WriteString(c, get("/1")) //nolint:errcheck // seen by the read
	assert.Assert(t, !read(t, br).ConnectionClose())
	stopping.Store(true)
	io.WriteString(c, get("/2")) //nolint:errcheck // seen by the read
	assert.Assert(t, read(t, br).ConnectionClose())
	sent := time.Now()
	io.WriteString(c, get("/3")) //nolint:errcheck // may find the connection closed
	_, err := br.ReadByte()
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(sent) < 190*time.Millisecond, "connection stayed open for %s", time.Since(sent))
	assert.Equal(t, handled.Load(), int64(2))
}

// While the server stops, a request must not be passed to the handler before the
// previous one has been answered, because that response may never be sent.
func TestStoppingServerTakesOneAtATime(t *testing.T) {
	var stopping atomic.Bool
	var handled atomic.Int64
	release := make(chan struct{})
	addr := serve(t, Options{Stopping: stopping.Load, Handler: func(ctx context.Context, x *Exchange) {
		handled.Add(1)
		<-release
		echo(ctx, x)
	}})
	c, br := dial(t, addr)
	stopping.Store(true)
	io.WriteString(c, get("/1")+get("/2")) //nolint:errcheck // seen by the reads
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, handled.Load(), int64(1))
	close(release)
	for _, want := range []string{"/1", "/2"} {
		assert.Equal(t, string(read(t, br).Body()), want)
	}
}

func TestInterimResponsePrecedesFinalResponse(t *testing.T) {
	addr := serve(t, Options{Handler: func(ctx context.Context, x *Exchange) {
		if err := x.SendInterim(fasthttp.StatusProcessing); err != nil {
			t.Error(err)
		}
		echo(ctx, x)
	}})
	c, br := dial(t, addr)
	io.WriteString(c, get("/1")) //nolint:errcheck // seen by the read
	line, err := br.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(line), "HTTP/1.1 102 Processing")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	addr := serve(t, Options{Handler: echo, Limits: func() Limits { return Limits{IdleTimeout: 100 * time.Millisecond} }})
	c, br := dial(t, addr)
	io.WriteString(c, get("/1")) //nolint:errcheck // seen by the read
	read(t, br)
	begun := time.Now()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(begun) >= 90*time.Millisecond)
}

// The idle timeout does not apply while a request is active, even if the request
// takes longer.
func TestBusyConnectionIsNotIdle(t *testing.T) {
	addr := serve(t, Options{Limits: func() Limits { return Limits{IdleTimeout: 50 * time.Millisecond} },
		Handler: func(ctx context.Context, x *Exchange) {
			time.Sleep(300 * time.Millisecond)
			echo(ctx, x)
		}})
	c, br := dial(t, addr)
	io.WriteString(c, get("/1")) //nolint:errcheck // seen by the read
	assert.Equal(t, string(read(t, br).Body()), "/1")
}

func TestAnswersAreNotMixed(t *testing.T) {
	addr := serve(t, Options{Handler: func(ctx context.Context, x *Exchange) {
		time.Sleep(time.Duration(len(x.Request.Header.RequestURI())%7) * time.Millisecond)
		echo(ctx, x)
	}})
	c, br := dial(t, addr)
	go func() {
		for i := range 200 {
			io.WriteString(c, get(fmt.Sprintf("/%s%d", strings.Repeat("x", i%13), i))) //nolint:errcheck // seen by the reads
		}
	}()
	for i := range 200 {
		assert.Equal(t, string(read(t, br).Body()), fmt.Sprintf("/%s%d", strings.Repeat("x", i%13), i))
	}
}

// The connection ends after a request that says so, also if its handler removes the
// header at once. go test -race found the reader of the connection looking at the
// request while the handler changed it.
func TestRequestThatClosesIsTheLast(t *testing.T) {
	var handled atomic.Int32
	addr := serve(t, Options{Handler: func(ctx context.Context, x *Exchange) {
		x.Request.Header.Del("Connection")
		handled.Add(1)
		echo(ctx, x)
	}})
	const connections = 300
	for range connections {
		c, br := dial(t, addr)
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/b"))
		assert.NilError(t, err)
		assert.Equal(t, string(read(t, br).Body()), "/a")
		c.Close()
	}
	assert.Equal(t, handled.Load(), int32(connections))
}
