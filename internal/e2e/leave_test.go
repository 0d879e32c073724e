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

// heldBack is how long a new daemon keeps its target out of use, with a margin.
const heldBack = 3 * time.Second

func TestRestartedTargetIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 80, Request: get()})
	pause(2 * time.Second)
	h := f.Hosts[0]
	h.Daemon.Stop(t)
	f.StartDaemon(h)
	started := time.Now()
	used := harness.Poll(15*time.Second, func() bool { return ranAny(f.Runs(), started, at(h)) })
	t.Logf("used %v after the restart: %v", time.Since(started).Round(time.Millisecond), used)
	stop()
	f.Verify()
	assert.Assert(t, used)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stops := []func(){
		f.StartLoad(harness.Load{Rate: 80, Request: get()}),
		f.StartLoad(harness.Load{Rate: 40, Request: order()}),
		f.StartLoad(harness.Load{Rate: 10, Orders: true, Request: order()}),
		f.StartLoad(harness.Load{Rate: 6, Request: harness.Request{
			Workspace: "w2", Method: "GET", Query: "size=200000&chunk_ms=100"}}),
	}
	pause(time.Second)
	for i, h := range f.Hosts {
		h.Daemon.Stop(t)
		pause(300 * time.Millisecond)
		f.StartDaemon(h)
		f.WaitServing(i)
		pause(heldBack)
	}
	for _, stop := range stops {
		stop()
	}
	calls, _ := f.Verify()
	for _, c := range calls {
		assert.Check(t, c.Err == "" && c.Run != "unknown", "cut: %+v", c)
	}
	allAnswered(t, calls)
	t.Log(summary(calls))
}

func TestDepartingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 150, Request: get()})
	pause(time.Second)
	f.Faults(f.Hosts[0], target.Faults{Leaving: true})
	left := time.Now()
	f.Faults(f.Hosts[1], target.Faults{StopAnnouncing: true})
	pause(2*quietBound + 2*time.Second)
	stop()
	end := time.Now()
	calls, runs := f.Verify()
	f.Report(trace.Quiet("departing target", left.Add(quietBound), end, runs, at(f.Hosts[0])))
	f.Report(trace.Quiet("silent target", left.Add(2*quietBound), end, runs, at(f.Hosts[1])))
	assert.Assert(t, ranAny(runs, left.Add(quietBound), at(f.Hosts[2])), "the others go on")
	allAnswered(t, calls)
}

func TestDataCentreOutGetsNoNewWorkAndReturns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		cut  func(f *harness.Fleet)
	}{
		{"all in touch", func(*harness.Fleet) {}},
		{"a host of it without the table", func(f *harness.Fleet) {
			f.Fabric.Cut(f.Hosts[1].Name, harness.PlatformHost, fabric.BothWays)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{})
			stop := f.StartLoad(harness.Load{Rate: 150, Request: get()})
			stopOrders := f.StartLoad(harness.Load{Rate: 30, Request: order()})
			pause(time.Second)
			c.cut(f)
			taken := f.Apply(harness.Places("dc2"))
			pause(quietBound + 3*time.Second)
			returned := f.Apply(harness.Places())
			dc2 := at(f.Hosts[1], f.Hosts[4])
			back := harness.Poll(40*time.Second, func() bool { return ranAny(f.Runs(), returned, dc2) })
			backAfter := time.Since(returned)
			stop()
			stopOrders()
			calls, runs := f.Verify()
			f.Report(trace.Quiet("data centre out", taken.Add(quietBound), returned, runs, dc2))
			assert.Assert(t, back, "the data centre gets work again")
			allAnswered(t, calls)
			t.Logf("back after %v; %v", backAfter, summary(calls))
		})
	}
}
