package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

// Announce processes a target's announcement. The error is an
// *announce.Problem.
func (g *Gate) Announce(a announce.Announcement) error {
	svc, known := g.opts.Service(a.Service)
	if !known {
		return announce.NewProblem(fasthttp.StatusConflict,
			"add the service to the configuration or correct its name, and keep announcing meanwhile",
			"service %q is not configured", a.Service)
	}
	now := g.opts.Clock()
	g.mu.Lock()
	deaths, err := g.applyAnnouncement(a, svc, now)
	g.mu.Unlock()
	g.notifyOutcomes(deaths)
	return err
}

// applyAnnouncement updates the target's state and returns the deaths it
// reveals. The caller must hold the lock.
func (g *Gate) applyAnnouncement(a announce.Announcement, svc config.Service, now time.Time) ([]Outcome, error) {
	if g.draining {
		return nil, announce.NewProblem(fasthttp.StatusServiceUnavailable,
			"announce to the next daemon of the host", "the daemon is shutting down")
	}
	t := g.targets[a.Name]
	if t == nil {
		t = g.newTarget(a, svc, now)
		t.servesFrom = g.servesFrom(now)
		g.targets[a.Name] = t
		return nil, nil
	}
	if err := checkConsistent(t, a); err != nil {
		return nil, err
	}
	if now.Sub(t.lastAnnounced) > g.opts.TakeoverDelay {
		t.servesFrom = g.servesFrom(now)
	}
	if a.Incarnation > t.incarnation {
		next := g.newTarget(a, svc, now)
		next.servesFrom = t.servesFrom
		g.targets[a.Name] = next
		return g.retire(t, now), nil
	}
	t.update(a, svc, now)
	if t.leaving {
		g.refuseQueued(t, wire.ReasonLeaving, "target "+t.id+" is leaving")
	}
	return nil, nil
}

// checkConsistent returns a problem if an announcement contradicts earlier ones
// of the same target.
func checkConsistent(t *target, a announce.Announcement) error {
	if a.Incarnation < t.incarnation {
		return announce.NewProblem(fasthttp.StatusConflict,
			"announce with the incarnation of the running process",
			"incarnation %d is older than %d", a.Incarnation, t.incarnation)
	}
	if a.Incarnation == t.incarnation && !t.matches(a) {
		return announce.NewProblem(fasthttp.StatusConflict,
			"increase the incarnation with each start, and change address, service and slots only then; give each target of a host a unique name",
			"address, service or slots differ from what incarnation %d announced", a.Incarnation)
	}
	return nil
}

// servesFrom returns the time from which a newly announced target may be sent
// requests.
func (g *Gate) servesFrom(now time.Time) time.Time {
	if g.opts.SoleDaemon() {
		return now
	}
	return now.Add(g.opts.TakeoverDelay)
}

// retire closes an instance whose successor has announced itself. The caller
// must hold the lock.
func (g *Gate) retire(t *target, now time.Time) []Outcome {
	t.replaced = true
	g.refuseQueued(t, wire.ReasonNoTarget, "target "+t.id+" has restarted")
	g.links.CloseIdle(t.addr)
	if death, died := g.takeDeath(t, now); died {
		return []Outcome{death}
	}
	return nil
}

// takeDeath returns the outcome of a target's death if requests were in flight,
// and clears the recorded aborts. The caller must hold the lock.
func (g *Gate) takeDeath(t *target, now time.Time) (Outcome, bool) {
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

// refuseQueued refuses all attempts queued for a target. The caller must hold
// the lock.
func (g *Gate) refuseQueued(t *target, reason wire.Reason, detail string) {
	for _, item := range t.queue.Flush() {
		item.Value.grant <- wire.Refuse(reason, "%s", detail)
	}
}

// expireTarget handles a target that has stopped announcing itself, and returns
// its death if requests were in flight. The caller must hold the lock.
func (g *Gate) expireTarget(name string, t *target, now time.Time) (Outcome, bool) {
	silence := now.Sub(t.lastAnnounced)
	if silence <= g.opts.AnnouncementTTL {
		g.grantSlots(t, now)
		return Outcome{}, false
	}
	g.refuseQueued(t, wire.ReasonNoTarget, "target "+t.id+" has stopped announcing itself")
	if silence <= g.opts.SilenceTimeout {
		return Outcome{}, false
	}
	if silence > DefaultTargetRetention && t.inFlight == 0 {
		delete(g.targets, name)
	}
	return g.takeDeath(t, now)
}
