package hostd

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/rollout"
)

const (
	// versionUnavailableFor is how long a target is avoided whose gate refused for the
	// version. Allowances change every 500 ms.
	versionUnavailableFor = 300 * time.Millisecond
	// versionRounds is how often an attempt searches again after a refusal for the
	// version. The refusal tells the present directive, so that one round usually
	// suffices. A directive may change in between.
	versionRounds = 3
)

// directives is what an ingress knows of the roll-outs of services: a preference only,
// since the gates decide.
type directives struct {
	mu        sync.Mutex
	byService map[string]rollout.Directive
	// seen are the requests by route under the present orders.
	seen map[string]routesSeen
}

type routesSeen struct {
	order  uint64
	routes map[string]int
}

// canaryPercent counts a request of a route under an order, and returns the share of the
// route's requests that is offered to a canary first.
func (k *directives) canaryPercent(d rollout.Directive, service, route string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.seen[service]
	if s.order != d.Order {
		s = routesSeen{d.Order, map[string]int{}}
		if k.seen == nil {
			k.seen = map[string]routesSeen{}
		}
		k.seen[service] = s
	}
	s.routes[route]++
	return rollout.RoutePercent(d.SharePercent, s.routes, route)
}

func (k *directives) learn(service string, d *rollout.Directive) {
	if d == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, known := k.byService[service]; known && !d.Supersedes(old) {
		return
	}
	if k.byService == nil {
		k.byService = map[string]rollout.Directive{}
	}
	k.byService[service] = *d
}

// get returns the directive on an order.
func (k *directives) get(o rollout.Order, l rollout.Limits) rollout.Directive {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d, known := k.byService[o.Service]; known && d.Order == o.Version {
		return d
	}
	return rollout.Directive{Order: o.Version, Phase: rollout.Canary, Target: o.Target, SharePercent: rollout.CanaryPercent(l)}
}

const percent = 100

// byVersion groups the candidates of a service that is being rolled out by version, in
// the order in which they are offered the request.
func (a *attempt) byVersion(cands []placing.Candidate) [][]placing.Candidate {
	set := a.e.in.settings()
	view := a.e.in.control.View()
	order, ordered := view.orders[a.e.service]
	if !set.Rollouts || !ordered {
		return [][]placing.Candidate{cands}
	}
	d := a.e.in.rollouts.get(order, rolloutLimits(set.Bounds))
	var present, next []placing.Candidate
	for _, c := range cands {
		if t, _ := view.TargetOf(c.Host); t.Version == d.Target {
			next = append(next, c)
		} else {
			present = append(present, c)
		}
	}
	if len(present) == 0 || len(next) == 0 {
		return [][]placing.Candidate{cands}
	}
	share := d.SharePercent
	if d.Phase == rollout.Canary {
		share = a.e.in.rollouts.canaryPercent(d, a.e.service, a.e.route.Name)
	}
	first := rand.IntN(percent) < share
	switch d.Phase {
	case rollout.Canary:
		if c := canaryOf(d, next); first && !c.PathFailed {
			return [][]placing.Candidate{{c}, present}
		}
		return [][]placing.Candidate{present}
	case rollout.Ramp:
		if first {
			return [][]placing.Candidate{next, present}
		}
	case rollout.Withdraw, rollout.Completed:
		return [][]placing.Candidate{next}
	case rollout.RolledBack:
		return [][]placing.Candidate{present}
	}
	return [][]placing.Candidate{present, next}
}

// canaryOf returns the candidate that receives allowances.
func canaryOf(d rollout.Directive, next []placing.Candidate) placing.Candidate {
	byHost := func(host string) int {
		return slices.IndexFunc(next, func(c placing.Candidate) bool { return c.Host == host })
	}
	named := d.Canaries()
	for _, n := range rand.Perm(len(named)) {
		if i := byHost(named[n]); i >= 0 {
			return next[i]
		}
	}
	var hosts []string
	for _, c := range next {
		hosts = append(hosts, c.Host)
	}
	return next[max(byHost(rollout.CanaryOrder(d.Order, hosts)[0]), 0)]
}
