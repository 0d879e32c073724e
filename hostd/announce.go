package hostd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// handleAnnouncement answers a target that announces itself.
func (g *Gate) handleAnnouncement(_ context.Context, x *h1.Exchange) {
	id, ok := karpithaz.AnnouncedTarget(string(x.Request.Header.RequestURI()))
	switch {
	case ok && x.Request.Header.IsPut():
		g.handleHeartbeat(id, x)
	case ok && x.Request.Header.IsDelete():
		g.leave(id)
		acknowledge(&x.Response)
	default:
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func acknowledge(resp *fasthttp.Response) {
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(karpithaz.HeartbeatAnswer)
}

func (g *Gate) handleHeartbeat(id string, x *h1.Exchange) {
	h, err := karpithaz.DecodeHeartbeat(id, x.Request.Body())
	if err != nil {
		g.metrics.Add("heartbeats_unreadable", 1)
		g.log.Decide("heartbeat-refused", "target", id, "err", err)
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if h.Address != g.set().TargetAddress {
		g.metrics.Add("heartbeats_foreign", 1)
		g.log.Decide("heartbeat-refused", "target", id, "address", h.Address, "err", "not the address of this host's target")
		x.Response.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	g.hear(h, time.Now())
	acknowledge(&x.Response)
}

// hear takes a heartbeat.
func (g *Gate) hear(h karpithaz.Heartbeat, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target
	switch {
	case t == nil || !t.sameLife(h) && h.Born >= t.born:
		g.begin(h, now)
	case !t.supersedes(h):
		g.log.Decide("heartbeat-old", "target", h.Target, "born", h.Born, "sequence", h.Sequence, "known_born", t.born, "known_sequence", t.sequence)
	default:
		left := t.leaving
		cold := t.cold(now)
		t.hear(h, now)
		if t.leaving && !left {
			g.departs(t, "announced")
		}
		if t.cold(now) != cold {
			g.log.Decide("target-cold", "target", t.id, "cold", !cold, "for_ms", h.ColdFor.Milliseconds(), "sequence", h.Sequence)
		}
	}
}

// begin takes a new life of the target; the lock is held.
func (g *Gate) begin(h karpithaz.Heartbeat, now time.Time) {
	old := g.target
	g.target = newLocal(h)
	g.target.known = now
	g.target.hear(h, now)
	if old != nil {
		g.flush(old, "target "+old.id+" has been replaced")
		g.links.CloseIdle(old.address)
	}
	g.log.Decide("target-known", "target", h.Target, "service", h.Service, "slots", h.Slots, "leaving", h.Leaving,
		"cold_ms", h.ColdFor.Milliseconds(), "born", h.Born)
	if !h.Leaving {
		g.announce(g.row(g.target))
	}
}

func (g *Gate) row(t *local) *Target {
	return &Target{
		ID:         t.id,
		Service:    t.service,
		Host:       g.set().Host,
		DataCentre: g.set().DataCentre,
		Gate:       g.set().GateListen,
		Control:    g.set().DatagramListen,
		Slots:      t.line.Slots(),
	}
}

// confirm announces the target again unless its row is listed as it should be.
func (g *Gate) confirm(row Target, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target
	if t == nil || t.leaving || time.Since(t.known) < ownRowEvery {
		return
	}
	if want := g.row(t); !listed || row != *want {
		g.log.Decide("own-row-missing", "target", t.id, "listed", listed)
		g.announce(want)
	}
}

// leave takes a target's word that it has gone.
func (g *Gate) leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target
	if t == nil || t.id != id || t.leaving {
		return
	}
	t.leaving = true
	g.departs(t, "left")
}

// departs tells everybody that a target gets nothing more; the lock is held.
func (g *Gate) departs(t *local, why string) {
	g.log.Decide("target-leaving", "target", t.id, "why", why, "running", t.line.Running(), "waiting", t.line.Waiting())
	g.flush(t, "target "+t.id+" is leaving")
	g.announce(nil)
}

// flush refuses all that waits for a target; the lock is held.
func (g *Gate) flush(t *local, detail string) {
	for _, it := range t.line.Flush() {
		grant(it, wire.Refuse(wire.ReasonLeaving, "%s", detail))
	}
}

// Times of the look for a target at the start.
const (
	lookTimeout = time.Second
	lookPause   = 50 * time.Millisecond
)

// Look finds the target by one health check, so that a daemon that was started
// anew serves before the next heartbeat. It waits for a configuration, which
// names the path, and gives up when a heartbeat comes first.
func (g *Gate) Look(ctx context.Context) {
	for g.service(g.set().Service) == nil {
		if !pause.For(ctx, lookPause) {
			return
		}
	}
	if g.known() {
		return
	}
	h, ok := g.health(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok && g.target == nil {
		g.begin(h, time.Now())
	}
}

func (g *Gate) known() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target != nil
}

// health asks the target how it is. It reports false unless the target is well.
func (g *Gate) health(ctx context.Context) (karpithaz.Heartbeat, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(g.service(g.set().Service).HealthPath)
	req.Header.SetHost(g.set().TargetAddress)
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	g.metrics.Add("target_probes", 1)
	resp, err := g.links.Do(ctx, g.set().TargetAddress, req, link.RequestOptions{FirstByteTimeout: lookTimeout})
	if err != nil {
		g.log.Decide("health-failed", "address", g.set().TargetAddress, "err", err)
		return karpithaz.Heartbeat{}, false
	}
	if _, err := readBody(resp); err != nil {
		return karpithaz.Heartbeat{}, false
	}
	says := karpithaz.ReadAnswer(&resp.Header)
	if resp.Header.StatusCode() != fasthttp.StatusOK || says.Target == "" || says.Load == nil || says.Load.Slots <= 0 {
		return karpithaz.Heartbeat{}, false
	}
	return karpithaz.Heartbeat{
		Target:     says.Target,
		Service:    g.set().Service,
		Address:    g.set().TargetAddress,
		DataCentre: g.set().DataCentre,
		Slots:      says.Load.Slots,
		ColdFor:    says.ColdFor,
	}, true
}
