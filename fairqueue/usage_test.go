package fairqueue_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/fairqueue"
)

// The sum that Usage keeps for reports equals that of the last report of each source.
func TestUsageAddsTheLastReportOfEachSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := fairqueue.NewUsage()
		type report struct {
			at      time.Time
			seconds float64
		}
		last := map[string]report{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			source := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "source"))
			recent := time.Duration(rapid.IntRange(-10, 5000).Draw(t, "recent")) * time.Millisecond
			u.Tell("w", source, now, recent)
			last[source] = report{now, max(recent.Seconds(), 0)}
			want := 0.0
			for _, r := range last {
				want += r.seconds * math.Exp(-now.Sub(r.at).Seconds()/10)
			}
			if got := u.Recent("w", now); math.Abs(got-want) > 1e-6 {
				t.Fatalf("recent use %v, reports add up to %v", got, want)
			}
		}
	})
}

// Reports of a fleet of any size take bounded memory, and the old ones go first.
func TestUsageKeepsTheLatestReports(t *testing.T) {
	u := fairqueue.NewUsage()
	for i := range 1000 {
		u.Tell("w", fmt.Sprint(i), start.Add(time.Duration(i)*time.Millisecond), time.Second)
	}
	got := u.Recent("w", start.Add(time.Second))
	assert.Assert(t, got > 60 && got < 64.1, "%v", got)
}

func TestExcessIsOfWorkspacesAboveTheMean(t *testing.T) {
	u := fairqueue.NewUsage()
	for w, used := range map[string]time.Duration{"busy": 45, "usual": 10, "also usual": 11, "small": 1} {
		u.Add(w, start, used*time.Second)
	}
	got := u.Excess([]string{"busy", "usual", "also usual", "small", "new"}, start)
	assert.DeepEqual(t, got, map[string]int{"busy": 5})
	got = u.Excess([]string{"usual", "also usual"}, start)
	assert.DeepEqual(t, got, map[string]int{"also usual": 0})
	assert.Equal(t, len(u.Excess([]string{"busy"}, start)), 0, "nobody competes")
	assert.Equal(t, len(u.Excess([]string{"new", "newer"}, start)), 0)
}
