package hostd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// scriptedGates answers offers with a function.
type scriptedGates struct {
	mu       sync.Mutex
	offers   []string
	forward  func(ctx context.Context, t Target, f Forward, onSend func()) Reply
	withdraw func(host, attempt string, life int64) (bool, error)
	// again answers offers that are made again. If it is nil, the host cannot be
	// reached on a new connection.
	again func(t Target, f Forward) Reply
	// silent are hosts that answer no query.
	silent []string
}

func (g *scriptedGates) Answers(_ context.Context, t Target) bool {
	return !slices.Contains(g.silent, t.Host)
}

func (g *scriptedGates) Forward(ctx context.Context, t Target, f Forward, _ *fasthttp.Request, ev offerEvents) Reply {
	g.mu.Lock()
	g.offers = append(g.offers, t.Host)
	g.mu.Unlock()
	return g.forward(ctx, t, f, ev.sent)
}

func (g *scriptedGates) OfferAgain(_ context.Context, t Target, f Forward, _ *fasthttp.Request, _ offerEvents) Reply {
	if g.again == nil {
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "connection refused")}
	}
	return g.again(t, f)
}

func (g *scriptedGates) DistrustIdle(time.Time) {}

func (g *scriptedGates) Withdraw(_ context.Context, host, attempt string, life int64) (bool, error) {
	return g.withdraw(host, attempt, life)
}

func (g *scriptedGates) offered() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.offers...)
}

// unlimitedRates allows all requests, and a limited number of retries.
type unlimitedRates struct{ retries int }

func (unlimitedRates) Allow(context.Context, *routes.Workspace, time.Duration) (bool, time.Duration, error) {
	return true, 0, nil
}

func (r *unlimitedRates) AllowRetry(context.Context, string, retry.Value) bool {
	r.retries--
	return r.retries >= 0
}

func newTestIngress(t *testing.T, g gateForwarder, hosts ...string) *Ingress {
	t.Helper()
	cfg, err := karpithaz.DecodeConfig(standin.EncodeConfigWithoutWorkspaces(1, []string{"svc"}, defaultRoutes()))
	assert.NilError(t, err)
	set := &karpithaz.Settings{Host: "self", DataCentre: "dc", Service: "svc", Bounds: karpithaz.Bounds{RetryBudgetRatio: 0.2}}
	log := decisions.New(&logBuffer{})
	c := NewControl("self", "dc", nil, nil, log, metrics.New())
	targets := map[string]Target{}
	for _, h := range hosts {
		targets[h] = Target{ID: "i-" + h, Service: "svc", Host: h, DataCentre: "dc", Slots: 4}
	}
	c.view.Store(newView(cfg, nil, targets, true, time.Now()))
	close(c.ready)
	return NewIngress(func() *karpithaz.Settings { return set }, c, g, &unlimitedRates{retries: 5}, func() {}, log, metrics.New())
}

func newExchange(attempt, method, uri string, patience time.Duration) *h1.Exchange {
	x := &h1.Exchange{ReceivedAt: time.Now()}
	standin.Call{Attempt: attempt, Method: method, Host: testHost, URI: uri, Timeout: patience}.Write(&x.Request)
	return x
}

func replyWithStatus(status int) Reply {
	a := &Answer{}
	a.Header.SetStatusCode(status)
	return Reply{Answer: a, Report: placing.Report{ReceivedAt: time.Now(), Slots: 4}}
}

