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
	// maxAdmissionDelay bounds the delay between admission and run.
	maxAdmissionDelay = 500 * time.Millisecond
)

func rateLimitedConfig() string {
	return harness.Config(map[string]harness.WorkspaceSpec{"w1": {Rate: "50/s", Burst: burst}}, nil)
}

func TestNoWorkspacePassesItsRateAndBurst(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// disturb runs while the load is four times the rate limit.
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
		{"daemons suspended beyond their leases", func(_ *testing.T, f *harness.Fleet) {
			for _, h := range f.Hosts[:3] {
				h.Daemon.Suspend()
				pause(7 * time.Second)
				h.Daemon.Resume()
				pause(time.Second)
			}
		}},
		{"one-way partitions", func(_ *testing.T, f *harness.Fleet) {
			for i, h := range f.Hosts[:3] {
				next := f.Hosts[(i+1)%3].Name
				f.Fabric.Partition(h.Name, next, fabric.OneWay)
				f.Fabric.Partition(harness.PlatformHost, h.Name, fabric.OneWay)
				pause(5 * time.Second)
				f.Fabric.Heal(h.Name, next)
				f.Fabric.Heal(harness.PlatformHost, h.Name)
			}
		}},
		{"table outage and recovery", func(_ *testing.T, f *harness.Fleet) {
			f.SetPlatformMode("down")
			pause(8 * time.Second)
			f.Hosts[0].Daemon.Kill()
			f.StartDaemon(f.Hosts[0])
			pause(4 * time.Second)
			f.SetPlatformMode("ok")
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
			f := harness.Start(t, harness.Options{Config: rateLimitedConfig()})
			start := time.Now()
			overLimit := getRequest()
			overLimit.Timeout = 3 * time.Second
			underLimit := getRequest()
			underLimit.Workspace = "w2"
			stop := f.StartLoad(harness.Load{Rate: 4 * rate, Request: overLimit})
			stopUnderLimit := f.StartLoad(harness.Load{Rate: 20, Request: underLimit})
			c.disturb(t, f)
			stop()
			stopUnderLimit()
			took := time.Since(start)
			calls, runs := f.Verify()
			f.ReportViolations(trace.CheckRateLimit("w1", rate, burst, maxAdmissionDelay, runs))
			shares := trace.CountByWorkspace(calls)
			allowed := rate*took.Seconds() + burst
			t.Logf("w1 was served %.2f of its allowed requests, w2 %.3f of its sent requests",
				float64(shares["w1"].Succeeded)/allowed, shares["w2"].SuccessRatio())
			assert.Assert(t, shares["w1"].Succeeded > 0)
		})
	}
}

func TestOverloadingWorkspaceDoesNotStarveOthers(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:  3,
		Config: harness.Config(nil, harness.ServiceSpec{"timeout: 8s", "cold_time: 1s"}),
	})
	f.RunLoad(harness.Load{Rate: 100, Request: getRequest()}, 3*time.Second)
	// Three targets of 7 slots serve 210 requests of 100 ms per second. w1 alone
	// exceeds this capacity without exceeding its rate limit.
	heavy := getRequest()
	heavy.Query = "work_ms=100"
	light := heavy
	light.Workspace = "w2"
	lightest := heavy
	lightest.Workspace = "w3"
	start := time.Now()
	stops := []func(){
		f.StartLoad(harness.Load{Rate: 400, Request: heavy}),
		f.StartLoad(harness.Load{Rate: 30, Request: light}),
		f.StartLoad(harness.Load{Rate: 5, Request: lightest}),
	}
	pause(6 * time.Second)
	for _, stop := range stops {
		stop()
	}
	calls, _ := f.Verify()
	shares := trace.CountByWorkspace(sentSince(calls, start))
	for _, ws := range []string{"w1", "w2", "w3"} {
		t.Logf("%s: fraction served %.3f of %d requests", ws, shares[ws].SuccessRatio(), shares[ws].Sent)
	}
	t.Log(countByResult(calls))
	assert.Check(t, shares["w2"].SuccessRatio() > shares["w1"].SuccessRatio(), "w2 is starved by w1")
	assert.Check(t, shares["w3"].SuccessRatio() > shares["w1"].SuccessRatio(), "w3 is starved by w1")
}
