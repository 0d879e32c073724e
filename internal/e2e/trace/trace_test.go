package trace

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func run(id string) record.Run {
	return record.Run{RequestID: id, Workspace: "w", Outcome: record.OutcomeAnswered, Target: "t", Start: t0}
}

func spacedRuns(n, everyMS int) []record.Run {
	runs := make([]record.Run, n)
	for i := range runs {
		runs[i] = run(string(rune('a' + i)))
		runs[i].Start = at(i * everyMS)
	}
	return runs
}

func TestChecks(t *testing.T) {
	shed := run("a")
	shed.Outcome = record.OutcomeShed
	keyed := run("a")
	keyed.KeySeen = true
	cold := record.Run{Target: "t", ConcurrencyLimit: 2, Concurrent: 3, Start: at(10)}
	coldKept := record.Run{Target: "t", ConcurrencyLimit: 2, Concurrent: 2, Start: at(10)}
	any := func(record.Run) bool { return true }
	for _, c := range []struct {
		name      string
		violating []Violation
		compliant []Violation
	}{
		{"request runs twice",
			CheckAtMostOnce([]Call{{ID: "a"}}, []record.Run{run("a"), run("a")}),
			CheckAtMostOnce([]Call{{ID: "a"}, {ID: "i", Idempotent: true}}, []record.Run{run("a"), shed, run("i"), run("i")})},
		{"operation sent twice",
			CheckAtMostOnce([]Call{{ID: "a", OperationID: "o"}, {ID: "b", OperationID: "o"}}, []record.Run{run("a"), run("b")}),
			CheckAtMostOnce([]Call{{ID: "a", OperationID: "o"}, {ID: "b", OperationID: "o"}}, []record.Run{run("b")})},
		{"refused as not run",
			CheckNotRun([]Call{{ID: "a", RunState: "not-run"}}, []record.Run{run("a")}),
			CheckNotRun([]Call{{ID: "a", RunState: "unknown"}, {ID: "b", RunState: "not-run"}}, []record.Run{run("a")})},
		{"key exposed", CheckNoKeyExposed([]record.Run{keyed}), CheckNoKeyExposed([]record.Run{run("a")})},
		{"wrong workspace",
			CheckWorkspace([]Call{{ID: "a", Workspace: "v"}}, []record.Run{run("a")}),
			CheckWorkspace([]Call{{ID: "a", Workspace: "w"}}, []record.Run{run("a")})},
		{"run without a call", CheckWorkspace(nil, []record.Run{run("a")}), nil},
		{"response to another request",
			CheckResponses([]Call{{ID: "a", Status: 200, Complete: true, ResponseID: "b"}}),
			CheckResponses([]Call{{ID: "a", Status: 200, Complete: true, ResponseID: "a"}})},
		{"response to another operation",
			CheckResponses([]Call{{ID: "a", OperationID: "o", Status: 200, Complete: true, ResponseID: "b"}, {ID: "b", OperationID: "p"}}),
			CheckResponses([]Call{{ID: "a", OperationID: "o", Status: 200, Complete: true, ResponseID: "b"}, {ID: "b", OperationID: "o"}})},
		{"truncated response",
			CheckResponses([]Call{{ID: "a", Status: 200, ResponseID: "a"}}),
			CheckResponses([]Call{{ID: "a", Status: 200, ResponseID: "a", Err: "unexpected EOF"}, {ID: "b", Status: 503}})},
		{"burst exceeded", CheckRateLimit("w", 10, 5, 0, spacedRuns(6, 0)), CheckRateLimit("w", 10, 5, 0, spacedRuns(5, 0))},
		{"rate exceeded", CheckRateLimit("w", 10, 2, 0, spacedRuns(20, 50)), CheckRateLimit("w", 10, 2, 0, spacedRuns(20, 100))},
		{"cold limit exceeded", CheckColdLimit("t", t0, []record.Run{cold}), CheckColdLimit("t", t0, []record.Run{coldKept})},
		{"cold limit before the start time", CheckColdLimit("t", t0, []record.Run{cold}), CheckColdLimit("t", at(10), []record.Run{cold})},
		{"no runs in window", CheckNoRuns("q", at(50), at(100), spacedRuns(2, 60), any), CheckNoRuns("q", at(60), at(100), spacedRuns(3, 60), any)},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(c.violating), 1, "%v", c.violating)
			assert.Equal(t, len(c.compliant), 0, "%v", c.compliant)
		})
	}
}

func TestCheckInvariantsPassesForAValidTrace(t *testing.T) {
	calls := []Call{{ID: "a", Workspace: "w", Status: 200, Complete: true, ResponseID: "a"}}
	assert.Equal(t, len(CheckInvariants(calls, []record.Run{run("a")})), 0)
}

func TestCountByWorkspace(t *testing.T) {
	shares := CountByWorkspace([]Call{{Workspace: "v", Status: 200}, {Workspace: "v", Status: 503}, {Workspace: "w", Status: 200}})
	assert.Equal(t, shares["v"].SuccessRatio(), 0.5)
	assert.Equal(t, shares["w"], Counts{Sent: 1, Succeeded: 1})
	assert.Equal(t, Counts{}.SuccessRatio(), 1.0)
}
