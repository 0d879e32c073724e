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
		{"stray", target.Faults{ExtraResponse: true}},
		{"swapped", target.Faults{SwapResponses: true}},
		{"cut short by length", target.Faults{Truncate: target.TruncateLength}},
		{"cut short in chunks", target.Faults{Truncate: target.TruncateChunked}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{Hosts: 3})
			f.Faults(f.Hosts[0], c.faults)
			small, large := get(), get()
			large.Query = "size=300000"
			stops := []func(){
				f.StartLoad(harness.Load{Rate: 80, Request: small}),
				f.StartLoad(harness.Load{Rate: 20, Request: large}),
				f.StartLoad(harness.Load{Rate: 20, Request: order()}),
			}
			pause(4 * time.Second)
			for _, stop := range stops {
				stop()
			}
			calls, _ := f.Verify()
			t.Log(summary(calls))
		})
	}
}

func TestAnswersAreWholeAndOwnThoughLate(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:    3,
		Document: harness.Document(nil, harness.ServiceSpec{"timeout: 1s"}),
	})
	f.Faults(f.Hosts[0], target.Faults{LatencyMS: 1100})
	stops := []func(){
		f.StartLoad(harness.Load{Rate: 80, Request: get()}),
		f.StartLoad(harness.Load{Rate: 20, Request: order()}),
	}
	impatient := get()
	impatient.Timeout = 300 * time.Millisecond
	stops = append(stops, f.StartLoad(harness.Load{Rate: 20, Request: impatient}))
	pause(5 * time.Second)
	for _, stop := range stops {
		stop()
	}
	calls, _ := f.Verify()
	t.Log(summary(calls))
}

func TestLargeSlowAnswersArriveWhole(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Hosts:    3,
		Document: harness.Document(nil, harness.ServiceSpec{"timeout: 2s", "idle_timeout: 2s", "cold_time: 1s"}),
	})
	// Cold targets would let large answers wait for each other.
	stop := f.StartLoad(harness.Load{Rate: 100, Request: get()})
	f.WaitWarm()
	stop()
	// Each answer takes about 4 s, twice the time for a whole request, and is
	// never silent for long.
	f.RunLoad(harness.Load{Rate: 3, Request: harness.Request{
		Workspace: "w1", Method: "GET", Query: "size=4000000&chunk_ms=500"}}, 3*time.Second)
	calls, _ := f.Verify()
	allAnswered(t, calls)
}

func TestSilentConnectionsDoNotStopService(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 120, Request: get()})
	stopOrders := f.StartLoad(harness.Load{Rate: 30, Request: order()})
	pause(2 * time.Second)
	for i, a := range f.Hosts {
		for _, b := range f.Hosts[i+1:] {
			f.Fabric.Silence(a.Name, b.Name)
		}
	}
	f.Faults(f.Hosts[0], target.Faults{IgnoreOpenConns: true})
	silent := time.Now()
	pause(5 * time.Second)
	stop()
	stopOrders()
	calls, _ := f.Verify()
	t.Log(summary(calls))
	var slowest time.Duration
	var repeatable []trace.Call
	for _, c := range since(calls, silent) {
		slowest = max(slowest, c.Done.Sub(c.Sent))
		if c.Idempotent {
			repeatable = append(repeatable, c)
		}
	}
	t.Logf("slowest request after the connections went silent: %v", slowest)
	allAnswered(t, repeatable)
}
