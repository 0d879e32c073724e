package hostd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// handleAnnouncement handles a heartbeat or a sign-off of the target.
func (g *Gate) handleAnnouncement(_ context.Context, x *h1.Exchange) {
	id, ok := karpithaz.AnnouncementTargetID(string(x.Request.Header.RequestURI()))
	switch {
	case ok && x.Request.Header.IsPut():
		g.handleHeartbeat(id, x)
	case ok && x.Request.Header.IsDelete():
		g.acknowledge(g.markLeaving(id), &x.Response)
	default:
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// acknowledge acknowledges an announcement. That of a departure is a promise that outlives
// this process, so it is not given unless somebody else knows of the departure.
func (g *Gate) acknowledge(p promise, resp *fasthttp.Response) {
	if !p.await() {
		g.metrics.Add("departures_not_acknowledged", 1)
		g.log.Decide("departure-not-acknowledged", "after_ms", departureTimeout.Milliseconds(),
			"err", "neither the store nor enough other hosts have it; the target is sent nothing, and ends by itself")
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(karpithaz.HeartbeatResponse)
}

func (g *Gate) handleHeartbeat(id string, x *h1.Exchange) {
	h, err := karpithaz.DecodeHeartbeat(id, x.Request.Body())
	if err != nil {
		g.metrics.Add("heartbeats_unreadable", 1)
		g.log.Decide("heartbeat-refused", "target", id, "err", err)
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if why := g.foreign(h, time.Now()); why != "" {
		g.metrics.Add("heartbeats_foreign", 1)
		g.log.Decide("heartbeat-refused", "target", id, "address", h.Address, "service", h.Service, "born", h.StartedAtMillis, "err", why)
		x.Response.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	var p promise
	if !g.deferHeartbeat(h) {
		p = g.applyHeartbeat(h, time.Now())
	}
	g.acknowledge(p, &x.Response)
}

// deferHeartbeat keeps a heartbeat of a target that is not known, if it is not known either
// whether that target has departed. applyDeferred applies it.
func (g *Gate) deferHeartbeat(h karpithaz.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.departuresAsked:
		return false
	default:
	}
	if g.target != nil || h.Leaving {
		return false
	}
	g.deferred = append(g.deferred, h)
	g.deferred = g.deferred[max(len(g.deferred)-maxDeferred, 0):]
	g.metrics.Add("heartbeats_deferred", 1)
	g.log.Decide("heartbeat-deferred", "target", h.Target, "born", h.StartedAtMillis, "sequence", h.Sequence)
	return true
}

// maxDeferred bounds the heartbeats that are kept. The latest ones count.
const maxDeferred = 4

// applyDeferred applies the heartbeats that arrived before departuresAsked was closed.
func (g *Gate) applyDeferred() {
	g.mu.Lock()
	deferred := g.deferred
	g.deferred = nil
	g.mu.Unlock()
	for _, h := range deferred {
		g.applyHeartbeat(h, time.Now())
	}
}

// maxClockError is how far the time of day of a target may be ahead of this host's.
const maxClockError = time.Minute

// foreign returns why a heartbeat cannot come from this host's target, or "" if it can.
// Once a heartbeat with a later start time is accepted, those of the real target are
// ignored as old.
func (g *Gate) foreign(h karpithaz.Heartbeat, now time.Time) string {
	set := g.settings()
	switch {
	case h.Address != set.TargetAddress:
		return "not the address of this host's target"
	case h.StartedAtMillis > now.Add(maxClockError).UnixMilli():
		return "the target starts in the future"
	case h.Service != set.Service && g.view().Config != nil && g.service(h.Service) == nil:
		return "the configuration has no such service"
	}
	return ""
}

// applyHeartbeat applies a heartbeat and returns what its acknowledgement waits for.
func (g *Gate) applyHeartbeat(h karpithaz.Heartbeat, now time.Time) promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	earlier, left := g.hasLeft(h)
	h.Leaving = h.Leaving || left
	t := g.target
	switch {
	case t == nil || !t.sameIncarnation(h) && h.StartedAtMillis >= t.born:
		g.startIncarnation(h, now)
	case !t.supersedes(h):
		g.log.Decide("heartbeat-old", "target", h.Target, "born", h.StartedAtMillis, "sequence", h.Sequence, "known_born", t.born, "known_sequence", t.sequence)
	default:
		left := t.leaving
		cold := t.cold(now)
		version := g.versionOf(t)
		if g.view().Evacuated(g.settings().DataCentre) {
			t.startLimit.Restarted(now)
		}
		t.update(h, now)
		if t.leaving && !left {
			g.publishDeparture(t, "announced")
		} else if g.settings().Rollouts && g.versionOf(t) != version {
			g.publish(g.hostRow(t))
		}
		if t.cold(now) != cold {
			g.log.Decide("target-cold", "target", t.id, "cold", !cold, "for_ms", h.ColdRemaining.Milliseconds(), "sequence", h.Sequence)
		}
	}
	if left && g.target.id == h.Target {
		g.target.departure.held = earlier.held
	}
	return g.target.departure
}

// returnTime is how long after the first target is known a gate counts as just started.
// After a restart of the whole fleet the requests that have waited arrive in this time.
// In plays five seconds served no more of the most urgent requests than three.
const returnTime = 3 * time.Second

// startIncarnation registers a new incarnation of the target. g.mu must be
// held.
func (g *Gate) startIncarnation(h karpithaz.Heartbeat, now time.Time) {
	old := g.target
	g.target = newLocalTarget(h)
	if old != nil {
		// What was sent in the last second may have reached this incarnation.
		g.target.startLimit = old.startLimit
		if old.service == g.target.service {
			g.target.bytes = old.bytes
		}
	} else {
		g.target.returningUntil = now.Add(returnTime)
	}
	g.target.startLimit.Restarted(now)
	g.target.firstSeen = now
	if h.Leaving {
		g.target.signedOffAt = now
	}
	g.target.update(h, now)
	g.endSearch()
	if old != nil {
		if !old.leaving {
			g.recordDeath(old, now)
		}
		g.flush(old, "target "+old.id+" has been replaced")
		g.links.CloseIdle(old.address)
	}
	g.log.Decide("target-known", "target", h.Target, "service", h.Service, "slots", h.Slots, "leaving", h.Leaving,
		"cold_ms", h.ColdRemaining.Milliseconds(), "born", h.StartedAtMillis)
	if h.Leaving {
		g.publishDeparture(g.target, "announced")
	} else {
		g.publish(g.hostRow(g.target))
	}
}

func (g *Gate) hostRow(t *localTarget) Target {
	born := t.born
	if born == 0 && t.leaving {
		born = t.signedOffAt.UnixMilli() // it started earlier, and a later incarnation is another one
	}
	version := ""
	if g.settings().Rollouts {
		version = g.versionOf(t)
	}
	return Target{
		ID:         t.id,
		Service:    t.service,
		Host:       g.settings().Host,
		DataCentre: g.settings().DataCentre,
		Gate:       g.settings().GateListen,
		Control:    g.settings().DatagramListen,
		Slots:      t.queue.Slots(),
		Departed:   t.leaving,
		Born:       born,
		Version:    version,
		LinkMbps:   g.settings().LinkMbps,
	}
}

// refreshRow publishes the target again if its row is missing or out of date. lost is set
// if the row has been removed, rather than not written yet.
func (g *Gate) refreshRow(row Target, listed, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target
	if t == nil || t.leaving || !lost && time.Since(t.firstSeen) < ownRowCheckInterval ||
		g.view().hasDeparted(g.settings().Host, t.id, t.born) {
		return
	}
	if want := g.hostRow(t); !listed || !row.sameRow(want) {
		g.log.Decide("own-row-missing", "target", t.id, "listed", listed)
		g.publish(want)
	}
}

// Timing of the search for a target at start-up.
const (
	discoverTimeout      = time.Second
	discoverPollInterval = 10 * time.Millisecond
	// maxTargetWait is how long an offer waits for the target of a gate that has just
	// started: a check for a configuration and a health check. It is shorter than the time
	// after which the ingress takes the gate for silent.
	maxTargetWait = 200 * time.Millisecond
)

// Discover finds the target by a health check, so that a restarted daemon can
// serve before the next heartbeat. It waits for a configuration, which gives
// the path of the health check, and stops if a heartbeat arrives first.
func (g *Gate) Discover(ctx context.Context) {
	defer g.endSearch()
	for g.service(g.settings().Service) == nil {
		if !pause.For(ctx, discoverPollInterval) {
			return
		}
	}
	if g.hasTarget() {
		return
	}
	h, ok := g.checkHealth(ctx, discoverTimeout)
	select {
	case <-g.departuresAsked:
	case <-ctx.Done():
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, left := g.hasLeft(h); ok && g.target == nil && !left {
		// If it has the id of one that has left, its heartbeat tells whether it is another.
		g.startIncarnation(h, time.Now())
	}
}

func (g *Gate) hasTarget() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target != nil
}

// endSearch lets the offers go on that wait for the target.
func (g *Gate) endSearch() { g.endSearchOnce.Do(func() { close(g.searched) }) }

// awaitTarget waits while a gate that has just started looks for its target. Without it, all
// gates of a fleet that has restarted refuse their first offers, and their targets are
// avoided for a while.
func (g *Gate) awaitTarget(ctx context.Context, timeLeft time.Duration) {
	select {
	case <-g.searched:
		return
	default:
	}
	timer := time.NewTimer(min(maxTargetWait, timeLeft))
	defer timer.Stop()
	select {
	case <-g.searched:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// checkHealth queries the target's health. It returns false unless the target
// is healthy.
func (g *Gate) checkHealth(ctx context.Context, timeout time.Duration) (karpithaz.Heartbeat, bool) {
	svc := g.service(g.settings().Service)
	if svc == nil {
		g.log.Decide("health-failed", "address", g.settings().TargetAddress, "err", "the configuration has no service "+g.settings().Service)
		return karpithaz.Heartbeat{}, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(svc.HealthPath)
	req.Header.SetHost(g.settings().TargetAddress)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.metrics.Add("target_probes", 1)
	resp, err := g.links.Do(ctx, g.settings().TargetAddress, req, link.RequestOptions{FirstByteTimeout: timeout, KeepConnection: keepsTargetConnection})
	if err != nil {
		g.log.Decide("health-failed", "address", g.settings().TargetAddress, "err", err)
		return karpithaz.Heartbeat{}, false
	}
	if _, err := readWhole(resp, g.memory); err != nil {
		return karpithaz.Heartbeat{}, false
	}
	answer := karpithaz.ParseResponse(&resp.Header)
	if resp.Header.StatusCode() != fasthttp.StatusOK || answer.Target == "" || answer.Load == nil || answer.Load.Slots <= 0 {
		return karpithaz.Heartbeat{}, false
	}
	return karpithaz.Heartbeat{
		Target:        answer.Target,
		Service:       g.settings().Service,
		Address:       g.settings().TargetAddress,
		DataCentre:    g.settings().DataCentre,
		Slots:         answer.Load.Slots,
		ColdRemaining: answer.ColdRemaining,
	}, true
}
