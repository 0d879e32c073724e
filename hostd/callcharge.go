package hostd

import (
	"context"
	"time"

	"github.com/gooseberryshed/gooseberryshed/retry"
)

// maxCallDebt is by how many retries the calls of repeats may overdraw a host's retry
// budget for a service: a host that earns one every two seconds repays them within the
// budget's window of 10 s.
const maxCallDebt = 5

// repeatShare returns the share of repeats among the requests that the target is running,
// which is the probability that a call of the target is made by a repeat.
func (g *Gate) repeatShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.queue.Running() <= 0 {
		return 0
	}
	return min(float64(g.target.repeats)/float64(g.target.queue.Running()), 1)
}

// chargeCall takes the share of a call that is made by a repeat from the retry budget of
// the service that is called: from the part set aside for calls, then from that of this
// host's retries, and what would overdraw it from the fleet's reserve. The call is made in
// any case.
func (e *exchange) chargeCall(ctx context.Context, share float64) {
	if share <= 0 {
		return
	}
	r := e.in.retriesOf(e.service)
	if !r.calls.Charge(share, 0) || !r.budget.Charge(share, maxCallDebt) {
		return
	}
	e.in.metrics.Add("calls_over_budget", 1)
	// The answer makes no difference to the call, so it is not waited for.
	go e.in.limiter.AllowRetry(context.WithoutCancel(ctx), e.service, retry.HighestValue)
}

// RecordCallFailure records that a call made by the target failed.
func (g *Gate) RecordCallFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != nil && len(g.target.failedCalls) < maxFailedCalls {
		g.target.failedCalls = append(g.target.failedCalls, time.Now())
	}
}

// maxFailedCalls bounds the number of failures kept.
const maxFailedCalls = 64
