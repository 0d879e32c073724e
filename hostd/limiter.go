package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/retry"
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
	// ownerBackoff is how long an owner that did not answer is avoided.
	ownerBackoff = 1500 * time.Millisecond
	// relayTimeout bounds each path on which a query is relayed, and maxRelayTimeouts
	// is how many of them may time out, so that the sender has an answer before it
	// gives up (queryTimeouts).
	relayTimeout     = 60 * time.Millisecond
	maxRelayTimeouts = 2
	// witnessesPerPlace is the number of witnesses in each of the three places in
	// which they are looked for.
	witnessesPerPlace = 2
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
	// initial returns the tokens of a new bucket for shares of rate and burst.
	initial func(rate, burst float64) float64
	// value is that of the repeat that needs the token.
	value retry.Value
}

// remain returns the share of the burst that must remain in the bucket.
func (b bucketSpec) remain(view *View) float64 {
	if b.kind != queryRetry || view.Config == nil || !view.Config.Ranked() {
		return 0
	}
	return b.value.ReserveShare()
}

// fleetLimiter takes tokens from the owners of token buckets and owns some
// buckets itself.
type fleetLimiter struct {
	host   string
	bounds func() karpithaz.Bounds
	view   func() *View
	query  func(ctx context.Context, addr string, q datagram) (datagram, error)
	states *gateStates
	// isolated reports whether this host has probably lost most other hosts.
	isolated func() bool
	lost     lostOwners
	contacts dataCentreContacts
	log      *decisions.Log
	metrics  *metrics.Registry

	mu      sync.Mutex
	buckets map[string]*ownedBucket
	// recentAnswers prevents a retransmitted query from taking a second token.
	recentAnswers map[queryKey]*cachedAnswer
}

type queryKey struct {
	host string
	id   uint64
}

type cachedAnswer struct {
	at time.Time
	// done is closed when answer is set.
	done   chan struct{}
	answer datagram
}

func newFleetLimiter(host string, bounds func() karpithaz.Bounds, view func() *View,
	query func(context.Context, string, datagram) (datagram, error), isolated func() bool,
	log *decisions.Log, m *metrics.Registry) *fleetLimiter {
	return &fleetLimiter{
		host:          host,
		bounds:        bounds,
		view:          view,
		query:         query,
		states:        newGateStates(),
		buckets:       map[string]*ownedBucket{},
		recentAnswers: map[queryKey]*cachedAnswer{},
		lost:          lostOwners{since: map[string]time.Time{}},
		contacts:      dataCentreContacts{byName: map[string]*dataCentreContact{}},
		isolated:      isolated,
		log:           log,
		metrics:       m,
	}
}

// Allow implements rateLimiter.
func (l *fleetLimiter) Allow(ctx context.Context, w *routes.Workspace, patience time.Duration) (ok bool, retryAfter time.Duration, err error) {
	if w.Rate <= 0 {
		return true, 0, nil
	}
	a := l.takeToken(ctx, l.workspaceBucket(w), patience)
	if a.Unknown {
		return false, 0, l.unknownError(w, a)
	}
	return a.Result, time.Duration(a.Millis) * time.Millisecond, nil
}

// AllowRetry implements rateLimiter. Retry budgets do not depend on a configuration, so
// their owners always know them.
func (l *fleetLimiter) AllowRetry(ctx context.Context, service string, v retry.Value) bool {
	return l.takeToken(ctx, l.retryBucket(service, v), 0).Result
}

func (l *fleetLimiter) workspaceBucket(w *routes.Workspace) bucketSpec {
	return bucketSpec{kind: queryRate, name: w.Name, rate: w.Rate, burst: w.Burst + burstSlackShare*l.bounds().RateSlack, initial: quota.BoundedFill}
}

// retryBucket returns the part of a service's retry budget that does not depend
// on its request rate. Half of it is available at once and the other half over
// the budget's window.
func (l *fleetLimiter) retryBucket(service string, v retry.Value) bucketSpec {
	b := l.bounds()
	half := retryBudgetShare * b.RetryBudgetSlack / 2
	return bucketSpec{kind: queryRetry, name: service, rate: half / b.RetryBudgetWindow.Seconds(), burst: half, value: v,
		initial: func(_, burst float64) float64 { return quota.InitialFill(burst) }}
}

