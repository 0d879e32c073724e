// Package e2e tests the guarantees of the fleet end to end, with separate
// processes behind a fault-injecting proxy. Each test is named after the
// guarantee that it checks.
package e2e

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"gotest.tools/v3/assert"
)

var longRunDuration = flag.Duration("e2e.long", 0, "run one random fault schedule for this long, with a seed from the clock")

// drainTimeout bounds how long new requests may still run for revoked keys, on
// leaving targets and in data centres taken out of service.
const drainTimeout = 5 * time.Second

// configTimeout bounds the time until an accepted configuration is in force.
const configTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := harness.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// getRequest returns an idempotent request of workspace w1 that takes 5 ms.
func getRequest() harness.Request {
	return harness.Request{Workspace: "w1", Method: "GET", Query: "work_ms=5"}
}

// orderRequest returns a non-idempotent request of workspace w1 that takes 20 ms.
func orderRequest() harness.Request {
	return harness.Request{Workspace: "w1", Method: "POST", Query: "work_ms=20", Body: "one tray"}
}

// countByResult counts calls by error, refusal or status.
func countByResult(calls []trace.Call) map[string]int {
	n := make(map[string]int)
	for _, c := range calls {
		switch {
		case c.Err != "":
			n["error: "+c.Err]++
		case c.RunState != "":
			n[fmt.Sprintf("%d %s %s", c.Status, c.RunState, c.Reason)]++
		default:
			n[fmt.Sprint(c.Status)]++
		}
	}
	return n
}

// assertAllSucceeded fails the test if any call did not succeed.
func assertAllSucceeded(t *testing.T, calls []trace.Call) {
	t.Helper()
	for _, c := range calls {
		if !c.Succeeded() {
			t.Errorf("not all requests succeeded: %v; first failure: %+v", countByResult(calls), c)
			return
		}
	}
}

// sentSince returns the calls sent at or after from.
func sentSince(calls []trace.Call, from time.Time) []trace.Call {
	var out []trace.Call
	for _, c := range calls {
		if !c.Sent.Before(from) {
			out = append(out, c)
		}
	}
	return out
}

// ranOn matches the runs at the targets of the given hosts.
func ranOn(hosts ...*harness.Host) func(record.Run) bool {
	return func(r record.Run) bool {
		for _, h := range hosts {
			if r.Target == h.Name {
				return true
			}
		}
		return false
	}
}

// ranWithKey matches the runs of calls that used the given key.
func ranWithKey(calls []trace.Call, workspace, keyID string) func(record.Run) bool {
	ids := make(map[string]bool)
	for _, c := range calls {
		if c.Workspace == workspace && c.KeyID == keyID {
			ids[c.ID] = true
		}
	}
	return func(r record.Run) bool { return ids[r.RequestID] }
}

// anyRunAfter reports whether a matching run started later than after.
func anyRunAfter(runs []record.Run, after time.Time, match func(record.Run) bool) bool {
	for _, r := range runs {
		if r.Start.After(after) && match(r) {
			return true
		}
	}
	return false
}

// pause waits while background load continues.
func pause(d time.Duration) { time.Sleep(d) }

func TestFleetServes(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	f.RunLoad(harness.Load{Rate: 100, Request: getRequest()}, time.Second)
	f.RunLoad(harness.Load{Rate: 50, Request: orderRequest()}, time.Second)
	f.RunLoad(harness.Load{Rate: 50, UniqueIdempotencyKeys: true, Request: orderRequest()}, time.Second)
	calls, runs := f.Verify()
	assertAllSucceeded(t, calls)
	assert.Assert(t, len(runs) >= len(calls))
}

func TestFirstRequestOfAWorkspaceIsServed(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	// The fleet has no state for this workspace before the first request.
	f.Apply(harness.NewWorkspaceSection("w4"))
	pause(configTimeout)
	for i := range f.Hosts {
		c := f.Call(harness.Request{Host: i, Workspace: "w4", Method: "GET"})
		assert.Check(t, c.Succeeded(), "%+v", c)
	}
	f.Verify()
}
