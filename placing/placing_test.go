package placing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_700_000_000, 0)

type zeroRand struct{}

func (zeroRand) Float64() float64 { return 0 }

func candidate(name string, local bool, gray float64, running int, wait time.Duration) Candidate {
	return Candidate{Target: name, Host: name, Local: local, Report: Report{ReceivedAt: now, Running: running, Slots: 7, GrayProbability: gray, ExpectedWait: wait}}
}

func first(r Request, cands ...Candidate) string {
	SortByCost(now, cands, r, zeroRand{})
	return cands[0].Target
}

func TestChoices(t *testing.T) {
	order := Request{Objective: 2 * time.Second}
	read := Request{Repeatable: true, Objective: 2 * time.Second}
	call := Request{Repeatable: true, Nested: true, Objective: 400 * time.Millisecond}
	download := Request{Repeatable: true, LargeResponse: true, Objective: 2 * time.Second}
	cases := []struct {
		name  string
		r     Request
		cands []Candidate
		want  string
	}{
		{"local before remote", order, []Candidate{candidate("remote", false, 0.05, 2, 0), candidate("local", true, 0.05, 3, 0)}, "local"},
		{"idle before loaded", order, []Candidate{candidate("full", true, 0.05, 7, 100*time.Millisecond), candidate("idle", true, 0.05, 1, 0)}, "idle"},
		{"order prefers a remote target to a gray one", order, []Candidate{candidate("gray", true, 0.6, 0, 0), candidate("remote", false, 0.05, 2, 0)}, "remote"},
		{"nested request prefers a queue to a gray target", call, []Candidate{candidate("gray", true, 0.6, 0, 0), candidate("queue", true, 0.05, 7, 140*time.Millisecond)}, "queue"},
		{"read prefers a queue to a gray target", read, []Candidate{candidate("gray", true, 0.9, 0, 0), candidate("queue", true, 0.05, 7, 140*time.Millisecond)}, "queue"},
		{"download prefers a local queue to a remote target", download, []Candidate{candidate("remote", false, 0.05, 0, 0), candidate("local", true, 0.05, 7, 300*time.Millisecond)}, "local"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, first(c.r, c.cands...), c.want) })
	}
}

func TestFailedPathComesLast(t *testing.T) {
	failed := candidate("failed", true, 0.05, 0, 0)
	failed.PathFailed = true
	assert.Equal(t, first(Request{Objective: time.Second}, failed, candidate("remote", false, 0.2, 5, 0)), "remote")
}

func TestReportsDecay(t *testing.T) {
	old := candidate("old", true, 0.9, 0, 0)
	old.Report.ReceivedAt = now.Add(-time.Minute)
	gray := candidate("gray", true, 0.9, 0, 0)
	r := Request{Objective: time.Second}
	assert.Assert(t, Cost(now, old, r) < Cost(now, gray, r))
	none := Candidate{Target: "none", Local: true}
	assert.Assert(t, Cost(now, none, r) > 0)
}

func TestReadsExploreUnknownTargets(t *testing.T) {
	none := Candidate{Target: "none", Local: true}
	known := candidate("known", true, 0.2, 4, 0)
	assert.Equal(t, first(Request{Repeatable: true, Objective: time.Second}, known, none), "none")
	assert.Equal(t, first(Request{Objective: time.Second}, candidate("known", true, 0.02, 2, 0), none), "known")
}
