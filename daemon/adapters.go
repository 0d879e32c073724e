package daemon

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/coldstart"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/limiter"
)

// limitsView is what the rate limiter reads of a configuration.
type limitsView struct{ cfg *config.Snapshot }

// limits adapts a configuration; nil stays nil.
func limits(cfg *config.Snapshot) limiter.Config {
	if cfg == nil {
		return nil
	}
	return limitsView{cfg}
}

// Revision implements limiter.Config.
func (v limitsView) Revision() uint64 { return v.cfg.Revision() }

// Workspace implements limiter.Config.
func (v limitsView) Workspace(name string) (limiter.Limits, bool) {
	w, ok := v.cfg.Workspace(name)
	if !ok {
		return limiter.Limits{}, false
	}
	return limiter.Limits{Rate: float64(w.Rate), Burst: w.Burst}, true
}

// DataCentres implements limiter.Config.
func (v limitsView) DataCentres() []string {
	var names []string
	for _, dc := range v.cfg.DataCentres() {
		names = append(names, dc.Name)
	}
	return names
}

// coldStart adapts a coldstart.Limiter to the gate.
type coldStart struct{ *coldstart.Limiter }

func newColdStart(svc config.Service, slots int, _ time.Time) gate.Limiter {
	return coldStart{coldstart.New(coldstart.Options{Slots: slots, ColdLimit: svc.ColdLimit})}
}

// Limit implements gate.Limiter.
func (c coldStart) Limit() int { return c.Limiter.Limit(time.Now()) }

// OnFailure implements gate.Limiter.
func (c coldStart) OnFailure(now time.Time, _ time.Duration) { c.Limiter.OnFailure(now) }

// OnShed implements gate.Limiter.
func (c coldStart) OnShed(now time.Time, _ time.Duration) { c.Limiter.OnShed(now) }
