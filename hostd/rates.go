package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// Questions to the owner of a bucket.
const (
	// questionRate asks for a token of a workspace.
	questionRate = "rate"
	// questionRepeat asks for a token of a service's retry budget.
	questionRepeat = "repeat"
)

const (
	// ownersAsked is how many hosts are asked in the order of their claims.
	ownersAsked = 2
	// takenOverShare is the share of a rate that the second owner gives out
	// while it cannot reach the first, who may be giving out tokens to others.
	takenOverShare = 0.5
	// lookAgain is how long a host that did not answer is passed over.
	lookAgain = 1500 * time.Millisecond
	// burstFromSlack is the share of the platform's slack on rates that is
	// added to a burst, since callers come in clumps.
	burstFromSlack = 0.4
	// budgetUse is the share of the fleet's retry budget that is given out; the
	// rest covers the calls that repeated work makes in its turn.
	budgetUse = 0.8
)

// allowance is the rate and burst of a bucket.
type allowance struct {
	// kind is the question that asks for a token, name the bucket's name.
	kind, name  string
	rate, burst float64
}

// fleetRates takes tokens from the owners of buckets, and is the owner of some.
type fleetRates struct {
	host    string
	bounds  func() karpithaz.Bounds
	view    func() *View
	ask     func(ctx context.Context, addr string, q datagram) (datagram, error)
	reached *reports

	mu      sync.Mutex
	buckets map[string]*quota.Bucket
	// answered keeps a repeated question from taking a second token.
	answered map[answeredKey]answeredRate
}

type answeredKey struct {
	host   string
	number uint64
}

type answeredRate struct {
	at time.Time
	a  datagram
}

func newFleetRates(host string, bounds func() karpithaz.Bounds, view func() *View, ask func(context.Context, string, datagram) (datagram, error)) *fleetRates {
	return &fleetRates{
		host:     host,
		bounds:   bounds,
		view:     view,
		ask:      ask,
		reached:  newReports(),
		buckets:  map[string]*quota.Bucket{},
		answered: map[answeredKey]answeredRate{},
	}
}

// Take implements rates.
func (r *fleetRates) Take(ctx context.Context, w *routes.Workspace) (ok bool, retryAfter time.Duration) {
	if w.Rate <= 0 {
		return true, 0
	}
	return r.takeFrom(ctx, r.workspace(w))
}

// Repeat implements rates.
func (r *fleetRates) Repeat(ctx context.Context, service string) bool {
	ok, _ := r.takeFrom(ctx, r.repeats(service))
	return ok
}

func (r *fleetRates) workspace(w *routes.Workspace) allowance {
	return allowance{questionRate, w.Name, w.Rate, w.Burst + burstFromSlack*r.bounds().RateSlack}
}

// repeats is the part of a service's retry budget that does not depend on its
// requests: half at once, and the other half over the budget's window.
func (r *fleetRates) repeats(service string) allowance {
	b := r.bounds()
	half := budgetUse * b.RetryReserve / 2
	return allowance{questionRepeat, service, half / b.RetryWindow.Seconds(), half}
}

// takeFrom takes a token of a bucket from its owner.
func (r *fleetRates) takeFrom(ctx context.Context, b allowance) (ok bool, retryAfter time.Duration) {
	hosts := r.view().hostNames()
	owners := quota.RankOwners(b.kind+" "+b.name, hosts)
	for _, owner := range owners[:min(len(owners), ownersAsked)] {
		if owner == r.host {
			return r.own(b, owner == owners[0])
		}
		if a, ok := r.askOwner(ctx, owner, b); ok {
			return a.Yes, time.Duration(a.Millis) * time.Millisecond
		}
	}
	// No owner can be reached; the host's own part of the rate keeps the sum
	// over all hosts within it.
	part := float64(max(len(hosts), 1))
	return r.take("own part of "+b.name, b.kind, b.rate/part, b.burst/part)
}

func (r *fleetRates) askOwner(ctx context.Context, owner string, b allowance) (datagram, bool) {
	t, ok := r.view().TargetOf(owner)
	if !ok || r.reached.doubtful(owner, time.Now()) {
		return datagram{}, false
	}
	a, err := r.ask(ctx, t.Control, datagram{Kind: b.kind, Name: b.name, Host: r.host})
	if err != nil {
		if ctx.Err() == nil {
			r.reached.avoid(owner, time.Now(), lookAgain)
		}
		return datagram{}, false
	}
	r.reached.reached(owner)
	return a, true
}

// own takes a token from a bucket of this host.
func (r *fleetRates) own(b allowance, first bool) (bool, time.Duration) {
	if first {
		return r.take(b.name, b.kind, b.rate, b.burst)
	}
	return r.take("taken over "+b.name, b.kind, takenOverShare*b.rate, takenOverShare*b.burst)
}

func (r *fleetRates) take(name, kind string, rate, burst float64) (bool, time.Duration) {
	since := r.view().hostsSince
	r.mu.Lock()
	defer r.mu.Unlock()
	key := kind + " " + name
	b := r.buckets[key]
	if b == nil {
		b = quota.NewBucket(since, burst)
		r.buckets[key] = b
	}
	return b.Take(time.Now(), rate, burst)
}

// answer answers another host's question for a token. A host that is not the
// first owner passes the question on, as the asker's path may be cut and its
// own not.
func (r *fleetRates) answer(ctx context.Context, q datagram) datagram {
	key := answeredKey{q.Host, q.Number}
	r.mu.Lock()
	known, ok := r.answered[key]
	r.mu.Unlock()
	if ok {
		return known.a
	}
	a := r.decide(ctx, q)
	r.mu.Lock()
	r.answered[key] = answeredRate{time.Now(), a}
	r.mu.Unlock()
	return a
}

func (r *fleetRates) decide(ctx context.Context, q datagram) datagram {
	view := r.view()
	b := r.repeats(q.Name)
	if q.Kind == questionRate {
		if view.Config == nil {
			return datagram{Millis: lookAgain.Milliseconds()}
		}
		w, ok := view.Config.Workspace(q.Name)
		if !ok {
			return datagram{Millis: lookAgain.Milliseconds()}
		}
		if w.Rate <= 0 {
			return datagram{Yes: true}
		}
		b = r.workspace(w)
	}
	owners := quota.RankOwners(b.kind+" "+b.name, view.hostNames())
	first := len(owners) == 0 || owners[0] == r.host
	if !first {
		if a, ok := r.askOwner(ctx, owners[0], b); ok {
			return a
		}
	}
	yes, after := r.own(b, first)
	return datagram{Yes: yes, Millis: after.Milliseconds()}
}

// answeredMemory is how long a question may be asked again.
const answeredMemory = 2 * time.Second

// sweep drops what is no longer needed.
func (r *fleetRates) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, v := range r.answered {
		if now.Sub(v.at) > answeredMemory {
			delete(r.answered, k)
		}
	}
	for name, b := range r.buckets {
		if b.Idle(now) {
			delete(r.buckets, name)
		}
	}
}
