package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// questionRate asks an owner for a token of a workspace.
const questionRate = "rate"

// ownersAsked is how many hosts are asked in the order of their claims.
const ownersAsked = 2

// takenOverShare is the share of a rate that the second owner gives out while
// it cannot reach the first, who may be giving out tokens to others.
const takenOverShare = 0.5

// lookAgain is how long a host that did not answer is passed over.
const lookAgain = 1500 * time.Millisecond

// fleetRates takes tokens from the workspaces' owners, and is the owner of
// some.
type fleetRates struct {
	host    string
	view    func() *View
	ask     func(ctx context.Context, addr string, q datagram) (datagram, error)
	reached *reports

	mu      sync.Mutex
	buckets map[string]*quota.Bucket
	// remembered numbers of questions keep a repeated one from taking twice.
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

func newFleetRates(host string, view func() *View, ask func(context.Context, string, datagram) (datagram, error)) *fleetRates {
	return &fleetRates{
		host:     host,
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
	hosts := r.view().hostNames()
	owners := quota.Owners(w.Name, hosts)
	for _, owner := range owners[:min(len(owners), ownersAsked)] {
		if owner == r.host {
			return r.own(w, owner == owners[0])
		}
		if a, ok := r.askOwner(ctx, owner, w.Name); ok {
			return a.Yes, time.Duration(a.Millis) * time.Millisecond
		}
	}
	// Nobody who may own the rate can be reached; the host's own part of it
	// keeps the sum of all hosts within the rate.
	return r.take("own part of "+w.Name, w.Rate/float64(max(len(hosts), 1)), 1)
}

func (r *fleetRates) askOwner(ctx context.Context, owner, workspace string) (datagram, bool) {
	t, ok := r.view().TargetOf(owner)
	if !ok || r.reached.doubtful(owner, time.Now()) {
		return datagram{}, false
	}
	a, err := r.ask(ctx, t.Control, datagram{Kind: questionRate, Name: workspace, Host: r.host})
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
func (r *fleetRates) own(w *routes.Workspace, first bool) (bool, time.Duration) {
	if first {
		return r.take(w.Name, w.Rate, w.Burst)
	}
	return r.take("taken over "+w.Name, takenOverShare*w.Rate, takenOverShare*w.Burst)
}

func (r *fleetRates) take(name string, rate, burst float64) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := r.buckets[name]
	if b == nil {
		b = quota.NewBucket(now, burst)
		r.buckets[name] = b
	}
	return b.Take(now, rate, burst)
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
	a := r.decide(ctx, q.Name)
	r.mu.Lock()
	r.answered[key] = answeredRate{time.Now(), a}
	r.mu.Unlock()
	return a
}

func (r *fleetRates) decide(ctx context.Context, workspace string) datagram {
	view := r.view()
	if view.Config == nil {
		return datagram{}
	}
	w, ok := view.Config.Workspace(workspace)
	if !ok {
		return datagram{Millis: lookAgain.Milliseconds()}
	}
	owners := quota.Owners(workspace, view.hostNames())
	first := len(owners) == 0 || owners[0] == r.host
	if !first {
		if a, ok := r.askOwner(ctx, owners[0], workspace); ok {
			return a
		}
	}
	yes, after := r.own(w, first)
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
