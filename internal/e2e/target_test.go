package e2e

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
	"gotest.tools/v3/assert"
)

// bears is how many requests a cold target bears at once.
const bears = 2

// coldNotice is how long a gate may take to notice that a target turned cold
// without warning.
const coldNotice = 3 * time.Second

func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Bears:    bears,
		Document: harness.Document(nil, harness.ServiceSpec{"timeout: 8s", "cold_limit: 2", "cold_time: 10s", "shed_not_run: true"}),
	})
	slow := get()
	slow.Query = "work_ms=50"
	stop := f.StartLoad(harness.Load{Rate: 150, Request: slow})
	pause(3 * time.Second)
	for _, h := range f.Hosts {
		f.Faults(h, target.Faults{}) // warm now
	}
	pause(9 * time.Second) // the limits grow
	turned := time.Now()
	f.Faults(f.Hosts[0], target.Faults{ConcurrencyLimit: bears, LatencyFactor: 3})
	pause(coldNotice + 4*time.Second)
	stop()
	calls, runs := f.Verify()
	t.Log(summary(calls))
	before, after := 0, 0
	for _, r := range runs {
		if r.ConcurrencyLimit > 0 && r.Concurrent > r.ConcurrencyLimit {
			if r.Start.Before(turned) {
				before++
			} else {
				after++
			}
		}
	}
	t.Logf("beyond the cold limit: %d runs in the first cold start, %d after turning cold", before, after)
	for _, h := range f.Hosts {
		var first []record.Run
		for _, r := range runs {
			if r.Start.Before(turned) {
				first = append(first, r)
			}
		}
		f.Report(trace.ColdKept(h.Name, time.Time{}, first))
	}
	f.Report(trace.ColdKept(f.Hosts[0].Name, turned.Add(coldNotice), runs))
}

func TestRequestThatCrashesTargetsStopsAfterTheSecond(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 60, Request: get()})
	pause(time.Second)
	deadly := harness.Request{Workspace: "w2", Body: "an order with " + target.CrashMarker}
	for n := range 8 {
		deadly.Host = n % len(f.Hosts)
		c := f.Call(deadly)
		t.Logf("%d: %d %s %s %s", n, c.Status, c.Run, c.Reason, c.Err)
		pause(500 * time.Millisecond)
	}
	stop()
	calls, runs := f.Verify()
	crashed := 0
	for _, r := range runs {
		if r.Outcome == record.OutcomeCrashed {
			crashed++
		}
	}
	assert.Check(t, crashed == 2, "%d targets crashed", crashed)
	for _, c := range calls {
		assert.Check(t, c.Workspace == "w2" || c.Reason != "quarantined", "a neighbour is blamed: %+v", c)
	}
	t.Log(summary(calls))
}

// inUse counts the targets with a run in a window.
func inUse(runs []record.Run, from, to time.Time) int {
	seen := make(map[string]bool)
	for _, r := range runs {
		if r.Start.After(from) && r.Start.Before(to) {
			seen[r.Target] = true
		}
	}
	return len(seen)
}

func TestEjectionKeepsTheFloor(t *testing.T) {
	t.Parallel()
	const (
		floor  = 3 // of 6 targets at the standard floor of one half
		window = 3 * time.Second
	)
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Hosts: []int{0, 1, 2, 3}, Request: get()})
	pause(3 * time.Second)
	start := time.Now()
	for _, h := range f.Hosts[:4] {
		f.Faults(h, target.Faults{ErrorShare: 0.6, FakeHealth: true, FakeLoad: true})
	}
	pause(6 * time.Second)
	// Deciders lose sight of members, too.
	f.Fabric.Cut(f.Hosts[0].Name, f.Hosts[5].Name, fabric.BothWays)
	f.Fabric.Cut(f.Hosts[1].Name, f.Hosts[4].Name, fabric.OneWay)
	pause(6 * time.Second)
	stop()
	end := time.Now()
	calls, runs := f.Verify()
	for from := start; from.Add(window).Before(end); from = from.Add(window) {
		n := inUse(runs, from, from.Add(window))
		t.Logf("%d targets in use in the window from %v", n, from.Sub(start))
		assert.Check(t, n >= floor, "%d targets in use", n)
	}
	t.Log(summary(calls))
}

func TestGrayTargetIsAvoided(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Request: get()})
	pause(4 * time.Second)
	f.Faults(f.Hosts[0], target.Faults{ErrorShare: 0.5, LatencyFactor: 5, FakeHealth: true, FakeLoad: true})
	gray := time.Now()
	pause(10 * time.Second)
	stop()
	_, runs := f.Verify()
	late, own := 0, 0
	for _, r := range runs {
		if r.Start.After(gray.Add(6 * time.Second)) {
			late++
			if r.Target == f.Hosts[0].Name {
				own++
			}
		}
	}
	t.Logf("the gray target got %d of %d runs from 6 s on", own, late)
	assert.Assert(t, own*len(f.Hosts) < late, "a gray target gets its full share")
}

func TestSlowerWorkKeepsItsSlots(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:    3,
		Document: harness.Document(nil, harness.ServiceSpec{"timeout: 8s", "cold_time: 1s"}),
	})
	f.RunLoad(harness.Load{Rate: 100, Request: get()}, 5*time.Second)
	// Every request now takes longer, as when staff open catalogue files. The
	// load needs 12 of 21 slots.
	slow := get()
	slow.Query = "work_ms=100"
	stop := f.StartLoad(harness.Load{Rate: 120, Request: slow})
	pause(8 * time.Second)
	settled := time.Now()
	pause(4 * time.Second)
	stop()
	calls, _ := f.Verify()
	t.Logf("all: %v", summary(calls))
	allAnswered(t, since(calls, settled))
}
