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

func burst(n, everyMS int) []record.Run {
	runs := make([]record.Run, n)
	for i := range runs {
		runs[i] = run(string(rune('a' + i)))
		runs[i].Start = at(i * everyMS)
	}
	return runs
}

func TestRules(t *testing.T) {
	shed := run("a")
	shed.Outcome = record.OutcomeShed
	keyed := run("a")
	keyed.KeySeen = true
	cold := record.Run{Target: "t", ConcurrencyLimit: 2, Concurrent: 3, Start: at(10)}
	coldKept := record.Run{Target: "t", ConcurrencyLimit: 2, Concurrent: 2, Start: at(10)}
	any := func(record.Run) bool { return true }
	for _, c := range []struct {
		name  string
		broke []Violation
		kept  []Violation
	}{
		{"runs twice",
			AtMostOnce([]Call{{ID: "a"}}, []record.Run{run("a"), run("a")}),
			AtMostOnce([]Call{{ID: "a"}, {ID: "i", Idempotent: true}}, []record.Run{run("a"), shed, run("i"), run("i")})},
		{"an order sent twice",
			AtMostOnce([]Call{{ID: "a", Order: "o"}, {ID: "b", Order: "o"}}, []record.Run{run("a"), run("b")}),
			AtMostOnce([]Call{{ID: "a", Order: "o"}, {ID: "b", Order: "o"}}, []record.Run{run("b")})},
		{"not run",
			NotRunTrue([]Call{{ID: "a", Run: "not-run"}}, []record.Run{run("a")}),
			NotRunTrue([]Call{{ID: "a", Run: "unknown"}, {ID: "b", Run: "not-run"}}, []record.Run{run("a")})},
		{"key", NoKeySeen([]record.Run{keyed}), NoKeySeen([]record.Run{run("a")})},
		{"workspace",
			WorkspaceRight([]Call{{ID: "a", Workspace: "v"}}, []record.Run{run("a")}),
			WorkspaceRight([]Call{{ID: "a", Workspace: "w"}}, []record.Run{run("a")})},
		{"run of nobody", WorkspaceRight(nil, []record.Run{run("a")}), nil},
		{"answer of another",
			OwnWholeAnswers([]Call{{ID: "a", Status: 200, Whole: true, AnswerID: "b"}}),
			OwnWholeAnswers([]Call{{ID: "a", Status: 200, Whole: true, AnswerID: "a"}})},
		{"answer of another order",
			OwnWholeAnswers([]Call{{ID: "a", Order: "o", Status: 200, Whole: true, AnswerID: "b"}, {ID: "b", Order: "p"}}),
			OwnWholeAnswers([]Call{{ID: "a", Order: "o", Status: 200, Whole: true, AnswerID: "b"}, {ID: "b", Order: "o"}})},
		{"answer cut short",
			OwnWholeAnswers([]Call{{ID: "a", Status: 200, AnswerID: "a"}}),
			OwnWholeAnswers([]Call{{ID: "a", Status: 200, AnswerID: "a", Err: "unexpected EOF"}, {ID: "b", Status: 503}})},
		{"rate at once", RateKept("w", 10, 5, 0, burst(6, 0)), RateKept("w", 10, 5, 0, burst(5, 0))},
		{"rate over time", RateKept("w", 10, 2, 0, burst(20, 50)), RateKept("w", 10, 2, 0, burst(20, 100))},
		{"cold", ColdKept("t", t0, []record.Run{cold}), ColdKept("t", t0, []record.Run{coldKept})},
		{"cold before the bound", ColdKept("t", t0, []record.Run{cold}), ColdKept("t", at(10), []record.Run{cold})},
		{"quiet", Quiet("q", at(50), at(100), burst(2, 60), any), Quiet("q", at(60), at(100), burst(3, 60), any)},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(c.broke), 1, "%v", c.broke)
			assert.Equal(t, len(c.kept), 0, "%v", c.kept)
		})
	}
}

func TestAlwaysIsCleanOnACleanTrace(t *testing.T) {
	calls := []Call{{ID: "a", Workspace: "w", Status: 200, Whole: true, AnswerID: "a"}}
	assert.Equal(t, len(Always(calls, []record.Run{run("a")})), 0)
}

func TestSharesCountByWorkspace(t *testing.T) {
	shares := Shares([]Call{{Workspace: "v", Status: 200}, {Workspace: "v", Status: 503}, {Workspace: "w", Status: 200}})
	assert.Equal(t, shares["v"].Ratio(), 0.5)
	assert.Equal(t, shares["w"], Share{Sent: 1, Answered: 1})
	assert.Equal(t, Share{}.Ratio(), 1.0)
}
