// Package e2e proves the fleet's promises with real processes behind a
// fault-injecting proxy. Each test is named after the point that it proves.
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

var long = flag.Duration("e2e.long", 0, "run the random schedules for this long, with fresh seeds")

// quietBound is how long withdrawn keys, departing targets and data centres
// taken out may still see new work.
const quietBound = 5 * time.Second

// configBound is how long an accepted configuration may take to be in force.
const configBound = 10 * time.Second

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

// get is a light idempotent request of workspace w1.
func get() harness.Request {
	return harness.Request{Workspace: "w1", Method: "GET", Query: "work_ms=5"}
}

// order is a non-idempotent request of workspace w1.
func order() harness.Request {
	return harness.Request{Workspace: "w1", Method: "POST", Query: "work_ms=20", Body: "one tray"}
}

// summary counts calls by their end.
func summary(calls []trace.Call) map[string]int {
	n := make(map[string]int)
	for _, c := range calls {
		switch {
		case c.Err != "":
			n["error: "+c.Err]++
		case c.Run != "":
			n[fmt.Sprintf("%d %s %s", c.Status, c.Run, c.Reason)]++
		default:
			n[fmt.Sprint(c.Status)]++
		}
	}
	return n
}

// allAnswered fails the test for each call without a good answer.
func allAnswered(t *testing.T, calls []trace.Call) {
	t.Helper()
	for _, c := range calls {
		if !c.Answered() {
			t.Errorf("not every request was answered: %v; first: %+v", summary(calls), c)
			return
		}
	}
}

// since returns the calls sent at or after a time.
func since(calls []trace.Call, from time.Time) []trace.Call {
	var out []trace.Call
	for _, c := range calls {
		if !c.Sent.Before(from) {
			out = append(out, c)
		}
	}
	return out
}

// at matches the runs of some hosts' targets.
func at(hosts ...*harness.Host) func(record.Run) bool {
	return func(r record.Run) bool {
		for _, h := range hosts {
			if r.Target == h.Name {
				return true
			}
		}
		return false
	}
}

// byKey matches the runs of calls that carried a key.
func byKey(calls []trace.Call, workspace, keyID string) func(record.Run) bool {
	ids := make(map[string]bool)
	for _, c := range calls {
		if c.Workspace == workspace && c.KeyID == keyID {
			ids[c.ID] = true
		}
	}
	return func(r record.Run) bool { return ids[r.RequestID] }
}

// ranAny reports whether a matching run started after a time.
func ranAny(runs []record.Run, after time.Time, match func(record.Run) bool) bool {
	for _, r := range runs {
		if r.Start.After(after) && match(r) {
			return true
		}
	}
	return false
}

// pause lets the load run on for a time.
func pause(d time.Duration) { time.Sleep(d) }

func TestFleetServes(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	f.RunLoad(harness.Load{Rate: 100, Request: get()}, time.Second)
	f.RunLoad(harness.Load{Rate: 50, Request: order()}, time.Second)
	f.RunLoad(harness.Load{Rate: 50, Orders: true, Request: order()}, time.Second)
	calls, runs := f.Verify()
	allAnswered(t, calls)
	assert.Assert(t, len(runs) >= len(calls))
}

func TestFirstRequestOfAWorkspaceIsServed(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	// A workspace that the fleet has not seen before.
	f.Apply(harness.NewWorkspace("w4"))
	pause(configBound)
	for i := range f.Hosts {
		c := f.Call(harness.Request{Host: i, Workspace: "w4", Method: "GET"})
		assert.Check(t, c.Answered(), "%+v", c)
	}
	f.Verify()
}
