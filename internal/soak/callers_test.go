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

// sendPipelined sends pipelined reads to one host on persistent connections, whose
// responses must arrive in order. At random the caller disconnects before it has
// read the responses.
func (r *run) sendPipelined(t *testing.T, h *host, n int, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(n), 11))
	for i := 0; ; {
		conn, err := net.DialTimeout("tcp", h.set.CallerListen, time.Second)
		if err == nil {
			i = r.sendBatches(t, h, conn, rnd, i, done)
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
	// maxPipelined is the maximum number of requests sent before the first response.
	maxPipelined = 3
	// disconnectOneIn means that the caller disconnects after one in so many
	// batches, before it has read the responses.
	disconnectOneIn = 8
	// pipelineTimeout is the timeout of a pipelined request.
	pipelineTimeout = 2 * time.Second
)

// sendBatches sends batches of requests on a connection until it is closed, and
// returns the number of the next request.
func (r *run) sendBatches(t *testing.T, h *host, conn net.Conn, rnd *rand.Rand, i int, done <-chan struct{}) int {
	br := bufio.NewReader(conn)
	bw := bufio.NewWriter(conn)
	for {
		select {
		case <-done:
			return i
		case <-time.After(time.Duration(50+rnd.IntN(100)) * time.Millisecond):
		}
		var sent []string
		for range 1 + rnd.IntN(maxPipelined) {
			c := standin.Call{Attempt: fmt.Sprintf("pipe-%s-%d", h.set.Host, i), Host: shopHost, URI: "/read/1", Key: r.currentKey(), Timeout: pipelineTimeout}
			i++
			var req fasthttp.Request
			c.Write(&req)
			if req.Write(bw) != nil {
				return i
			}
			sent = append(sent, c.Attempt)
		}
		if bw.Flush() != nil || rnd.IntN(disconnectOneIn) == 0 {
			return i
		}
		conn.SetReadDeadline(time.Now().Add(2 * pipelineTimeout)) //nolint:errcheck // if it fails, so does the read
		for _, id := range sent {
			var resp fasthttp.Response
			if resp.Read(br) != nil {
				return i
			}
			if res := standin.ReadResult(&resp); res.Attempt != id || res.Status == 200 && !strings.HasSuffix(res.Body, " to "+id) {
				t.Errorf("request %s got the response of another request: status %d, body %q, attempt %q", id, res.Status, res.Body, res.Attempt)
			}
			if resp.ConnectionClose() {
				return i
			}
		}
	}
}
