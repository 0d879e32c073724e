package hostd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

func newTestGate(t *testing.T) (*Gate, *[]Target) {
	t.Helper()
	set := &karpithaz.Settings{Host: "h", DataCentre: "dc", Service: "svc", TargetAddress: "127.0.0.1:1", GateListen: "127.0.0.1:2"}
	var announced []Target
	written := make(chan struct{})
	close(written)
	view := newView(nil, nil, nil, true, time.Now())
	g := NewGate(func() *karpithaz.Settings { return set }, func() *View { return view },
		func(row Target) <-chan struct{} { announced = append(announced, row); return written }, decisions.New(&logBuffer{}), metrics.New())
	return g, &announced
}

func newHeartbeat(id string, born, sequence int64, leaving bool) karpithaz.Heartbeat {
	return karpithaz.Heartbeat{Target: id, Service: "svc", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 1, StartedAtMillis: born, Sequence: sequence, Leaving: leaving}
}

// Guards against a request being sent again, and reported as not run, after the
// target's kept-alive connection broke while it was being processed. The target
// may have run it.
func TestBreakInTheMiddleOfWorkMayHaveRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests := make(chan string, 8)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			var req fasthttp.Request
			if req.Read(br) != nil {
				return
			}
			requests <- string(req.Header.RequestURI())
			if n == 1 {
				time.Sleep(100 * time.Millisecond)
				l.Close()
				c.Close()
				return
			}
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the gate sees the failure
		}
	}()
	g, _ := newTestGate(t)
	b := newHeartbeat("a", 1, 1, false)
	b.Address = l.Addr().String()
	g.applyHeartbeat(b, time.Now())
	send := func(attempt string) Reply {
		req := &fasthttp.Request{}
		req.Header.SetRequestURI("/" + attempt)
		req.Header.SetHost("h")
		return g.Forward(context.Background(), Forward{Attempt: attempt, Target: "a", TimeLeftMs: 2000, MaxGray: 1, Repeatable: true, Route: "r", ObjectiveMs: 100}, req, nil)
	}
	assert.Assert(t, send("first").Answer != nil)
	r := send("second")
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run != wire.NotRun, "%+v", r.Refusal)
	assert.Equal(t, len(requests), 2)
}

func TestHeartbeatsOrderByLifeAndSequence(t *testing.T) {
	cases := []struct {
		name    string
		beats   []karpithaz.Heartbeat
		target  string
		leaving bool
	}{
		{"new incarnation with a new id", []karpithaz.Heartbeat{newHeartbeat("a", 1, 5, false), newHeartbeat("b", 2, 1, false)}, "b", false},
		{"new incarnation with the same id", []karpithaz.Heartbeat{newHeartbeat("a", 1, 5, true), newHeartbeat("a", 2, 1, false)}, "a", false},
		{"late heartbeat of an earlier incarnation", []karpithaz.Heartbeat{newHeartbeat("b", 2, 1, false), newHeartbeat("a", 1, 9, false)}, "b", false},
		{"late heartbeat of the same incarnation", []karpithaz.Heartbeat{newHeartbeat("a", 1, 2, true), newHeartbeat("a", 1, 1, false)}, "a", true},
		{"leaving is final", []karpithaz.Heartbeat{newHeartbeat("a", 1, 1, true), newHeartbeat("a", 1, 2, false)}, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newTestGate(t)
			for _, b := range c.beats {
				g.applyHeartbeat(b, time.Now())
			}
			assert.Equal(t, g.target.id, c.target)
			assert.Equal(t, g.target.leaving, c.leaving)
		})
	}
}

func TestTargetThatLeftIsNotAnnounced(t *testing.T) {
	g, announced := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
	g.markLeaving("other")
	assert.Equal(t, len(*announced), 1)
	g.markLeaving("a")
	assert.Equal(t, len(*announced), 2)
	assert.Assert(t, (*announced)[1].Departed)
}

// Guards against a restarted gate reporting "not sent" for attempts sent by its
// predecessor, which made orders run twice.
func TestWithdrawOfAnotherLifeMayHaveRun(t *testing.T) {
	g, _ := newTestGate(t)
	assert.Assert(t, g.Withdraw("x", g.incarnation+1), "another incarnation")
	assert.Assert(t, g.Withdraw("x", 0), "unknown incarnation")
	assert.Assert(t, !g.Withdraw("x", g.incarnation), "not sent by this incarnation")
}

func TestWithdrawnAttemptNeverRuns(t *testing.T) {
	g, _ := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
	assert.Assert(t, !g.Withdraw("x", g.incarnation))
	r := g.Forward(context.Background(), Forward{Attempt: "x", Target: "a", TimeLeftMs: 1000, MaxGray: 1}, &fasthttp.Request{}, nil)
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.NotRun)
	assert.Equal(t, r.Refusal.Reason, wire.ReasonSettled)
}

