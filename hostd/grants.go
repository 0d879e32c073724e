package hostd

import "time"

// updateRate updates the rate limit of the target. It returns the number of
// requests that may start now, negative if there is no limit, and the time until
// one may. g.mu must be held.
func (g *Gate) updateRate(t *localTarget, now time.Time) (room int, wait time.Duration) {
	return t.updateRate(now, t.coldLimit(g.service(t.service), g.settings().Bounds))
}

// scheduleGrants grants slots again when the rate limit allows the next request,
// if requests wait for that alone. g.mu must be held.
func (g *Gate) scheduleGrants(t *localTarget, now time.Time) {
	room, wait := g.updateRate(t, now)
	if room != 0 || t.grantsScheduled || t.queue.Waiting() == 0 || t.queue.Running() >= t.queue.Slots() {
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
	g.scheduleGrants(t, now)
}
