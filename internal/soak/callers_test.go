package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// pipelined sends reads to one host on connections that are kept open until the
// process is gone: several at once, the answers to which must come in order.
// Now and then the caller leaves before its answers.
func (r *run) pipelined(t *testing.T, h *host, n int, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(n), 11))
	for i := 0; ; {
		conn, err := net.DialTimeout("tcp", h.set.CallerListen, time.Second)
		if err == nil {
			i = r.talk(t, h, conn, rnd, i, done)
			conn.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

const (
	// mostPipelined is how many requests are sent before the first answer.
	mostPipelined = 3
	// leaveOneIn is how often a caller leaves before its answers.
	leaveOneIn = 8
	// pipelinePatience is how long a pipelining caller waits.
	pipelinePatience = 2 * time.Second
)

// talk sends batches of requests on a connection until it ends, and returns the
// number of the next request.
func (r *run) talk(t *testing.T, h *host, conn net.Conn, rnd *rand.Rand, i int, done <-chan struct{}) int {
	br := bufio.NewReader(conn)
	bw := bufio.NewWriter(conn)
	for {
		select {
		case <-done:
			return i
		case <-time.After(time.Duration(50+rnd.IntN(100)) * time.Millisecond):
		}
		var sent []string
		for range 1 + rnd.IntN(mostPipelined) {
			c := standin.Call{Attempt: fmt.Sprintf("pipe-%s-%d", h.set.Host, i), Host: shopHost, URI: "/read/1", Key: r.currentKey(), Timeout: pipelinePatience}
			i++
			var req fasthttp.Request
			c.Write(&req)
			if req.Write(bw) != nil {
				return i
			}
			sent = append(sent, c.Attempt)
		}
		if bw.Flush() != nil || rnd.IntN(leaveOneIn) == 0 {
			return i
		}
		conn.SetReadDeadline(time.Now().Add(2 * pipelinePatience)) //nolint:errcheck // the read fails then
		for _, id := range sent {
			var resp fasthttp.Response
			if resp.Read(br) != nil {
				return i
			}
			if res := standin.ReadResult(&resp); res.Attempt != id || res.Status == 200 && !strings.HasSuffix(res.Body, " to "+id) {
				t.Errorf("%s was answered %d with %q for %q", id, res.Status, res.Body, res.Attempt)
			}
			if resp.ConnectionClose() {
				return i
			}
		}
	}
}
