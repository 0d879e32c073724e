package hostd

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

func replyOf(size int) Reply {
	r := replyWithStatus(200)
	r.Answer.Body = make([]byte, size)
	return r
}

func finishedRun(rs *runs, attempt string, repeatable bool, reply Reply) *attemptRun {
	r := rs.start(Forward{Attempt: attempt, Repeatable: repeatable}, func(context.Context, func()) Reply { return reply })
	<-r.done
	return r
}

func held(rs *runs, attempt string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.byAttempt[attempt] != nil
}

func TestRepliesAreHeldWithinBounds(t *testing.T) {
	rs := newRuns(notSent)
	const size = 100 << 10
	const last = 2 * maxRetainedReplies / size
	for i := range last + 1 {
		finishedRun(rs, fmt.Sprint(i), false, replyOf(size))
		finishedRun(rs, fmt.Sprint("read ", i), true, replyOf(size))
	}
	assert.Assert(t, rs.once.bytes <= maxRetainedReplies && rs.reads.bytes <= maxRetainedReads, "%d and %d bytes", rs.once.bytes, rs.reads.bytes)
	assert.Assert(t, held(rs, fmt.Sprint(last)) && !held(rs, "0"), "the latest replies are held")
	assert.Assert(t, held(rs, fmt.Sprint("read ", last)) && !held(rs, "read 0"), "the latest replies are held")
	finishedRun(rs, "large", false, replyOf(maxRetainedReply))
	assert.Assert(t, !held(rs, "large"))
	finishedRun(rs, "not run", false, Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full")})
	assert.Assert(t, !held(rs, "not run"), "the attempt can be made again")
	rs.sweep(time.Now().Add(replyRetention + time.Second))
	assert.Equal(t, len(rs.byAttempt), 0)
	assert.Equal(t, rs.heldBytes(), int64(0))
	assert.Equal(t, len(rs.once.runs)+len(rs.reads.runs), 0)
}

// A reply to an attempt that must not run twice is held until the deadline, however early it was
// ready. It used to be dropped after 4 s, while the path to the ingress was cut for 8 s.
func TestReplyIsHeldUntilTheDeadline(t *testing.T) {
	rs := newRuns(notSent)
	start := func(attempt string, repeatable bool) {
		f := Forward{Attempt: attempt, Repeatable: repeatable, TimeLeftMs: 30_000}
		<-rs.start(f, func(context.Context, func()) Reply { return replyOf(1) }).done
	}
	begun := time.Now()
	start("order", false)
	start("read", true)
	rs.sweep(begun.Add(29 * time.Second))
	assert.Assert(t, held(rs, "order"))
	assert.Assert(t, !held(rs, "read"))
	rs.sweep(begun.Add(31 * time.Second))
	assert.Assert(t, !held(rs, "order"))
}

func notSent(string) bool { return false }

func TestAttemptOfferedAgainJoinsTheOneInProgress(t *testing.T) {
	rs := newRuns(notSent)
	end, made := make(chan struct{}), 0
	forward := func(context.Context, func()) Reply {
		made++
		<-end
		return replyOf(1)
	}
	first := rs.start(Forward{Attempt: "a"}, forward)
	again := rs.start(Forward{Attempt: "a", Incarnation: 1}, forward)
	assert.Assert(t, first == again)
	close(end)
	<-first.done
	later := rs.start(Forward{Attempt: "a", Incarnation: 1}, forward)
	assert.Assert(t, later == first, "the reply is held")
	assert.Equal(t, made, 1)
}

// An attempt ends only when the last connection that waits for it has gone: the first one
// can be noticed to be lost after the attempt has been offered again.
func TestAttemptGoesOnWhileAConnectionWaits(t *testing.T) {
	rs := newRuns(notSent)
	canceled := make(chan struct{})
	forward := func(ctx context.Context, _ func()) Reply {
		<-ctx.Done()
		close(canceled)
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "canceled")}
	}
	r := rs.start(Forward{Attempt: "a", Repeatable: true}, forward)
	rs.start(Forward{Attempt: "a", Repeatable: true, Incarnation: 1}, forward)
	rs.leave(r)
	select {
	case <-canceled:
		t.Fatal("canceled although a connection waits")
	case <-time.After(50 * time.Millisecond):
	}
	rs.leave(r)
	<-canceled
}