// takeToken takes a token of a bucket from its owner. An owner that cannot tell is asked
// again for as long as patience lasts.
func (l *fleetLimiter) takeToken(ctx context.Context, b bucketSpec, patience time.Duration) datagram {
	owners := quota.RankOwners(b.kind+" "+b.name, l.view().hostNames())
	var unknown datagram
	for rank, owner := range owners[:min(len(owners), maxOwnersTried)] {
		if owner == l.host {
			return l.grant(ctx, b, owners, l.host, true)
		}
		a, ok := l.queryPatiently(ctx, owner, b, patience)
		switch {
		case ok && (!a.Unknown || rank == 0):
			return a // the first owner is there, and grants as soon as it can
		case ok:
			unknown = a
		}
	}
	if a, ok := l.relay(ctx, b, owners, l.host); ok {
		return a
	}
	if unknown.Unknown {
		return unknown
	}
	// No owner can be reached. Each host grants its share of the rate, so that
	// the sum over all hosts stays within it.
	l.metrics.Add("rate_own_part", 1)
	rate, burst := l.reach(owners).OwnShare()
	return l.takeLocal(b, false, rate, burst)
}

// queryOwner asks an owner for a token. The owner may relay the query.
func (l *fleetLimiter) queryOwner(ctx context.Context, owner string, b bucketSpec) (datagram, bool) {
	return l.ask(ctx, owner, owner, datagram{Kind: b.kind, Name: b.name, Host: l.host, Value: b.value, Revision: l.view().revision()})
}

// ask sends a query about the bucket of an owner to a host, unless that has
// recently failed.
func (l *fleetLimiter) ask(ctx context.Context, host, owner string, q datagram) (datagram, bool) {
	path := host
	if host != owner {
		path = host + " " + owner
	}
	t, ok := l.view().TargetOf(host)
	if !ok || l.states.backingOff(path, time.Now()) {
		return datagram{}, false
	}
	q.To = host
	a, err := l.query(ctx, t.Control, q)
	if err == nil && (host == owner || a.Authoritative) {
		l.states.recordSuccess(path)
		l.contacts.recordContact(t.DataCentre, time.Now())
		if a.Unknown {
			l.metrics.Add("rate_unknown", 1)
		}
		if missing, was := l.lost.found(owner, time.Now()); was {
			l.log.Decide("owner-found", "owner", owner, "missing_ms", missing.Milliseconds())
		}
		return a, true
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		l.states.backOff(path, time.Now(), ownerBackoff)
		if l.lost.missed(owner, time.Now()) {
			l.log.Decide("owner-lost", "owner", owner, "limit", q.Name, "kind", q.Kind)
		}
	}
	return datagram{}, false
}

// relay passes a query on to the first owner, directly or through a witness, and
// does so only once, so that hosts that know different owners do not pass it on to
// each other. Paths that have failed recently are skipped, so that later queries try the
// remaining ones.
func (l *fleetLimiter) relay(ctx context.Context, b bucketSpec, owners []string, origin string) (datagram, bool) {
	if len(owners) == 0 {
		return datagram{}, false
	}
	q := datagram{Kind: b.kind, Name: b.name, Host: l.host, Owner: owners[0], Origin: origin, Value: b.value, Revision: l.view().revision()}
	deadline := time.Now().Add(maxRelayTimeouts * relayTimeout)
	for _, host := range append([]string{owners[0]}, l.witnesses(owners)...) {
		if time.Until(deadline) < relayTimeout {
			break
		}
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		a, ok := l.ask(ctx, host, owners[0], q)
		cancel()
		if ok {
			return a, true
		}
	}
	return datagram{}, false
}

// witnesses returns hosts that may reach the first owner where this host does not: of
// the hosts that are not owners a few of highest rank in a third data centre, in the
// owner's data centre and in any other.
func (l *fleetLimiter) witnesses(owners []string) []string {
	view := l.view()
	own, _ := view.TargetOf(l.host)
	first, _ := view.TargetOf(owners[0])
	var third, ownersDataCentre, other []string
	for _, host := range owners[min(len(owners), maxOwnersTried):] {
		t, ok := view.TargetOf(host)
		switch {
		case !ok || host == l.host:
		case t.DataCentre == first.DataCentre:
			ownersDataCentre = append(ownersDataCentre, host)
		case t.DataCentre != own.DataCentre:
			third = append(third, host)
		default:
			other = append(other, host)
		}
	}
	var all []string
	for _, hosts := range [][]string{third, ownersDataCentre, other} {
		all = append(all, hosts[:min(len(hosts), witnessesPerPlace)]...)
	}
	return all
}

