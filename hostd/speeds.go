package hostd

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/speed"
)

// usualDurations holds the usual durations of routes at the targets of a service.
type usualDurations struct {
	mu      sync.Mutex
	byRoute map[usualKey]*speed.Usual
}

type usualKey struct{ service, route string }

// maxUsualDurations bounds the number of entries, which outlive their routes.
const maxUsualDurations = 1024

func newUsualDurations() *usualDurations {
	return &usualDurations{byRoute: map[usualKey]*speed.Usual{}}
}

// observe adds the typical duration of a route at one target, 0 if it is not known.
func (u *usualDurations) observe(service, route string, typical time.Duration) {
	if typical <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	k := usualKey{service, route}
	d := u.byRoute[k]
	if d == nil {
		if len(u.byRoute) >= maxUsualDurations {
			clear(u.byRoute)
		}
		d = &speed.Usual{}
		u.byRoute[k] = d
	}
	d.Observe(typical)
}

// get returns the usual duration of a route, or 0 if it is not known.
func (u *usualDurations) get(service, route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if d := u.byRoute[usualKey{service, route}]; d != nil {
		return d.Duration()
	}
	return 0
}

// observeSpeed adds a successful request to the estimate of the target's speed. g.mu must
// be held.
func (g *Gate) observeSpeed(tk *ticket, now time.Time) {
	t := tk.target
	if tk.retransmitted {
		return // its duration includes that of the first transmission
	}
	s := speed.Sample{InProgress: tk.inProgress, Took: now.Sub(tk.started), Usual: time.Duration(tk.f.UsualUs) * time.Microsecond,
		Warm: !t.cold(now) && t.startLimit.Warm(now), Gray: t.filter.Probability(now)}
	before, slowness := t.queue.Limit(), t.speed.Slowness()
	if !t.speed.Observe(now, s) {
		return
	}
	t.queue.SetLimit(t.speed.Limit())
	name := "target_limit_lowered"
	if t.queue.Limit() > before {
		name = "target_limit_raised"
	}
	g.metrics.Add(name, 1)
	g.log.Decide("target-limit", "target", t.id, "limit", t.queue.Limit(), "before", before, "slots", t.queue.Slots(), "slowness", t.speed.Slowness(),
		"slowness_before", slowness, "running", t.queue.Running(), "waiting", t.queue.Waiting())
}

// minTypicalRequests is the number of requests of a route after which a gate tells their
// typical duration.
const minTypicalRequests = 4

// typical returns the typical duration of the route of an attempt at this gate, or 0 if
// too few requests are known.
func (g *Gate) typical(f Forward) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.latency(f)
	if m.Observations() < minTypicalRequests {
		return 0
	}
	return m.Typical()
}
