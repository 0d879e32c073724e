package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/retry"
)

// serviceRetries are the retries of this host for one service.
type serviceRetries struct {
	budget *retry.Budget
	// calls is the part of the budget that is set aside for calls made by repeats.
	calls *retry.Budget

	mu    sync.Mutex
	queue *retry.Queue
}

func (s *serviceRetries) deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Deposit(time.Now())
	s.calls.Deposit()
}

func (s *serviceRetries) refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Refund()
}

func (s *serviceRetries) observe(shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Observe(time.Now(), shed)
}

func (s *serviceRetries) take(v retry.Value) (ok bool, chance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.queue.Take(now, v), s.queue.Chance(now)
}

func (s *serviceRetries) wait(v retry.Value, within time.Duration) *retry.Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Wait(time.Now(), v, within)
}

func (s *serviceRetries) leave(w *retry.Waiter) (granted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Leave(w)
}

// rank returns the rank of an attempt: that of the request it serves, if known.
func (f *Forward) rank() retry.Rank {
	k := retry.Rank{Priority: f.Priority, Once: !f.Repeatable}
	if f.Served != nil {
		k = retry.Rank{Priority: f.Served.Priority, Once: f.Served.Once || k.Once}
	}
	return k
}

// servedRank returns the highest rank among the requests that the target is running. A
// call made by the target serves one of them.
func (g *Gate) servedRank() *retry.Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return nil
	}
	k, ok := g.target.running.Highest()
	if !ok {
		return nil
	}
	return &k
}

// ranked reports whether requests differ in rank.
func (e *exchange) ranked() bool { return e.view.Config != nil && e.view.Config.Ranked() }

// repeatValue returns the value of a retry or hedge of the request.
func (e *exchange) repeatValue(hedge bool) retry.Value {
	if !e.ranked() {
		return retry.HighestValue
	}
	f := Forward{Priority: e.priority(), Served: e.served, Repeatable: e.route.Kind.Repeatable()}
	return retry.Repeat{Rank: f.rank(), Nested: e.nested, Hedge: hedge}.Value()
}

// Limits on the number of times that targets may shed one request. Each time costs one
// retry of the budget.
const (
	// maxShedReplies is where all requests have the same rank: after this many, most
	// targets are shedding.
	maxShedReplies = 4
	// maxShedRepliesOnce replaces it for requests that may run only once where ranks
	// differ. Where targets shed 55%, 4 tries lose 9% of the requests and 8 tries 0.8%.
	maxShedRepliesOnce = 8
)

func (ex *execution) maxShedReplies() int {
	if ex.e.ranked() && !ex.e.route.Kind.Repeatable() {
		return maxShedRepliesOnce
	}
	return maxShedReplies
}

// takeRetry takes one retry from this host's budget or else from the fleet's
// reserve.
func (ex *execution) takeRetry(ctx context.Context, hedge bool) bool {
	v := ex.e.repeatValue(hedge)
	ok, chance := ex.retries.take(v)
	if ok {
		return true
	}
	if ok = ex.e.in.limiter.AllowRetry(ctx, ex.e.service, v); !ok {
		ex.e.in.metrics.Add("repeats_over_budget", 1)
		ex.e.in.log.Decide("over-budget", "id", ex.e.caller.Attempt, "service", ex.e.service, "value", v, "hedge", hedge, "chance", chance)
	}
	return ok
}

// retryWait is a retry that waits for the budget. Its channels are nil if there is none.
type retryWait struct {
	waiter  *retry.Waiter
	granted <-chan struct{}
	timeout <-chan time.Time
	// otherwise is the outcome without another attempt.
	otherwise *outcome
}

// retryOrEnd makes another attempt, now or when the budget allows it, or returns the
// outcome without one.
func (ex *execution) retryOrEnd(ctx context.Context, allowed bool, end *outcome) *outcome {
	switch {
	case !allowed:
		return end
	case ex.takeRetry(ctx, false):
		ex.launch(ctx, retryAttempt)
		return nil
	case ex.waitForRetry(end):
		return nil
	}
	return end
}

// budgetWaitShare is the share of a request's objective up to which it may wait for
// the retry budget. The rest is for the attempt.
const budgetWaitShare = 0.5

// waitForRetry lets the request wait for the retry budget, if it is likely to get a
// retry in time.
func (ex *execution) waitForRetry(otherwise *outcome) bool {
	if !ex.e.ranked() {
		return false
	}
	latency := ex.e.in.latency(ex.e.route)
	within := min(time.Duration(budgetWaitShare*float64(ex.e.route.Objective))-time.Since(ex.e.started), time.Until(ex.e.deadline)-latency.Mean())
	v := ex.e.repeatValue(false)
	w := ex.retries.wait(v, within)
	if w == nil {
		return false
	}
	ex.e.in.metrics.Add("repeats_waiting", 1)
	ex.e.in.log.Decide("budget-wait", "id", ex.e.caller.Attempt, "service", ex.e.service, "value", v, "within_ms", within.Milliseconds())
	ex.wait = retryWait{waiter: w, granted: w.Grant, timeout: time.After(within), otherwise: otherwise}
	return true
}

// endWait ends the wait for the budget. It reports whether there is a retry, which must
// be used or refunded.
func (ex *execution) endWait() (granted bool, otherwise *outcome) {
	w := ex.wait
	if w.waiter == nil {
		return false, nil
	}
	ex.wait = retryWait{}
	return ex.retries.leave(w.waiter), w.otherwise
}

// afterWait makes the attempt that has waited for the budget, or returns the outcome
// without it.
func (ex *execution) afterWait(ctx context.Context) *outcome {
	granted, otherwise := ex.endWait()
	if !granted {
		return otherwise
	}
	ex.e.in.metrics.Add("repeats_after_wait", 1)
	ex.launch(ctx, retryAttempt)
	return nil
}

// abandonWait ends the wait for the budget of a request that has its outcome.
func (ex *execution) abandonWait() {
	if granted, _ := ex.endWait(); granted {
		ex.retries.refund()
	}
}
