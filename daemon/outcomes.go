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

// outcomeObserver derives the health of targets and the suspicion of requests
// from the outcomes of the gate's attempts. It implements gate.Observer.
type outcomeObserver struct {
	registry *suspect.Registry
	// peerLatencies receives the reported latencies of each service's other
	// targets.
	peerLatencies peerLatencies

	mu        sync.Mutex
	detectors map[string]*targetDetector
}

// targetDetector is the outlier detector of one incarnation of a target.
type targetDetector struct {
	incarnation uint64
	*eject.Detector
}

func newOutcomeObserver(registry *suspect.Registry) *outcomeObserver {
	return &outcomeObserver{registry: registry, detectors: make(map[string]*targetDetector)}
}

// OnOutcome implements gate.Observer.
func (obs *outcomeObserver) OnOutcome(o gate.Outcome) {
	switch o.Kind {
	case gate.KindDied:
		obs.registry.OnDeath(o.At, o.Target, o.Incarnation, o.InFlight)
		return
	case gate.KindShed:
		return
	case gate.KindOK:
		obs.registry.OnSuccess(o.At, o.Fingerprint)
	}
	obs.mu.Lock()
	defer obs.mu.Unlock()
	d := obs.detectorFor(o.Target, o.Incarnation)
	if o.Kind == gate.KindTimeout && o.Remaining < d.SlowAfter() {
		return // the remaining time was too short for the timeout to count against the target
	}
	d.Observe(o.At, eject.Sample{Failed: o.Kind != gate.KindOK, Latency: o.Latency})
}

// detectorFor returns the detector of a target's incarnation. A new incarnation
// gets a new detector.
func (obs *outcomeObserver) detectorFor(target string, incarnation uint64) *targetDetector {
	d, ok := obs.detectors[target]
	if !ok || d.incarnation < incarnation {
		d = &targetDetector{incarnation, eject.NewDetector(eject.Options{})}
		obs.detectors[target] = d
	}
	return d
}

// evaluate returns the records of the host's targets with their health, compared
// with the fleet's other targets of the same service.
func (obs *outcomeObserver) evaluate(now time.Time, own []member.Target, snap *control.Snapshot) []member.Target {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.prune(own)
	out := make([]member.Target, len(own))
	for i, t := range own {
		d := obs.detectorFor(t.ID, t.Incarnation)
		baseline := eject.NewBaseline(targetsOfService(snap, t.Service), t.ID)
		d.SetBaseline(baseline)
		obs.peerLatencies.forService(t.Service).setReported(baseline.Latency)
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

func (obs *outcomeObserver) prune(own []member.Target) {
	known := make(map[string]bool, len(own))
	for _, t := range own {
		known[t.ID] = true
	}
	for id := range obs.detectors {
		if !known[id] {
			delete(obs.detectors, id)
		}
	}
}

func targetsOfService(snap *control.Snapshot, service string) []member.Target {
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
