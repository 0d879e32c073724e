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

// outcomeScript returns one outcome per attempt: the error, or a response for nil.
func outcomeScript(outcomes ...error) func(int, *fasthttp.Request) (*wire.Response, error) {
	return func(n int, _ *fasthttp.Request) (*wire.Response, error) {
		if n > len(outcomes) {
			return nil, errors.Errorf("attempt %d is one too many", n)
		}
		if err := outcomes[n-1]; err != nil {
			return nil, err
		}
		return textResponse("done"), nil
	}
}

func notRun(r wire.Reason) error  { return wire.Refuse(r, "refused") }
func unknown(r wire.Reason) error { return wire.RefuseUnknown(r, "connection closed") }
func ran(r wire.Reason) error {
	return &wire.Refusal{Reason: r, Run: wire.Ran, Detail: "connection closed"}
}

func TestRetryDecisions(t *testing.T) {
	const failed = wire.RunState("settling fails")
	for _, tc := range []struct {
		name, method string
		outcomes     []error
		// settled is the result of settling; empty if nothing must be settled.
		settled wire.RunState
		// reason is empty if a response is expected.
		reason wire.Reason
		run    wire.RunState
	}{
		{"not run is retried", "POST", []error{notRun(wire.ReasonBusy), nil}, "", "", ""},
		{"a reroute does not count as an attempt", "POST", []error{notRun(wire.ReasonLeaving), notRun(wire.ReasonLeaving), nil}, "", "", ""},
		{"a stale epoch does not count as an attempt", "POST", []error{notRun(wire.ReasonStaleEpoch), nil}, "", "", ""},
		{"attempts exhausted", "POST", []error{notRun(wire.ReasonBusy), notRun(wire.ReasonBusy), notRun(wire.ReasonBusy)}, "", wire.ReasonBusy, wire.NotRun},
		{"settled as not run", "POST", []error{unknown(wire.ReasonUnreachable), nil}, wire.NotRun, "", ""},
		{"settled as ran", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Ran, wire.ReasonUnreachable, wire.Unknown},
		{"still running", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Running, wire.ReasonUnreachable, wire.Unknown},
		{"settled as unknown", "POST", []error{unknown(wire.ReasonUnreachable)}, wire.Unknown, wire.ReasonUnreachable, wire.Unknown},
		{"settling fails", "POST", []error{unknown(wire.ReasonUnreachable)}, failed, wire.ReasonUnreachable, wire.Unknown},
		{"an untyped error is unknown", "POST", []error{errors.New("broken")}, wire.Ran, wire.ReasonUnreachable, wire.Unknown},
		{"ran", "POST", []error{ran(wire.ReasonTargetFailed)}, "", wire.ReasonTargetFailed, wire.Unknown},
		{"died", "POST", []error{ran(wire.ReasonTargetDied)}, "", wire.ReasonTargetDied, wire.Unknown},
		{"a GET that ran is retried", "GET", []error{ran(wire.ReasonTargetFailed), nil}, "", "", ""},
		{"not run after unknown", "GET", []error{ran(wire.ReasonTargetFailed), notRun(wire.ReasonTooLarge)}, "", wire.ReasonTooLarge, wire.Unknown},
		{"busy after unknown", "GET", []error{ran(wire.ReasonTargetFailed), notRun(wire.ReasonBusy), notRun(wire.ReasonBusy)}, "", wire.ReasonBusy, wire.Unknown},
		{"not run after settled", "POST", []error{unknown(wire.ReasonUnreachable), notRun(wire.ReasonTooLarge)}, wire.NotRun, wire.ReasonTooLarge, wire.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := startIngress(t, outcomeScript(tc.outcomes...))
			d.gates.settleResult = func() (wire.RunState, error) {
				if tc.settled == failed {
					return wire.NotRun, errors.New("no answer")
				}
				return tc.settled, nil
			}
			resp := d.do(t, tc.method, "/o", "", keyHeader...)
			assert.Equal(t, len(d.gates.attempts), len(tc.outcomes), "%s", resp.Body())
			if tc.reason == "" {
				assert.Equal(t, resp.StatusCode(), 201, "%s", resp.Body())
			} else {
				assertProblem(t, resp, tc.reason, tc.run)
			}
			ids := map[wire.ID]bool{}
			for _, try := range d.gates.attempts {
				ids[try.ID] = true
			}
			assert.Equal(t, len(ids), len(tc.outcomes), "each attempt has its own id")
			if tc.settled != "" {
				assert.DeepEqual(t, d.gates.settles, []wire.ID{d.gates.attempts[0].ID})
			} else {
				assert.Equal(t, len(d.gates.settles), 0)
			}
		})
	}
}

func TestIdempotencyKeyReplaysResponse(t *testing.T) {
	d := startIngress(t, outcomeScript(nil))
	named := append([]string{"Idempotency-Key", "order 1"}, keyHeader...)
	first := d.do(t, "POST", "/o", "body", named...)
	assert.Equal(t, first.StatusCode(), 201)
	assert.NilError(t, d.in.Shutdown(t.Context())) // the outcome has been recorded
	d2 := startIngress(t, outcomeScript(), func(o *ingress.Options) { o.Claims = d.claims() })
	again := d2.do(t, "POST", "/o", "body", named...)
	assert.Equal(t, again.StatusCode(), 201, "%s", again.Body())
	assert.Equal(t, string(again.Body()), "done")
	assert.Equal(t, string(again.Header.Peek("X-Target")), "1")
	assert.Equal(t, d2.in.Stats().Counts().Replays, int64(1))
	assertProblem(t, d2.do(t, "POST", "/o", "another body", named...), wire.ReasonIdempotencyKeyReused, wire.NotRun)
	assert.Equal(t, len(d2.gates.attempts), 0)
	// Idempotency keys are scoped to the workspace.
	resp := d2.do(t, "POST", "/o", "body", "Idempotency-Key", "order 1", "X-Api-Key", other)
	assert.Equal(t, len(d2.gates.attempts), 1, "%s", resp.Body())
}

