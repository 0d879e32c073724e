package e2e

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
)

func TestAnswersAreWholeAndOwnThoughTargetsConfuseThem(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		faults target.Faults
	}{
		{"extra response", target.Faults{ExtraResponse: true}},
		{"swapped responses", target.Faults{SwapResponses: true}},
		{"truncated with Content-Length", target.Faults{Truncate: target.TruncateLength}},
		{"truncated with chunked encoding", target.Faults{Truncate: target.TruncateChunked}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{Hosts: 3})
			f.SetFaults(f.Hosts[0], c.faults)
			small, large := getRequest(), getRequest()
			large.Query = "size=300000"
			stops := []func(){
				f.StartLoad(harness.Load{Rate: 80, Request: small}),
				f.StartLoad(harness.Load{Rate: 20, Request: large}),
				f.StartLoad(harness.Load{Rate: 20, Request: orderRequest()}),
			}
			pause(4 * time.Second)
			for _, stop := range stops {
				stop()
			}
			calls, _ := f.Verify()
			t.Log(countByResult(calls))
		})
	}
}

func TestLateResponsesAreCompleteAndMatchTheirRequest(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:  3,
		Config: harness.Config(nil, harness.ServiceSpec{"timeout: 1s"}),
	})
	f.SetFaults(f.Hosts[0], target.Faults{LatencyMS: 1100})
	stops := []func(){
		f.StartLoad(harness.Load{Rate: 80, Request: getRequest()}),
		f.StartLoad(harness.Load{Rate: 20, Request: orderRequest()}),
	}
	shortTimeout := getRequest()
	shortTimeout.Timeout = 300 * time.Millisecond
	stops = append(stops, f.StartLoad(harness.Load{Rate: 20, Request: shortTimeout}))
	pause(5 * time.Second)
	for _, stop := range stops {
		stop()
	}
	calls, _ := f.Verify()
	t.Log(countByResult(calls))
}

func TestLargeSlowAnswersArriveWhole(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:  3,
		Config: harness.Config(nil, harness.ServiceSpec{"timeout: 2s", "idle_timeout: 2s", "cold_time: 1s"}),
	})
	// On cold targets, large responses would wait for each other.
	stop := f.StartLoad(harness.Load{Rate: 100, Request: getRequest()})
	f.WaitUntilWarm()
	stop()
	// Each response takes about 4 s, twice the request timeout, but its pauses
	// stay below the idle timeout.
	f.RunLoad(harness.Load{Rate: 3, Request: harness.Request{
		Workspace: "w1", Method: "GET", Query: "size=4000000&chunk_ms=500"}}, 3*time.Second)
	calls, _ := f.Verify()
	assertAllSucceeded(t, calls)
}

func TestSilentConnectionsDoNotStopService(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 120, Request: getRequest()})
	stopOrders := f.StartLoad(harness.Load{Rate: 30, Request: orderRequest()})
	pause(2 * time.Second)
	for i, a := range f.Hosts {
		for _, b := range f.Hosts[i+1:] {
			f.Fabric.Blackhole(a.Name, b.Name)
		}
	}
	f.SetFaults(f.Hosts[0], target.Faults{IgnoreOpenConns: true})
	blackholedAt := time.Now()
	pause(5 * time.Second)
	stop()
	stopOrders()
	calls, _ := f.Verify()
	t.Log(countByResult(calls))
	var slowest time.Duration
	var idempotent []trace.Call
	for _, c := range sentSince(calls, blackholedAt) {
		slowest = max(slowest, c.Done.Sub(c.Sent))
		if c.Idempotent {
			idempotent = append(idempotent, c)
		}
	}
	t.Logf("slowest request after connections were black-holed: %v", slowest)
	assertAllSucceeded(t, idempotent)
}
