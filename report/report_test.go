package report

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000_000, 0)

func record(r *Recorder, at time.Time, o Outcome, n int) {
	for range n {
		r.Record(at, "/orders", "parish", o, time.Millisecond)
	}
}

func row(t *testing.T, rep Report, s Scope) Row {
	t.Helper()
	for _, r := range rep.Rows {
		if r.Scope == s {
			return r
		}
	}
	t.Fatalf("no row of scope %s", s)
	return Row{}
}

func TestBurnNeedsBothWindowsOfAPair(t *testing.T) {
	r := NewRecorder(time.Second)
	record(r, t0, OutcomeServed, 9000)
	record(r, t0.Add(55*time.Minute), OutcomeServed, 50)
	record(r, t0.Add(55*time.Minute), OutcomeBad, 50)
	now := t0.Add(56 * time.Minute)
	rep := Compute(now, []Export{r.Export(now)}, Options{Objective: 0.999})
	got := row(t, rep, ScopeRoute)
	assert.Assert(t, got.Burn5m > FastBurnThreshold)
	assert.Assert(t, got.Burn1h < FastBurnThreshold)
	assert.Equal(t, got.Alert, "")
	record(r, t0.Add(56*time.Minute), OutcomeBad, 500)
	rep = Compute(now, []Export{r.Export(now)}, Options{Objective: 0.999})
	assert.Equal(t, row(t, rep, ScopeRoute).Alert, "fast")
	assert.Assert(t, rep.Alerting())
}

func TestDaemonsAreSummed(t *testing.T) {
	a, b := NewRecorder(time.Second), NewRecorder(time.Second)
	record(a, t0, OutcomeServed, 3)
	record(b, t0, OutcomeLimited, 1)
	rep := Compute(t0, []Export{a.Export(t0), b.Export(t0)}, Options{Objective: 0.99})
	got := row(t, rep, ScopeWorkspace)
	assert.Equal(t, got.Total, Slot{Served: 3, Limited: 1})
	assert.Equal(t, got.ServedShare, 0.75)
	assert.Equal(t, rep.WorstWorkspace, "parish")
}

func TestWrongfulRefusalsAreThoseWithinTheRate(t *testing.T) {
	r := NewRecorder(time.Second)
	record(r, t0, OutcomeServed, 100)
	record(r, t0, OutcomeLimited, 20)
	compute := func(rate float64) uint32 {
		o := Options{Objective: 0.99, Limits: []Limit{{Workspace: "parish", Rate: rate, Burst: 1}}}
		return row(t, Compute(t0, []Export{r.Export(t0)}, o), ScopeWorkspace).Wrongful
	}
	assert.Equal(t, compute(1), uint32(20))
	assert.Equal(t, compute(0.1), uint32(0))
}

func TestOldSlotsExpire(t *testing.T) {
	r := NewRecorder(time.Second)
	record(r, t0, OutcomeBad, 5)
	later := t0.Add(SlotCount * SlotLength)
	assert.Equal(t, len(r.Export(later).Series), 0)
}

func TestSeriesAreBounded(t *testing.T) {
	r := NewRecorder(time.Second)
	for i := range maxSeries + 100 {
		r.Record(t0, strings.Repeat("x", i%7)+time.Duration(i).String(), "", OutcomeServed, 0)
	}
	assert.Equal(t, len(r.series), maxSeries)
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(time.Second)
	for b.Loop() {
		r.Record(t0, "/orders", "parish", OutcomeServed, time.Millisecond)
	}
}
