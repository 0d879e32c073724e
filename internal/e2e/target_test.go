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

// coldLimit is the number of concurrent requests that a cold target can handle.
const coldLimit = 2

// coldDetectionTimeout bounds the time in which a gate detects that a target has
// become cold without announcing it.
const coldDetectionTimeout = 3 * time.Second

func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		ConcurrencyLimit: coldLimit,
		Config:           harness.Config(nil, harness.ServiceSpec{"timeout: 8s", "cold_limit: 2", "cold_time: 10s", "shed_not_run: true"}),
	})
	slow := getRequest()
	slow.Query = "work_ms=50"
	stop := f.StartLoad(harness.Load{Rate: 150, Request: slow})
	pause(3 * time.Second)
	for _, h := range f.Hosts {
		f.SetFaults(h, target.Faults{}) // the targets are warm
	}
	pause(9 * time.Second) // the concurrency limits grow
	becameCold := time.Now()
	f.SetFaults(f.Hosts[0], target.Faults{ConcurrencyLimit: coldLimit, LatencyFactor: 3})
	pause(coldDetectionTimeout + 4*time.Second)
	stop()
	calls, runs := f.Verify()
	t.Log(countByResult(calls))
	before, after := 0, 0
	for _, r := range runs {
		if r.ConcurrencyLimit > 0 && r.Concurrent > r.ConcurrencyLimit {
			if r.Start.Before(becameCold) {
				before++
			} else {
				after++
			}
		}
	}
	t.Logf("runs beyond the cold limit: %d in the first cold start, %d after becoming cold again", before, after)
	for _, h := range f.Hosts {
		var first []record.Run
		for _, r := range runs {
			if r.Start.Before(becameCold) {
				first = append(first, r)
			}
		}
		f.ReportViolations(trace.CheckColdLimit(h.Name, time.Time{}, first))
	}
	f.ReportViolations(trace.CheckColdLimit(f.Hosts[0].Name, becameCold.Add(coldDetectionTimeout), runs))
}

func TestRequestThatCrashesTargetsStopsAfterTheSecond(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 60, Request: getRequest()})
	pause(time.Second)
	crashing := harness.Request{Workspace: "w2", Body: "an order with " + target.CrashMarker}
	for n := range 8 {
		crashing.Host = n % len(f.Hosts)
		c := f.Call(crashing)
		t.Logf("%d: %d %s %s %s", n, c.Status, c.RunState, c.Reason, c.Err)
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
		assert.Check(t, c.Workspace == "w2" || c.Reason != "quarantined", "a request of another workspace was quarantined: %+v", c)
	}
	t.Log(countByResult(calls))
}

// countTargetsInUse counts the targets with a run in (from, to).
func countTargetsInUse(runs []record.Run, from, to time.Time) int {
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
		floor  = 3 // half of the 6 targets, the default floor
		window = 3 * time.Second
	)
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Hosts: []int{0, 1, 2, 3}, Request: getRequest()})
	pause(3 * time.Second)
	start := time.Now()
	for _, h := range f.Hosts[:4] {
		f.SetFaults(h, target.Faults{ErrorShare: 0.6, FakeHealth: true, FakeLoad: true})
	}
	pause(6 * time.Second)
	// Hosts that decide on ejections also lose contact with other members.
	f.Fabric.Partition(f.Hosts[0].Name, f.Hosts[5].Name, fabric.BothWays)
	f.Fabric.Partition(f.Hosts[1].Name, f.Hosts[4].Name, fabric.OneWay)
	pause(6 * time.Second)
	stop()
	end := time.Now()
	calls, runs := f.Verify()
	for from := start; from.Add(window).Before(end); from = from.Add(window) {
		n := countTargetsInUse(runs, from, from.Add(window))
		t.Logf("%d targets in use in the window from %v", n, from.Sub(start))
		assert.Check(t, n >= floor, "%d targets in use", n)
	}
	t.Log(countByResult(calls))
}

func TestGrayTargetIsAvoided(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Request: getRequest()})
	pause(4 * time.Second)
	f.SetFaults(f.Hosts[0], target.Faults{ErrorShare: 0.5, LatencyFactor: 5, FakeHealth: true, FakeLoad: true})
	degradedAt := time.Now()
	pause(10 * time.Second)
	stop()
	_, runs := f.Verify()
	total, onDegraded := 0, 0
	for _, r := range runs {
		if r.Start.After(degradedAt.Add(6 * time.Second)) {
			total++
			if r.Target == f.Hosts[0].Name {
				onDegraded++
			}
		}
	}
	t.Logf("the degraded target received %d of %d runs after 6 s", onDegraded, total)
	assert.Assert(t, onDegraded*len(f.Hosts) < total, "a degraded target still receives its full share of requests")
}

func TestSlowerRequestsDoNotReduceCapacity(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:  3,
		Config: harness.Config(nil, harness.ServiceSpec{"timeout: 8s", "cold_time: 1s"}),
	})
	f.RunLoad(harness.Load{Rate: 100, Request: getRequest()}, 5*time.Second)
	// Every request now takes longer, as when the workload shifts from small
	// requests to large catalogue files. This must not reduce the concurrency
	// limits. The load needs 12 of 21 slots.
	slow := getRequest()
	slow.Query = "work_ms=100"
	stop := f.StartLoad(harness.Load{Rate: 120, Request: slow})
	pause(8 * time.Second)
	settled := time.Now()
	pause(4 * time.Second)
	stop()
	calls, _ := f.Verify()
	t.Logf("all calls: %v", countByResult(calls))
	assertAllSucceeded(t, sentSince(calls, settled))
}
