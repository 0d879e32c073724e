package hostd

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Guards against calls that repeats make beside the retry budget of the service that they
// call: on a day with repeats of one service, 440 such calls and 384 repeats of its own took another
// service over its budget of 813.
func TestCallsOfRepeatsUseTheBudgetOfTheServiceTheyCall(t *testing.T) {
	g := &scriptedGates{forward: func(context.Context, Target, Forward, func()) Reply { return replyWithStatus(200) }}
	in := newTestIngress(t, g, "a", "b")
	call := func(attempt, uri string) {
		in.Handle(context.Background(), newExchange(attempt, "GET", uri, time.Second))
	}
	budget := in.retriesOf("svc").budget
	call("c1", "/inner/1")
	assert.Assert(t, budget.Withdraw(), "a call of a first attempt leaves the budget as it is")
	in.repeatShare = func() float64 { return 0.5 }
	for range 4 {
		call("c2", "/inner/1") // each earns 0.2 and costs 0.5 of a retry
	}
	in.repeatShare = func() float64 { return 0 }
	granted := 0
	for range 8 {
		call("c3", "/inner/1")
		if budget.Withdraw() {
			granted++
		}
	}
	assert.Equal(t, granted, 0, "the debt of the calls is not repaid yet")
}

// Guards against counting the calls of a target as those of repeats when it runs none.
func TestGateKnowsItsShareOfRepeats(t *testing.T) {
	g, _ := newTestGate(t)
	target, err := standin.StartTarget("a", "svc", "127.0.0.1:0", 4, 300*time.Millisecond)
	assert.NilError(t, err)
	defer target.Close()
	h := newHeartbeat("a", 1, 1, false)
	h.Address, h.Slots = target.Addr(), 4
	g.applyHeartbeat(h, time.Now())
	assert.Equal(t, g.repeatShare(), 0.0)
	done := make(chan struct{})
	for i, repeat := range []bool{false, true} {
		sent := make(chan struct{})
		go func() {
			req := &fasthttp.Request{}
			req.Header.SetRequestURI("/r")
			req.Header.SetHost("h")
			id := string(rune('x' + i))
			standin.SetAttempt(&req.Header, id)
			g.Forward(context.Background(), Forward{Attempt: id, Target: "a", TimeLeftMs: 2000, MaxGray: 1, Route: "r", ObjectiveMs: 100, Repeat: repeat}, req, func() { close(sent) })
			done <- struct{}{}
		}()
		<-sent
	}
	assert.Equal(t, g.repeatShare(), 0.5)
	<-done
	<-done
	assert.Equal(t, g.repeatShare(), 0.0)
}
