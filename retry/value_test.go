package retry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestValuesOrderRepeats(t *testing.T) {
	order, read := Rank{Priority: 0, Once: true}, Rank{Priority: 2}
	ordered := []Repeat{
		{Rank: Rank{Priority: 99}, Hedge: true},
		{Rank: read, Hedge: true},
		{Rank: read},
		{Rank: read, Nested: true},
		{Rank: Rank{Priority: 1, Once: true}},
		{Rank: Rank{Priority: 0}},
		{Rank: order},
		{Rank: order, Nested: true},
	}
	values := make([]Value, len(ordered))
	for i, r := range ordered {
		values[i] = r.Value()
		assert.Check(t, values[i] > LowestValue && values[i] <= HighestValue)
		if i > 0 {
			assert.Check(t, values[i] > values[i-1], "%v is worth more than %v", ordered[i], ordered[i-1])
			assert.Check(t, values[i].ReserveShare() < values[i-1].ReserveShare())
		}
	}
	assert.Equal(t, HighestValue.ReserveShare(), 0.0)
	assert.Equal(t, LowestValue.ReserveShare(), lowestReserveShare)
	assert.Equal(t, Value(-5).ReserveShare(), lowestReserveShare, "a datagram may state any value")
	assert.Equal(t, Value(1000).ReserveShare(), 0.0)
}

// The rank of a call is that of the highest request in progress.
func TestRunningKnowsTheHighestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Running
		var all []Rank
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			if len(all) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				r.Remove(all[i])
				all = slices.Delete(all, i, i+1)
			} else {
				k := Rank{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Once: rapid.Bool().Draw(t, "once")}
				r.Add(k)
				all = append(all, k)
			}
			got, ok := r.Highest()
			if ok != (len(all) > 0) {
				t.Fatalf("highest known: %v with %d running", ok, len(all))
			}
			for _, k := range all {
				if (Repeat{Rank: k}).Value() > (Repeat{Rank: got}).Value() {
					t.Fatalf("%v is above %v", k, got)
				}
			}
		}
	})
}

// Retries are neither lost nor made up: those given and those left never exceed what
// requests have earned, in any order of waiting and leaving.
func TestQueueGivesNoMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.2, 1)
		q := NewQueue(b)
		now, earned, given := start, 1.0, 0.0
		var waiting []*Waiter
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			v := Value(rapid.IntRange(-1, int(HighestValue)+1).Draw(t, "value"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				q.Deposit(now)
				earned += 0.2
			case 2:
				if q.Take(now, v) {
					given++
				}
			case 3:
				if w := q.Wait(now, v, time.Duration(rapid.IntRange(0, 5000).Draw(t, "within"))*time.Millisecond); w != nil {
					waiting = append(waiting, w)
				}
			case 4:
				if len(waiting) > 0 {
					w := waiting[0]
					waiting = waiting[1:]
					if q.Leave(w) {
						q.Refund()
					}
				}
			}
			held := 0.0
			for _, w := range waiting {
				select {
				case <-w.Grant:
					held++
				default:
				}
			}
			if got := given + held + float64(b.tokens.Load())/tokenScale; got > earned+1e-9 {
				t.Fatalf("%v retries of %v earned", got, earned)
			}
		}
	})
}

// The most valuable repeat that waits is served first, and a less valuable one that
// asks later does not overtake it.
func TestQueueServesTheMostValuableFirst(t *testing.T) {
	b := NewBudget(0.2, 1)
	q := NewQueue(b)
	for i := range 40 {
		q.Deposit(start.Add(time.Duration(i) * 50 * time.Millisecond))
	}
	now := start.Add(2 * time.Second)
	assert.Assert(t, q.Take(now, 10))
	low := q.Wait(now, 10, 10*time.Second)
	high := q.Wait(now, 20, 10*time.Second)
	assert.Assert(t, low != nil && high != nil)
	for range 5 {
		q.Deposit(now)
	}
	assert.Assert(t, high.granted && !low.granted)
	assert.Assert(t, !q.Take(now, 10), "taken past a repeat that waits")
	for range 5 {
		q.Deposit(now)
	}
	assert.Assert(t, low.granted)
}

// A request does not wait for a budget that is not coming.
func TestQueueRefusesAtOnceWithoutHope(t *testing.T) {
	b := NewBudget(0.2, 1)
	q := NewQueue(b)
	assert.Assert(t, q.Take(start, 10))
	assert.Assert(t, q.Wait(start, 10, time.Second) == nil, "no requests earn retries")
	for range 40 {
		q.Deposit(start)
	}
	assert.Assert(t, q.Take(start, 10))
	assert.Assert(t, q.Wait(start, 10, 0) == nil, "no time left")
	for range 100 {
		q.Take(start, 20)
	}
	assert.Assert(t, q.Wait(start, 10, time.Second) == nil, "more valuable repeats take all")
	for range 20 {
		q.Observe(start, true)
	}
	assert.Assert(t, q.Wait(start, 30, time.Second) == nil, "targets shed everything")
}
