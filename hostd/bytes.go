package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// checkBytes refuses a request whose body would exceed what a target may hold that has
// died of too much. g.mu must be held.
func (g *Gate) checkBytes(t *localTarget, f Forward, now time.Time) *wire.Refusal {
	if t.bytes.Admit(now, f.bodyBytes) {
		return nil
	}
	g.metrics.Add("gate_refused_bytes", 1)
	r := wire.Refuse(wire.ReasonBusy, "target %s: %d bytes and the %d in flight exceed %d, the bound since it died with more",
		t.id, f.bodyBytes, t.bytes.InFlight(), t.bytes.Bound(now))
	r.RetryAfter = t.queue.ExpectedWait()
	return r
}

// recordDeathByBytes learns from the death of a target what it can bear. g.mu must be held.
func (g *Gate) recordDeathByBytes(t *localTarget, now time.Time) {
	held := t.heldAtBreak
	bounded := t.bytes.Died(now, held)
	if bounded {
		g.metrics.Add("targets_bounded_by_bytes", 1)
	}
	g.log.Decide("target-died", "target", t.id, "held_bytes", held, "bounded", bounded, "bound_bytes", t.bytes.Bound(now))
}