// grant takes a token as an owner. relay is set if a host that is not the first
// owner may pass the query on to it.
func (l *fleetLimiter) grant(ctx context.Context, b bucketSpec, owners []string, origin string, relay bool) datagram {
	if len(owners) == 0 || owners[0] == l.host {
		share := l.reach(owners).OwnerShare()
		return l.takeLocal(b, true, share, share)
	}
	if relay {
		if a, ok := l.relay(ctx, b, owners, origin); ok {
			return a
		}
	}
	l.metrics.Add("rate_taken_over", 1)
	share := l.reach(owners).FailoverShare()
	return l.takeLocal(b, false, share, share)
}

// takeLocal takes a token from this host's bucket for shares of the rate and of the
// burst.
func (l *fleetLimiter) takeLocal(b bucketSpec, first bool, rateShare, burstShare float64) datagram {
	view := l.view()
	since := view.hostsChangedAt
	l.mu.Lock()
	defer l.mu.Unlock()
	key := b.kind + " " + b.name
	rate, burst := rateShare*b.rate, burstShare*b.burst
	own := l.buckets[key]
	if own == nil {
		own = &ownedBucket{Bucket: quota.NewBucket(since, b.initial(rate, burst))}
		l.buckets[key] = own
	} else if first && !own.first {
		own.TakeOver(since, time.Now(), rate, b.initial(rate, burst))
	}
	own.first = first
	ok, after := own.TakeAbove(time.Now(), rate, burst, b.remain(view))
	return datagram{Result: ok, Millis: after.Milliseconds()}
}

// answer answers another host's query for a token.
func (l *fleetLimiter) answer(ctx context.Context, q datagram) datagram {
	for _, host := range []string{q.Host, q.Origin} {
		if t, known := l.view().TargetOf(host); known {
			l.contacts.recordContact(t.DataCentre, time.Now())
		}
	}
	key := queryKey{q.Host, q.ID}
	l.mu.Lock()
	known, retransmitted := l.recentAnswers[key]
	if !retransmitted {
		known = &cachedAnswer{at: time.Now(), done: make(chan struct{})}
		l.recentAnswers[key] = known
	}
	l.mu.Unlock()
	if retransmitted {
		select {
		case <-known.done:
			return known.answer
		case <-ctx.Done():
			return datagram{}
		}
	}
	known.answer = l.answerOnce(ctx, q)
	close(known.done)
	return known.answer
}

// answerOnce takes the token.
func (l *fleetLimiter) answerOnce(ctx context.Context, q datagram) datagram {
	if q.Owner != "" && q.Owner != l.host {
		a, ok := l.ask(ctx, q.Owner, q.Owner, datagram{Kind: q.Kind, Name: q.Name, Host: l.host, Owner: q.Owner, Origin: q.Origin, Value: q.Value, Revision: q.Revision})
		a.Authoritative = ok
		return a
	}
	view := l.view()
	b := l.retryBucket(q.Name, q.Value)
	if q.Kind == queryRate {
		w, standing := l.standing(ctx, q)
		switch standing {
		case quota.StandingUnlimited:
			return datagram{Result: true}
		case quota.StandingUnknown, quota.StandingGone:
			return datagram{Unknown: true, Revision: l.view().revision(), Millis: ownerBackoff.Milliseconds()}
		}
		view, b = l.view(), l.workspaceBucket(w)
	}
	return l.grant(ctx, b, quota.RankOwners(b.kind+" "+b.name, view.hostNames()), q.Host, q.Owner == "")
}

// ownedBucket is a bucket of this host. first is set if it was last used as that
// of the first owner.
type ownedBucket struct {
	*quota.Bucket
	first bool
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
	view := l.view()
	l.lost.prune(func(owner string) bool { _, known := view.TargetOf(owner); return known })
}
