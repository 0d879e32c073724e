package e2e

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"gotest.tools/v3/assert"
)

const (
	rate  = 50
	burst = 20
	// spread is the greatest delay between admission and run.
	spread = 500 * time.Millisecond
)

func limited() string {
	return harness.Document(map[string]harness.WorkspaceSpec{"w1": {Rate: "50/s", Burst: burst}}, nil)
}

func TestNoWorkspacePassesItsRateAndBurst(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// disturb runs under load of four times the rate.
		disturb func(t *testing.T, f *harness.Fleet)
	}{
		{"healthy", func(*testing.T, *harness.Fleet) { pause(5 * time.Second) }},
		{"daemons killed", func(_ *testing.T, f *harness.Fleet) {
			for _, h := range f.Hosts[:3] {
				h.Daemon.Kill()
				pause(4 * time.Second)
				f.StartDaemon(h)
				pause(time.Second)
			}
		}},
		{"daemons frozen past their leases", func(_ *testing.T, f *harness.Fleet) {
			for _, h := range f.Hosts[:3] {
				h.Daemon.Freeze()
				pause(7 * time.Second)
				h.Daemon.Resume()
				pause(time.Second)
			}
		}},
		{"daemons cut one way", func(_ *testing.T, f *harness.Fleet) {
			for i, h := range f.Hosts[:3] {
				next := f.Hosts[(i+1)%3].Name
				f.Fabric.Cut(h.Name, next, fabric.OneWay)
				f.Fabric.Cut(harness.PlatformHost, h.Name, fabric.OneWay)
				pause(5 * time.Second)
				f.Fabric.Heal(h.Name, next)
				f.Fabric.Heal(harness.PlatformHost, h.Name)
			}
		}},
		{"table out and back", func(_ *testing.T, f *harness.Fleet) {
			f.PlatformMode("down")
			pause(8 * time.Second)
			f.Hosts[0].Daemon.Kill()
			f.StartDaemon(f.Hosts[0])
			pause(4 * time.Second)
			f.PlatformMode("ok")
			pause(4 * time.Second)
		}},
		{"planned stops", func(t *testing.T, f *harness.Fleet) {
			for _, h := range f.Hosts[:3] {
				h.Daemon.Stop(t)
				f.StartDaemon(h)
				pause(time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{Document: limited()})
			start := time.Now()
			greedy := get()
			greedy.Timeout = 3 * time.Second
			modest := get()
			modest.Workspace = "w2"
			stop := f.StartLoad(harness.Load{Rate: 4 * rate, Request: greedy})
			stopModest := f.StartLoad(harness.Load{Rate: 20, Request: modest})
			c.disturb(t, f)
			stop()
			stopModest()
			took := time.Since(start)
			calls, runs := f.Verify()
			f.Report(trace.RateKept("w1", rate, burst, spread, runs))
			shares := trace.Shares(calls)
			allowed := rate*took.Seconds() + burst
			t.Logf("w1 was served %.2f of its allowance, w2 %.3f of its requests",
				float64(shares["w1"].Answered)/allowed, shares["w2"].Ratio())
			assert.Assert(t, shares["w1"].Answered > 0)
		})
	}
}
