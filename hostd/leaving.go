package hostd

import (
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// maxLeft bounds the departures that a gate remembers of targets that are not its current one.
const maxLeft = 8

// repeatedSignOff is how long after a sign-off another one with the same id counts as its
// repeat. Targets repeat it within seconds, and an id that is used again starts later.
const repeatedSignOff = 5 * time.Second

// closedChannel is that of a departure that other hosts hold already.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// promise is what an acknowledgement waits for: either of the two, or nothing if both are nil.
type promise struct {
	// written is closed when a departure is in the store, and held when enough other hosts
	// hold it.
	written, held <-chan struct{}
}

// leftTarget is a departed target that is not the gate's current one.
type leftTarget struct {
	departure.Record
	// promise is what the acknowledgement of the departure waits for.
	promise promise
}

// startDeparted registers a target that is known only by its departure. g.mu must be held.
func (g *Gate) startDeparted(id string, signedOffAt time.Time) {
	set := g.settings()
	t := newLocalTarget(karpithaz.Heartbeat{Target: id, Service: set.Service, Address: set.TargetAddress, Slots: 1})
	t.leaving, t.signedOffAt, t.firstSeen = true, signedOffAt, time.Now()
	g.target = t
	g.endSearch()
}

// markLeaving handles the sign-off of a target.
func (g *Gate) markLeaving(id string) promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, now := g.target, time.Now()
	switch {
	case t == nil:
		// The daemon has restarted and does not know the target yet.
		g.startDeparted(id, now)
		g.publishDeparture(g.target, "left")
	case t.id != id:
		// It is an earlier target, or one that has started and sent no heartbeat yet.
		for _, l := range g.left {
			if l.Target == id && now.Sub(time.UnixMilli(l.Born)) < repeatedSignOff {
				return l.promise
			}
		}
		r := departure.Record{Target: id, Born: now.UnixMilli()}
		g.log.Decide("target-leaving", "target", id, "why", "left", "current", t.id)
		return g.rememberLeft(r, promise{held: g.holdDeparture(r, nil)})
	case !t.leaving:
		t.leaving, t.signedOffAt = true, now
		g.publishDeparture(t, "left")
	}
	return g.target.departure
}

// rememberLeft makes later heartbeats of a target those of one that leaves. g.mu must be held.
func (g *Gate) rememberLeft(r departure.Record, p promise) promise {
	if !slices.ContainsFunc(g.left, func(l leftTarget) bool { return l.Record == r }) {
		g.left = append(g.left, leftTarget{r, p})
		g.left = g.left[max(len(g.left)-maxLeft, 0):]
	}
	return p
}

// hasLeft reports whether the target of a heartbeat has departed although it may not say so.
// g.mu must be held.
func (g *Gate) hasLeft(h karpithaz.Heartbeat) (p promise, ok bool) {
	for _, l := range g.left {
		if l.Includes(h.Target, h.StartedAtMillis) {
			return l.promise, true
		}
	}
	return promise{}, false
}

// learnDeparture applies a departure of a target of this host that another host holds from
// before the start of this process. It is called again once the hosts table is known: the
// departure is published only in place of a row that names the target as present, as a
// later target may have written its own.
func (g *Gate) learnDeparture(r departure.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rememberLeft(r, promise{held: closedChannel})
	t := g.target
	row, version := g.view().row(g.settings().Host)
	// A target with the same id that started after that is another one.
	signedOffAt := time.Now()
	if r.Born != 0 {
		signedOffAt = time.UnixMilli(r.Born)
	}
	switch {
	case t == nil && (version == 0 || r.Includes(row.ID, row.Born)):
		g.startDeparted(r.Target, signedOffAt)
	case t != nil && !t.leaving && r.Includes(t.id, t.born):
		t.leaving, t.signedOffAt = true, signedOffAt
		g.flush(t, "target "+t.id+" is leaving")
	case t == nil || t.id != r.Target || !t.leaving:
		return
	}
	if g.target.departure.written == nil && version != 0 && !row.Departed && r.Includes(row.ID, row.Born) {
		g.publishDeparture(g.target, "held elsewhere")
	}
	g.target.departure.held = closedChannel
}

// publishDeparture stops sending to a target and marks it as departed in the
// host's row. g.mu must be held.
func (g *Gate) publishDeparture(t *localTarget, why string) {
	g.log.Decide("target-leaving", "target", t.id, "why", why, "running", t.queue.Running(), "waiting", t.queue.Waiting())
	g.flush(t, "target "+t.id+" is leaving")
	row := g.hostRow(t)
	t.departure.written = g.publish(row)
	t.departure.held = g.holdDeparture(departure.Record{Target: row.ID, Born: row.Born}, t.departure.written)
}

const (
	// departureTimeout bounds how long the acknowledgement of a departure waits. The
	// target expects it within a second.
	departureTimeout = 700 * time.Millisecond
	// storePreference is how long the store may take before other hosts will do. It
	// answers in milliseconds, and tells all hosts.
	storePreference = 150 * time.Millisecond
)

// await waits until a departure is in the store or, if that takes long, held by other hosts:
// it has to be known after a restart of this process once it has been acknowledged. It
// returns false if neither is.
func (p promise) await() bool {
	if p.written == nil && p.held == nil {
		return true
	}
	timer := time.NewTimer(storePreference)
	defer timer.Stop()
	if p.written != nil {
		select {
		case <-p.written:
			return true
		case <-timer.C:
		}
	}
	timer.Reset(departureTimeout - storePreference)
	select {
	case <-p.written:
	case <-p.held:
	case <-timer.C:
		return false
	}
	return true
}

// flush refuses all requests queued for a target. g.mu must be held.
func (g *Gate) flush(t *localTarget, detail string) {
	for _, it := range t.queue.Flush() {
		answerWaiting(it, wire.Refuse(wire.ReasonLeaving, "%s", detail))
	}
}
