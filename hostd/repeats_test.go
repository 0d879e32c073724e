package hostd

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// cutOrder is an order that runs at the second host's target, whose reply is lost, as the
// path back from that host is cut.
type cutOrder struct {
	*testFleet
	relay    *streamRelay
	gate     *testHostd
	answered chan standin.Result
}

const cutOrderID = "a"

// startCutOrder returns when the target has answered. answerBytes is the size of its answer,
// 0 for a small one.
func startCutOrder(t *testing.T, answerBytes int, body string) *cutOrder {
	t.Helper()
	f, relay := newRelayedFleet(t)
	return startCutOrderIn(f, relay, answerBytes, body)
}

func startCutOrderIn(f *testFleet, relay *streamRelay, answerBytes int, body string) *cutOrder {
	t := f.t
	t.Helper()
	o := &cutOrder{testFleet: f, relay: relay, gate: f.hosts[1], answered: make(chan standin.Result, 1)}
	o.gate.target.SetAnswerBytes(answerBytes)
	o.gate.target.SetWork(500 * time.Millisecond)
	go func() {
		r, err := f.hosts[0].call(standin.Call{Attempt: cutOrderID, Method: "POST", URI: "/long/1", Body: body, Key: testKey, Timeout: 15 * time.Second})
		if err != nil {
			t.Log(err)
		}
		o.answered <- r
	}()
	f.await("running", func() bool { return f.runsOf(cutOrderID) == 1 })
	relay.cutBack.Store(true)
	f.await("answered by the target", func() bool { return o.held() })
	// The gate logs that before it sends the reply, which must meet the cut.
	f.await("lost behind the cut", relay.dropped.Load)
	return o
}

// held reports whether the attempt has ended at its gate.
func (o *cutOrder) held() bool {
	for line := range strings.Lines(o.gate.logs.String()) {
		if strings.Contains(line, `"msg":"target-answered"`) && strings.Contains(line, `"id":"`+cutOrderID+`"`) {
			return true
		}
	}
	return false
}

// outlastRetention waits until the gate keeps no reply of a repeatable attempt that ended
// before.
func (o *cutOrder) outlastRetention() {
	time.Sleep(replyRetention + 100*time.Millisecond)
	o.gate.runs.sweep(time.Now())
}

// checkAnswered heals the path and checks that the order's caller gets its answer and that
// the order has run once.
func (o *cutOrder) checkAnswered() {
	o.t.Helper()
	o.relay.cutBack.Store(false)
	r := <-o.answered
	assert.Check(o.t, o.runsOf(cutOrderID) == 1, "the order ran %d times", o.runsOf(cutOrderID))
	assert.Check(o.t, r.Status == 200, "status %d for an order that ran, whose answer the gate had: %s", r.Status, r.Body)
	assert.Check(o.t, r.Signed)
}

// Guards against an order that runs twice: its answer was held behind a cut for 8 s, its
// gate had forgotten it after 4 s, and refused a repeat as not run since the target refused
// a connection a moment before. The order was then offered to another target.
func TestOrderWhoseAnswerIsBehindACutRunsOnce(t *testing.T) {
	t.Parallel()
	f, relay := newRelayedFleet(t)
	other := f.add(3, f.settings(3))
	f.await("the third target is known", func() bool { return len(f.hosts[0].control.View().Targets("svc")) == 2 })
	setDown := func(h *testHostd, until time.Time) {
		h.gate.mu.Lock()
		defer h.gate.mu.Unlock()
		h.gate.target.downUntil = until
	}
	setDown(other, time.Now().Add(time.Minute)) // until the order is at the second host
	o := startCutOrderIn(f, relay, 0, "")
	setDown(other, time.Time{})
	o.outlastRetention()
	o.gate.target.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // requests of others, which find that the target refuses connections
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("other-%d", i)
			req := &fasthttp.Request{}
			standin.Call{Attempt: id, Host: testHost, URI: "/read/1", Timeout: time.Second}.Write(req)
			o.gate.gate.Forward(context.Background(), Forward{Attempt: id, Target: o.gate.target.ID, Service: "svc", TimeLeftMs: 1000, Route: "read", Revision: 1, ObjectiveMs: 400, MaxGray: 1, Repeatable: true}, req, nil)
		}
	}()
	o.checkAnswered()
}

// gateRefusals are the reasons for which a gate refuses every offer, each of which used to
// be checked before whether the attempt had been sent.
var gateRefusals = []struct {
	name  string
	begin func(o *cutOrder)
}{
	{"host stopping", func(o *cutOrder) { o.gate.gate.Stop() }},
	{"another target", func(o *cutOrder) {
		o.gate.gate.mu.Lock()
		defer o.gate.gate.mu.Unlock()
		o.gate.gate.target.id, o.gate.gate.target.service = "i-other", "other"
	}},
	{"target leaving", func(o *cutOrder) {
		status, err := o.gate.target.Announce(o.gate.settings.AnnounceListen, o.gate.settings.DataCentre, "draining")
		assert.NilError(o.t, err)
		assert.Equal(o.t, status, 200)
	}},
	{"data centre out", func(o *cutOrder) {
		o.store.Put(karpithaz.OperatorTable, "evacuate/dc-a", []byte("{}"))
		o.await("evacuated", func() bool { return o.gate.control.View().Evacuated("dc-a") })
	}},
	{"connection refused", func(o *cutOrder) {
		o.gate.gate.mu.Lock()
		defer o.gate.gate.mu.Unlock()
		o.gate.gate.target.downUntil = time.Now().Add(time.Minute)
	}},
}

// Guards against a refusal of a repeat that says "not run" of an order that has run.
func TestGateThatRefusesOffersGivesTheAnswerThatItHolds(t *testing.T) {
	for _, c := range gateRefusals {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := startCutOrder(t, 0, "")
			o.outlastRetention()
			c.begin(o)
			o.checkAnswered()
		})
	}
}

// Guards against "not run" of an order whose answer was too large to be held.
func TestOrderWithAnAnswerTooLargeToHoldIsNotRefusedAsNotRun(t *testing.T) {
	for _, c := range gateRefusals {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := startCutOrder(t, maxRetainedReply+1, "")
			c.begin(o)
			o.relay.cutBack.Store(false)
			r := <-o.answered
			assert.Equal(t, o.runsOf(cutOrderID), 1)
			assert.Equal(t, r.Status, 502, "%s", r.Body)
		})
	}
}

// Guards against sending the body of a request with each repeat, although the gate has the
// attempt: five repeats of 60 KB take a quarter of a second of a link of 10 Mbit/s.
func TestRepeatOfAnAttemptThatTheGateHasIsSentWithoutTheBody(t *testing.T) {
	t.Parallel()
	const bodyBytes = 300 << 10
	o := startCutOrder(t, 0, strings.Repeat("b", bodyBytes))
	before := o.relay.forwarded.Load()
	o.await("asked twice", func() bool { return o.gate.logs.count("record-asked") >= 2 })
	o.checkAnswered()
	again := o.relay.forwarded.Load() - before
	assert.Assert(t, again < bodyBytes/10, "%d bytes for repeats", again)
}

// Guards against giving up on an order whose connection has broken, as the kernel does with one
// on which nothing is acknowledged for 1.5 s, while its gate says that it has the order.
func TestAnswerBehindACutReachesItsCallerAfterItsConnectionHasBroken(t *testing.T) {
	t.Parallel()
	o := startCutOrder(t, 0, "")
	for cut := time.Now(); time.Since(cut) < 2*heartbeatTimeout; time.Sleep(heartbeatTimeout / 4) {
		o.relay.reset()
	}
	o.checkAnswered()
}
