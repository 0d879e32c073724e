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

// limitsView is what the rate limiter reads of a configuration.
type limitsView struct {
	cfg *config.Snapshot
	// since holds the revision that last changed each workspace's section.
	since map[string]uint64
	// dataCentres are all names, dataCentresSince the revision that last
	// changed a section that lists some.
	dataCentres      []string
	dataCentresSince uint64
}

// limitsCache keeps the view of the configuration in force.
type limitsCache struct {
	current atomic.Pointer[limitsView]
}

// get adapts the configuration of a snapshot; nil stays nil.
func (c *limitsCache) get(snap *control.Snapshot) limiter.Config {
	if snap.Config == nil {
		return nil
	}
	v := c.current.Load()
	if v == nil || v.cfg != snap.Config {
		v = newLimitsView(snap)
		c.current.Store(v)
	}
	return v
}

func newLimitsView(snap *control.Snapshot) *limitsView {
	v := &limitsView{cfg: snap.Config, since: make(map[string]uint64)}
	for _, stored := range snap.Document.Sections {
		if len(stored.Section.Workspaces) == 0 || len(stored.Section.DataCentres) > 0 {
			v.dataCentresSince = max(v.dataCentresSince, stored.Revision)
		}
		for i := range stored.Section.Workspaces {
			v.since[stored.Section.Workspaces[i].Name] = stored.Revision
		}
	}
	for _, dc := range snap.Config.DataCentres() {
		v.dataCentres = append(v.dataCentres, dc.Name)
	}
	return v
}

// Revision implements limiter.Config.
func (v *limitsView) Revision() uint64 { return v.cfg.Revision() }

// Workspace implements limiter.Config.
func (v *limitsView) Workspace(name string) (limiter.Limits, bool) {
	w, ok := v.cfg.Workspace(name)
	if !ok {
		return limiter.Limits{}, false
	}
	return limiter.Limits{Rate: float64(w.Rate), Burst: w.Burst, LastChanged: v.since[name]}, true
}

// Workspaces implements limiter.Config.
func (v *limitsView) Workspaces() iter.Seq[string] { return maps.Keys(v.since) }

// DataCentres implements limiter.Config.
func (v *limitsView) DataCentres() []string { return v.dataCentres }

// DataCentresLastChanged implements limiter.Config. A section with workspaces whose
// last data centre was removed leaves no trace; docs/CONFIGURATION.md advises
// to list data centres in a section of their own.
func (v *limitsView) DataCentresLastChanged() uint64 { return v.dataCentresSince }

// coldStart adapts a coldstart.Limiter to the gate.
type coldStart struct {
	*coldstart.Limiter
	reference *reference
}

// newColdStart makes the limiter of a target that started at the given time.
func (r *references) newColdStart(svc config.Service, slots int, started time.Time) gate.Limiter {
	l := coldstart.New(coldstart.Options{
		Slots:     slots,
		ColdLimit: svc.ColdLimit,
		ColdTime:  time.Duration(svc.ColdTime),
	}, started)
	return coldStart{Limiter: l, reference: r.of(svc.Name)}
}

// Limit implements gate.Limiter.
func (c coldStart) Limit() int { return c.Limiter.Limit(time.Now()) }

// OnSuccess implements gate.Limiter.
func (c coldStart) OnSuccess(now time.Time, latency time.Duration) {
	c.SetPeerLatency(c.reference.p90(now))
	c.Limiter.OnSuccess(now, latency)
}

// OnFailure implements gate.Limiter.
func (c coldStart) OnFailure(now time.Time, _ time.Duration) { c.Limiter.OnFailure(now) }

// OnShed implements gate.Limiter.
func (c coldStart) OnShed(now time.Time, _ time.Duration) { c.Limiter.OnShed(now) }
