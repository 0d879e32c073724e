package hostd

import (
	"cmp"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/rawanswer"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// breakTarget replaces the target of a host by one that answers with broken answers in turn. It
// returns the number of attempts that the target has got.
func (f *testFleet) breakTarget(h *testHostd) *atomic.Int64 {
	f.t.Helper()
	addr := h.target.Addr()
	h.target.Close()
	h.gate.links.CloseIdle(addr)
	attempts := &atomic.Int64{}
	target, err := rawanswer.StartAt(addr, func(head *fasthttp.RequestHeader, _ int) (string, int, bool) {
		attempt := standin.AttemptOf(head)
		if attempt == "" {
			return "", 0, true // a probe
		}
		fields := strings.TrimPrefix(standin.SignedHead, "HTTP/1.1 200 OK\r\n") + standin.AttemptHeader(attempt)
		c := rawanswer.Broken[int(attempts.Add(1))%len(rawanswer.Broken)]
		return c.Bytes(cmp.Or(c.Only, rawanswer.Length), fields), 0, false
	})
	assert.NilError(f.t, err)
	f.t.Cleanup(target.Close)
	return attempts
}

// Guards what callers see if all targets send invalid answers: never an answer, and for an order
// that has run a status that promises nothing, after a single run.
func TestCallersGetNoBrokenAnswer(t *testing.T) {
	f := newFleet(t, 2)
	broken := []*atomic.Int64{f.breakTarget(f.hosts[0]), f.breakTarget(f.hosts[1])}
	ran := 0
	for n := range 20 {
		before := broken[0].Load() + broken[1].Load()
		order, err := f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("order-%d", n), Method: "POST", URI: "/order/1", Body: "b", Key: testKey})
		assert.NilError(t, err)
		switch runs := broken[0].Load() + broken[1].Load() - before; runs {
		case 0:
			assert.Equal(t, order.Status, fasthttp.StatusServiceUnavailable)
		case 1:
			assert.Equal(t, order.Status, fasthttp.StatusBadGateway)
			ran++
		default:
			t.Fatalf("an order was sent %d times", runs)
		}
		read, err := f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("read-%d", n), URI: "/read/1", Key: testKey})
		assert.NilError(t, err)
		assert.Assert(t, read.Status >= fasthttp.StatusInternalServerError, "status %d", read.Status)
	}
	t.Logf("%d of 20 orders met a target", ran)
	assert.Assert(t, ran > 0, "no order met a target")
}

// Guards against a read that fails although another target can serve it.
func TestReadWithABrokenAnswerIsServedElsewhere(t *testing.T) {
	f := newFleet(t, 2)
	broken := f.breakTarget(f.hosts[0])
	for n := 0; broken.Load() == 0; n++ {
		assert.Assert(t, n < 100, "no read met the broken target")
		r, err := f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("read-%d", n), URI: "/read/1", Key: testKey})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, fasthttp.StatusOK)
		assert.Equal(t, f.runsOf(fmt.Sprintf("read-%d", n)), 1)
	}
	f.await("the refused answer is in the log", func() bool { return f.hosts[0].logs.count("answer-invalid") > 0 })
}

// Guards against an answer of a target that is valid at its gate and refused between the hosts,
// which write and validate it once more.
func TestSoundAnswersReachCallersOfOtherHosts(t *testing.T) {
	f := newFleet(t, 2)
	from, to := f.hosts[0], f.hosts[1]
	_, err := from.target.SignOff(from.settings.AnnounceListen)
	assert.NilError(t, err)
	f.await("the caller's host has no target", func() bool { return len(from.control.View().Targets("svc")) == 1 })
	var answer atomic.Pointer[func(fields string) string]
	// last is set if the answer ends with its connection, as its framing or version says.
	// After others the connection is kept: the gate may already have sent the next order on it.
	var last atomic.Bool
	addr := to.target.Addr()
	to.target.Close()
	to.gate.links.CloseIdle(addr)
	target, err := rawanswer.StartAt(addr, func(head *fasthttp.RequestHeader, _ int) (string, int, bool) {
		fields := strings.TrimPrefix(standin.SignedHead, "HTTP/1.1 200 OK\r\n") + standin.AttemptHeader(standin.AttemptOf(head))
		return (*answer.Load())(fields), 0, last.Load()
	})
	assert.NilError(t, err)
	defer target.Close()
	for _, c := range rawanswer.Sound {
		for _, framing := range rawanswer.Framings {
			if !c.Has(framing) {
				continue
			}
			build := func(fields string) string { return c.Bytes(framing, fields) }
			answer.Store(&build)
			last.Store(framing == rawanswer.Unframed || strings.HasPrefix(c.Name, "HTTP/1.0"))
			id := fmt.Sprintf("%s, %s", c.Name, framing)
			r, err := from.call(standin.Call{Attempt: strings.ReplaceAll(id, " ", "-"), Method: "POST", URI: "/order/1", Body: "b", Key: testKey})
			assert.NilError(t, err, id)
			assert.Equal(t, r.Status, fasthttp.StatusOK, id)
			assert.Equal(t, r.Body, rawanswer.Body, id)
			assert.Assert(t, r.Signed, id)
		}
	}
}
