package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

// Announce takes a target's announcement. The error is an *announce.Problem.
func (g *Gate) Announce(a announce.Announcement) error {
	svc, known := g.opts.Service(a.Service)
	if !known {
		return announce.NewProblem(fasthttp.StatusConflict,
			"add the service to the configuration, or correct its name; announcing again is right meanwhile",
			"service %q is not configured", a.Service)
	}
	now := g.opts.Clock()
	g.mu.Lock()
	deaths, err := g.hear(a, svc, now)
	g.mu.Unlock()
	g.report(deaths)
	return err
}

// hear updates the target's state; the lock is held.
func (g *Gate) hear(a announce.Announcement, svc config.Service, now time.Time) ([]Outcome, error) {
	if g.draining {
		return nil, announce.NewProblem(fasthttp.StatusServiceUnavailable,
			"announce to the host's next daemon", "the daemon is stopping")
	}
	t := g.targets[a.Name]
	if t == nil {
		t = g.newTarget(a, svc, now)
		t.servesFrom = g.beginAt(now)
		g.targets[a.Name] = t
		return nil, nil
	}
	if err := contradiction(t, a); err != nil {
		return nil, err
	}
	if now.Sub(t.lastHeard) > g.opts.Wait {
		t.servesFrom = g.beginAt(now)
	}
	if a.Incarnation > t.incarnation {
		next := g.newTarget(a, svc, now)
		next.servesFrom = t.servesFrom
		g.targets[a.Name] = next
		return g.replace(t, now), nil
	}
	t.hear(a, svc, now)
	if t.leaving {
		g.flush(t, wire.ReasonLeaving, "target "+t.id+" is leaving")
	}
	return nil, nil
}

// contradiction returns a problem when an announcement does not fit what the
// target said before.
func contradiction(t *target, a announce.Announcement) error {
	if a.Incarnation < t.incarnation {
		return announce.NewProblem(fasthttp.StatusConflict,
			"announce with the incarnation of the running process",
			"incarnation %d is older than %d", a.Incarnation, t.incarnation)
	}
	if a.Incarnation == t.incarnation && !t.describes(a) {
		return announce.NewProblem(fasthttp.StatusConflict,
			"raise the incarnation with each start, and change address, service and slots only then; give each target of a host its own name",
			"address, service or slots differ from what incarnation %d announced", a.Incarnation)
	}
	return nil
}

// beginAt is when a target heard of for the first time may be fed.
func (g *Gate) beginAt(now time.Time) time.Time {
	if g.opts.Alone() {
		return now
	}
	return now.Add(g.opts.Wait)
}

// replace ends an instance whose successor has announced itself.
func (g *Gate) replace(t *target, now time.Time) []Outcome {
	t.replaced = true
	g.flush(t, wire.ReasonNoTarget, "target "+t.id+" has restarted")
	g.links.Drop(t.addr)
	if d, died := g.death(t, now); died {
		return []Outcome{d}
	}
	return nil
}

// death returns the outcome of a target's death when requests were in flight.
func (g *Gate) death(t *target, now time.Time) (Outcome, bool) {
	fingerprints := t.takeAborts(now)
	if len(fingerprints) == 0 {
		return Outcome{}, false
	}
	g.stats.Deaths++
	return Outcome{
		Target:      t.id,
		Incarnation: t.incarnation,
		Service:     t.service,
		Kind:        KindDied,
		InFlight:    fingerprints,
		At:          now,
	}, true
}

// flush refuses all that waits for a target.
func (g *Gate) flush(t *target, reason wire.Reason, detail string) {
	for _, it := range t.queue.Flush() {
		it.Value.granted <- wire.Refuse(reason, "%s", detail)
	}
}

// ageTarget applies the passing of time to a target; the lock is held.
func (g *Gate) ageTarget(name string, t *target, now time.Time) (Outcome, bool) {
	silence := now.Sub(t.lastHeard)
	if silence <= g.opts.Permission {
		g.pump(t, now)
		return Outcome{}, false
	}
	g.flush(t, wire.ReasonNoTarget, "target "+t.id+" has fallen silent")
	if silence <= g.opts.Gone {
		return Outcome{}, false
	}
	if silence > DefaultForget && t.inFlight == 0 {
		delete(g.targets, name)
	}
	return g.death(t, now)
}
