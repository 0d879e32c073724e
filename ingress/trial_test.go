package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/ingress"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// steps plays one outcome per attempt: an error, or an answer for nil.
func steps(outcomes ...error) func(int, *fasthttp.Request) (*wire.Answer, error) {
	return func(n int, _ *fasthttp.Request) (*wire.Answer, error) {
		if n > len(outcomes) {
			return nil, errors.Errorf("attempt %d is one too many", n)
		}
		if err := outcomes[n-1]; err != nil {
			return nil, err
		}
		return text("done"), nil
	}
}

func notRun(r wire.Reason) error  { return wire.Refuse(r, "refused") }
func unknown(r wire.Reason) error { return wire.RefuseUnknown(r, "broke off") }
func ran(r wire.Reason) error     { return &wire.Refusal{Reason: r, Run: wire.Ran, Detail: "broke off"} }

func TestWhatFollowsAnAttempt(t *testing.T) {
	const failed = wire.RunState("settling fails")
	for _, tc := range []struct {
		name, method string
		outcomes     []error
		// settled is what settling says; empty when nothing is to be settled.
		settled wire.RunState
		// reason is empty for an answer.
		reason wire.Reason
		run    wire.RunState
	}{
		{"not run is tried again", "POST", []error{notRun(wire.ReasonBusy), nil}, "", "", ""},
		{"a move is free", "POST", []error{notRun(wire.ReasonLeaving), notRun(wire.ReasonLeaving), nil}, "", "", ""},
		{"a stale epoch is free", "POST", []error{notRun(wire.ReasonStaleEpoch), nil}, "", "", ""},
		{"attempts end", "POST", []error{notRun(wire.ReasonBusy), notRun(wire.ReasonBusy), notRun(wire.ReasonBusy)}, "", wire.ReasonBusy, wire.NotRun},
		{"settled as not run", "POST", []error{unknown(wire.ReasonUnreachable), nil}, wire.NotRun, "", ""},
		{"settled as ran", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Ran, wire.ReasonUnreachable, wire.Unknown},
		{"still running", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Running, wire.ReasonUnreachable, wire.Unknown},
		{"settled as unknown", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Unknown, wire.ReasonUnreachable, wire.Unknown},
		{"settling fails", "POST", []error{unknown(wire.ReasonUnreachable)}, failed, wire.ReasonUnreachable, wire.Unknown},
		{"an untyped error is unknown", "POST", []error{errors.New("broken")}, wire.Ran, wire.ReasonUnreachable, wire.Unknown},
		{"ran", "POST", []error{ran(wire.ReasonTargetFailed)}, "", wire.ReasonTargetFailed, wire.Unknown},
		{"died", "POST", []error{ran(wire.ReasonTargetDied)}, "", wire.ReasonTargetDied, wire.Unknown},
		{"a GET that ran is tried again", "GET", []error{ran(wire.ReasonTargetFailed), nil}, "", "", ""},
		{"not run after unknown", "GET", []error{ran(wire.ReasonTargetFailed), notRun(wire.ReasonTooLarge)}, "", wire.ReasonTooLarge, wire.Unknown},
		{"busy after unknown", "GET", []error{ran(wire.ReasonTargetFailed), notRun(wire.ReasonBusy), notRun(wire.ReasonBusy)}, "", wire.ReasonBusy, wire.Unknown},
		{"not run after settled", "POST", []error{unknown(wire.ReasonUnreachable), notRun(wire.ReasonTooLarge)}, wire.NotRun, wire.ReasonTooLarge, wire.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := open(t, steps(tc.outcomes...))
			d.gates.settled = func() (wire.RunState, error) {
				if tc.settled == failed {
					return wire.NotRun, errors.New("no answer")
				}
				return tc.settled, nil
			}
			resp := d.do(t, tc.method, "/o", "", keyed...)
			assert.Equal(t, len(d.gates.tries), len(tc.outcomes), "%s", resp.Body())
			if tc.reason == "" {
				assert.Equal(t, resp.StatusCode(), 201, "%s", resp.Body())
			} else {
				isProblem(t, resp, tc.reason, tc.run)
			}
			ids := map[wire.ID]bool{}
			for _, try := range d.gates.tries {
				ids[try.ID] = true
			}
			assert.Equal(t, len(ids), len(tc.outcomes), "each attempt has its own id")
			if tc.settled != "" {
				assert.DeepEqual(t, d.gates.settles, []wire.ID{d.gates.tries[0].ID})
			} else {
				assert.Equal(t, len(d.gates.settles), 0)
			}
		})
	}
}

func TestKeyedResendRunsOnce(t *testing.T) {
	d := open(t, steps(nil))
	named := append([]string{"Idempotency-Key", "order 1"}, keyed...)
	first := d.do(t, "POST", "/o", "body", named...)
	assert.Equal(t, first.StatusCode(), 201)
	assert.NilError(t, d.in.Shutdown(t.Context())) // the outcome has been recorded
	d2 := open(t, steps(), func(o *ingress.Options) { o.Claims = d.claims() })
	again := d2.do(t, "POST", "/o", "body", named...)
	assert.Equal(t, again.StatusCode(), 201, "%s", again.Body())
	assert.Equal(t, string(again.Body()), "done")
	assert.Equal(t, string(again.Header.Peek("X-Target")), "1")
	assert.Equal(t, d2.in.Stats().Counts().Replays, int64(1))
	isProblem(t, d2.do(t, "POST", "/o", "another body", named...), wire.ReasonKeyReused, wire.NotRun)
	assert.Equal(t, len(d2.gates.tries), 0)
	// The key of another workspace is another key.
	resp := d2.do(t, "POST", "/o", "body", "Idempotency-Key", "order 1", "X-Api-Key", other)
	assert.Equal(t, len(d2.gates.tries), 1, "%s", resp.Body())
}

