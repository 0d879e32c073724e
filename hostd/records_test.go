package hostd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Guards against "not run" of an attempt that was sent, by any of the reasons for which a gate
// refuses, on the path that the ingress of its own host uses.
func TestGateAsksFirstWhetherAnAttemptWasSent(t *testing.T) {
	for name, begin := range map[string]func(g *Gate){
		"host stopping":  func(g *Gate) { g.stopping = true },
		"no target":      func(g *Gate) { g.target = nil },
		"another target": func(g *Gate) { g.target.id, g.target.service = "other", "other" },
		"target leaving": func(g *Gate) { g.target.leaving = true },
		"data centre out": func(g *Gate) {
			view := newView(nil, nil, nil, true, time.Now())
			view.evacuated = map[string]bool{"dc": true}
			g.view = func() *View { return view }
		},
		"connection refused": func(g *Gate) { g.target.downUntil = time.Now().Add(time.Minute) },
		"target gray":        func(g *Gate) {},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newTestGate(t)
			g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
			g.records.Send("sent", time.Now(), time.Now())
			begin(g)
			for _, c := range []struct {
				attempt     string
				repeatable  bool
				incarnation int64
				run         wire.RunState
			}{
				{"sent", false, 0, wire.Unknown},
				{"sent", false, g.incarnation, wire.Unknown},
				{"sent", true, g.incarnation, wire.Unknown},
				{"sent", true, 0, wire.NotRun}, // speaks for this offer, not for those that the ingress has recorded
				{"new", false, 0, wire.NotRun},
				{"new", true, g.incarnation, wire.NotRun},
			} {
				f := Forward{Attempt: c.attempt, Target: "a", TimeLeftMs: 1000, MaxGray: -1, Repeatable: c.repeatable, Incarnation: c.incarnation, Route: "r", ObjectiveMs: 100}
				if g.target != nil {
					g.target.grayProbedAt = time.Now()
				}
				r := g.Forward(context.Background(), f, &fasthttp.Request{}, nil)
				assert.Assert(t, r.Refusal != nil)
				assert.Equal(t, r.Refusal.Run, c.run, "%+v: %v", c, r.Refusal)
			}
		})
	}
}

// Guards against taking a refusal of a repeat for the result of the request. Gates of earlier
// versions refuse repeats as not run without a look at what they sent.
func TestRefusalOfARepeatSettlesNothingByItself(t *testing.T) {
	for _, c := range []struct {
		name         string
		method, uri  string
		run          wire.RunState
		settled      bool
		withdrawnAs  bool // the gate says that the attempt was sent
		withdrawErr  error
		status       int
		offers, asks int
	}{
		{"order, sent", "POST", "/order/1", wire.NotRun, false, true, nil, 502, 1, 1},
		{"order, withdrawn", "POST", "/order/1", wire.NotRun, false, false, nil, 200, 2, 1},
		{"order, not known", "POST", "/order/1", wire.NotRun, false, false, errNoAnswer, 502, 1, 1},
		{"order, settled", "POST", "/order/1", wire.NotRun, true, true, nil, 200, 2, 0},
		{"order, ran", "POST", "/order/1", wire.Unknown, false, false, nil, 502, 1, 0},
		{"read, sent", "GET", "/read/1", wire.NotRun, false, true, nil, 200, 2, 1},
		{"read, ran", "GET", "/read/1", wire.Unknown, false, false, nil, 200, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			report := placing.Report{ReceivedAt: time.Now(), Incarnation: 1, Slots: 4, Resumes: true}
			var asks atomic.Int64
			g := &scriptedGates{}
			g.forward = func(context.Context, Target, Forward, func()) Reply {
				if len(g.offered()) > 1 {
					return replyWithStatus(200)
				}
				return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "connection reset")}
			}
			g.again = func(Target, Forward) Reply {
				refusal := &wire.Refusal{Reason: wire.ReasonBusy, Run: c.run}
				return Reply{Refusal: refusal, Settled: c.settled, Report: report}
			}
			g.withdraw = func(string, string, int64) (bool, error) {
				asks.Add(1)
				return c.withdrawnAs, c.withdrawErr
			}
			in := newTestIngress(t, g, "h1", "h2")
			for _, host := range []string{"h1", "h2"} {
				in.states.set("i-"+host, report)
				in.states.setIncarnation(host, report.Incarnation)
			}
			x := newExchange("a", c.method, c.uri, 2*time.Second)
			in.Handle(context.Background(), x)
			assert.Equal(t, x.Response.StatusCode(), c.status)
			assert.Equal(t, len(g.offered()), c.offers)
			assert.Equal(t, int(asks.Load()), c.asks)
		})
	}
}