// Guards against offering a request to the next gate after it was withdrawn
// from one gate's queue at the end of a stop: it ran after the caller had been
// told that it had not.
func TestTakenBackRequestGoesNowhereElse(t *testing.T) {
	withdrawn := make(chan struct{})
	g := &scriptedGates{}
	g.forward = func(_ context.Context, _ Target, f Forward, _ func()) Reply {
		if f.MaxWaitMs < 1000 {
			return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full"), Report: placing.Report{ReceivedAt: time.Now(), Running: 4, Slots: 4}}
		}
		<-withdrawn
		return Reply{Refusal: wire.Refuse(wire.ReasonSettled, "withdrawn")}
	}
	g.withdraw = func(string, string, int64) (bool, error) {
		close(withdrawn)
		return false, nil
	}
	in := newTestIngress(t, g, "h1", "h2", "h3")
	x := newExchange("a", "POST", "/order/1", 3*time.Second)
	done := make(chan struct{})
	go func() {
		in.Handle(context.Background(), x)
		close(done)
	}()
	time.Sleep(100 * time.Millisecond)
	before := len(g.offered())
	in.RefuseUnsent()
	<-done
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, x.Response.StatusCode(), 503)
	assert.Equal(t, len(g.offered()), before, "offered again after withdrawal")
}

func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	cases := []struct {
		name   string
		sent   bool
		err    error
		status int
		offers int
	}{
		{"sent", true, nil, 502, 1},
		{"not known", false, errors.New("unreachable"), 502, 1},
		{"not sent", false, nil, 200, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &scriptedGates{}
			g.forward = func(context.Context, Target, Forward, func()) Reply {
				if len(g.offered()) == 1 {
					return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "connection reset")}
				}
				return replyWithStatus(200)
			}
			g.withdraw = func(string, string, int64) (bool, error) { return c.sent, c.err }
			x := newExchange("a", "POST", "/order/1", 2*time.Second)
			newTestIngress(t, g, "h1", "h2").Handle(context.Background(), x)
			assert.Equal(t, x.Response.StatusCode(), c.status)
			assert.Equal(t, len(g.offered()), c.offers)
		})
	}
}

// The answer arrives at the route's time limit, not at the caller's later
// deadline.
func TestRouteTimeoutEndsTheWait(t *testing.T) {
	g := &scriptedGates{forward: func(ctx context.Context, _ Target, _ Forward, onSend func()) Reply {
		onSend()
		<-ctx.Done()
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "")}
	}}
	x := newExchange("a", "POST", "/order/1", 20*time.Second)
	begun := time.Now()
	newTestIngress(t, g, "h1").Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 504)
	took := time.Since(begun)
	assert.Assert(t, took > 2900*time.Millisecond && took < 3250*time.Millisecond, "%s", took)
}

// A gate that does not respond is avoided by subsequent requests, and a read
// does not wait for it.
func TestSilentGateIsAvoided(t *testing.T) {
	g := &scriptedGates{}
	g.forward = func(ctx context.Context, tg Target, _ Forward, onSend func()) Reply {
		if tg.Host != "h1" {
			onSend()
			return replyWithStatus(200)
		}
		<-ctx.Done() // hangs
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "")}
	}
	in := newTestIngress(t, g, "h1", "h2")
	for i := range 4 {
		in.Handle(context.Background(), newExchange(fmt.Sprintf("r%d", i), "GET", "/read/1", 2*time.Second))
	}
	assert.Assert(t, in.states.backingOff("h1", time.Now()))
	before := len(g.offered())
	x := newExchange("o", "POST", "/order/1", time.Second)
	in.Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 200)
	assert.DeepEqual(t, g.offered()[before:], []string{"h2"})
}

// A host whose attempt was superseded by another is avoided for a moment,
// unless the caller disconnected. Also guards against the result of a cancelled
// attempt resetting the back-off from a silent host, which made
// TestSilentGateIsAvoided fail.
func TestOvertakenHostIsPassedOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		leaves bool
	}{{"superseded", false}, {"caller disconnects", true}} {
		t.Run(c.name, func(t *testing.T) {
			var slow string
			ended := make(chan struct{})
			g := &scriptedGates{}
			g.forward = func(ctx context.Context, tg Target, _ Forward, onSend func()) Reply {
				onSend()
				if len(g.offered()) > 1 {
					return replyWithStatus(200)
				}
				slow = tg.Host
				<-ctx.Done()
				defer close(ended)
				return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "cancelled")}
			}
			in := newTestIngress(t, g, "h1", "h2")
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if c.leaves {
				time.AfterFunc(50*time.Millisecond, leave)
			}
			in.Handle(ctx, newExchange("a", "GET", "/read/1", 2*time.Second))
			<-ended
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, in.states.backingOff(slow, time.Now()), !c.leaves)
		})
	}
}

