package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overload returns a load of 20 s on 4 targets with 7 slots each. It models an
// evacuated data centre plus a slow target, which together leave two thirds of the
// capacity that the service needs.
func overload(kinds ...RequestKind) QueueLoad {
	return QueueLoad{Targets: 4, Slots: 7, Duration: 20 * time.Second, Kinds: kinds}
}

func orders(perSecond float64) RequestKind {
	return RequestKind{Name: "orders", PerSecond: perSecond, MeanServiceTime: 460 * time.Millisecond, Sigma: 0.8,
		Objective: 2 * time.Second, Deadline: 8 * time.Second, Priority: 1}
}

func calls(perSecond float64) RequestKind {
	return RequestKind{Name: "calls", PerSecond: perSecond, MeanServiceTime: 120 * time.Millisecond, Sigma: 0.5,
		Objective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Nested: true}
}

var seeds = []uint64{1, 2, 3, 4, 5}

// At least nine tenths of the load within capacity must be answered within the
// objective. A queue that holds every request under overload answers all of them
// late.
func TestOverloadIsServedInTime(t *testing.T) {
	for _, seed := range seeds {
		l := overload(orders(85), calls(60))
		l.Seed = seed
		got := l.Run()["orders"]
		// Nested calls take precedence, so orders get the remaining capacity.
		remaining := float64(l.Targets*l.Slots) - 60*0.12
		capacityShare := min(1, remaining/(85*0.46))
		t.Logf("seed %d: capacity for %.3f, in time %.3f, served %.3f, longest wait for a refusal %s", seed, capacityShare, got.InTimeShare(), got.ServedShare(), got.MaxRefusalDelay)
		assert.Check(t, got.InTimeShare() >= 0.9*capacityShare, "seed %d: %.3f in time, capacity for %.3f", seed, got.InTimeShare(), capacityShare)
	}
}

// No request may be queued for three quarters of its deadline and then refused.
// Early refusals must not leave slots idle: callers retry, and nine tenths of the
// load within capacity must still be served.
func TestOverloadIsRefusedEarly(t *testing.T) {
	for _, seed := range seeds {
		l := overload(orders(85), calls(60))
		l.Seed = seed
		got := l.Run()["orders"]
		bound := orders(0).Deadline * 3 / 4
		assert.Check(t, got.MaxRefusalDelay < bound, "seed %d: refused after %s", seed, got.MaxRefusalDelay)
		assert.Check(t, got.Retries > 0)
		assert.Check(t, got.ServedShare() >= 0.9*l.CapacityShare(), "seed %d: %.3f served, capacity for %.3f", seed, got.ServedShare(), l.CapacityShare())
	}
}

// Short requests with a near objective must not be queued behind long requests
// with a distant one.
func TestNearObjectivesComeFirst(t *testing.T) {
	files := RequestKind{Name: "files", PerSecond: 6, MeanServiceTime: 380 * time.Millisecond, Sigma: 0.8,
		Objective: 1200 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2}
	checks := RequestKind{Name: "checks", PerSecond: 9, MeanServiceTime: 1900 * time.Millisecond, Sigma: 0.3,
		Objective: 6 * time.Second, Deadline: 25 * time.Second, Priority: 2}
	for _, seed := range seeds {
		// Two of four targets are left, with 14 slots for a load that needs 19.
		l := QueueLoad{Targets: 2, Slots: 7, Duration: 20 * time.Second, Kinds: []RequestKind{files, checks}, Seed: seed}
		got := l.Run()
		t.Logf("seed %d: files %.3f, checks %.3f in time", seed, got["files"].InTimeShare(), got["checks"].InTimeShare())
		assert.Check(t, got["files"].InTimeShare() >= 0.9*l.CapacityShare(), "seed %d: %.3f of files in time", seed, got["files"].InTimeShare())
	}
}