// Guards against repeats that a gate of an earlier version, which knows no questions, does not
// get.
func TestGateOfAnEarlierVersionGetsTheBody(t *testing.T) {
	const body = "the body"
	var bodies atomic.Int64
	addr := startRawTarget(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		if req.Header.Peek(headerAgain) == nil {
			io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the client sees the failure
			return
		}
		if string(req.Body()) == body {
			bodies.Add(1)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: {\"l\":7,\"r\":0,\"s\":4,\"g\":0}\r\nContent-Length: 2\r\n\r\nok", headerReport) //nolint:errcheck // the client sees the failure
	})
	c := newGateClient("127.0.0.1", newAccount(&karpithaz.Settings{}))
	defer c.links.Close()
	req := &fasthttp.Request{}
	standin.Call{Attempt: "a", Method: "POST", Host: testHost, URI: "/order/1", Body: body, Timeout: time.Second}.Write(req)
	f := Forward{Attempt: "a", Target: "t", TimeLeftMs: 1000, Incarnation: 7}
	r := c.OfferAgain(context.Background(), Target{Gate: addr, Host: "h"}, f, req, offerEvents{sent: func() {}, heartbeat: func() {}})
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	assert.Equal(t, bodies.Load(), int64(1))
}

// Guards against a first transmission that gets its connection after the gate was asked to
// withdraw it: the process that accepts it then may be another one, which does not know of that.
func TestFirstTransmissionIsNotBegunAfterAWithdrawal(t *testing.T) {
	var received atomic.Int64
	addr := startRawTarget(t, "127.0.0.1:0", func(_ net.Conn, br *bufio.Reader) {
		if _, err := br.ReadByte(); err == nil {
			received.Add(1)
		}
	})
	o := &offers{}
	record := o.begin(Target{ID: "t", Host: "h"}, 1)
	o.withdrawing(record)
	a := &attempt{offers: o}
	c := newGateClient("127.0.0.1", newAccount(&karpithaz.Settings{}))
	req := &fasthttp.Request{}
	standin.Call{Attempt: "a", Method: "POST", Host: testHost, URI: "/order/1", Timeout: time.Second}.Write(req)
	r := c.Forward(context.Background(), Target{Gate: addr, Host: "h"}, Forward{Attempt: "a", TimeLeftMs: 1000}, req,
		offerEvents{sent: func() {}, heartbeat: func() {}, beforeSend: func() error { return a.mayBegin(record) }})
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.NotRun, "%+v", r)
	c.links.Close()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, received.Load(), int64(0))
}

// Guards against wrong answers to questions about attempts: of a withdrawn one, of one that ran
// and whose reply was dropped, of one that is not known, and of one of another request.
func TestGateAnswersQuestionsFromItsRecord(t *testing.T) {
	f := newFleet(t, 2)
	to := f.hosts[1]
	target, _ := f.hosts[0].control.View().TargetOf(to.settings.Host)
	ask := func(attempt string, fingerprint uint64, repeatable bool) Reply {
		req := &fasthttp.Request{}
		standin.Call{Attempt: attempt, Method: "POST", Host: testHost, URI: "/order/1", Body: "b", Timeout: time.Second}.Write(req)
		forward := Forward{Attempt: attempt, Target: target.ID, Service: "svc", TimeLeftMs: 1000, Route: "order", Revision: 1, ObjectiveMs: 400, MaxGray: 1,
			Incarnation: to.gate.incarnation, Fingerprint: fingerprint, Repeatable: repeatable}
		return f.hosts[0].client.OfferAgain(context.Background(), target, forward, req, offerEvents{sent: func() {}, heartbeat: func() {}})
	}
	assert.Assert(t, !to.gate.Withdraw("withdrawn", to.gate.incarnation))
	r := ask("withdrawn", 0, false)
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.NotRun && r.Settled, "%+v", r)
	r = ask("new", 1, false)
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	r = ask("new", 1, false)
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	r = ask("new", 2, false)
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.Unknown, "another request got the reply: %+v", r)
	to.runs.sweep(time.Now().Add(time.Hour))
	r = ask("new", 1, false)
	assert.Assert(t, r.Refusal != nil && r.Refusal.Run == wire.Unknown && !connectionLost(r), "%+v", r)
	assert.Equal(t, f.runsOf("new"), 1)
	assert.Equal(t, f.runsOf("withdrawn"), 0)
	r = ask("read", 1, true)
	assert.Assert(t, r.Answer != nil, "%v", r.Refusal)
	to.runs.sweep(time.Now().Add(time.Hour))
	r = ask("read", 1, true)
	assert.Assert(t, r.Answer != nil, "a read runs again: %v", r.Refusal)
}
