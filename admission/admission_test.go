package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func item(nested bool, priority int, until, wait time.Duration) *Item {
	return &Item{Nested: nested, Priority: priority, Expected: 100 * time.Millisecond, Deadline: t0.Add(until), MaxWait: wait}
}

func full(t *testing.T, slots int, hold time.Duration) *Queue {
	t.Helper()
	l := NewQueue(slots)
	for range slots {
		v, _ := l.Offer(t0, item(false, 1, time.Minute, 0))
		assert.Equal(t, v, Admitted)
	}
	l.Complete(hold, false)
	v, _ := l.Offer(t0, item(false, 1, time.Minute, 0))
	assert.Equal(t, v, Admitted)
	return l
}

func TestOrderIsCallsThenPriorityThenArrival(t *testing.T) {
	l := full(t, 1, 10*time.Millisecond)
	late := item(false, 2, time.Minute, time.Minute)
	first := item(false, 1, time.Minute, time.Minute)
	second := item(false, 1, time.Minute, time.Minute)
	call := item(true, 3, time.Minute, time.Minute)
	for _, it := range []*Item{late, first, second, call} {
		v, _ := l.Offer(t0, it)
		assert.Equal(t, v, Queued)
	}
	for _, want := range []*Item{call, first, second, late} {
		l.Complete(10*time.Millisecond, false)
		run, dropped := l.Next(t0)
		assert.Equal(t, len(dropped), 0)
		assert.Assert(t, len(run) == 1 && run[0] == want)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name string
		it   *Item
		want Decision
	}{
		{"may not wait", item(false, 1, time.Minute, 0), NoSlot},
		{"would wait too long", item(false, 1, time.Minute, 50*time.Millisecond), NoSlot},
		{"would be late", item(false, 1, 300*time.Millisecond, time.Minute), TooLate},
		{"has time", item(false, 1, time.Minute, time.Minute), Queued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v, _ := full(t, 2, 500*time.Millisecond).Offer(t0, c.it)
			assert.Equal(t, v, c.want)
		})
	}
}

// An item that can no longer be served in time because a more urgent one
// overtook it is dropped immediately and not at its deadline.
func TestOvertakenItemIsDroppedImmediately(t *testing.T) {
	l := full(t, 1, 400*time.Millisecond)
	tight := item(false, 2, 600*time.Millisecond, time.Minute)
	v, dropped := l.Offer(t0, tight)
	assert.Equal(t, v, Queued)
	assert.Equal(t, len(dropped), 0)
	v, dropped = l.Offer(t0, item(true, 0, time.Minute, time.Minute))
	assert.Equal(t, v, Queued)
	assert.Assert(t, len(dropped) == 1 && dropped[0] == tight)
}

func TestFullQueueYieldsToMoreUrgentItem(t *testing.T) {
	l := full(t, 1, time.Millisecond)
	for range maxQueuePerSlot {
		v, _ := l.Offer(t0, item(false, 2, time.Minute, time.Minute))
		assert.Equal(t, v, Queued)
	}
	v, _ := l.Offer(t0, item(false, 2, time.Minute, time.Minute))
	assert.Equal(t, v, QueueFull)
	v, dropped := l.Offer(t0, item(false, 1, time.Minute, time.Minute))
	assert.Equal(t, v, Queued)
	assert.Equal(t, len(dropped), 1)
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewQueue(rapid.IntRange(1, 8).Draw(t, "slots"))
		now := t0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "offer") {
				it := &Item{Nested: rapid.Bool().Draw(t, "nested"), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
					Expected: 100 * time.Millisecond, Deadline: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond),
					MaxWait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond}
				l.Offer(now, it)
			} else if l.Running() > 0 {
				l.Complete(time.Duration(rapid.IntRange(0, 2000).Draw(t, "held"))*time.Millisecond, false)
				l.Next(now)
			}
			if l.Running() > l.Slots() || l.Running() < 0 {
				t.Fatalf("%d running on %d slots", l.Running(), l.Slots())
			}
			if l.Running() < l.Slots() && l.Waiting() > 0 {
				if run, late := l.Next(now); len(run)+len(late) == 0 {
					t.Fatal("a slot is free but Next neither assigns it nor drops an item")
				}
			}
		}
	})
}

// TestRateHoldsRequestsInTheQueue plays a target with free slots whose rate limit
// is exhausted: a request that may wait is queued rather than refused, and only
// as many are started as the rate allows.
func TestRateHoldsRequestsInTheQueue(t *testing.T) {
	l := NewQueue(4)
	l.SetRate(Rate{Room: 0, Wait: 100 * time.Millisecond, Interval: 50 * time.Millisecond})
	v, _ := l.Offer(t0, item(true, 1, time.Second, 0))
	assert.Equal(t, v, NoSlot)
	v, _ = l.Offer(t0, item(true, 1, time.Second, 80*time.Millisecond))
	assert.Equal(t, v, NoSlot, "the rate allows the request only after 100 ms")
	for range 2 {
		v, _ = l.Offer(t0, item(true, 1, time.Second, 200*time.Millisecond))
		assert.Equal(t, v, Queued)
	}
	assert.Equal(t, l.ExpectedWait(), 200*time.Millisecond)
	run, late := l.Next(t0)
	assert.Equal(t, len(run)+len(late), 0)
	l.SetRate(Rate{Room: 1})
	run, _ = l.Next(t0)
	assert.Equal(t, len(run), 1)
	l.SetRate(Rate{Room: 1})
	run, _ = l.Next(t0)
	assert.Equal(t, len(run), 1)
	assert.Equal(t, l.Running(), 2)
}
