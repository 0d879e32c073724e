package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// Queries to the owner of a token bucket.
const (
	// queryRate requests a token from a workspace's rate limit.
	queryRate = "rate"
	// queryRetry requests a token from a service's retry budget.
	queryRetry = "repeat"
)

const (
	// maxOwnersTried is how many owners are tried in rendezvous order.
	maxOwnersTried = 2
	// failoverShare is the share of a rate that the second owner grants while
	// it cannot reach the first, which may be granting tokens to others.
	failoverShare = 0.5
	// ownerBackoff is how long an owner that did not answer is avoided.
	ownerBackoff = 1500 * time.Millisecond
	// burstSlackShare is the share of the platform's slack on rates that is
	// added to a burst, since requests arrive in bursts.
	burstSlackShare = 0.4
	// retryBudgetShare is the share of the fleet's retry budget that is
	// granted. The rest covers the calls made by retried requests.
	retryBudgetShare = 0.8
)

// bucketSpec identifies a token bucket and gives its rate and burst.
type bucketSpec struct {
	// kind is the query that requests a token, and name is the name of the
	// bucket.
	kind, name  string
	rate, burst float64
}

// fleetLimiter takes tokens from the owners of token buckets and owns some
// buckets itself.
type fleetLimiter struct {
	host   string
	bounds func() karpithaz.Bounds
	view   func() *View
	query  func(ctx context.Context, addr string, q datagram) (datagram, error)
	states *gateStates

	mu      sync.Mutex
	buckets map[string]*quota.Bucket
	// recentAnswers prevents a retransmitted query from taking a second token.
	recentAnswers map[queryKey]cachedAnswer
}

type queryKey struct {
	host string
	id   uint64
}

type cachedAnswer struct {
	at     time.Time
	answer datagram
}

func newFleetLimiter(host string, bounds func() karpithaz.Bounds, view func() *View, query func(context.Context, string, datagram) (datagram, error)) *fleetLimiter {
	return &fleetLimiter{
		host:          host,
		bounds:        bounds,
		view:          view,
		query:         query,
		states:        newGateStates(),
		buckets:       map[string]*quota.Bucket{},
		recentAnswers: map[queryKey]cachedAnswer{},
	}
}

// Allow implements rateLimiter.
func (l *fleetLimiter) Allow(ctx context.Context, w *routes.Workspace) (ok bool, retryAfter time.Duration) {
	if w.Rate <= 0 {
		return true, 0
	}
	return l.takeToken(ctx, l.workspaceBucket(w))
}

// AllowRetry implements rateLimiter.
func (l *fleetLimiter) AllowRetry(ctx context.Context, service string) bool {
	ok, _ := l.takeToken(ctx, l.retryBucket(service))
	return ok
}

func (l *fleetLimiter) workspaceBucket(w *routes.Workspace) bucketSpec {
	return bucketSpec{queryRate, w.Name, w.Rate, w.Burst + burstSlackShare*l.bounds().RateSlack}
}

// retryBucket returns the part of a service's retry budget that does not depend
// on its request rate. Half of it is available at once and the other half over
// the budget's window.
func (l *fleetLimiter) retryBucket(service string) bucketSpec {
	b := l.bounds()
	half := retryBudgetShare * b.RetryBudgetSlack / 2
	return bucketSpec{queryRetry, service, half / b.RetryBudgetWindow.Seconds(), half}
}

// takeToken takes a token of a bucket from its owner.
func (l *fleetLimiter) takeToken(ctx context.Context, b bucketSpec) (ok bool, retryAfter time.Duration) {
	hosts := l.view().hostNames()
	owners := quota.RankOwners(b.kind+" "+b.name, hosts)
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		if owner == l.host {
			return l.takeOwned(b, owner == owners[0])
		}
		if a, ok := l.queryOwner(ctx, owner, b); ok {
			return a.Result, time.Duration(a.Millis) * time.Millisecond
		}
	}
	// No owner can be reached. Each host grants its share of the rate, so that
	// the sum over all hosts stays within it.
	part := float64(max(len(hosts), 1))
	return l.takeLocal("own part of "+b.name, b.kind, b.rate/part, b.burst/part)
}

func (l *fleetLimiter) queryOwner(ctx context.Context, owner string, b bucketSpec) (datagram, bool) {
	t, ok := l.view().TargetOf(owner)
	if !ok || l.states.backingOff(owner, time.Now()) {
		return datagram{}, false
	}
	a, err := l.query(ctx, t.Control, datagram{Kind: b.kind, Name: b.name, Host: l.host})
	if err != nil {
		if ctx.Err() == nil {
			l.states.backOff(owner, time.Now(), ownerBackoff)
		}
		return datagram{}, false
	}
	l.states.recordSuccess(owner)
	return a, true
}

// takeOwned takes a token from a bucket that this host owns.
func (l *fleetLimiter) takeOwned(b bucketSpec, first bool) (bool, time.Duration) {
	if first {
		return l.takeLocal(b.name, b.kind, b.rate, b.burst)
	}
	return l.takeLocal("taken over "+b.name, b.kind, failoverShare*b.rate, failoverShare*b.burst)
}

func (l *fleetLimiter) takeLocal(name, kind string, rate, burst float64) (bool, time.Duration) {
	since := l.view().hostsChangedAt
	l.mu.Lock()
	defer l.mu.Unlock()
	key := kind + " " + name
	b := l.buckets[key]
	if b == nil {
		b = quota.NewBucket(since, burst)
		l.buckets[key] = b
	}
	return b.Take(time.Now(), rate, burst)
}

// answer answers another host's query for a token.
func (l *fleetLimiter) answer(ctx context.Context, q datagram) datagram {
	key := queryKey{q.Host, q.ID}
	l.mu.Lock()
	known, ok := l.recentAnswers[key]
	l.mu.Unlock()
	if ok {
		return known.answer
	}
	a := l.answerOnce(ctx, q)
	l.mu.Lock()
	l.recentAnswers[key] = cachedAnswer{time.Now(), a}
	l.mu.Unlock()
	return a
}

// answerOnce takes the token. A host that is not the first owner relays the
// query to the first, since it may be able to reach an owner that the sender
// cannot.
func (l *fleetLimiter) answerOnce(ctx context.Context, q datagram) datagram {
	view := l.view()
	b := l.retryBucket(q.Name)
	if q.Kind == queryRate {
		if view.Config == nil {
			return datagram{Millis: ownerBackoff.Milliseconds()}
		}
		w, ok := view.Config.Workspace(q.Name)
		if !ok {
			return datagram{Millis: ownerBackoff.Milliseconds()}
		}
		if w.Rate <= 0 {
			return datagram{Result: true}
		}
		b = l.workspaceBucket(w)
	}
	owners := quota.RankOwners(b.kind+" "+b.name, view.hostNames())
	first := len(owners) == 0 || owners[0] == l.host
	if !first {
		if a, ok := l.queryOwner(ctx, owners[0], b); ok {
			return a
		}
	}
	yes, after := l.takeOwned(b, first)
	return datagram{Result: yes, Millis: after.Milliseconds()}
}

// answerRetention is how long a query may be retransmitted.
const answerRetention = 2 * time.Second

// sweep drops expired entries.
func (l *fleetLimiter) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, v := range l.recentAnswers {
		if now.Sub(v.at) > answerRetention {
			delete(l.recentAnswers, k)
		}
	}
	for name, b := range l.buckets {
		if b.Idle(now) {
			delete(l.buckets, name)
		}
	}
}