// An order that is offered again to a process that has restarted must not run: the earlier
// process may have run it.
func TestOrderOfferedAgainToALaterProcessDoesNotRun(t *testing.T) {
	f := newFleet(t, 2)
	to := f.hosts[1]
	target, _ := f.hosts[0].control.View().TargetOf(to.settings.Host)
	offer := func(attempt string, incarnation int64) Reply {
		req := &fasthttp.Request{}
		standin.Call{Attempt: attempt, Method: "POST", Host: testHost, URI: "/order/1", Timeout: time.Second}.Write(req)
		forward := Forward{Attempt: attempt, Target: target.ID, Service: "svc", TimeLeftMs: 1000, Route: "order", Revision: 1, ObjectiveMs: 400, MaxGray: 1, Incarnation: incarnation}
		return f.hosts[0].client.OfferAgain(context.Background(), target, forward, req, offerEvents{sent: func() {}, heartbeat: func() {}})
	}
	r := offer("other process", to.gate.incarnation-1)
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.Unknown && !connectionLost(r), "%+v", r)
	assert.Equal(t, f.runsOf("other process"), 0)
	r = offer("same process", to.gate.incarnation)
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	r = offer("same process", to.gate.incarnation)
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	assert.Equal(t, f.runsOf("same process"), 1)
}

// An order that was refused when it was offered again, and whose first offer was delayed on
// the way, must not run when that one arrives: its caller's host offers it elsewhere.
func TestDelayedFirstOfferOfARefusedOrderDoesNotRun(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		forbidden  int
	}{{"order", false, 1}, {"read", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			forbidden := 0
			rs := newRuns(func(string) bool { forbidden++; return false })
			r := rs.start(Forward{Attempt: "a", Repeatable: c.repeatable, Incarnation: 1}, func(context.Context, func()) Reply {
				return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full")}
			})
			<-r.done
			assert.Equal(t, forbidden, c.forbidden)
		})
	}
}

// The ID of an attempt does not make another request's reply its own.
func TestAttemptIsNotJoinedToAnotherRequest(t *testing.T) {
	rs := newRuns(notSent)
	one := finishedRun(rs, "a", false, replyOf(1))
	other := rs.start(Forward{Attempt: "a", Fingerprint: 7, Incarnation: 1}, func(context.Context, func()) Reply { return replyOf(2) })
	assert.Assert(t, one != other)
}

// The gate refused the first offer of an order, which was slow, and ran the second; the
// refusal alone would send the order to another target as well.
func TestRefusalOfTheFirstOfferDoesNotSpeakForTheSecond(t *testing.T) {
	g := &scriptedGates{}
	report := placing.Report{ReceivedAt: time.Now(), Incarnation: 1, Slots: 4, Resumes: true}
	again := make(chan struct{})
	g.forward = func(context.Context, Target, Forward, func()) Reply {
		<-again
		return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full"), Report: report}
	}
	g.again = func(Target, Forward) Reply {
		close(again)
		time.Sleep(300 * time.Millisecond) // the target works
		r := replyWithStatus(200)
		r.Report = report
		return r
	}
	in := newTestIngress(t, g, "h1", "h2")
	for _, host := range []string{"h1", "h2"} {
		in.states.set("i-"+host, report)
		in.states.setIncarnation(host, report.Incarnation)
	}
	x := newExchange("a", "POST", "/order/1", 3*time.Second)
	in.Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 200)
	assert.Equal(t, len(g.offered()), 1, "offered elsewhere as well")
}
