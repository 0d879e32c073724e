package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// maxLeft bounds the departures that a gate remembers of targets that are not its current one.
const maxLeft = 8

// closedChannel is that of a departure that other hosts hold already.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// promise is what an acknowledgement waits for: one of the two, or nothing if both are nil.
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
func (g *Gate) startDeparted(id string, signedOffAt time.Time, why string) {
	set := g.settings()
	t := newLocalTarget(karpithaz.Heartbeat{Target: id, Service: set.Service, Address: set.TargetAddress, Slots: 1})
	t.leaving, t.signedOffAt, t.firstSeen = true, signedOffAt, time.Now()
	g.target = t
	g.endSearch()
	g.publishDeparture(t, why)
}

// markLeaving handles the sign-off of a target.
func (g *Gate) markLeaving(id string) promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, now := g.target, time.Now()
	switch {
	case t == nil:
		// The daemon has restarted and does not know the target yet.
		g.startDeparted(id, now, "left")
	case t.id != id:
		// It is an earlier target, or one that has started and not been heard of yet.
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
	g.left = append(g.left, leftTarget{r, p})
	g.left = g.left[max(len(g.left)-maxLeft, 0):]
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
// before the start of this process.
func (g *Gate) learnDeparture(r departure.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rememberLeft(r, promise{held: closedChannel})
	t := g.target
	row, version := g.view().row(g.settings().Host)
	switch {
	case t != nil && !t.leaving && r.Includes(t.id, t.born):
		t.leaving, t.signedOffAt = true, time.Now()
		g.publishDeparture(t, "held elsewhere")
	case t == nil && version != 0 && !row.Departed && r.Includes(row.ID, row.Born):
		// Other hosts go on offering to it because of its row.
		signedOffAt := time.Now()
		if r.Born != 0 {
			signedOffAt = time.UnixMilli(r.Born)
		}
		g.startDeparted(r.Target, signedOffAt, "held elsewhere")
	default:
		return
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

// departureTimeout bounds how long the acknowledgement of a departure waits. The
// target expects it within a second.
const departureTimeout = 700 * time.Millisecond

// await waits until a departure is in the store or held by other hosts: it has to be
// known after a restart of this process once it has been acknowledged. It returns
// false if that takes too long.
func (p promise) await() bool {
	if p.written == nil && p.held == nil {
		return true
	}
	timer := time.NewTimer(departureTimeout)
	defer timer.Stop()
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
