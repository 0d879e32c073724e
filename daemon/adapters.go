package daemon

import (
	"iter"
	"maps"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/coldstart"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/limiter"
)

// limiterConfig adapts a configuration snapshot to limiter.Config.
type limiterConfig struct {
	cfg *config.Snapshot
	// lastChanged maps each workspace to the revision that last changed its section.
	lastChanged map[string]uint64
	// dataCentres holds the names of all data centres, dataCentresLastChanged
	// the last revision that changed a section with data centres.
	dataCentres            []string
	dataCentresLastChanged uint64
}

// limiterConfigCache caches the limiterConfig of the active configuration.
type limiterConfigCache struct {
	current atomic.Pointer[limiterConfig]
}

// get returns the limiter's view of the snapshot's configuration, or nil if the
// snapshot has none.
func (c *limiterConfigCache) get(snap *control.Snapshot) limiter.Config {
	if snap.Config == nil {
		return nil
	}
	v := c.current.Load()
	if v == nil || v.cfg != snap.Config {
		v = newLimiterConfig(snap)
		c.current.Store(v)
	}
	return v
}

func newLimiterConfig(snap *control.Snapshot) *limiterConfig {
	v := &limiterConfig{cfg: snap.Config, lastChanged: make(map[string]uint64)}
	for _, stored := range snap.Document.Sections {
		if len(stored.Section.Workspaces) == 0 || len(stored.Section.DataCentres) > 0 {
			v.dataCentresLastChanged = max(v.dataCentresLastChanged, stored.Revision)
		}
		for i := range stored.Section.Workspaces {
			v.lastChanged[stored.Section.Workspaces[i].Name] = stored.Revision
		}
	}
	for _, dc := range snap.Config.DataCentres() {
		v.dataCentres = append(v.dataCentres, dc.Name)
	}
	return v
}

// Revision implements limiter.Config.
func (v *limiterConfig) Revision() uint64 { return v.cfg.Revision() }

// Workspace implements limiter.Config.
func (v *limiterConfig) Workspace(name string) (limiter.Limits, bool) {
	w, ok := v.cfg.Workspace(name)
	if !ok {
		return limiter.Limits{}, false
	}
	return limiter.Limits{Rate: float64(w.Rate), Burst: w.Burst, LastChanged: v.lastChanged[name]}, true
}

// Workspaces implements limiter.Config.
func (v *limiterConfig) Workspaces() iter.Seq[string] { return maps.Keys(v.lastChanged) }

// DataCentres implements limiter.Config.
func (v *limiterConfig) DataCentres() []string { return v.dataCentres }

// DataCentresLastChanged implements limiter.Config. Removing the last data centre
// from a section that also has workspaces is not detected; docs/CONFIGURATION.md
// recommends listing data centres in a section of their own.
func (v *limiterConfig) DataCentresLastChanged() uint64 { return v.dataCentresLastChanged }

// coldStartLimiter adapts a coldstart.Limiter to gate.Limiter.
type coldStartLimiter struct {
	*coldstart.Limiter
	peerLatency *peerLatency
}

// newColdStart returns the concurrency limiter of a target that started at the
// given time.
func (p *peerLatencies) newColdStart(svc config.Service, slots int, started time.Time) gate.Limiter {
	l := coldstart.New(coldstart.Options{
		Slots:     slots,
		ColdLimit: svc.ColdLimit,
		ColdTime:  time.Duration(svc.ColdTime),
	}, started)
	return coldStartLimiter{Limiter: l, peerLatency: p.forService(svc.Name)}
}

// Limit implements gate.Limiter.
func (c coldStartLimiter) Limit() int { return c.Limiter.Limit(time.Now()) }

// OnSuccess implements gate.Limiter.
func (c coldStartLimiter) OnSuccess(now time.Time, latency time.Duration) {
	c.SetPeerLatency(c.peerLatency.p90(now))
	c.Limiter.OnSuccess(now, latency)
}

// OnFailure implements gate.Limiter.
func (c coldStartLimiter) OnFailure(now time.Time, _ time.Duration) { c.Limiter.OnFailure(now) }

// OnShed implements gate.Limiter.
func (c coldStartLimiter) OnShed(now time.Time, _ time.Duration) { c.Limiter.OnShed(now) }
