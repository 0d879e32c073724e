package hostd

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

func TestAnswerCutInItsHeadIsNotPassedOnAsWhole(t *testing.T) {
	const attempt = "cut"
	framings := map[string]string{
		"length":        "Content-Length: 12\r\n\r\nwhole answer",
		"chunks":        "Transfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n",
		"no length":     "Connection: close\r\n\r\nwhole answer",
		"length folded": "X-Folded: a\r\n b\r\nContent-Length: 12\r\n\r\nwhole answer",
	}
	for name, rest := range framings {
		t.Run(name, func(t *testing.T) {
			whole := standin.SignedHead + standin.AttemptHeader(attempt) + rest
			head := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
			var cut atomic.Int64
			g, _ := newTestGate(t)
			h := newHeartbeat("a", 1, 1, false)
			h.Slots = 4
			h.Address = startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				var req fasthttp.Request
				if req.Read(br) == nil {
					io.WriteString(c, whole[:cut.Load()]) //nolint:errcheck // the gate sees the failure
				}
			})
			g.applyHeartbeat(h, time.Now())
			for n := range head {
				cut.Store(int64(n))
				req := &fasthttp.Request{}
				req.Header.SetRequestURI("/r")
				req.Header.SetHost("h")
				r := g.Forward(context.Background(), Forward{Attempt: attempt, Target: "a", TimeLeftMs: 2000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
				assert.Assert(t, r.Answer == nil, "%q passed on as %d, %q", whole[:n], statusOf(r), r.Answer)
				assert.Assert(t, r.Refusal.Run != wire.NotRun, "%q: %+v", whole[:n], r.Refusal)
			}
		})
	}
}

func statusOf(r Reply) int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.Header.StatusCode()
}
