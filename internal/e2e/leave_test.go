package e2e

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
	"gotest.tools/v3/assert"
)

// rejoinDelay exceeds the time for which a restarted daemon keeps its target out
// of use.
const rejoinDelay = 3 * time.Second

func TestRestartedTargetIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 80, Request: getRequest()})
	pause(2 * time.Second)
	h := f.Hosts[0]
	h.Daemon.Stop(t)
	f.StartDaemon(h)
	started := time.Now()
	used := harness.Poll(15*time.Second, func() bool { return anyRunAfter(f.Runs(), started, ranOn(h)) })
	t.Logf("target used again after restart: waited %v, used: %v", time.Since(started).Round(time.Millisecond), used)
	stop()
	f.Verify()
	assert.Assert(t, used)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stops := []func(){
		f.StartLoad(harness.Load{Rate: 80, Request: getRequest()}),
		f.StartLoad(harness.Load{Rate: 40, Request: orderRequest()}),
		f.StartLoad(harness.Load{Rate: 10, UniqueIdempotencyKeys: true, Request: orderRequest()}),
		f.StartLoad(harness.Load{Rate: 6, Request: harness.Request{
			Workspace: "w2", Method: "GET", Query: "size=200000&chunk_ms=100"}}),
	}
	pause(time.Second)
	for i, h := range f.Hosts {
		h.Daemon.Stop(t)
		pause(300 * time.Millisecond)
		f.StartDaemon(h)
		f.WaitUntilServing(i)
		pause(rejoinDelay)
	}
	for _, stop := range stops {
		stop()
	}
	calls, _ := f.Verify()
	for _, c := range calls {
		assert.Check(t, c.Err == "" && c.RunState != "unknown", "request was interrupted by a planned stop: %+v", c)
	}
	assertAllSucceeded(t, calls)
	t.Log(countByResult(calls))
}

func TestDepartingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Request: getRequest()})
	pause(time.Second)
	f.SetFaults(f.Hosts[0], target.Faults{Leaving: true})
	leftAt := time.Now()
	f.SetFaults(f.Hosts[1], target.Faults{StopAnnouncing: true})
	pause(2*drainTimeout + 2*time.Second)
	stop()
	end := time.Now()
	calls, runs := f.Verify()
	f.ReportViolations(trace.CheckNoRuns("new request on a leaving target", leftAt.Add(drainTimeout), end, runs, ranOn(f.Hosts[0])))
	f.ReportViolations(trace.CheckNoRuns("new request on a target that stopped announcing", leftAt.Add(2*drainTimeout), end, runs, ranOn(f.Hosts[1])))
	assert.Assert(t, anyRunAfter(runs, leftAt.Add(drainTimeout), ranOn(f.Hosts[2])), "the remaining targets must still receive requests")
	assertAllSucceeded(t, calls)
}

func TestDataCentreOutGetsNoNewWorkAndReturns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		cut  func(f *harness.Fleet)
	}{
		{"fully connected", func(*harness.Fleet) {}},
		{"one of its hosts cut off from the table", func(f *harness.Fleet) {
			f.Fabric.Partition(f.Hosts[1].Name, harness.PlatformHost, fabric.BothWays)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{})
			stop := f.StartLoad(harness.Load{Rate: 150, Request: getRequest()})
			stopOrders := f.StartLoad(harness.Load{Rate: 30, Request: orderRequest()})
			pause(time.Second)
			c.cut(f)
			takenOut := f.Apply(harness.DataCentreSection("dc2"))
			pause(drainTimeout + 3*time.Second)
			returned := f.Apply(harness.DataCentreSection())
			dc2 := ranOn(f.Hosts[1], f.Hosts[4])
			back := harness.Poll(40*time.Second, func() bool { return anyRunAfter(f.Runs(), returned, dc2) })
			backAfter := time.Since(returned)
			stop()
			stopOrders()
			calls, runs := f.Verify()
			f.ReportViolations(trace.CheckNoRuns("new request in a data centre out of service", takenOut.Add(drainTimeout), returned, runs, dc2))
			assert.Assert(t, back, "the data centre received no requests after its return")
			assertAllSucceeded(t, calls)
			t.Logf("first request after %v; %v", backAfter, countByResult(calls))
		})
	}
}
