package hostd

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

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// startRawTarget starts a target that serves each connection with a script below the
// HTTP layer, and returns its address.
func startRawTarget(t *testing.T, addr string, script func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// repeatedRefusals serves requests with paths that say how: /refuse is refused, /ok runs, and
// /repeat runs after an earlier refusal has been written once more, if the connection
// has carried a request before. runs counts what has run.
func repeatedRefusals(refusal func(attempt string) string, runs *atomic.Int64) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		refused := refusal("earlier")
		for n := 0; ; n++ {
			var req fasthttp.Request
			if req.Read(br) != nil {
				return
			}
			attempt := standin.AttemptOf(&req.Header)
			path := string(req.Header.RequestURI())
			if path == "/refuse" {
				refused = refusal(attempt)
				io.WriteString(c, refused) //nolint:errcheck // the gate sees the failure
				continue
			}
			runs.Add(1)
			if path == "/repeat" && n > 0 {
				io.WriteString(c, refused) //nolint:errcheck // the gate sees the failure
			}
			time.Sleep(50 * time.Millisecond)
			fmt.Fprintf(c, "%sContent-Length: 2\r\n%s\r\nok", standin.SignedHead, standin.AttemptHeader(attempt)) //nolint:errcheck // the gate sees the failure
		}
	}
}

func TestEarlierRefusalWrittenOnceMoreDoesNotSayNotRun(t *testing.T) {
	own := func(attempt string) string { return standin.Refusal(attempt) }
	anonymous := func(string) string { return standin.Refusal("") }
	cases := []struct {
		name    string
		refusal func(attempt string) string
		// sends are pairs of attempt and path.
		sends [][2]string
	}{
		{"refusal of another attempt", own, [][2]string{{"a", "/refuse"}, {"b", "/repeat"}}},
		{"refusal without an attempt", anonymous, [][2]string{{"a", "/refuse"}, {"b", "/repeat"}}},
		{"refusal of the same attempt", own, [][2]string{{"a", "/refuse"}, {"a", "/repeat"}}},
		{"refusal without an attempt, from another connection", anonymous, [][2]string{{"a", "/ok"}, {"b", "/repeat"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			g, _ := newTestGate(t)
			h := newHeartbeat("a", 1, 1, false)
			h.Address = startRawTarget(t, "127.0.0.1:0", repeatedRefusals(c.refusal, &runs))
			g.applyHeartbeat(h, time.Now())
			for _, send := range c.sends {
				req := &fasthttp.Request{}
				req.Header.SetRequestURI(send[1])
				req.Header.SetHost("h")
				standin.SetAttempt(&req.Header, send[0])
				before := runs.Load()
				r := g.Forward(context.Background(), Forward{Attempt: send[0], Target: "a", TimeLeftMs: 2000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
				if ran := runs.Load() > before; ran {
					assert.Assert(t, r.Refusal == nil || r.Refusal.Run != wire.NotRun, "%s has run: %+v", send[1], r.Refusal)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// Guards against cutting an answer whose target is silent in its middle although time is
// left.
func TestSilenceInTheMiddleOfAnAnswerDoesNotEndIt(t *testing.T) {
	t.Parallel()
	const silence = 5500 * time.Millisecond
	g, _ := newTestGate(t)
	h := newHeartbeat("a", 1, 1, false)
	h.Address = startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		fmt.Fprintf(c, "%sContent-Length: 2\r\n%s\r\no", standin.SignedHead, standin.AttemptHeader(standin.AttemptOf(&req.Header))) //nolint:errcheck // the gate sees the failure
		time.Sleep(silence)
		io.WriteString(c, "k") //nolint:errcheck // the gate sees the failure
	})
	g.applyHeartbeat(h, time.Now())
	for _, c := range []struct {
		name     string
		timeLeft time.Duration
		whole    bool
	}{{"time left", 10 * time.Second, true}, {"deadline in the silence", time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			req := &fasthttp.Request{}
			req.Header.SetRequestURI("/r")
			req.Header.SetHost("h")
			standin.SetAttempt(&req.Header, c.name)
			begun := time.Now()
			r := g.Forward(context.Background(), Forward{Attempt: c.name, Target: "a", TimeLeftMs: c.timeLeft.Milliseconds(), MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
			if c.whole {
				assert.Assert(t, r.Refusal == nil, "%v", r.Refusal)
				assert.Equal(t, string(r.Answer.Body), "ok")
				return
			}
			assert.Assert(t, r.Refusal != nil && r.Refusal.Reason == wire.ReasonTimeout, "%+v", r)
			assert.Assert(t, time.Since(begun) < 2*c.timeLeft, "%s", time.Since(begun))
		})
	}
}

// Guards against passing on a signed answer whose status is none: the parser reads 000 as 200.
func TestAnswerWithoutAStatusIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g, _ := newTestGate(t)
			h := newHeartbeat("a", 1, 1, false)
			h.Address = startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				var req fasthttp.Request
				if req.Read(br) != nil {
					return
				}
				head := strings.Replace(standin.SignedHead, "200 OK", status+" X", 1)
				fmt.Fprintf(c, "%sContent-Length: 2\r\n%s\r\nok", head, standin.AttemptHeader(standin.AttemptOf(&req.Header))) //nolint:errcheck // the gate sees the failure
			})
			g.applyHeartbeat(h, time.Now())
			req := &fasthttp.Request{}
			req.Header.SetRequestURI("/r")
			req.Header.SetHost("h")
			standin.SetAttempt(&req.Header, "a")
			r := g.Forward(context.Background(), Forward{Attempt: "a", Target: "a", TimeLeftMs: 2000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
			assert.Assert(t, r.Answer == nil, "passed on as an answer")
			assert.Equal(t, r.Refusal.Run, wire.Unknown)
		})
	}
}