// moveToRemote moves the targets of some hosts to another data centre.
func moveToRemote(in *Ingress, hosts ...string) {
	view := in.control.View()
	targets := map[string]Target{}
	for _, h := range view.hostNames() {
		t, _ := view.TargetOf(h)
		if slices.Contains(hosts, h) {
			t.DataCentre = "other"
		}
		targets[h] = t
	}
	in.control.view.Store(newView(view.Config, nil, targets, true, time.Now()))
}

// An offer that a gate in another data centre refuses costs as many bytes as a
// small answer. Without the bound, one request made eight of them under heavy
// load.
func TestRemoteGateTriesAreBounded(t *testing.T) {
	g := &scriptedGates{forward: func(context.Context, Target, Forward, func()) Reply {
		return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full"), Report: placing.Report{ReceivedAt: time.Now(), Running: 4, Slots: 4}}
	}}
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7"}
	in := newTestIngress(t, g, hosts...)
	moveToRemote(in, hosts...)
	x := newExchange("a", "POST", "/order/1", time.Second)
	in.Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 503)
	assert.Assert(t, len(g.offered()) <= maxRemoteGatesTried+maxLastResortTries, "%d gates were tried: %v", len(g.offered()), g.offered())
}

// The report of a remote gate on its gray target is trusted longer than that of
// a local gate, which can be asked again at no cost.
func TestRemoteGateReportsAreKeptLonger(t *testing.T) {
	in := newTestIngress(t, &scriptedGates{}, "local", "remote")
	moveToRemote(in, "remote")
	report := placing.Report{ReceivedAt: time.Now().Add(-400 * time.Millisecond), Running: 1, Slots: 4, GrayProbability: 0.9}
	s := &gateSearch{a: &attempt{e: &exchange{in: in}}}
	for _, c := range []struct {
		host  string
		known bool
	}{{"local", false}, {"remote", true}} {
		in.states.set("i-"+c.host, report)
		r := s.predictRefusal(placing.Candidate{Target: "i-" + c.host, Host: c.host, Local: c.host == "local"}, offerTerms{maxGray: grayLimitOnce})
		assert.Equal(t, r != nil, c.known, c.host)
	}
}

// A target that is sent a request by a stopping host must end its work before the
// process does: a hanging one kept the process until it was killed, and the caller
// without an answer.
func TestStoppingHostGivesTargetsNoMoreTimeThanItHas(t *testing.T) {
	for _, c := range []struct {
		name            string
		stopping        bool
		patience        time.Duration
		atLeast, atMost time.Duration
	}{
		{"a host that is not stopping", false, 15 * time.Second, 14 * time.Second, 15 * time.Second},
		{"the process ends before the deadline", true, 15 * time.Second, 4 * time.Second, 6 * time.Second},
		{"the deadline is earlier", true, 2 * time.Second, 1900 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var left time.Duration
			g := &scriptedGates{}
			g.forward = func(_ context.Context, _ Target, f Forward, onSend func()) Reply {
				left = time.Duration(f.TimeLeftMs) * time.Millisecond
				onSend()
				return replyWithStatus(200)
			}
			in := newTestIngress(t, g, "h1")
			in.settings().Bounds.ShutdownGracePeriod = 6 * time.Second
			if c.stopping {
				in.BeginStop(time.Now())
			}
			in.Handle(context.Background(), newExchange("a", "POST", "/long/1", c.patience))
			assert.Assert(t, left >= c.atLeast && left <= c.atMost, "the target is given %s", left)
		})
	}
}
