package ingress_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/ingress"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// TestBodyOverTheBoundIsRefusedBeforeItIsRead announces bodies and sends none of
// them. What the request would be refused for anyway is told at once, so that
// nobody makes the door hold bodies that no service takes.
func TestBodyOverTheBoundIsRefusedBeforeItIsRead(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		want            wire.Reason
	}{
		{"over the service's bound", "/o", secret, wire.ReasonTooLarge},
		{"no key", "/o", "", wire.ReasonNoKey},
		{"bad key", "/o", "guess", wire.ReasonBadKey},
		{"no route", "/other", secret, wire.ReasonNoRoute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := open(t, ok)
			conn, err := net.Dial("tcp", d.addr)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			key := ""
			if tc.key != "" {
				key = "X-Api-Key: " + tc.key + "\r\n"
			}
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", tc.path, key, ingress.MaxBodyBytes)
			resp := &fasthttp.Response{}
			assert.NilError(t, resp.Read(bufio.NewReader(conn)))
			isProblem(t, resp, tc.want, wire.NotRun)
			assert.Assert(t, resp.ConnectionClose())
			assert.Equal(t, len(d.gates.tries), 0)
		})
	}
}

// TestChunkedBodyIsBoundedByItsService sends bodies without an announced length.
func TestChunkedBodyIsBoundedByItsService(t *testing.T) {
	d := open(t, ok)
	for _, tc := range []struct {
		path string
		size int
		want wire.Reason
	}{
		{"/o", maxBody, ""},
		{"/o", maxBody + 1, wire.ReasonTooLarge},
		{"/o", 1 << 20, wire.ReasonTooLarge},
		{"/only-w", 1 << 20, wire.ReasonTooLarge},
	} {
		conn, err := net.Dial("tcp", d.addr)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		// The bytes that the door leaves unread may reset the connection, so
		// one chunk announces them all and only some are sent.
		sent := min(tc.size, 70<<10)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
			tc.path, secret, tc.size, strings.Repeat("x", sent))
		if sent == tc.size {
			fmt.Fprint(conn, "\r\n0\r\n\r\n")
		}
		resp := &fasthttp.Response{}
		err = resp.Read(bufio.NewReader(conn))
		conn.Close()
		if sent < tc.size && err != nil {
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the door waits for the body")
			continue // the connection was reset before the answer could be read
		}
		assert.NilError(t, err)
		if tc.want == "" {
			assert.Equal(t, resp.StatusCode(), 201)
		} else {
			isProblem(t, resp, tc.want, wire.NotRun)
		}
	}
	assert.Equal(t, len(d.gates.tries), 1)
}

// TestRefusalOfALargeBodyReachesItsSender has callers send all of a body before
// they read the answer, as most clients do.
func TestRefusalOfALargeBodyReachesItsSender(t *testing.T) {
	d := open(t, ok)
	for range 5 {
		body := strings.Repeat("x", 8<<20)
		isProblem(t, d.do(t, "POST", "/o", body, keyed...), wire.ReasonTooLarge, wire.NotRun)
		isProblem(t, d.do(t, "POST", "/o", body), wire.ReasonNoKey, wire.NotRun)
	}
}