func TestSentAttemptCannotBeWithdrawn(t *testing.T) {
	g, _ := newTestGate(t)
	g.records.Send("x", time.Now(), time.Now())
	assert.Assert(t, g.Withdraw("x", g.incarnation))
}

func TestWithdrawTakesAWaitingAttemptOutOfTheLine(t *testing.T) {
	g, _ := newTestGate(t)
	now := time.Now()
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), now)
	f := Forward{Attempt: "first", Target: "a", TimeLeftMs: 5000, MaxGray: 1, ObjectiveMs: 1000, Route: "r"}
	_, refusal := g.admit(context.Background(), f, now)
	assert.Assert(t, refusal == nil)
	f.Attempt, f.MaxWaitMs = "second", 4000
	refused := make(chan *wire.Refusal, 1)
	go func() {
		_, r := g.admit(context.Background(), f, now)
		refused <- r
	}()
	for range 100 {
		if g.report().Waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !g.Withdraw("second", g.incarnation))
	r := <-refused
	assert.Equal(t, r.Run, wire.NotRun)
	assert.Equal(t, g.report().Waiting, 0)
}

// Failures caused by failed calls are not evidence against the target.
func TestFailedCallExcusesOneFailure(t *testing.T) {
	g, _ := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
	g.RecordCallFailure()
	now := time.Now()
	assert.Assert(t, g.target.takeExcuse(now))
	assert.Assert(t, !g.target.takeExcuse(now))
	g.RecordCallFailure()
	assert.Assert(t, !g.target.takeExcuse(now.Add(2*excuseWindow)), "too late")
}

func TestRefusalsKeepTheirPromise(t *testing.T) {
	cases := []struct {
		refusal *wire.Refusal
		promise bool
	}{
		{wire.Refuse(wire.ReasonBusy, ""), true},
		{wire.Refuse(wire.ReasonTimeout, ""), true},
		{wire.Refuse(wire.ReasonUnreachable, ""), true},
		{wire.RefuseUnknown(wire.ReasonUnreachable, ""), false},
		{wire.RefuseUnknown(wire.ReasonTimeout, ""), false},
		{wire.RefuseUnknown(wire.ReasonDuplicateAttempt, ""), false},
		{wire.RefuseUnknown(wire.ReasonTargetFailed, ""), false},
	}
	for _, c := range cases {
		status := statusFor(c.refusal)
		promises := status == 408 || status == 421 || status == 429 || status == 503
		assert.Equal(t, promises, c.promise, "%s (%s) is answered %d", c.refusal.Reason, c.refusal.Run, status)
	}
}

// A target that sheds requests although the gate, its only caller, has left it a
// slot is failing like one that answers with errors.
func TestShedRequestsAreEvidenceOfAGrayTarget(t *testing.T) {
	g, _ := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
	shed := &Answer{}
	standin.WriteShed(&shed.Header)
	before := g.target.filter.Probability(time.Now())
	for _, late := range []bool{true, false} {
		now := time.Now()
		tk, refusal := g.admit(context.Background(), Forward{Attempt: "r", Target: "a", TimeLeftMs: 1000, MaxGray: 1, Repeatable: true, Route: "r", ObjectiveMs: 100}, now)
		assert.Assert(t, refusal == nil)
		if late {
			tk.deadline = now
		}
		reply := g.finishExchange(tk, shed, nil)
		assert.Equal(t, reply.Refusal.Reason, wire.ReasonTargetShed)
		assert.Equal(t, reply.Refusal.Run, wire.NotRun)
		if p := g.target.filter.Probability(time.Now()); late {
			assert.Assert(t, p < before+0.05, "a request that was too late is no evidence: %.2f", p)
		} else {
			assert.Assert(t, p > grayLimitOnce, "%.2f", p)
		}
	}
}