func TestIdempotencyKeyWithOpenClaim(t *testing.T) {
	for _, tc := range []struct {
		fate wire.RunState
		runs int
	}{{wire.NotRun, 1}, {wire.Ran, 0}, {wire.Running, 0}, {wire.Unknown, 0}} {
		t.Run(string(tc.fate), func(t *testing.T) {
			t.Parallel()
			lost := startIngress(t, outcomeScript(unknown(wire.ReasonUnreachable)))
			lost.gates.settleResult = func() (wire.RunState, error) { return wire.Unknown, nil }
			named := append([]string{"Idempotency-Key", "order 1"}, keyHeader...)
			assertProblem(t, lost.do(t, "POST", "/o", "body", named...), wire.ReasonUnreachable, wire.Unknown)
			d := startIngress(t, outcomeScript(nil), func(o *ingress.Options) { o.Claims = lost.claims() })
			d.gates.settleResult = func() (wire.RunState, error) { return tc.fate, nil }
			resp := d.do(t, "POST", "/o", "body", named...)
			assert.Equal(t, len(d.gates.attempts), tc.runs, "%s", resp.Body())
			assert.Equal(t, d.gates.settles[0], lost.gates.attempts[0].ID)
			if tc.runs == 0 {
				assertProblem(t, resp, wire.ReasonInProgress, wire.Unknown)
			} else {
				assert.Equal(t, resp.StatusCode(), 201, "%s", resp.Body())
			}
		})
	}
}

func TestIdempotencyKeyRefusedDuringTableOutage(t *testing.T) {
	d := startIngress(t, outcomeScript(nil, nil))
	d.table.SetFault(standin.Fault{Mode: standin.ModeDown})
	assertProblem(t, d.do(t, "POST", "/o", "", append([]string{"Idempotency-Key", "k"}, keyHeader...)...), wire.ReasonClaimStoreUnavailable, wire.NotRun)
	assert.Equal(t, len(d.gates.attempts), 0)
	long := append([]string{"Idempotency-Key", strings.Repeat("k", 256)}, keyHeader...)
	assertProblem(t, d.do(t, "POST", "/o", "", long...), wire.ReasonBadRequest, wire.NotRun)
	assert.Equal(t, d.do(t, "POST", "/o", "", keyHeader...).StatusCode(), 201)
	assert.Equal(t, d.do(t, "GET", "/o", "", "Idempotency-Key", "k", "X-Api-Key", secret).StatusCode(), 201)
}

// failingReader returns an error after the bytes of from.
type failingReader struct{ from io.Reader }

func (b failingReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		err = errors.New("connection reset")
	}
	return n, err
}

func TestTruncatedSmallResponse(t *testing.T) {
	script := func(n int, _ *fasthttp.Request) (*wire.Response, error) {
		if n == 1 {
			return newResponse(failingReader{strings.NewReader("do")}, 4), nil
		}
		return textResponse("done"), nil
	}
	d := startIngress(t, script)
	resp := d.do(t, "GET", "/o", "", keyHeader...)
	assert.Equal(t, resp.StatusCode(), 201)
	assert.Equal(t, string(resp.Body()), "done")
	assert.Equal(t, len(d.gates.attempts), 2)

	d = startIngress(t, script)
	assertProblem(t, d.do(t, "POST", "/o", "", keyHeader...), wire.ReasonTargetFailed, wire.Unknown)
	assert.Equal(t, len(d.gates.attempts), 1)
}

// TestLargeResponse streams responses above maxBuffered, with and without a
// declared length. The caller must be able to detect a truncated response.
func TestLargeResponse(t *testing.T) {
	const size = 3 << 20
	whole := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	for _, declared := range []int{size, -1} {
		for _, sent := range []int{size, size / 2} {
			t.Run(fmt.Sprintf("declared %d, sent %d", declared, sent), func(t *testing.T) {
				var closed atomic.Int32
				d := startIngress(t, func(int, *fasthttp.Request) (*wire.Response, error) {
					var body io.Reader = bytes.NewReader(whole[:sent])
					if sent < size {
						body = failingReader{body}
					}
					ans := newResponse(body, declared)
					ans.Body = countingCloser{body, &closed}
					return ans, nil
				})
				got, err := read(t, d.addr)
				assert.Assert(t, bytes.Equal(got, whole[:len(got)]))
				if sent == size {
					assert.NilError(t, err)
					assert.Equal(t, len(got), size)
				} else {
					assert.Assert(t, err != nil, "truncated response of %d bytes read without error", len(got))
				}
				assert.NilError(t, d.in.Shutdown(t.Context()))
				c := d.in.Stats().Counts()
				assert.Equal(t, closed.Load(), int32(1))
				assert.Equal(t, c.InFlight, int64(0))
				assert.Equal(t, c.Truncated == 1, sent < size)
				assert.Equal(t, len(d.gates.attempts), 1)
			})
		}
	}
}

type countingCloser struct {
	io.Reader
	n *atomic.Int32
}

func (c countingCloser) Close() error {
	c.n.Add(1)
	return nil
}

// read requests a large response and parses it with net/http, an independent
// HTTP implementation.
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
