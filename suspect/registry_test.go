package suspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const poison, bystander = uint64(666), uint64(7)

func TestSecondDeathQuarantines(t *testing.T) {
	r := NewRegistry(Options{})
	r.OnDeath(start, "a", 1, []uint64{poison, bystander})
	assert.Equal(t, r.Check(start, poison).Level, Suspected)

	r.OnDeath(start, "a", 1, []uint64{poison})
	assert.Equal(t, r.Check(start, poison).Level, Suspected, "a repeated report of the same death does not count")

	later := start.Add(time.Second)
	r.OnSuccess(later, bystander)
	assert.Equal(t, r.Check(later, bystander).Level, Clear)

	r.OnDeath(later, "b", 1, []uint64{poison, bystander})
	assert.Equal(t, r.Check(later, poison).Level, Quarantined)
	assert.Equal(t, r.Check(later, bystander).Level, Suspected, "the success cleared the first death")
}

func TestQuarantineExpiresAndDoubles(t *testing.T) {
	r := NewRegistry(Options{})
	r.OnDeath(start, "a", 1, []uint64{poison})
	r.OnDeath(start, "b", 1, []uint64{poison})
	end := start.Add(defaultQuarantinePeriod)
	assert.Equal(t, r.Check(end.Add(-1), poison).Level, Quarantined)
	assert.Equal(t, r.Check(end, poison).Level, Suspected)
	r.OnDeath(end, "c", 1, []uint64{poison})
	v := r.Check(end, poison)
	assert.Equal(t, v.Level, Quarantined)
	assert.Equal(t, v.Until, end.Add(2*defaultQuarantinePeriod))
	r.Tick(end.Add(time.Hour))
	assert.Equal(t, r.Len(), 0)
}

func TestDelayedEntryOfClearedDeathIsIgnored(t *testing.T) {
	r := NewRegistry(Options{})
	r.OnDeath(start, "a", 1, []uint64{bystander})
	delayed := r.Export(start, time.Minute, 10)
	r.OnSuccess(start.Add(time.Second), bystander)
	r.Merge(start.Add(2*time.Second), delayed)
	assert.Equal(t, r.Check(start.Add(2*time.Second), bystander).Level, Clear)
}

func TestMemoryIsBounded(t *testing.T) {
	r := NewRegistry(Options{MaxEntries: 100})
	r.OnDeath(start, "a", 1, []uint64{poison})
	r.OnDeath(start, "b", 1, []uint64{poison})
	for i := range 1000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		r.OnDeath(at, "c", uint64(i), []uint64{uint64(1000 + i)})
	}
	assert.Equal(t, r.Len(), 100)
	assert.Equal(t, r.Check(start.Add(time.Second), poison).Level, Quarantined, "quarantined entries are evicted last")
}

func genEntry(t *rapid.T) Entry {
	e := Entry{Fingerprint: poison}
	for range rapid.IntRange(0, 5).Draw(t, "deaths") {
		i := rapid.IntRange(0, 6).Draw(t, "which")
		d := Death{Target: fmt.Sprint("t", i), Incarnation: 1, At: start.Add(time.Duration(i) * time.Second), Cleared: rapid.Bool().Draw(t, "cleared")}
		e = Join(e, Entry{Fingerprint: poison, Deaths: []Death{d}})
	}
	return e
}

func TestJoinIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genEntry(t), genEntry(t), genEntry(t)
		assert.Assert(t, Join(a, a).Equal(a), "idempotent")
		assert.Assert(t, Join(a, b).Equal(Join(b, a)), "commutative")
		assert.Assert(t, Join(Join(a, b), c).Equal(Join(a, Join(b, c))), "associative")
	})
}
