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
	// faultInterval is the time between two faults of a schedule.
	faultInterval = 700 * time.Millisecond
)

// fault is a fault to inject and the function that removes it.
type fault struct {
	name string
	set  func()
	end  func()
}

// randomFault returns a random fault. A killed process is restarted at once.
func randomFault(rng *rand.Rand, f *harness.Fleet) fault {
	n := rng.IntN(len(f.Hosts))
	a, b := f.Hosts[n], f.Hosts[(n+1+rng.IntN(len(f.Hosts)-1))%len(f.Hosts)]
	none := func() {}
	clearFaults := func() { f.SetFaults(a, target.Faults{}) }
	faults := []fault{
		{"partition " + a.Name + " from " + b.Name, func() { f.Fabric.Partition(a.Name, b.Name, fabric.BothWays) }, func() { f.Fabric.Heal(a.Name, b.Name) }},
		{"drop traffic from " + a.Name + " to " + b.Name, func() { f.Fabric.Partition(a.Name, b.Name, fabric.OneWay) }, func() { f.Fabric.Heal(a.Name, b.Name) }},
		{"drop traffic from the table to " + a.Name, func() { f.Fabric.Partition(harness.PlatformHost, a.Name, fabric.OneWay) }, func() { f.Fabric.Heal(harness.PlatformHost, a.Name) }},
		{"black-hole connections of " + a.Name + " and " + b.Name, func() { f.Fabric.Blackhole(a.Name, b.Name) }, none},
		{"suspend " + a.Name, func() { a.Daemon.Suspend() }, func() { a.Daemon.Resume() }},
		{"kill " + a.Name, func() { a.Daemon.Kill(); f.StartDaemon(a) }, none},
		{"kill the target of " + a.Name, func() { a.Target.Kill(); f.StartTarget(a, 0) }, none},
		{"table down", func() { f.SetPlatformMode("down") }, func() { f.SetPlatformMode("ok") }},
		{"table loses replies", func() { f.SetPlatformMode("lose-replies") }, func() { f.SetPlatformMode("ok") }},
		{"degraded target of " + a.Name, func() { f.SetFaults(a, target.Faults{ErrorShare: 0.3, LatencyFactor: 4, FakeHealth: true}) }, clearFaults},
		{"extra responses from the target of " + a.Name, func() { f.SetFaults(a, target.Faults{ExtraResponse: true}) }, clearFaults},
		{"truncated responses from the target of " + a.Name, func() { f.SetFaults(a, target.Faults{Truncate: target.TruncateChunked}) }, clearFaults},
		{"leaving target of " + a.Name, func() { f.SetFaults(a, target.Faults{Leaving: true}) }, clearFaults},
	}
	return faults[rng.IntN(len(faults))]
}

// injectFaults injects a random fault at each step and removes it 1 to 8 steps later.
func injectFaults(t *testing.T, f *harness.Fleet, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 0))
	ends := make(map[int][]func())
	steps := int(length / faultInterval)
	for step := range steps {
		x := randomFault(rng, f)
		t.Logf("step %d: %s", step, x.name)
		x.set()
		until := step + 1 + rng.IntN(8)
		ends[until] = append(ends[until], x.end)
		pause(faultInterval)
		for _, end := range ends[step] {
			end()
		}
		delete(ends, step)
	}
	for _, remaining := range ends {
		for _, end := range remaining {
			end()
		}
	}
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds, length := []uint64{1, 2, 3}, scheduleLength
	if *longRunDuration > 0 {
		seeds, length = []uint64{uint64(time.Now().UnixNano())}, *longRunDuration
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{Config: rateLimitedConfig()})
			small := orderRequest()
			small.Workspace = "w2"
			large := harness.Request{Workspace: "w3", Method: "GET", Query: "size=100000&chunk_ms=20"}
			stops := []func(){
				f.StartLoad(harness.Load{Rate: 3 * rate, Request: getRequest()}),
				f.StartLoad(harness.Load{Rate: 30, Request: small}),
				f.StartLoad(harness.Load{Rate: 15, UniqueIdempotencyKeys: true, Request: small}),
				f.StartLoad(harness.Load{Rate: 5, Request: large}),
			}
			injectFaults(t, f, seed, length)
			for _, stop := range stops {
				stop()
			}
			calls, runs := f.Verify()
			f.ReportViolations(trace.CheckRateLimit("w1", rate, burst, maxAdmissionDelay, runs))
			for i := range f.Hosts {
				f.WaitUntilServing(i)
			}
			for ws, share := range trace.CountByWorkspace(calls) {
				t.Logf("%s: fraction served %.3f of %d requests", ws, share.SuccessRatio(), share.Sent)
			}
			t.Log(countByResult(calls))
		})
	}
}
