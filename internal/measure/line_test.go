package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An evacuated data centre and a slow target leave two thirds of the room that
// such a service needs for some seconds.
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

// Of the work that the slots can bear, nine tenths are to be answered within
// their objective: a line that lets everybody wait serves everybody late.
func TestOverloadIsServedInTime(t *testing.T) {
	for _, seed := range seeds {
		l := overload(orders(85), calls(60))
		l.Seed = seed
		got := l.Play()["orders"]
		// Calls come first, so the orders get what they leave.
		room := float64(l.Targets*l.Slots) - 60*0.12
		bearable := min(1, room/(85*0.46))
		t.Logf("seed %d: bearable %.3f, in time %.3f, served %.3f, longest wait for a refusal %s", seed, bearable, got.InTimeShare(), got.ServedShare(), got.RefusedAfter)
		assert.Check(t, got.InTimeShare() >= 0.9*bearable, "seed %d: %.3f in time of %.3f bearable", seed, got.InTimeShare(), bearable)
	}
}

// Nobody is held for three quarters of the caller's time and then refused, and
// what is refused early is not lost: the slots stay busy.
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

// Short work with a near objective is not kept waiting by work that has time.
func TestNearObjectivesComeFirst(t *testing.T) {
	files := Kind{Name: "files", PerSecond: 6, Work: 380 * time.Millisecond, Spread: 0.8,
		Objective: 1200 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2}
	checks := Kind{Name: "checks", PerSecond: 9, Work: 1900 * time.Millisecond, Spread: 0.3,
		Objective: 6 * time.Second, Deadline: 25 * time.Second, Priority: 2}
	for _, seed := range seeds {
		// Two of four targets are left: room for 14 of the 19 that run at once.
		l := LineLoad{Targets: 2, Slots: 7, For: 20 * time.Second, Kinds: []Kind{files, checks}, Seed: seed}
		got := l.Play()
		t.Logf("seed %d: files %.3f, checks %.3f in time", seed, got["files"].InTimeShare(), got["checks"].InTimeShare())
		assert.Check(t, got["files"].InTimeShare() >= 0.9*l.Bearable(), "seed %d: %.3f of files in time", seed, got["files"].InTimeShare())
	}
}