// A warm target whose requests vary too much to be evidence of warmth is probed
// near its cold bound and gets more than that.
func TestGateProbesATargetNearItsColdBound(t *testing.T) {
	target, err := standin.StartTarget("a", "svc", "127.0.0.1:0", 4, 0)
	assert.NilError(t, err)
	defer target.Close()
	cfg, err := karpithaz.DecodeConfig(standin.EncodeConfig(1, []string{"svc"}, defaultRoutes(), nil))
	assert.NilError(t, err)
	svc, _ := cfg.Service("svc")
	svc.ColdRate = 10
	view := newView(cfg, nil, nil, true, time.Now())
	set := &karpithaz.Settings{Host: "h", DataCentre: "dc", Service: "svc", TargetAddress: target.Addr(), Bounds: karpithaz.Bounds{ColdRateFactor: 1.5}}
	written := make(chan struct{})
	g := NewGate(func() *karpithaz.Settings { return set }, func() *View { return view },
		func(Target) <-chan struct{} { return written }, decisions.New(&logBuffer{}), metrics.New())
	defer g.Close()
	b := newHeartbeat("a", 1, 1, false)
	b.Address, b.Slots = target.Addr(), 4
	g.applyHeartbeat(b, time.Now())
	g.target.startLimit.Proven(time.Now(), time.Now()) // its start is long past
	bound := g.target.coldLimit(svc, set.Bounds)
	const seconds = 2
	var served atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(seconds * time.Second)
	for caller := range 3 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				target.SetWork(time.Duration(n%2) * 60 * time.Millisecond)
				f := Forward{Attempt: fmt.Sprintf("p-%d-%d", caller, n), Target: "a", TimeLeftMs: 1000, MaxGray: 1, Route: "r", ObjectiveMs: 100}
				req := &fasthttp.Request{}
				standin.Call{Attempt: f.Attempt, Host: testHost, URI: "/read/1", Timeout: time.Second}.Write(req)
				if g.Forward(context.Background(), f, req, nil).Answer != nil {
					served.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	t.Logf("%d requests in %d s where a cold target bears %d a second", served.Load(), seconds, bound)
	assert.Assert(t, served.Load() > int64(2*bound*seconds))
}

// A gate accepts a request for the target that its sender knows on the host if one of
// the same service has replaced it. After a loss of power of the whole fleet, the
// hosts learn each other's new targets only seconds later.
func TestGateAcceptsForTheTargetThatReplacedAnother(t *testing.T) {
	for _, c := range []struct {
		name, target, service string
		refused               wire.Reason
	}{
		{"the target itself", "new", "svc", ""},
		{"the one before it", "old", "svc", ""},
		{"one of another service before it", "old", "other", wire.ReasonNoTarget},
		{"a sender that names no service", "old", "", wire.ReasonNoTarget},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newTestGate(t)
			g.applyHeartbeat(newHeartbeat("new", 2, 1, false), time.Now())
			_, refusal := g.admit(context.Background(), Forward{Attempt: "r", Target: c.target, Service: c.service, TimeLeftMs: 1000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, time.Now())
			if c.refused == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				return
			}
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Reason, c.refused)
		})
	}
	g, _ := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("new", 2, 1, false), time.Now())
	g.applyHeartbeat(newHeartbeat("new", 2, 2, true), time.Now())
	_, refusal := g.admit(context.Background(), Forward{Attempt: "r", Target: "old", Service: "svc", TimeLeftMs: 1000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, time.Now())
	assert.Assert(t, refusal != nil && refusal.Reason == wire.ReasonLeaving, "%v", refusal)
}

// A target that answers 503 or 429 without stating that it has not run the request would
// have its callers send an order again that has run.
func TestTargetsStatusAloneDoesNotSayNotRun(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g, _ := newTestGate(t)
			h := newHeartbeat("a", 1, 1, false)
			h.Address = startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				var req fasthttp.Request
				if req.Read(br) == nil {
					fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, standin.AttemptHeader("a")) //nolint:errcheck // the gate sees the failure
				}
			})
			g.applyHeartbeat(h, time.Now())
			req := &fasthttp.Request{}
			req.SetRequestURI("/")
			req.Header.SetHost("h")
			r := g.Forward(context.Background(), Forward{Attempt: "a", Target: "a", TimeLeftMs: 2000, MaxGray: 1, Route: "r", ObjectiveMs: 100}, req, nil)
			assert.Assert(t, r.Refusal != nil && statusFor(r.Refusal) == 502, "%+v", r)
			assert.Assert(t, g.Withdraw("a", g.incarnation), "the attempt may have run")
		})
	}
}

// A read that was sent twice, as its connection broke, and of which the second copy was
// refused may have run as the first.
func TestRetransmittedReadMayHaveRun(t *testing.T) {
	g, _ := newTestGate(t)
	var connections atomic.Int64
	h := newHeartbeat("a", 1, 1, false)
	h.Address = startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		first := connections.Add(1) == 1
		for n := 0; ; n++ {
			var req fasthttp.Request
			if req.Read(br) != nil || first && n == 1 {
				return
			}
			attempt := standin.AttemptOf(&req.Header)
			if !first {
				io.WriteString(c, standin.Refusal(attempt)) //nolint:errcheck // the gate sees the failure
				return
			}
			fmt.Fprintf(c, "%sContent-Length: 0\r\n%s\r\n", standin.SignedHead, standin.AttemptHeader(attempt)) //nolint:errcheck // the gate sees the failure
		}
	})
	g.applyHeartbeat(h, time.Now())
	for _, attempt := range []string{"warm", "a"} {
		req := &fasthttp.Request{}
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		standin.SetAttempt(&req.Header, attempt)
		r := g.Forward(context.Background(), Forward{Attempt: attempt, Target: "a", TimeLeftMs: 2000, MaxGray: 1, Repeatable: true, Route: "r", ObjectiveMs: 100}, req, nil)
		if attempt == "a" {
			assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.Unknown, "%+v", r)
		}
	}
	assert.Assert(t, g.Withdraw("a", g.incarnation), "the attempt may have run")
}
