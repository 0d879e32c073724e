package gate_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/headers"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// rawSend is how a target sends an answer.
type rawSend struct {
	name string
	// reused is set if the connection has carried an answer before. Only idempotent
	// attempts reuse connections.
	reused bool
	// piece is the size of the writes in bytes, or 0 for one write.
	piece int
	// closes is set if the target closes the connection after the answer.
	closes bool
	// once is set if the attempt is not idempotent.
	once bool
}

var rawSends = []rawSend{
	{name: "fresh, closed", closes: true, once: true},
	{name: "fresh, left open", once: true},
	{name: "fresh, bytes, left open", piece: 1},
	{name: "reused, closed", reused: true, closes: true},
	{name: "reused, left open", reused: true},
	{name: "reused, bytes, closed", reused: true, piece: 1, closes: true},
}

// rawPatience is the time that a request has.
const rawPatience = 10 * time.Second

// answersWith runs a gate with a target that answers with the bytes of a case, and returns the
// body that the gate passes on, or the error in its place. The first request on a reused
// connection gets a plain answer.
func answersWith(t *testing.T, c rawanswer.Case, framing rawanswer.Framing, how rawSend, seen gate.Observer) (string, *rawanswer.Target, error) {
	t.Helper()
	return answersWithBytes(t, how, seen, func(fields string) string { return c.Bytes(framing, fields) })
}

func answersWithBytes(t *testing.T, how rawSend, seen gate.Observer, answer func(fields string) string) (string, *rawanswer.Target, error) {
	t.Helper()
	target, err := rawanswer.Start(func(h *fasthttp.RequestHeader, n int) (string, int, bool) {
		fields := headers.Attempt + ": " + string(h.Peek(headers.Attempt)) + "\r\n"
		if how.reused && n == 1 {
			return rawanswer.Sound[0].Bytes(rawanswer.Length, fields), 0, false
		}
		return answer(fields), how.piece, how.closes
	})
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	f := start(t, &fakeTarget{addr: target.Addr()}, "orders", func(o *gate.Options) { o.Observer, o.Linger = seen, time.Millisecond })
	forward := func() (string, error) {
		att := f.attempt()
		att.Idempotent, att.Remaining = !how.once, rawPatience
		answer, err := f.Forward(context.Background(), att, newRequest())
		if err != nil {
			return "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
	if how.reused {
		_, err := forward()
		assert.NilError(t, err, "the earlier request")
	}
	body, err := forward()
	return body, target, err
}

func TestBrokenAnswerIsNotPassedOn(t *testing.T) {
	t.Parallel()
	for _, c := range rawanswer.Broken {
		for _, framing := range rawanswer.Framings {
			if !c.Has(framing) || framing == rawanswer.Unframed {
				continue // the gate refuses all unframed answers
			}
			for _, how := range rawSends {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, framing, how.name), func(t *testing.T) {
					t.Parallel()
					seen := &outcomeRecorder{}
					body, target, err := answersWith(t, c, framing, how, seen)
					assert.Assert(t, err != nil, "passed on as an answer with the body %q", body)
					if ref := wire.AsRefusal(err); ref != nil {
						assertRefused(t, ref, wire.ReasonTargetFailed, wire.Unknown)
					}
					want := int64(1)
					if how.reused {
						want = 2
					}
					assert.Equal(t, target.Requests.Load(), want, "requests at the target")
					assert.Equal(t, target.Conns.Load(), int64(1), "connections to the target")
					seen.mu.Lock()
					last := seen.all[len(seen.all)-1]
					seen.mu.Unlock()
					assert.Equal(t, last.Kind, gate.KindBroken)
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
		for _, framing := range rawanswer.Framings {
			if !c.Has(framing) || framing == rawanswer.Unframed {
				continue // the gate refuses all unframed answers
			}
			for _, how := range rawSends {
				t.Run(fmt.Sprintf("%s/%s/%s", c.Name, framing, how.name), func(t *testing.T) {
					t.Parallel()
					begun := time.Now()
					body, _, err := answersWith(t, c, framing, how, &outcomeRecorder{})
					assert.NilError(t, err)
					assert.Assert(t, time.Since(begun) < rawPatience, "the answer was passed on only at the deadline")
					assert.Equal(t, body, rawanswer.Body)
				})
			}
		}
	}
}

// TestAnswerPassedOnWasValidAsReceived sends answers with random changes, the same each time.
func TestAnswerPassedOnWasValidAsReceived(t *testing.T) {
	t.Parallel()
	const seed, answers = 40, 2000
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	for range answers {
		how := rawSends[rng.IntN(len(rawSends))]
		how.closes = true
		var sent []byte
		body, target, err := answersWithBytes(t, how, &outcomeRecorder{}, func(fields string) string {
			sent = rawanswer.Mutate(rng, fields)
			return string(sent)
		})
		if err == nil {
			want, valid := rawanswer.Parse(sent)
			assert.Assert(t, valid, "passed on, and not valid: %q", sent)
			assert.Equal(t, body, want.Body, "%q", sent)
		} else if ref := wire.AsRefusal(err); ref != nil {
			assert.Equal(t, ref.Run, wire.Unknown, "%v: %q", ref, sent)
		}
		target.Close()
	}
}
