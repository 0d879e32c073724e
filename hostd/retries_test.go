package hostd

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// A request that a target sheds is retried within the budget. This includes
// orders, since a shed request has not run.
func TestShedRequestsAreSentAgain(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		g := &scriptedGates{}
		g.forward = func(context.Context, Target, Forward, func()) Reply {
			if len(g.offered()) < 3 {
				return Reply{Refusal: wire.Refuse(wire.ReasonTargetShed, "full"), Report: placing.Report{ReceivedAt: time.Now(), Slots: 4}}
			}
			return replyWithStatus(200)
		}
		uri := map[string]string{"GET": "/read/1", "POST": "/order/1"}[method]
		x := newExchange("a", method, uri, 2*time.Second)
		newTestIngress(t, g, "h1", "h2").Handle(context.Background(), x)
		assert.Equal(t, x.Response.StatusCode(), 200)
		assert.Equal(t, len(g.offered()), 3)
	}
}

// A hedge starts early enough even if the route's time limit is short compared
// with its usual latency.
func TestSecondAttemptStartsInTime(t *testing.T) {
	g := &scriptedGates{}
	g.forward = func(ctx context.Context, _ Target, _ Forward, onSend func()) Reply {
		if len(g.offered()) > 1 {
			return replyWithStatus(200)
		}
		onSend()
		<-ctx.Done()
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "")}
	}
	in := newTestIngress(t, g, "h1", "h2")
	route, _ := in.control.View().Config.Match(testHost, "/read/1")
	for range 50 {
		in.observeLatency(route, 2*time.Second)
	}
	x := newExchange("a", "GET", "/read/1", time.Second)
	in.Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 200)
}

// recoveringBudget refuses the first retries it is asked for.
type recoveringBudget struct {
	unlimitedRates
	mu      sync.Mutex
	refused int
}

func (r *recoveringBudget) AllowRetry(context.Context, string, retry.Value) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused--
	return r.refused < 0
}

// A request that hangs while the retry budget is exhausted is hedged once the
// budget has recovered. It used to wait for its deadline, and on a stopping host
// for the end of the process.
func TestHedgeWaitsForTheRetryBudget(t *testing.T) {
	g := &scriptedGates{}
	g.forward = func(ctx context.Context, _ Target, _ Forward, onSend func()) Reply {
		onSend()
		if len(g.offered()) > 1 {
			return replyWithStatus(200)
		}
		<-ctx.Done() // hangs
		return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "cancelled")}
	}
	in := newTestIngress(t, g, "h1", "h2")
	in.limiter = &recoveringBudget{refused: 2}
	in.retriesOf("svc").budget.Withdraw() // this host's own reserve
	x := newExchange("a", "GET", "/read/1", 3*time.Second)
	in.Handle(context.Background(), x)
	assert.Equal(t, x.Response.StatusCode(), 200)
	assert.Equal(t, len(g.offered()), 2)
}

// A retry that no target accepts is not charged to the budget, which counts
// requests that reach targets.
func TestRetryThatReachesNoTargetIsNotCharged(t *testing.T) {
	g := &scriptedGates{}
	failing := true
	g.forward = func(_ context.Context, target Target, _ Forward, onSend func()) Reply {
		switch {
		case target.Host == "h1" && failing:
			onSend()
			return replyWithStatus(500)
		case failing:
			return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "no free slot")}
		}
		onSend()
		return replyWithStatus(200)
	}
	in := newTestIngress(t, g, "h1", "h2")
	in.limiter = &unlimitedRates{}
	budget := in.retriesOf("svc").budget
	for i := range 20 {
		x := newExchange(fmt.Sprintf("r%d", i), "GET", "/read/1", time.Second)
		in.Handle(context.Background(), x)
		assert.Equal(t, x.Response.StatusCode(), 500)
	}
	assert.Assert(t, budget.Withdraw(), "the budget was spent on retries that reached no target")
}

// A hedge is charged to the budget only if two attempts reached a target. Where
// targets are full, attempts wait in queues, and most hedges end there.
func TestHedgeInAQueueIsNotCharged(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent reports whether the attempt with this number reaches its target,
		// and answers whether it is answered.
		sent, answers func(attempt int) bool
		charged       bool
	}{
		{"the hedge waits in a queue", func(n int) bool { return n == 1 }, func(n int) bool { return n == 1 }, false},
		{"the first attempt waits in a queue", func(n int) bool { return n == 2 }, func(n int) bool { return n == 2 }, false},
		{"both reach targets", func(int) bool { return true }, func(n int) bool { return n == 1 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &scriptedGates{}
				var attempts atomic.Int32
				g.forward = func(ctx context.Context, _ Target, f Forward, onSend func()) Reply {
					if f.MaxWaitMs < 1000 {
						return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "full"), Report: placing.Report{ReceivedAt: time.Now(), Running: 4, Slots: 4}}
					}
					n := int(attempts.Add(1))
					if c.sent(n) {
						onSend()
					}
					if c.answers(n) {
						select {
						case <-time.After(1500 * time.Millisecond):
							return replyWithStatus(200)
						case <-ctx.Done():
						}
					}
					<-ctx.Done()
					return Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "cancelled")}
				}
				in := newTestIngress(t, g, "h1", "h2")
				in.limiter = &unlimitedRates{}
				budget := in.retriesOf("svc").budget
				x := newExchange("a", "GET", "/read/1", 10*time.Second)
				in.Handle(context.Background(), x)
				synctest.Wait()
				assert.Equal(t, x.Response.StatusCode(), 200)
				assert.Equal(t, attempts.Load(), int32(2))
				assert.Equal(t, !budget.Withdraw(), c.charged)
			})
		})
	}
}

// A request that hangs while all other targets are full is hedged once one of them
// has a free slot. It used to wait for its deadline.
func TestHedgeWaitsForAFreeTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &scriptedGates{}
		started := time.Now()
		g.forward = func(ctx context.Context, target Target, _ Forward, onSend func()) Reply {
			busy := wire.Refuse(wire.ReasonBusy, "no free slot")
			report := placing.Report{ReceivedAt: time.Now(), Running: 4, Slots: 4}
			switch {
			case len(g.offered()) == 1:
				onSend()
				<-ctx.Done() // hangs
				return Reply{Refusal: wire.RefuseUnknown(wire.ReasonTimeout, "cancelled")}
			case time.Since(started) < 1500*time.Millisecond:
				return Reply{Refusal: busy, Report: report}
			}
			onSend()
			return replyWithStatus(200)
		}
		in := newTestIngress(t, g, "h1", "h2")
		x := newExchange("a", "GET", "/read/1", 3*time.Second)
		in.Handle(context.Background(), x)
		synctest.Wait()
		assert.Equal(t, x.Response.StatusCode(), 200)
		assert.Assert(t, len(g.offered()) < 20, "%d offers", len(g.offered()))
	})
}
