package link_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/link"
)

// Guards against a peer that keeps a reader busy without data, and against limits that an
// ordinary response meets.
func TestChunkFramingIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const end = "0\r\n\r\n"
	extension := ";" + strings.Repeat("x", 100)
	tests := []struct {
		name, response string
		valid          bool
	}{
		{"small chunks", head + strings.Repeat("1\r\nx\r\n", 20000) + end, true},
		{"chunks with extensions", head + strings.Repeat("64"+extension+"\r\n"+strings.Repeat("x", 100)+"\r\n", 2000) + end, true},
		{"small chunks with extensions", head + strings.Repeat("1"+extension+"\r\nx\r\n", 2000) + end, false},
		{"long extension", head + "1;" + strings.Repeat("x", link.DefaultMaxHeaderBytes) + "\r\nx\r\n" + end, false},
		{"trailers", head + "1\r\nx\r\n0\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n", true},
		{"large trailers", head + "1\r\nx\r\n0\r\n" + strings.Repeat("X: x\r\n", 800) + "\r\n", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			srv := startServer(t, serveResponses(tc.response))
			pool := link.New(link.Options{})
			defer pool.Close()
			_, err := doRequest(t, pool, srv.addr(), "GET", link.RequestOptions{})
			if tc.valid {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, link.AsError(err).Cause, link.CauseProtocol, "%v", err)
		})
	}
}
