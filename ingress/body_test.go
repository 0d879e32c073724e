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

// TestOversizedBodyIsRefusedBeforeItIsRead sends only a header with a large
// Content-Length. The refusal must be sent without waiting for the body, so that
// callers cannot make the ingress buffer bodies that no service accepts.
func TestOversizedBodyIsRefusedBeforeItIsRead(t *testing.T) {
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
			d := startIngress(t, respondOK)
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
			assertProblem(t, resp, tc.want, wire.NotRun)
			assert.Assert(t, resp.ConnectionClose())
			assert.Equal(t, len(d.gates.attempts), 0)
		})
	}
}

// TestChunkedBodyLimit checks that the service's limit also applies to bodies
// without a Content-Length.
func TestChunkedBodyLimit(t *testing.T) {
	d := startIngress(t, respondOK)
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
		// Unread data could cause a connection reset, so the chunk header
		// declares the full size but only part of the chunk is sent.
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
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the ingress waits for the body")
			continue // the connection was reset before the response could be read
		}
		assert.NilError(t, err)
		if tc.want == "" {
			assert.Equal(t, resp.StatusCode(), 201)
		} else {
			assertProblem(t, resp, tc.want, wire.NotRun)
		}
	}
	assert.Equal(t, len(d.gates.attempts), 1)
}

// TestLargeBodyRefusalReachesCaller sends the complete body before reading the
// response, as most clients do. Without lingering, the connection would be reset
// and the refusal lost.
func TestLargeBodyRefusalReachesCaller(t *testing.T) {
	d := startIngress(t, respondOK)
	for range 5 {
		body := strings.Repeat("x", 8<<20)
		assertProblem(t, d.do(t, "POST", "/o", body, keyHeader...), wire.ReasonTooLarge, wire.NotRun)
		assertProblem(t, d.do(t, "POST", "/o", body), wire.ReasonNoKey, wire.NotRun)
	}
}