func TestKeyedResendOfAnOpenClaim(t *testing.T) {
	for _, tc := range []struct {
		fate wire.RunState
		runs int
	}{{wire.NotRun, 1}, {wire.Ran, 0}, {wire.Running, 0}, {wire.Unknown, 0}} {
		t.Run(string(tc.fate), func(t *testing.T) {
			t.Parallel()
			lost := open(t, steps(unknown(wire.ReasonUnreachable)))
			lost.gates.settled = func() (wire.RunState, error) { return wire.Unknown, nil }
			named := append([]string{"Idempotency-Key", "order 1"}, keyed...)
			isProblem(t, lost.do(t, "POST", "/o", "body", named...), wire.ReasonUnreachable, wire.Unknown)
			d := open(t, steps(nil), func(o *ingress.Options) { o.Claims = lost.claims() })
			d.gates.settled = func() (wire.RunState, error) { return tc.fate, nil }
			resp := d.do(t, "POST", "/o", "body", named...)
			assert.Equal(t, len(d.gates.tries), tc.runs, "%s", resp.Body())
			assert.Equal(t, d.gates.settles[0], lost.gates.tries[0].ID)
			if tc.runs == 0 {
				isProblem(t, resp, wire.ReasonInProgress, wire.Unknown)
			} else {
				assert.Equal(t, resp.StatusCode(), 201, "%s", resp.Body())
			}
		})
	}
}

func TestKeyedRequestWithoutTheTableDoesNotRun(t *testing.T) {
	d := open(t, steps(nil, nil))
	d.table.SetFault(standin.Fault{Mode: standin.ModeDown})
	isProblem(t, d.do(t, "POST", "/o", "", append([]string{"Idempotency-Key", "k"}, keyed...)...), wire.ReasonClaimStoreOut, wire.NotRun)
	assert.Equal(t, len(d.gates.tries), 0)
	long := append([]string{"Idempotency-Key", strings.Repeat("k", 256)}, keyed...)
	isProblem(t, d.do(t, "POST", "/o", "", long...), wire.ReasonBadRequest, wire.NotRun)
	assert.Equal(t, d.do(t, "POST", "/o", "", keyed...).StatusCode(), 201)
	assert.Equal(t, d.do(t, "GET", "/o", "", "Idempotency-Key", "k", "X-Api-Key", secret).StatusCode(), 201)
}

// breaking gives its bytes and then an error.
type breaking struct{ from io.Reader }

func (b breaking) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		err = errors.New("connection reset")
	}
	return n, err
}

func TestSmallAnswerThatBreaksOff(t *testing.T) {
	script := func(n int, _ *fasthttp.Request) (*wire.Answer, error) {
		if n == 1 {
			return answerOf(breaking{strings.NewReader("do")}, 4), nil
		}
		return text("done"), nil
	}
	d := open(t, script)
	resp := d.do(t, "GET", "/o", "", keyed...)
	assert.Equal(t, resp.StatusCode(), 201)
	assert.Equal(t, string(resp.Body()), "done")
	assert.Equal(t, len(d.gates.tries), 2)

	d = open(t, script)
	isProblem(t, d.do(t, "POST", "/o", "", keyed...), wire.ReasonTargetFailed, wire.Unknown)
	assert.Equal(t, len(d.gates.tries), 1)
}

// TestLargeAnswer streams answers over the bound, with and without an announced
// length; a broken one must not look whole to the caller.
func TestLargeAnswer(t *testing.T) {
	const size = 3 << 20
	whole := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	for _, told := range []int{size, -1} {
		for _, sent := range []int{size, size / 2} {
			t.Run(fmt.Sprintf("told %d, sent %d", told, sent), func(t *testing.T) {
				var closed atomic.Int32
				d := open(t, func(int, *fasthttp.Request) (*wire.Answer, error) {
					var body io.Reader = bytes.NewReader(whole[:sent])
					if sent < size {
						body = breaking{body}
					}
					ans := answerOf(body, told)
					ans.Body = closer{body, &closed}
					return ans, nil
				})
				got, err := read(t, d.addr)
				assert.Assert(t, bytes.Equal(got, whole[:len(got)]))
				if sent == size {
					assert.NilError(t, err)
					assert.Equal(t, len(got), size)
				} else {
					assert.Assert(t, err != nil, "%d bytes passed for the whole", len(got))
				}
				assert.NilError(t, d.in.Shutdown(t.Context()))
				c := d.in.Stats().Counts()
				assert.Equal(t, closed.Load(), int32(1))
				assert.Equal(t, c.InFlight, int64(0))
				assert.Equal(t, c.Truncated == 1, sent < size)
				assert.Equal(t, len(d.gates.tries), 1)
			})
		}
	}
}

type closer struct {
	io.Reader
	n *atomic.Int32
}

func (c closer) Close() error {
	c.n.Add(1)
	return nil
}

// read gets a large answer and reads it by the standard library, which knows
// nothing of the fleet.
func read(t *testing.T, addr string) ([]byte, error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	fmt.Fprintf(conn, "GET /open HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
