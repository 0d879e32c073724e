package hostd

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// Some requests crash every target that runs them and are retried through other
// hosts. When a target dies, its gate reports the death to the owner of the
// fingerprint of each request in flight. The owner counts the deaths and tells
// all hosts when a request is to be refused.

// Queries about requests that crash targets.
const (
	// queryCrash reports a death with a fingerprint in flight to the owner.
	queryCrash = "crash"
	// queryQuarantine tells a host to refuse a fingerprint.
	queryQuarantine = "quarantine"
)

const (
	// quarantineDeaths is the number of targets that a request may crash before
	// it is refused. It is unlikely that an innocent request is in flight at
	// that many deaths without ever completing.
	quarantineDeaths = 3
	// deathWindow is the period over which deaths are counted.
	deathWindow = time.Minute
	// quarantineDuration is how long a request is refused before it may run
	// again.
	quarantineDuration = time.Minute
	// fingerprintBase is the number base of fingerprints in text form.
	fingerprintBase = 16
)

// crashTracker counts deaths for the fingerprints that this host owns and holds
// the quarantined fingerprints.
type crashTracker struct {
	host  string
	view  func() *View
	query func(ctx context.Context, addr string, q datagram) (datagram, error)
	log   *decisions.Log

	registry         *suspect.Registry
	mu               sync.Mutex
	quarantinedUntil map[uint64]time.Time
}

func newCrashTracker(host string, view func() *View, query func(context.Context, string, datagram) (datagram, error), l *decisions.Log) *crashTracker {
	return &crashTracker{
		host:  host,
		view:  view,
		query: query,
		log:   l,
		registry: suspect.NewRegistry(suspect.Options{
			DeathThreshold:   quarantineDeaths,
			SuspicionPeriod:  deathWindow,
			QuarantinePeriod: quarantineDuration,
		}),
		quarantinedUntil: map[uint64]time.Time{},
	}
}

// fingerprintOf returns a hash of a request's sender and content.
func fingerprintOf(req *fasthttp.Request, workspace string) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), []byte(workspace), req.Body()} {
		d.Write(part)      //nolint:errcheck // a hash never fails
		d.Write([]byte{0}) //nolint:errcheck // a hash never fails
	}
	return d.Sum64()
}

// quarantined reports whether a request is to be refused.
func (c *crashTracker) quarantined(fp uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.quarantinedUntil[fp]
	if ok && now.After(until) {
		delete(c.quarantinedUntil, fp)
		return false
	}
	return ok
}

// reportDeath reports to the owners of the fingerprints that a target died with
// those requests in flight.
func (c *crashTracker) reportDeath(ctx context.Context, target string, incarnation int64, fingerprints []uint64) {
	view := c.view()
	for _, fp := range fingerprints {
		name := strconv.FormatUint(fp, fingerprintBase)
		q := datagram{Kind: queryCrash, Name: name, Host: target, Incarnation: incarnation}
		owners := quota.RankOwners(queryCrash+" "+name, view.hostNames())
		c.log.Decide("death", "target", target, "fingerprint", name)
		if len(owners) == 0 || owners[0] == c.host {
			c.recordDeath(ctx, q)
			continue
		}
		if t, ok := view.TargetOf(owners[0]); ok {
			q.To = t.Host
			if _, err := c.query(ctx, t.Control, q); err != nil {
				c.log.Decide("death-not-told", "fingerprint", name, "owner", owners[0], "err", err)
			}
		}
	}
}

// answer handles a crash report or a quarantine order from another host.
func (c *crashTracker) answer(ctx context.Context, q datagram) datagram {
	if q.Kind == queryCrash {
		go c.recordDeath(context.WithoutCancel(ctx), q)
	} else if fp, err := strconv.ParseUint(q.Name, fingerprintBase, 64); err == nil {
		c.quarantine(fp)
	}
	return datagram{Result: true}
}

// recordDeath counts a death and tells all hosts when the limit is reached.
func (c *crashTracker) recordDeath(ctx context.Context, q datagram) {
	fp, err := strconv.ParseUint(q.Name, fingerprintBase, 64)
	if err != nil {
		return
	}
	now := time.Now()
	c.registry.OnDeath(now, q.Host, uint64(q.Incarnation), []uint64{fp})
	if c.registry.Check(now, fp).Level != suspect.Quarantined {
		return
	}
	c.quarantine(fp)
	view := c.view()
	for _, host := range view.hostNames() {
		if t, ok := view.TargetOf(host); ok && host != c.host {
			go c.query(ctx, t.Control, datagram{Kind: queryQuarantine, Name: q.Name, To: t.Host}) //nolint:errcheck // repeated after the next death
		}
	}
}

func (c *crashTracker) quarantine(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantinedUntil[fp] = time.Now().Add(quarantineDuration)
	c.log.Decide("quarantine", "fingerprint", strconv.FormatUint(fp, fingerprintBase), "for_s", quarantineDuration.Seconds())
}

// sweep drops expired entries.
func (c *crashTracker) sweep(now time.Time) {
	c.registry.Tick(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for fp, until := range c.quarantinedUntil {
		if now.After(until) {
			delete(c.quarantinedUntil, fp)
		}
	}
}

// Time limits for detecting the death of a target.
const (
	// deathProbeDelay is the delay between a broken connection and the probe.
	deathProbeDelay = 30 * time.Millisecond
	// deathProbeTimeout bounds the probe. The target is on the same host.
	deathProbeTimeout = 300 * time.Millisecond
	// deathReportTimeout bounds the reports to other hosts.
	deathReportTimeout = 2 * time.Second
)

// probeForDeath probes a target whose connection broke. If the target is dead,
// it reports the requests in flight.
func (g *Gate) probeForDeath(t *localTarget) {
	time.Sleep(deathProbeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), deathProbeTimeout)
	err := g.links.Probe(ctx, t.address)
	cancel()
	g.mu.Lock()
	broken := t.broken
	if err != nil && len(broken) > 0 {
		g.recordDeathByBytes(t, time.Now())
	}
	t.broken, t.probing = nil, false
	born := t.born
	g.mu.Unlock()
	if err == nil || len(broken) == 0 {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), deathReportTimeout)
	defer cancel()
	g.onDeath(ctx, t.id, born, broken)
}
