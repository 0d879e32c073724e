package hostd

import (
	"context"
	"time"
)

// coldBound returns the number of requests a second that the target may receive
// while it is cold, or 0 for no limit. g.mu must be held.
func (g *Gate) coldBound(t *localTarget) int {
	return t.coldLimit(g.service(t.service), g.settings().Bounds)
}

// updateRate updates the rate limit of the target, and probes the target if that
// may raise the limit. It returns the number of requests that may start now,
// negative if there is no limit, and the time until one may. g.mu must be held.
func (g *Gate) updateRate(t *localTarget, now time.Time) (room int, wait time.Duration) {
	bound := g.coldBound(t)
	if g.probeDue(t, now, bound) {
		t.startLimit.Probed(now)
		t.startLimit.Sent(now)
		t.queue.Reserve()
		go g.probeWarmth(t, now)
	}
	t.queue.SetReturning(now.Before(t.returningUntil))
	return t.updateRate(now, bound)
}

// maxProbedGray is the probability of a gray failure above which a target is not
// probed: it receives few requests, and the probe would fail.
const maxProbedGray = 0.5

// probeDue reports whether the target is to be probed. g.mu must be held.
func (g *Gate) probeDue(t *localTarget, now time.Time, bound int) bool {
	return !g.stopping && !t.leaving && !t.cold(now) && t.queue.Running() < t.queue.Limit() &&
		t.startLimit.ProbeDue(now, bound, t.slowdown(now)) && t.filter.Probability(now) <= maxProbedGray
}

// warmthProbeTimeout bounds a probe, which takes as long as a short request.
const warmthProbeTimeout = 500 * time.Millisecond

// probeWarmth asks the target whether it is cold. It holds a slot meanwhile.
func (g *Gate) probeWarmth(t *localTarget, sentAt time.Time) {
	h, ok := g.checkHealth(context.Background(), warmthProbeTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	t.queue.Release()
	switch {
	case !ok || h.Target != t.id:
	case h.ColdRemaining > 0:
		t.coldUntil = now.Add(h.ColdRemaining)
		t.startLimit.Restarted(now)
		g.log.Decide("target-cold", "target", t.id, "cold", true, "for_ms", h.ColdRemaining.Milliseconds(), "probed", true)
	default:
		t.startLimit.Proven(now, sentAt)
	}
	g.grantSlots(t, now)
}

// scheduleGrants grants slots again when the rate limit allows the next request,
// if requests wait for that alone. g.mu must be held.
func (g *Gate) scheduleGrants(t *localTarget, now time.Time) {
	room, wait := g.updateRate(t, now)
	if room != 0 || t.grantsScheduled || t.queue.Waiting() == 0 || t.queue.Running() >= t.queue.Limit() {
		return
	}
	t.grantsScheduled = true
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.grantsScheduled = false
		g.grantSlots(t, time.Now())
	})
}

// grantSlots gives free slots to queued attempts. g.mu must be held.
func (g *Gate) grantSlots(t *localTarget, now time.Time) {
	for {
		g.updateRate(t, now)
		run, late := t.queue.Next(now)
		for _, it := range run {
			t.startLimit.Sent(now)
			answerWaiting(it, nil)
		}
		for _, it := range late {
			answerWaiting(it, g.busy(t, "too little time left to run"))
		}
		if len(run)+len(late) == 0 {
			break
		}
	}
	t.observeLoad(now)
	g.scheduleGrants(t, now)
}
