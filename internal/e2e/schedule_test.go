package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
)

const (
	scheduleLength = 15 * time.Second
	// faultEvery is the pause between two faults of a schedule.
	faultEvery = 700 * time.Millisecond
)

// fault is a disturbance that can be ended.
type fault struct {
	name string
	set  func()
	end  func()
}

// pick draws a fault. Kills restart the process at once.
func pick(rng *rand.Rand, f *harness.Fleet) fault {
	n := rng.IntN(len(f.Hosts))
	a, b := f.Hosts[n], f.Hosts[(n+1+rng.IntN(len(f.Hosts)-1))%len(f.Hosts)]
	none := func() {}
	calm := func() { f.Faults(a, target.Faults{}) }
	faults := []fault{
		{"cut " + a.Name + " from " + b.Name, func() { f.Fabric.Cut(a.Name, b.Name, fabric.BothWays) }, func() { f.Fabric.Heal(a.Name, b.Name) }},
		{"lose what " + a.Name + " sends " + b.Name, func() { f.Fabric.Cut(a.Name, b.Name, fabric.OneWay) }, func() { f.Fabric.Heal(a.Name, b.Name) }},
		{"cut the table from " + a.Name, func() { f.Fabric.Cut(harness.PlatformHost, a.Name, fabric.OneWay) }, func() { f.Fabric.Heal(harness.PlatformHost, a.Name) }},
		{"silence " + a.Name + " and " + b.Name, func() { f.Fabric.Silence(a.Name, b.Name) }, none},
		{"freeze " + a.Name, func() { a.Daemon.Freeze() }, func() { a.Daemon.Resume() }},
		{"kill " + a.Name, func() { a.Daemon.Kill(); f.StartDaemon(a) }, none},
		{"kill the target of " + a.Name, func() { a.Target.Kill(); f.StartTarget(a, 0) }, none},
		{"table down", func() { f.PlatformMode("down") }, func() { f.PlatformMode("ok") }},
		{"table loses replies", func() { f.PlatformMode("lose-replies") }, func() { f.PlatformMode("ok") }},
		{"gray " + a.Name, func() { f.Faults(a, target.Faults{ErrorShare: 0.3, LatencyFactor: 4, FakeHealth: true}) }, calm},
		{"stray " + a.Name, func() { f.Faults(a, target.Faults{ExtraResponse: true}) }, calm},
		{"truncating " + a.Name, func() { f.Faults(a, target.Faults{Truncate: target.TruncateChunked}) }, calm},
		{"leaving " + a.Name, func() { f.Faults(a, target.Faults{Leaving: true}) }, calm},
	}
	return faults[rng.IntN(len(faults))]
}

// disturb draws a fault at each step and ends it a few steps later.
func disturb(t *testing.T, f *harness.Fleet, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 0))
	ends := make(map[int][]func())
	steps := int(length / faultEvery)
	for step := range steps {
		x := pick(rng, f)
		t.Logf("step %d: %s", step, x.name)
		x.set()
		until := step + 1 + rng.IntN(8)
		ends[until] = append(ends[until], x.end)
		pause(faultEvery)
		for _, end := range ends[step] {
			end()
		}
		delete(ends, step)
	}
	for _, late := range ends {
		for _, end := range late {
			end()
		}
	}
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds, length := []uint64{1, 2, 3}, scheduleLength
	if *long > 0 {
		seeds, length = []uint64{uint64(time.Now().UnixNano())}, *long
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{Document: limited()})
			small := order()
			small.Workspace = "w2"
			large := harness.Request{Workspace: "w3", Method: "GET", Query: "size=100000&chunk_ms=20"}
			stops := []func(){
				f.StartLoad(harness.Load{Rate: 3 * rate, Request: get()}),
				f.StartLoad(harness.Load{Rate: 30, Request: small}),
				f.StartLoad(harness.Load{Rate: 15, Orders: true, Request: small}),
				f.StartLoad(harness.Load{Rate: 5, Request: large}),
			}
			disturb(t, f, seed, length)
			for _, stop := range stops {
				stop()
			}
			calls, runs := f.Verify()
			f.Report(trace.RateKept("w1", rate, burst, spread, runs))
			for i := range f.Hosts {
				f.WaitServing(i)
			}
			for ws, share := range trace.Shares(calls) {
				t.Logf("%s served %.3f of %d", ws, share.Ratio(), share.Sent)
			}
			t.Log(summary(calls))
		})
	}
}
