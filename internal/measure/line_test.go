package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overload returns a load of 20 s on 4 targets with 7 slots each. It models an
// evacuated data centre plus a slow target, which together leave two thirds of the
// capacity that the service needs.
func overload(kinds ...Kind) LineLoad {
	return LineLoad{Targets: 4, Slots: 7, For: 20 * time.Second, Kinds: kinds}
}

func orders(perSecond float64) Kind {
	return Kind{Name: "orders", PerSecond: perSecond, Work: 460 * time.Millisecond, Spread: 0.8,
		Objective: 2 * time.Second, Deadline: 8 * time.Second, Priority: 1}
}

func calls(perSecond float64) Kind {
	return Kind{Name: "calls", PerSecond: perSecond, Work: 120 * time.Millisecond, Spread: 0.5,
		Objective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Inner: true}
}

var seeds = []uint64{1, 2, 3, 4, 5}

// At least nine tenths of the load within capacity must be answered within the
// objective. A queue that holds every request under overload answers all of them
// late.
func TestOverloadIsServedInTime(t *testing.T) {
	for _, seed := range seeds {
		l := overload(orders(85), calls(60))
		l.Seed = seed
		got := l.Play()["orders"]
		// Nested calls take precedence, so orders get the remaining capacity.
		room := float64(l.Targets*l.Slots) - 60*0.12
		bearable := min(1, room/(85*0.46))
		t.Logf("seed %d: bearable %.3f, in time %.3f, served %.3f, longest wait for a refusal %s", seed, bearable, got.InTimeShare(), got.ServedShare(), got.RefusedAfter)
		assert.Check(t, got.InTimeShare() >= 0.9*bearable, "seed %d: %.3f in time of %.3f bearable", seed, got.InTimeShare(), bearable)
	}
}

// No request may be queued for three quarters of its deadline and then refused.
// Early refusals must not leave slots idle: callers retry, and nine tenths of the
// load within capacity must still be served.
func TestOverloadIsRefusedEarly(t *testing.T) {
	for _, seed := range seeds {
		l := overload(orders(85), calls(60))
		l.Seed = seed
		got := l.Play()["orders"]
		bound := orders(0).Deadline * 3 / 4
		assert.Check(t, got.RefusedAfter < bound, "seed %d: refused after %s", seed, got.RefusedAfter)
		assert.Check(t, got.Returned > 0)
		assert.Check(t, got.ServedShare() >= 0.9*l.Bearable(), "seed %d: %.3f served of %.3f bearable", seed, got.ServedShare(), l.Bearable())
	}
}

// Short requests with a near objective must not be queued behind long requests
// with a distant one.
func TestNearObjectivesComeFirst(t *testing.T) {
	files := Kind{Name: "files", PerSecond: 6, Work: 380 * time.Millisecond, Spread: 0.8,
		Objective: 1200 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2}
	checks := Kind{Name: "checks", PerSecond: 9, Work: 1900 * time.Millisecond, Spread: 0.3,
		Objective: 6 * time.Second, Deadline: 25 * time.Second, Priority: 2}
	for _, seed := range seeds {
		// Two of four targets are left, with 14 slots for a load that needs 19.
		l := LineLoad{Targets: 2, Slots: 7, For: 20 * time.Second, Kinds: []Kind{files, checks}, Seed: seed}
		got := l.Play()
		t.Logf("seed %d: files %.3f, checks %.3f in time", seed, got["files"].InTimeShare(), got["checks"].InTimeShare())
		assert.Check(t, got["files"].InTimeShare() >= 0.9*l.Bearable(), "seed %d: %.3f of files in time", seed, got["files"].InTimeShare())
	}
}
