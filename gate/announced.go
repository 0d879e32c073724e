package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
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
	deaths, err := g.hear(a, now, func() *target { return g.newTarget(a, svc, now) })
	g.mu.Unlock()
	g.report(deaths)
	return err
}

// hear updates the target's state; the lock is held.
func (g *Gate) hear(a announce.Announcement, now time.Time, fresh func() *target) ([]Outcome, error) {
	if g.draining {
		return nil, announce.NewProblem(fasthttp.StatusServiceUnavailable,
			"announce to the host's next daemon", "the daemon is stopping")
	}
	t := g.targets[a.Name]
	if t == nil {
		t = fresh()
		t.servesFrom = g.beginAt(now)
		g.targets[a.Name] = t
		return nil, nil
	}
	if a.Incarnation < t.said.Incarnation {
		return nil, announce.NewProblem(fasthttp.StatusConflict,
			"announce with the incarnation of the running process",
			"incarnation %d is older than %d", a.Incarnation, t.said.Incarnation)
	}
	servesFrom := t.servesFrom
	if now.Sub(t.lastHeard) > g.opts.Wait {
		servesFrom = g.beginAt(now)
	}
	if !sameInstance(a, t.said) {
		deaths := g.replace(t, now)
		t = fresh()
		t.servesFrom = servesFrom
		g.targets[a.Name] = t
		return deaths, nil
	}
	t.said = a
	t.lastHeard = now
	t.servesFrom = servesFrom
	if a.State == announce.StateLeaving {
		g.flush(t, wire.ReasonLeaving, "target "+t.id+" is leaving")
	}
	return nil, nil
}

func sameInstance(a, b announce.Announcement) bool {
	return a.Incarnation == b.Incarnation &&
		a.Address == b.Address &&
		a.Service == b.Service &&
		a.Slots == b.Slots
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
	g.links.Drop(t.said.Address)
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
		Incarnation: t.said.Incarnation,
		Service:     t.said.Service,
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
