package hostd

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/memory"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// serveEndless accepts connections and answers each request with a head followed
// by the same bytes until the caller closes.
func serveEndless(t *testing.T, head, repeated string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	block := bytes.Repeat([]byte(repeated), 1+16384/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				c.Read(make([]byte, 4096)) //nolint:errcheck // only starts the answer
				if _, err := c.Write([]byte(head)); err != nil {
					return
				}
				for {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Bytes that are no answer may come without end, in any part of an answer. They
// must not pass for a whole answer, use unbounded memory or time, or keep the
// slot, and count against the target.
func TestEndlessAnswers(t *testing.T) {
	runningHosts.Wait() // the memory that they allocate would count
	const ok = standin.SignedHead
	cases := []struct{ name, head, repeated string }{
		{"bytes in place of a head", "", "garbage "},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"one header value", "HTTP/1.1 200 OK\r\nX-A: ", "b"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body without a length", ok + "Connection: close\r\n\r\n", "x"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;a=", "b"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-A: b\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newTestGate(t)
			h := newHeartbeat("a", 1, 1, false)
			h.Address = serveEndless(t, c.head, c.repeated)
			g.applyHeartbeat(h, time.Now())
			before := g.target.filter.Probability(time.Now())
			req := &fasthttp.Request{}
			req.Header.SetRequestURI("/r")
			req.Header.SetHost("h")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			allocated := m.TotalAlloc
			begun := time.Now()
			r := g.Forward(context.Background(), Forward{Attempt: "r", Target: "a", TimeLeftMs: 2000, MaxGray: 1, Repeatable: true, Route: "r", ObjectiveMs: 100}, req, nil)
			took := time.Since(begun)
			runtime.ReadMemStats(&m)
			assert.Assert(t, r.Refusal != nil, "passed on as an answer of %d bytes", answerSize(r))
			assert.Assert(t, r.Refusal.Run != wire.NotRun)
			assert.Assert(t, took < 2500*time.Millisecond, "%s", took)
			// A buffer that doubles until it exceeds maxAnswerBytes, and the rest.
			assert.Assert(t, m.TotalAlloc-allocated < 4*maxAnswerBytes+1<<20, "%d bytes allocated", m.TotalAlloc-allocated)
			assert.Equal(t, g.target.queue.Running(), 0)
			assert.Assert(t, g.target.filter.Probability(time.Now()) > before, "no evidence against the target")
		})
	}
}

func answerSize(r Reply) int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body)
}

// Many answers that do not end at once stay within the budget, and leave it when
// they have failed.
func TestEndlessAnswersShareABudget(t *testing.T) {
	const concurrent = 8
	g, _ := newTestGate(t)
	g.memory = memory.NewAccount(memory.Limits{Bytes: 4 << 20, LargeBytes: 4 << 20})
	h := newHeartbeat("a", 1, 1, false)
	h.Slots = concurrent
	h.Address = serveEndless(t, standin.SignedHead+"Connection: close\r\n\r\n", "x")
	g.applyHeartbeat(h, time.Now())
	replies := make(chan Reply, concurrent)
	for i := range concurrent {
		go func() {
			req := &fasthttp.Request{}
			req.Header.SetRequestURI("/r")
			req.Header.SetHost("h")
			replies <- g.Forward(context.Background(), Forward{Attempt: string(rune('a' + i)), Target: "a", TimeLeftMs: 2000, MaxGray: 1, Repeatable: true, Route: "r", ObjectiveMs: 100}, req, nil)
		}()
	}
	for range concurrent {
		r := <-replies
		assert.Assert(t, r.Refusal != nil, "passed on as an answer of %d bytes", answerSize(r))
	}
	assert.Equal(t, g.memory.Stats().Used, int64(0))
	assert.Assert(t, g.memory.Stats().Peak <= 4<<20+4<<20/8)
}
