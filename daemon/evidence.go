package daemon

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/eject"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// evidence turns the gate's outcomes into verdicts on targets and on requests.
// It implements gate.Observer.
type evidence struct {
	registry *suspect.Registry
	// latencies takes those of the service's other targets.
	latencies references

	mu        sync.Mutex
	detectors map[string]*detector
}

// detector judges one incarnation of a target.
type detector struct {
	incarnation uint64
	*eject.Detector
}

func newEvidence(registry *suspect.Registry) *evidence {
	return &evidence{registry: registry, detectors: make(map[string]*detector)}
}

// OnOutcome implements gate.Observer.
func (e *evidence) OnOutcome(o gate.Outcome) {
	switch o.Kind {
	case gate.KindDied:
		e.registry.OnDeath(o.At, o.Target, o.Incarnation, o.InFlight)
		return
	case gate.KindShed:
		return
	case gate.KindOK:
		e.registry.OnSuccess(o.At, o.Fingerprint)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.of(o.Target, o.Incarnation)
	if o.Kind == gate.KindTimeout && o.Remaining < d.SlowAfter() {
		return // it came with too little time to say anything of the target
	}
	d.Observe(o.At, eject.Sample{Failed: o.Kind != gate.KindOK, Latency: o.Latency})
}

// of returns the detector of a target's incarnation; a new one starts afresh.
func (e *evidence) of(target string, incarnation uint64) *detector {
	d, ok := e.detectors[target]
	if !ok || d.incarnation < incarnation {
		d = &detector{incarnation, eject.NewDetector(eject.Options{})}
		e.detectors[target] = d
	}
	return d
}

// judge adds the verdicts to the records of the host's targets and compares
// them with those of the fleet.
func (e *evidence) judge(now time.Time, own []member.Target, snap *control.Snapshot) []member.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(own)
	out := make([]member.Target, len(own))
	for i, t := range own {
		d := e.of(t.ID, t.Incarnation)
		baseline := eject.NewBaseline(ofService(snap, t.Service), t.ID)
		d.SetBaseline(baseline)
		e.latencies.of(t.Service).setRecord(baseline.Latency)
		d.Tick(now)
		summary := d.Summary(now)
		t.Suspect = d.Suspect()
		t.Score = d.Score()
		t.ErrorPermille = summary.ErrorPermille
		t.LatencyMicros = summary.LatencyMicros
		out[i] = t
	}
	return out
}

func (e *evidence) forget(own []member.Target) {
	known := make(map[string]bool, len(own))
	for _, t := range own {
		known[t.ID] = true
	}
	for id := range e.detectors {
		if !known[id] {
			delete(e.detectors, id)
		}
	}
}

func ofService(snap *control.Snapshot, service string) []member.Target {
	var out []member.Target
	for i := range snap.Daemons {
		for _, t := range snap.Daemons[i].Targets {
			if t.Service == service {
				out = append(out, t)
			}
		}
	}
	return out
}
