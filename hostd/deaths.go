package hostd

import (
	"context"
	"slices"
	"time"
)

// A connection that breaks with a request in flight may be a sign that the target has died.
// The gate probes the target, and a target that is dead, or starts again soon after, has died
// with the requests whose connections broke.

const (
	// deathProbeDelay is the delay between a broken connection and the probe.
	deathProbeDelay = 30 * time.Millisecond
	// deathProbeTimeout bounds the probe. The target is on the same host.
	deathProbeTimeout = 300 * time.Millisecond
	// startAfterBreak is how long after a broken connection the start of another incarnation
	// of the target shows that it has died. Targets are away for some seconds.
	startAfterBreak = 5 * time.Second
	// maxBrokenRequests bounds the requests reported with one death.
	maxBrokenRequests = 64
)

// brokenRequest is a request whose connection to the target broke.
type brokenRequest struct {
	fingerprint uint64
	at          time.Time
	// probed is set if the target answered a probe after that.
	probed bool
}

// recordBroken records that the connection of a request broke, and probes the target. g.mu
// must be held.
func (g *Gate) recordBroken(tk *ticket, now time.Time) {
	t := tk.target
	t.broken = slices.DeleteFunc(t.broken, func(b brokenRequest) bool { return now.Sub(b.at) > startAfterBreak })
	if len(t.broken) >= maxBrokenRequests {
		return
	}
	t.broken = append(t.broken, brokenRequest{fingerprint: tk.f.Fingerprint, at: now})
	if !t.probing {
		t.probing = true
		t.heldAtBreak = t.bytes.InFlight()
		go g.probeForDeath(t)
	}
}

// probeForDeath probes a target whose connection broke. If the target is dead,
// it reports the requests in flight. Otherwise it may have started again already,
// which its next heartbeat tells.
func (g *Gate) probeForDeath(t *localTarget) {
	time.Sleep(deathProbeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), deathProbeTimeout)
	err := g.links.Probe(ctx, t.address)
	cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.probing = false
	if err != nil {
		t.broken = slices.DeleteFunc(t.broken, func(b brokenRequest) bool { return b.probed })
		g.recordDeath(t, time.Now())
		return
	}
	for i := range t.broken {
		t.broken[i].probed = true
	}
}

// forgetBroken forgets the broken connections of a request that the target has served since.
// g.mu must be held.
func (t *localTarget) forgetBroken(fingerprint uint64) {
	t.broken = slices.DeleteFunc(t.broken, func(b brokenRequest) bool { return b.fingerprint == fingerprint })
}

// recordDeath records that a target has died with the requests whose connections broke
// recently. g.mu must be held.
func (g *Gate) recordDeath(t *localTarget, now time.Time) {
	var fingerprints []uint64
	for _, b := range t.broken {
		if now.Sub(b.at) <= startAfterBreak && !slices.Contains(fingerprints, b.fingerprint) {
			fingerprints = append(fingerprints, b.fingerprint)
		}
	}
	t.broken = nil
	if len(fingerprints) == 0 {
		return
	}
	g.recordDeathByBytes(t, now)
	go g.onDeath(t.id, t.born, fingerprints)
}
