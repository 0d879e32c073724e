package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

// TestDemoViolatesNoInvariant runs a short demo and checks the invariants for all
// requests.
func TestDemoViolatesNoInvariant(t *testing.T) {
	var out bytes.Buffer
	v, err := Run(context.Background(), Options{Duration: 4 * time.Second, Out: &out})
	assert.NilError(t, err, "%s", out.String())
	assert.Assert(t, v.OK(), "%s", out.String())
	assert.Assert(t, v.Confirmed > 0 && v.Succeeded > v.Confirmed, "%s", out.String())
	for _, line := range []string{"central-2 is out, revision 2", "central-2 is in, revision 3", "worst-served workspace"} {
		assert.Assert(t, strings.Contains(out.String(), line), "%s", out.String())
	}
}

// call returns the record of a request for an order. run is the outcome reported
// with a refusal, or empty for a response of a target.
func call(id, order string, status int, run string) trace.Call {
	return trace.Call{ID: id, OperationID: order, Workspace: "w", Status: status, RunState: run, Complete: true, ResponseID: id}
}

func TestEvaluate(t *testing.T) {
	run := func(id string) record.Run {
		return record.Run{RequestID: id, Workspace: "w", Outcome: record.OutcomeAnswered}
	}
	shed := record.Run{RequestID: "1", Workspace: "w", Outcome: record.OutcomeShed}
	tests := []struct {
		name  string
		calls []trace.Call
		runs  []record.Run
		want  Result
		ok    bool
	}{
		{"confirmed", []trace.Call{call("1", "a", 200, "")}, []record.Run{shed, run("1")}, Result{Orders: 1, Confirmed: 1}, true},
		{"confirmed on retry", []trace.Call{call("1", "a", 503, "not-run"), call("2", "a", 200, "")}, []record.Run{run("2")}, Result{Orders: 1, Confirmed: 1}, true},
		{"unknown", []trace.Call{call("1", "a", 502, "unknown")}, []record.Run{run("1")}, Result{Orders: 1, Unresolved: 1}, true},
		{"failed by target", []trace.Call{call("1", "a", 500, "")}, []record.Run{run("1")}, Result{Orders: 1}, true},
		{"lost", []trace.Call{call("1", "a", 200, "")}, []record.Run{shed}, Result{Orders: 1, Confirmed: 1, Lost: 1}, false},
		{"duplicated", []trace.Call{call("1", "a", 502, "unknown"), call("2", "a", 200, "")}, []record.Run{run("1"), run("2")}, Result{Orders: 1, Confirmed: 1, Duplicated: 1}, false},
		{"false not run", []trace.Call{call("1", "a", 503, "not-run")}, []record.Run{run("1")}, Result{Orders: 1, Unresolved: 1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			v := Evaluate(tc.calls, tc.runs)
			assert.Equal(t, v.OK(), tc.ok)
			got := Result{Orders: v.Orders, Confirmed: v.Confirmed, Unresolved: v.Unresolved, Lost: v.Lost, Duplicated: v.Duplicated}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
