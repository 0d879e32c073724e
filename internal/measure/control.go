package measure

import (
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/eject"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// controlTick simulates one second of the daemons' control loops: it runs the
// detectors, publishes the records, and selects ejections from the records that
// have arrived after the gossip lag.
func (s *Simulation) controlTick() {
	s.loop.after(time.Second, s.controlTick)
	if s.cfg.NewDetector == nil {
		return
	}
	targets := s.targets()
	for _, w := range s.workers {
		w.detector.Tick(s.loop.now, eject.NewBaseline(targets, w.id))
	}
	fresh := s.snapshot()
	s.loop.after(s.cfg.GossipLag, func() {
		s.records = fresh
		s.decide()
	})
	for i, w := range s.workers {
		if w.ejected {
			s.Result.EjectedTime[i] += time.Second
		}
	}
}

func (s *Simulation) targets() []member.Target {
	var out []member.Target
	for _, d := range s.records {
		out = append(out, d.Targets...)
	}
	return out
}

// snapshot returns the current records of all daemons.
func (s *Simulation) snapshot() []member.Daemon {
	var out []member.Daemon
	for i, w := range s.workers {
		t := member.Target{
			ID: w.id, Service: "s", State: member.TargetReady, Slots: s.cfg.Slots, Limit: s.cfg.Slots,
		}
		if w.detector != nil {
			sum := w.detector.Summary(s.loop.now)
			t.Suspect, t.Score = w.detector.Suspect(), w.detector.Score()
			t.ErrorPermille, t.LatencyMicros = sum.ErrorPermille, sum.LatencyMicros
		}
		out = append(out, member.Daemon{
			Host: hostOf(i), DataCentre: w.dc, State: member.StateServing, Targets: []member.Target{t},
		})
	}
	for i := len(s.workers); i < s.cfg.Ingresses; i++ {
		out = append(out, member.Daemon{Host: hostOf(i), DataCentre: s.dcOf(i), State: member.StateServing})
	}
	return out
}

// decide updates the set of ejected workers.
func (s *Simulation) decide() {
	var all []eject.AnnouncedTarget
	for _, t := range s.targets() {
		all = append(all, eject.AnnouncedTarget{Target: t, Available: true})
	}
	ejected := eject.Select(all, s.cfg.Floor).Ejected
	for i, w := range s.workers {
		out := slices.Contains(ejected, w.id)
		if out == w.ejected {
			continue
		}
		w.ejected = out
		if out {
			s.countEjection(i)
		}
	}
	s.rebuild()
}

func (s *Simulation) countEjection(i int) {
	if s.Result.FirstEjected[i] < 0 {
		s.Result.FirstEjected[i] = s.elapsed()
	}
	faulty := slices.ContainsFunc(s.cfg.Faults, func(f Fault) bool {
		return f.Worker == i && s.elapsed() >= f.From && s.elapsed() < f.To+time.Minute
	})
	if faulty {
		s.Result.TrueEjections++
		return
	}
	s.Result.FalseEjections++
}

// rebuild gives each ingress a view with the current ejections.
func (s *Simulation) rebuild() {
	var ejected []string
	for _, w := range s.workers {
		if w.ejected {
			ejected = append(ejected, w.id)
		}
	}
	var dcs []balance.DataCentre
	for i := range s.cfg.DataCentres {
		dcs = append(dcs, s.dataCentre(s.dcOf(i)))
	}
	for _, ing := range s.ingresses {
		ing.View = balance.NewView(balance.Input{
			Host: ing.host, DataCentre: ing.dc, Daemons: s.records,
			Ejected: ejected, DataCentres: dcs, Loads: ing.Loads, Ramp: s.ramp(),
		})
	}
}

func (s *Simulation) ramp() time.Duration {
	if s.cfg.Outage == nil {
		return 0
	}
	return s.cfg.Outage.Ramp
}

func (s *Simulation) dataCentre(name string) balance.DataCentre {
	dc := balance.DataCentre{Name: name, Region: "r"}
	o := s.cfg.Outage
	if o == nil || o.DataCentre != name {
		return dc
	}
	dc.Drained = s.elapsed() >= o.From && s.elapsed() < o.To
	if s.elapsed() >= o.To {
		dc.RestoredAt = epoch.Add(o.To)
	}
	return dc
}
