package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const manyLogs = `host-a {"time":"2026-01-01T00:00:01.000Z","msg":"offered","id":"ok"}
host-a {"time":"2026-01-01T00:00:01.010Z","msg":"answered","id":"ok","status":200}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"refused","id":"over","status":429,"reason":"rate-exceeded"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"refused","id":"over2","status":429,"reason":"rate-exceeded"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"offered","id":"slow"}
host-b {"time":"2026-01-01T00:00:04.000Z","msg":"target-answered","id":"slow","took_ms":2999}
host-a {"time":"2026-01-01T00:00:04.001Z","msg":"answered","id":"slow","status":200,"late":true}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"offered","id":"parent"}
host-a {"time":"2026-01-01T00:00:02.000Z","msg":"failed","id":"parent.1","status":504,"reason":"timeout"}
host-a {"time":"2026-01-01T00:00:02.001Z","msg":"answered","id":"parent","status":500}
host-a {"time":"2026-01-01T00:00:05.000Z","msg":"offered","id":"cut"}
host-a {"time":"2026-01-01T00:00:06.000Z","msg":"started","host":"a"}
host-b {"time":"2026-01-01T00:00:05.000Z","msg":"offered","id":"lost"}
host-c {"time":"2026-01-01T00:00:05.000Z","msg":"offered","id":"power"}
host-b {"time":"2026-01-01T00:00:06.000Z","msg":"target-answered","id":"power"}
host-b {"time":"2026-01-01T00:00:07.000Z","msg":"log lines omitted","kind":"answered","count":3}
`

func TestSurveyCountsCauses(t *testing.T) {
	lines, err := ReadAll("stdin", strings.NewReader(manyLogs))
	assert.NilError(t, err)
	s := NewSurvey(lines)
	assert.Equal(t, s.Requests, 9)
	assert.Equal(t, s.Omitted, 3)
	assert.DeepEqual(t, s.Unexplained, []string{"lost"})
	assert.DeepEqual(t, s.Causes, []CauseCount{
		{"refused: rate-exceeded", 2, "over"},
		{"failed: timeout", 1, "parent.1"},
		{"late: most time between offered and target-answered", 1, "slow"},
		{"the ingress's log ends first", 1, "power"},
		{"the ingress's process ended first", 1, "cut"},
		{"the target answered 500, as its call failed: timeout", 1, "parent"},
	})
	var b strings.Builder
	assert.NilError(t, s.Write(&b))
	assert.Assert(t, strings.Contains(b.String(), "1 without a cause in the logs, 3 lines left out"), b.String())
	assert.ErrorContains(t, Survey{}.Write(&b), "pass the hosts' logs")
}

const routeLogs = `host-a {"time":"2026-01-01T00:00:01.000Z","msg":"answered","id":"ok","route":"orders","status":200}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"answered","id":"late","route":"orders","status":200,"late":true}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"answered","id":"own","route":"orders","status":500}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"answered","id":"parent","route":"orders","status":500}
host-b {"time":"2026-01-01T00:00:01.000Z","msg":"failed","id":"parent.1","route":"codes","status":503,"reason":"busy","run":"not-run"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"failed","id":"cut","route":"codes","status":504,"reason":"timeout","run":"unknown"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"refused","id":"over","route":"orders","status":429,"reason":"rate-exceeded"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"caller-left","id":"left","route":"codes"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"offered","id":"open"}
host-a {"time":"2026-01-01T00:00:01.000Z","msg":"refused","id":"denied","status":404,"reason":"no-route"}
`

func TestSurveyCountsOutcomesByRoute(t *testing.T) {
	lines, err := ReadAll("stdin", strings.NewReader(routeLogs))
	assert.NilError(t, err)
	s := NewSurvey(lines)
	assert.DeepEqual(t, s.Routes, []RouteOutcomes{
		{"", [outcomeCount]int{Refused: 1, Unknown: 1}},
		{"codes", [outcomeCount]int{Refused: 1, Failed: 1, Left: 1}},
		{"orders", [outcomeCount]int{InTime: 1, Late: 1, Refused: 1, CallFailed: 1, TargetFailed: 1}},
	})
	var b strings.Builder
	assert.NilError(t, s.Write(&b))
	assert.Assert(t, strings.Contains(b.String(), "orders      5        1     1        1            1              1       0     0        0\n"), b.String())
}
