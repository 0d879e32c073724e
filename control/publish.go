package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/eject"
	"github.com/gooseberryshed/gooseberryshed/freshness"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// viewKey identifies the inputs of a view.
type viewKey struct {
	revision uint64
	members  uint64
	built    bool
}

// publish stores a new snapshot if anything has changed.
func (c *Control) publish(now time.Time, s *state) {
	old := c.current.Load()
	next := *old
	next.UpToDate = c.mayServe(now, s)
	next.TableOutage = s.table.decision.Mode == freshness.TableOutage
	next.Leaving = s.leaving
	next.Joined = s.joined
	key := viewKey{revision: s.revision(), members: membersKey(s.gossip), built: true}
	if key == s.published || c.viewIsRecent(now, s, key) {
		if snapshotFlags(&next) != snapshotFlags(old) {
			c.logChanges(old, &next)
			c.current.Store(&next)
		}
		return
	}
	s.published = key
	s.publishedAt = now
	c.rebuild(s, &next)
	c.logChanges(old, &next)
	c.current.Store(&next)
	if next.View != nil {
		c.opts.Loads.Prune(next.View)
	}
}

// viewIsRecent reports whether the current view is recent enough to delay a
// change of members alone. The time to build a view is proportional to the size
// of the fleet, and so is the minimum interval between views.
func (c *Control) viewIsRecent(now time.Time, s *state, key viewKey) bool {
	interval := viewIntervalPerMember * time.Duration(len(c.current.Load().Daemons))
	return s.published.built && key.revision == s.published.revision && now.Sub(s.publishedAt) < interval
}

// snapshotFlags returns the fields of a snapshot that can change without a new
// view.
func snapshotFlags(s *Snapshot) [4]bool {
	return [...]bool{s.UpToDate, s.TableOutage, s.Leaving, s.Joined}
}

func (c *Control) logChanges(old, next *Snapshot) {
	if next.TableOutage && !old.TableOutage {
		c.stats.Outages.Add(1)
	}
	if old.UpToDate != next.UpToDate {
		c.opts.Logger.Info("in touch changed", "in_touch", next.UpToDate, "table_outage", next.TableOutage)
	}
	if old.DataCentreOut != next.DataCentreOut {
		c.opts.Logger.Info("data centre changed", "out", next.DataCentreOut)
	}
	if len(old.Ejected) != len(next.Ejected) {
		c.opts.Logger.Info("ejected targets changed", "ejected", next.Ejected)
	}
}

// membersKey returns a hash of the record versions and the unreachable hosts.
func membersKey(g *member.Gossip) uint64 {
	var sum uint64
	for _, d := range g.List() {
		sum = sum*31 + xxhash.Sum64String(d.Host) ^ d.Incarnation + d.Version
	}
	for _, host := range g.Unreachable() {
		sum = sum*31 + xxhash.Sum64String(host)
	}
	return sum
}

// rebuild computes the fields of the snapshot that depend on the membership and
// the configuration.
func (c *Control) rebuild(s *state, next *Snapshot) {
	next.Self = s.gossip.Self()
	next.Daemons = s.gossip.List()
	next.Unreachable = s.gossip.Unreachable()
	next.Config = s.view.Snapshot
	next.Document = s.view.State
	if s.view.Snapshot == nil {
		return
	}
	dc, ok := s.view.Snapshot.DataCentre(next.Self.DataCentre)
	next.DataCentreOut = !ok || dc.State == config.DataCentreOut
	next.Ejected = ejected(s.view.Snapshot, next)
	next.View = balance.NewView(balance.Input{
		Host:        next.Self.Host,
		DataCentre:  next.Self.DataCentre,
		Daemons:     next.Daemons,
		Unreachable: next.Unreachable,
		Ejected:     next.Ejected,
		DataCentres: dataCentres(s),
		Loads:       c.opts.Loads,
	})
}

func dataCentres(s *state) []balance.DataCentre {
	var out []balance.DataCentre
	for _, dc := range s.view.Snapshot.DataCentres() {
		out = append(out, balance.DataCentre{
			Name:       dc.Name,
			Region:     dc.Region,
			Drained:    dc.State == config.DataCentreOut,
			RestoredAt: s.restoredAt[dc.Name],
		})
	}
	return out
}

// recordRestored records the time at which data centres change from out to
// in; their traffic ramps up from then.
func recordRestored(now time.Time, s *state, next *config.Snapshot) {
	for name, at := range s.restoredAt {
		if now.Sub(at) > rampRetention {
			delete(s.restoredAt, name)
		}
	}
	if s.view.Snapshot == nil {
		return
	}
	for _, dc := range next.DataCentres() {
		old, ok := s.view.Snapshot.DataCentre(dc.Name)
		if ok && old.State == config.DataCentreOut && dc.State == config.DataCentreIn {
			s.restoredAt[dc.Name] = now
		}
	}
}

// ejected returns the ejected targets of all services.
func ejected(cfg *config.Snapshot, snap *Snapshot) []string {
	unreachable := make(map[string]bool, len(snap.Unreachable))
	for _, host := range snap.Unreachable {
		unreachable[host] = true
	}
	byService := make(map[string][]eject.AnnouncedTarget)
	for _, d := range snap.Daemons {
		if d.State == member.StateLeft {
			continue
		}
		usable := d.State == member.StateServing && !unreachable[d.Host] && isDataCentreIn(cfg, d.DataCentre)
		for _, t := range d.Targets {
			a := eject.AnnouncedTarget{Target: t, Available: usable && t.State == member.TargetReady}
			byService[t.Service] = append(byService[t.Service], a)
		}
	}
	var out []string
	for name, all := range byService {
		if svc, ok := cfg.Service(name); ok {
			out = append(out, eject.Select(all, svc.Floor).Ejected...)
		}
	}
	return out
}

func isDataCentreIn(cfg *config.Snapshot, name string) bool {
	dc, ok := cfg.DataCentre(name)
	return ok && dc.State == config.DataCentreIn
}
