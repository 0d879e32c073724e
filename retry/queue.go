package retry

import (
	"math"
	"slices"
	"time"
)

// Queue gives the retries of one host's budget for a service to the most valuable
// repeats. It is not safe for concurrent use.
type Queue struct {
	budget  *Budget
	waiting []*Waiter // in the order in which they are served
	// earned are the retries that requests add to the budget, and wanted those that
	// were asked for, by value.
	earned rate
	wanted [HighestValue + 1]rate
	// offers are the requests that reached targets, and shed those of them that
	// targets turned away.
	offers, shed rate
}

// Waiter is a repeat that waits for a retry.
type Waiter struct {
	value   Value
	granted bool
	// Grant is closed when the repeat has got a retry.
	Grant chan struct{}
}

const (
	// rateWindow is the time in which a rate decays to 1/e. A service is overloaded
	// for seconds, and a host sends it a few requests a second.
	rateWindow = 2 * time.Second
	// minChance is the chance of success below which a request does not wait for a
	// retry, since it would need more than six.
	minChance = 0.15
	// waitMargin is by how much the retries expected in a wait must exceed those needed.
	// With 1, 40% of the requests that waited got none; with 1.6 it is 20%, and as many
	// are served (load_test.go).
	waitMargin = 1.6
)

// rate is an exponentially decaying rate.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.sum = r.perSecond(now)*rateWindow.Seconds() + n
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	age := max(now.Sub(r.at), 0).Seconds() / rateWindow.Seconds()
	return r.sum * math.Exp(-age) / rateWindow.Seconds()
}

// NewQueue returns a queue for a budget.
func NewQueue(b *Budget) *Queue { return &Queue{budget: b} }

// Deposit adds the share of one first attempt to the budget.
func (q *Queue) Deposit(now time.Time) {
	q.budget.Deposit()
	q.earned.add(now, float64(q.budget.ratio)/tokenScale)
	q.serve()
}

// Refund returns one retry that was taken and not made.
func (q *Queue) Refund() {
	q.budget.Refund()
	q.serve()
}

// Observe records a request that reached a target and whether the target turned it
// away.
func (q *Queue) Observe(now time.Time, shed bool) {
	q.offers.add(now, 1)
	if shed {
		q.shed.add(now, 1)
	}
}

// Chance returns the chance that a target does not turn a request away.
func (q *Queue) Chance(now time.Time) float64 {
	offers := q.offers.perSecond(now)
	if offers == 0 {
		return 1
	}
	return 1 - q.shed.perSecond(now)/offers
}

// Take takes a retry for a repeat. It returns false if there is none, or if more
// valuable repeats are wanted as fast as retries are earned.
func (q *Queue) Take(now time.Time, v Value) bool {
	v = min(max(v, LowestValue), HighestValue)
	q.wanted[v].add(now, 1)
	if len(q.waiting) > 0 && q.waiting[0].value >= v {
		return false
	}
	if above := q.wantedAbove(now, v); above > 0 && above >= q.earned.perSecond(now) {
		return false
	}
	return q.budget.Withdraw()
}

// wantedAbove returns the rate at which more valuable repeats are wanted.
func (q *Queue) wantedAbove(now time.Time, v Value) float64 {
	sum := 0.0
	for i := v + 1; i <= HighestValue; i++ {
		sum += q.wanted[i].perSecond(now)
	}
	return sum
}

// Wait queues a repeat that Take has refused, if it is likely to get a retry within a
// time. It returns nil if not: then the request should be refused at once.
func (q *Queue) Wait(now time.Time, v Value, within time.Duration) *Waiter {
	at, _ := slices.BinarySearchFunc(q.waiting, v, func(w *Waiter, v Value) int {
		if w.value >= v {
			return -1
		}
		return 1
	})
	left := q.earned.perSecond(now) - q.wantedAbove(now, v)
	need := float64(at+1) - float64(q.budget.tokens.Load())/tokenScale
	if within <= 0 || left <= 0 || q.Chance(now) < minChance || waitMargin*need > left*within.Seconds() {
		return nil
	}
	w := &Waiter{value: v, Grant: make(chan struct{})}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.serve()
	return w
}

// Leave removes a waiter. It returns true if the waiter has got a retry, which it must
// use or refund.
func (q *Queue) Leave(w *Waiter) bool {
	if w.granted {
		return true
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Waiter) bool { return x == w })
	return false
}

// serve gives the retries of the budget to those that wait.
func (q *Queue) serve() {
	for len(q.waiting) > 0 && q.budget.Withdraw() {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		w.granted = true
		close(w.Grant)
	}
}
