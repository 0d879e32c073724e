package hostd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// rawSend is how a target sends an answer.
type rawSend struct {
	name string
	// reused is set if the connection has carried an answer before.
	reused bool
	// piece is the size of the writes in bytes, or 0 for one write.
	piece int
	// closes is set if the target closes the connection after the answer.
	closes bool
	// once is set if the request is an order.
	once bool
}

var rawSends = []rawSend{
	{name: "fresh, closed", closes: true, once: true},
	{name: "fresh, left open", once: true},
	{name: "fresh, bytes, left open", piece: 1},
	{name: "reused, closed", reused: true, closes: true},
	{name: "reused, left open", reused: true, once: true},
	{name: "reused, bytes, closed", reused: true, piece: 1, closes: true, once: true},
}

// rawPatience is the time that a request has.
const rawPatience = 10 * time.Second

// answersWith runs a gate with a target that answers with the bytes of a case, and returns the
// reply of the gate. The first request on a reused connection gets a plain answer.
func answersWith(t *testing.T, c rawanswer.Case, f rawanswer.Framing, how rawSend) (Reply, *Gate, *rawanswer.Target) {
	t.Helper()
	return answersWithBytes(t, how, func(fields string) string { return c.Bytes(f, fields) })
}

func answersWithBytes(t *testing.T, how rawSend, answer func(fields string) string) (Reply, *Gate, *rawanswer.Target) {
	t.Helper()
	target, err := rawanswer.Start(func(h *fasthttp.RequestHeader, n int) (string, int, bool) {
		fields := strings.TrimPrefix(standin.SignedHead, "HTTP/1.1 200 OK\r\n") + standin.AttemptHeader(standin.AttemptOf(h))
		if how.reused && n == 1 {
			return rawanswer.Sound[0].Bytes(rawanswer.Length, fields), 0, false
		}
		return answer(fields), how.piece, how.closes
	})
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	g, _ := newTestGate(t)
	t.Cleanup(g.Close)
	h := newHeartbeat("a", 1, 1, false)
	h.Address = target.Addr()
	g.applyHeartbeat(h, time.Now())
	forward := func(attempt string) Reply {
		req := &fasthttp.Request{}
		req.Header.SetRequestURI("/r")
		req.Header.SetHost("h")
		standin.SetAttempt(&req.Header, attempt)
		return g.Forward(context.Background(), Forward{Attempt: attempt, Target: "a", TimeLeftMs: rawPatience.Milliseconds(), MaxGray: 1, Route: "r",
			ObjectiveMs: 100, Repeatable: !how.once}, req, nil)
	}
	if how.reused {
		r := forward("earlier")
		assert.Assert(t, r.Answer != nil, "the earlier request: %+v", r.Refusal)
	}
	return forward("a"), g, target
}

func TestBrokenAnswerIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, c := range rawanswer.Broken {
		for _, f := range rawanswer.Framings {
			if !c.Has(f) {
				continue
			}
			for _, how := range rawSends {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, f, how.name), func(t *testing.T) {
					t.Parallel()
					r, g, target := answersWith(t, c, f, how)
					assert.Assert(t, r.Answer == nil, "passed on as an answer: %v", r.Answer)
					assert.Equal(t, r.Refusal.Run, wire.Unknown, "%v", r.Refusal)
					assert.Equal(t, r.Refusal.Reason, wire.ReasonTargetFailed, "%v", r.Refusal)
					want := int64(1)
					if how.reused {
						want = 2
					}
					assert.Equal(t, target.Requests.Load(), want, "requests at the target")
					assert.Equal(t, target.Conns.Load(), int64(1), "connections to the target")
					assert.Assert(t, g.target.filter.Probability(time.Now()) > gray.PriorProbability(), "the target is not charged")
					if !how.closes {
						poll.WaitOn(t, func(poll.LogT) poll.Result {
							if target.Closed.Load() == 1 {
								return poll.Success()
							}
							return poll.Continue("the connection is open")
						}, poll.WithDelay(time.Millisecond))
					}
				})
			}
		}
	}
}

func TestSoundAnswerIsPassedOnUnchanged(t *testing.T) {
	t.Parallel()
	for _, c := range rawanswer.Sound {
		for _, f := range rawanswer.Framings {
			if !c.Has(f) {
				continue
			}
			for _, how := range rawSends {
				if f == rawanswer.Unframed && !how.closes {
					continue // it has no end
				}
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, f, how.name), func(t *testing.T) {
					t.Parallel()
					begun := time.Now()
					r, _, target := answersWith(t, c, f, how)
					assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
					assert.Assert(t, time.Since(begun) < rawPatience, "the answer was passed on only at the deadline")
					assert.Equal(t, string(r.Answer.Body), rawanswer.Body)
					assert.Equal(t, r.Answer.Header.StatusCode(), fasthttp.StatusOK)
					assert.Equal(t, target.Conns.Load(), int64(1), "connections to the target")
				})
			}
		}
	}
}

// TestAnswerPassedOnWasValidAsReceived sends answers with random changes, the same each time.
func TestAnswerPassedOnWasValidAsReceived(t *testing.T) {
	t.Parallel()
	const seed, answers = 40, 600
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	for range answers {
		how := rawSends[rng.IntN(len(rawSends))]
		how.closes = true
		var sent []byte
		r, g, target := answersWithBytes(t, how, func(fields string) string {
			sent = rawanswer.Mutate(rng, fields)
			return string(sent)
		})
		want, valid := rawanswer.Parse(sent)
		switch {
		case r.Answer != nil:
			assert.Assert(t, valid, "passed on, and not valid: %q", sent)
			assert.Equal(t, string(r.Answer.Body), want.Body, "%q", sent)
		case r.Refusal.Run == wire.NotRun:
			assert.Assert(t, valid && want.Status == fasthttp.StatusMisdirectedRequest, "%v: %q", r.Refusal, sent)
		}
		g.Close()
		target.Close()
	}
}
