package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const log = `   1.0 host-a {"time":"2026-01-01T00:00:01.000Z","level":"info","msg":"offered","id":"q1","target":"i-1","known_gray":0.1}
   1.0 host-b {"time":"2026-01-01T00:00:01.002Z","level":"info","msg":"gate-refused","id":"q1","reason":"busy"}
   1.1 host-a {"time":"2026-01-01T00:00:01.100Z","level":"info","msg":"failed","id":"q1.c1","status":504,"reason":"timeout","run":"unknown","detail":"no answer within 1s"}
not a decision q1
{"time":"never","msg":"offered","id":"q1"}
   2.0 host-a {"time":"2026-01-01T00:00:02.000Z","level":"info","msg":"answered","id":"q1","status":500,"target":"i-2"}
   0.9 host-a {"time":"2026-01-01T00:00:00.900Z","level":"info","msg":"offered","id":"q12","target":"i-9"}
`

func TestWriteTimeline(t *testing.T) {
	lines, err := Read("file", strings.NewReader(log), "q1")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 4)
	var b strings.Builder
	assert.NilError(t, WriteTimeline(&b, lines, "q1"))
	text := b.String()
	assert.Assert(t, strings.Contains(text, "host-b"), text)
	assert.Assert(t, strings.Contains(text, "cause: target i-2 answered 500"), text)
	assert.Assert(t, strings.Contains(text, "its call q1.c1 ended with 504: timeout"), text)
}

func TestCause(t *testing.T) {
	cases := []struct{ name, log, want string }{
		{"refused", `{"time":"2026-01-01T00:00:01Z","msg":"refused","id":"x","reason":"rate-exceeded","run":"not-run","detail":"over"}`, "rate-exceeded, run state not-run: over"},
		{"left", `{"time":"2026-01-01T00:00:01Z","msg":"caller-left","id":"x"}`, "the caller left"},
		{"no end", `{"time":"2026-01-01T00:00:01Z","msg":"offered","id":"x"}`, "not in these logs"},
		{"late", `{"time":"2026-01-01T00:00:01Z","msg":"offered","id":"x"}
{"time":"2026-01-01T00:00:04Z","msg":"answered","id":"x","status":200,"late":true}`, "3s passed between offered"},
		{"hung", `{"time":"2026-01-01T00:00:01Z","msg":"target-answered","id":"x","target":"i-7","took_ms":3996,"gray":0.9,"status":504}
{"time":"2026-01-01T00:00:04Z","msg":"failed","id":"x","reason":"timeout","run":"unknown","detail":"no answer"}`, "target i-7 had it for 3996 ms, gray with probability 0.90"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lines, err := Read("f", strings.NewReader(c.log), "x")
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(Cause(lines, "x"), c.want), Cause(lines, "x"))
		})
	}
}

func TestNoDecisionFoundSuggestsOtherLogs(t *testing.T) {
	assert.ErrorContains(t, WriteTimeline(&strings.Builder{}, nil, "x"), "search the logs of more hosts")
}
