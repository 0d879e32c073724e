package ledger_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/ledger"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAttemptStates(t *testing.T) {
	l := ledger.New(ledger.Options{Incarnation: 7}, start)
	e := l.Epoch()
	a, b, c := wire.ID{1}, wire.ID{2}, wire.ID{3}
	assert.Equal(t, l.Dispatch(a, e, start), ledger.Admitted)
	assert.Equal(t, l.Dispatch(a, e, start), ledger.Duplicate)
	assert.Equal(t, l.Settle(a, e, start), wire.Running)
	l.Done(a, e)
	assert.Equal(t, l.Settle(a, e, start), wire.Ran)
	assert.Equal(t, l.Settle(b, e, start), wire.NotRun)
	assert.Equal(t, l.Dispatch(b, e, start), ledger.Settled)
	assert.Equal(t, l.Settle(b, e, start), wire.NotRun)
	assert.Equal(t, l.Dispatch(c, e, start), ledger.Admitted)
	l.Revoke(c, e)
	assert.Equal(t, l.Settle(c, e, start), wire.NotRun)
	assert.Equal(t, l.Dispatch(c, e, start), ledger.Settled)
}

func TestEpochs(t *testing.T) {
	l := ledger.New(ledger.Options{Incarnation: 7, Interval: time.Second, Generations: 2}, start)
	first := l.Epoch()
	old := wire.Epoch{Incarnation: 6, Generation: first.Generation}
	future := wire.Epoch{Incarnation: 7, Generation: first.Generation + 1}
	for _, e := range []wire.Epoch{{}, old, future} {
		assert.Equal(t, l.Dispatch(wire.ID{1}, e, start), ledger.Stale)
		assert.Equal(t, l.Settle(wire.ID{1}, e, start), wire.Unknown)
	}
	now := start.Add(time.Second)
	l.Tick(now)
	assert.Equal(t, l.Dispatch(wire.ID{1}, first, now), ledger.Admitted)
	now = now.Add(time.Second)
	l.Tick(now)
	assert.Equal(t, l.Dispatch(wire.ID{2}, first, now), ledger.Stale)
	assert.Equal(t, l.Settle(wire.ID{1}, first, now), wire.Unknown)
	assert.Equal(t, l.Len(), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	const capacity = 64
	l := ledger.New(ledger.Options{Incarnation: 1, Capacity: capacity}, start)
	now := start
	for range 100 * capacity {
		now = now.Add(time.Millisecond)
		l.Tick(now)
		l.Dispatch(wire.NewID(), l.Epoch(), now)
		l.Settle(wire.NewID(), l.Epoch(), now)
		assert.Assert(t, l.Len() <= capacity)
	}
}

// attemptLedger is the part of a ledger that countViolations exercises.
type attemptLedger interface {
	Epoch() wire.Epoch
	Tick(now time.Time)
	Dispatch(id wire.ID, e wire.Epoch, now time.Time) ledger.Verdict
	Done(id wire.ID, e wire.Epoch)
	Settle(id wire.ID, e wire.Epoch, now time.Time) wire.RunState
}

// countViolations applies random deliveries, settlements, duplicates, delays
// and restarts, and counts the attempts that ran twice, or ran although a
// settlement returned NotRun.
func countViolations(rt *rapid.T, restart func(incarnation uint64, now time.Time) attemptLedger) int {
	now, incarnation := start, uint64(1)
	r := restart(incarnation, now)
	epochs := []wire.Epoch{r.Epoch()}
	epochOf := map[wire.ID]wire.Epoch{}
	runs, reportedNotRun := map[wire.ID]int{}, map[wire.ID]bool{}
	rt.Repeat(map[string]func(*rapid.T){
		"deliver": func(rt *rapid.T) {
			id := wire.ID{rapid.ByteRange(1, 12).Draw(rt, "id")}
			if _, ok := epochOf[id]; !ok {
				epochOf[id] = rapid.SampledFrom(epochs).Draw(rt, "epoch")
			}
			if r.Dispatch(id, epochOf[id], now) == ledger.Admitted {
				runs[id]++
			}
		},
		"settle": func(rt *rapid.T) {
			id := wire.ID{rapid.ByteRange(1, 12).Draw(rt, "id")}
			if e, ok := epochOf[id]; ok && r.Settle(id, e, now) == wire.NotRun {
				reportedNotRun[id] = true
			}
		},
		"end": func(rt *rapid.T) {
			id := wire.ID{rapid.ByteRange(1, 12).Draw(rt, "id")}
			r.Done(id, epochOf[id])
		},
		"pass time": func(rt *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			r.Tick(now)
			epochs = append(epochs, r.Epoch())
		},
		"restart": func(rt *rapid.T) {
			incarnation++
			r = restart(incarnation, now)
			epochs = append(epochs, r.Epoch())
		},
	})
	violations := 0
	for id, n := range runs {
		if n > 1 || (n > 0 && reportedNotRun[id]) {
			violations++
		}
	}
	return violations
}

func TestNotRunAttemptsAreNeverDispatched(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(2, 20).Draw(rt, "capacity")
		n := countViolations(rt, func(inc uint64, now time.Time) attemptLedger {
			return ledger.New(ledger.Options{Incarnation: inc, Generations: 3, Capacity: capacity}, now)
		})
		if n > 0 {
			rt.Fatalf("%d attempts ran twice or after \"not run\" was reported", n)
		}
	})
}

// naiveLedger is a ledger without tombstones and epochs.
type naiveLedger struct{ dispatched map[wire.ID]bool }

func (n *naiveLedger) Epoch() wire.Epoch             { return wire.Epoch{} }
func (n *naiveLedger) Tick(time.Time)                {}
func (n *naiveLedger) Done(id wire.ID, _ wire.Epoch) {}
func (n *naiveLedger) Dispatch(id wire.ID, _ wire.Epoch, _ time.Time) ledger.Verdict {
	if n.dispatched[id] {
		return ledger.Duplicate
	}
	n.dispatched[id] = true
	return ledger.Admitted
}
func (n *naiveLedger) Settle(id wire.ID, _ wire.Epoch, _ time.Time) wire.RunState {
	if n.dispatched[id] {
		return wire.Ran
	}
	return wire.NotRun
}

// TestPropertyDetectsNaiveLedger checks that countViolations detects a faulty
// ledger.
func TestPropertyDetectsNaiveLedger(t *testing.T) {
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		found += countViolations(rt, func(uint64, time.Time) attemptLedger {
			return &naiveLedger{dispatched: map[wire.ID]bool{}}
		})
	})
	t.Logf("the naive ledger caused %d violations", found)
	assert.Assert(t, found > 0)
}

func BenchmarkBytesPerEntry(b *testing.B) {
	const entries = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New(ledger.Options{Incarnation: 1}, start)
		e := l.Epoch()
		for range entries {
			l.Dispatch(wire.NewID(), e, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		runtime.KeepAlive(l)
	}
}

func BenchmarkDispatch(b *testing.B) {
	l := ledger.New(ledger.Options{Incarnation: 1, Capacity: 1 << 30}, start)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Tick(now)
		id := wire.NewID()
		l.Dispatch(id, l.Epoch(), now)
		l.Done(id, l.Epoch())
	}
}
