package hostd

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// rankedRoutes are the default routes, of which orders are the most urgent.
func rankedRoutes() []standin.Route {
	rs := defaultRoutes()
	urgent, low := 0, 2
	for i := range rs {
		rs[i].Priority = &low
		if rs[i].Name == "order" {
			rs[i].Priority = &urgent
		}
	}
	return rs
}

func newRankedIngress(t *testing.T, g gateForwarder, hosts ...string) *Ingress {
	t.Helper()
	in := newTestIngress(t, g, hosts...)
	cfg, err := karpithaz.DecodeConfig(standin.EncodeConfigWithoutWorkspaces(2, []string{"svc"}, rankedRoutes()))
	assert.NilError(t, err)
	assert.Assert(t, cfg.Ranked())
	v := *in.control.View()
	v.Config = cfg
	in.control.view.Store(&v)
	return in
}

func shedReply() Reply {
	return Reply{Refusal: wire.Refuse(wire.ReasonTargetShed, "full"), Report: placing.Report{ReceivedAt: time.Now(), Slots: 4}}
}

// The gate knows the requests that its target is running. A call made by the target
// has the rank of the highest of them.
func TestGateKnowsTheRankOfRunningRequests(t *testing.T) {
	target, err := standin.StartTarget("a", "svc", "127.0.0.1:0", 4, 300*time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	g, _ := newTestGate(t)
	b := newHeartbeat("a", 1, 1, false)
	b.Address, b.Slots = target.Addr(), 4
	g.applyHeartbeat(b, time.Now())
	assert.Assert(t, g.servedRank() == nil)
	var done sync.WaitGroup
	send := func(f Forward) {
		f.Target, f.Service, f.TimeLeftMs, f.MaxGray, f.Route, f.ObjectiveMs = "a", "svc", 2000, 1, "r", 100
		sent := make(chan struct{})
		req := &fasthttp.Request{}
		req.Header.SetHost("h")
		done.Go(func() {
			r := g.Forward(context.Background(), f, req, func() { close(sent) })
			assert.Check(t, r.Answer != nil, "%v", r.Refusal)
		})
		<-sent
	}
	send(Forward{Attempt: "read", Priority: 2, Repeatable: true})
	assert.DeepEqual(t, g.servedRank(), &retry.Rank{Priority: 2})
	send(Forward{Attempt: "call", Priority: 3, Repeatable: true, Nested: true, Served: &retry.Rank{Priority: 0, Once: true}})
	assert.DeepEqual(t, g.servedRank(), &retry.Rank{Priority: 0, Once: true})
	done.Wait()
	assert.Assert(t, g.servedRank() == nil, "a request that has ended counts as running")
}

func TestNestedCallTellsTheRankItServes(t *testing.T) {
	for _, ranked := range []bool{true, false} {
		var told *retry.Rank
		g := &scriptedGates{forward: func(_ context.Context, _ Target, f Forward, _ func()) Reply {
			told = f.Served
			return replyWithStatus(200)
		}}
		in := newTestIngress(t, g, "h1")
		if ranked {
			in = newRankedIngress(t, g, "h1")
		}
		served := &retry.Rank{Priority: 0, Once: true}
		in.servedRank = func() *retry.Rank { return served }
		in.Handle(context.Background(), newExchange("a", "GET", "/inner/1", time.Second))
		assert.Equal(t, told == served, ranked)
		in.Handle(context.Background(), newExchange("b", "GET", "/read/1", time.Second))
		assert.Assert(t, told == nil, "the request is not a call")
	}
}

// A request that targets shed waits for the budget if that is about to recover. It used
// to be refused. Where all requests have the same rank it still is.
func TestShedOrderWaitsForTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		ranked bool
		// reads is the number of reads that follow each other every 5 ms.
		reads  int
		status int
	}{
		{"the budget recovers", true, 400, 200},
		{"the budget does not recover", true, 0, 503},
		{"equal ranks", false, 400, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &scriptedGates{}
				var offers atomic.Int32
				g.forward = func(_ context.Context, _ Target, f Forward, onSend func()) Reply {
					onSend()
					if f.Attempt == "order" && offers.Add(1) < 3 {
						return shedReply()
					}
					return replyWithStatus(200)
				}
				in := newTestIngress(t, g, "h1", "h2")
				if c.ranked {
					in = newRankedIngress(t, g, "h1", "h2")
				}
				in.limiter = &unlimitedRates{}
				for i := range c.reads {
					go func() {
						time.Sleep(time.Duration(i) * 5 * time.Millisecond)
						in.Handle(context.Background(), newExchange(fmt.Sprint(i), "GET", "/read/1", time.Second))
					}()
				}
				time.Sleep(time.Duration(c.reads) * 5 * time.Millisecond / 2)
				began := time.Now()
				x := newExchange("order", "POST", "/order/1", 3*time.Second)
				in.Handle(context.Background(), x)
				assert.Equal(t, x.Response.StatusCode(), c.status)
				assert.Check(t, time.Since(began) <= 200*time.Millisecond, "held for %s", time.Since(began))
				assert.Equal(t, metricOf(t, in.metrics, "repeats_after_wait") > 0, c.status == 200)
				time.Sleep(2 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// metricOf returns the value of a counter.
func metricOf(t *testing.T, m *metrics.Registry, name string) (n int) {
	t.Helper()
	var b strings.Builder
	assert.NilError(t, m.WriteText(&b))
	for line := range strings.Lines(b.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			_, err := fmt.Sscan(value, &n)
			assert.NilError(t, err)
		}
	}
	return n
}

// takeRetries asks a host's limiter for retries of a value until one is refused.
func takeRetries(l *fleetLimiter, v retry.Value) (granted int) {
	for l.AllowRetry(context.Background(), "svc", v) {
		granted++
	}
	return granted
}

// newRankedLimiterFleet returns limiters whose configuration has two priorities.
func newRankedLimiterFleet(t *testing.T, hosts []string) *limiterFleet {
	urgent, low := 0, 2
	f := newLimiterFleet(t, &routes.Workspace{Name: "w"}, hosts...)
	cfg, err := routes.New(routes.Document{Revision: 1, Workspaces: []routes.Workspace{{Name: "w", Priority: &urgent}, {Name: "v", Priority: &low}}})
	assert.NilError(t, err)
	f.config = cfg
	for _, h := range hosts {
		f.learn(h, hosts, time.Now().Add(-time.Minute))
	}
	return f
}

// The fleet's reserve keeps a part for repeats of higher value, also when its owner is
// lost and the next one decides.
func TestReserveIsKeptForValuableRepeats(t *testing.T) {
	for _, ownerLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			hosts := hostNames(6)
			f := newRankedLimiterFleet(t, hosts)
			owners := quota.RankOwners(queryRetry+" svc", hosts)
			if ownerLost {
				f.cut(func(from, to string) bool { return from != owners[0] && to != owners[0] }, func(string) bool { return false })
				f.learn(owners[1], owners[1:], time.Now().Add(-time.Minute))
				f.learn(owners[3], owners[1:], time.Now().Add(-time.Minute))
			}
			l := f.limiters[owners[3]]
			low := takeRetries(l, retry.LowestValue)
			middle := takeRetries(l, retry.Repeat{Rank: retry.Rank{Priority: 2}}.Value())
			high := takeRetries(l, retry.HighestValue)
			t.Logf("owner lost %v: %d of the lowest value, %d of priority 2, %d of the highest", ownerLost, low, middle, high)
			assert.Assert(t, low >= 1 && middle >= 1 && high >= 8)
			assert.Assert(t, low+middle+high <= 20, "the reserve is half of 0.8 of the slack of 50")
			time.Sleep(time.Second) // queries under way end
		})
	}
}

// A daemon of an earlier version states no value. Its repeats have the lowest, so that
// it leaves the reserve to orders while a fleet is updated.
func TestQueryWithoutAValueHasTheLowest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := hostNames(3)
		f := newRankedLimiterFleet(t, hosts)
		owners := quota.RankOwners(queryRetry+" svc", hosts)
		owner := f.limiters[owners[0]]
		granted := 0
		for owner.answer(context.Background(), datagram{ID: uint64(granted + 1), Kind: queryRetry, Name: "svc", Host: owners[1]}).Result {
			granted++
		}
		assert.Equal(t, takeRetries(owner, retry.LowestValue), 0)
		assert.Assert(t, takeRetries(owner, retry.HighestValue) >= 10, "%d granted without a value", granted)
		time.Sleep(time.Second) // queries under way end
	})
}
