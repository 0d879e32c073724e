package admission

import (
	"cmp"
	"slices"
	"time"
)

// Item is a request for a slot.
type Item struct {
	// Inner marks a nested request, made by a request that is running on some
	// target.
	Inner bool
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Expected is the expected duration of execution.
	Expected time.Duration
	// Until is the deadline after which the response is useless.
	Until time.Time
	// Aim is the time by which the response meets its latency objective; zero
	// means that there is none.
	Aim time.Time
	// MaxWait bounds the expected wait for a slot; 0 means that the request must
	// not wait.
	MaxWait time.Duration
	// Value is not used by this package.
	Value any

	arrival uint64
}

// Verdict is the result of Offer.
type Verdict int

const (
	// Run means that the item has been given a slot.
	Run Verdict = iota + 1
	// Wait means that the item has been queued.
	Wait
	// Busy means that there is no free slot and the expected wait exceeds MaxWait.
	Busy
	// Late means that waiting would make the item miss its deadline or objective.
	Late
	// Full means that the queue is full of items that precede this one.
	Full
)

// maxQueuePerSlot bounds the length of the queue in multiples of the slots. A wait
// for more rounds than that exceeds any objective.
const maxQueuePerSlot = 4

// Line manages the slots of one target and the queue for them. It is not safe for
// concurrent use.
type Line struct {
	slots    int
	running  int
	waiting  []*Item
	arrivals uint64
	// otherSlotTime is the mean time for which a request that is not nested
	// holds a slot.
	otherSlotTime mean
	// nestedSlotTime and allSlotTime are means over all requests: of the time
	// for which nested requests hold a slot, with 0 for others, and of the time
	// for which any request does.
	nestedSlotTime, allSlotTime mean
}

// mean is an exponential moving average.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(x float64) {
	if !m.known {
		m.value, m.known = x, true
		return
	}
	m.value += meanSampleWeight * (x - m.value)
}

// meanSampleWeight is the weight of a new sample. A change becomes visible within
// about ten requests, which take about a second on a busy target.
const meanSampleWeight = 0.1

// maxNestedShare bounds the estimated share of the slots that nested requests need, so
// that a burst of them does not make the expected wait of all others unbounded.
const maxNestedShare = 0.8

// New returns an empty queue for a target with the given number of slots.
func New(slots int) *Line { return &Line{slots: max(slots, 1)} }

func (l *Line) SetSlots(slots int) { l.slots = max(slots, 1) }

func (l *Line) Slots() int { return l.slots }

// Running is the number of slots in use.
func (l *Line) Running() int { return l.running }

// Waiting is the number of queued items.
func (l *Line) Waiting() int { return len(l.waiting) }

// meetsObjective reports whether the item, if started now, would be expected to
// meet its objective.
func (it *Item) meetsObjective(now time.Time) bool {
	return it.Aim.IsZero() || !now.Add(it.Expected).After(it.Aim)
}

// compare orders items by precedence, as described for the package.
func compare(now time.Time, a, b *Item) int {
	if a.Inner != b.Inner {
		return orderFirst(a.Inner)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if in := a.meetsObjective(now); in != b.meetsObjective(now) {
		return orderFirst(in)
	} else if in && !a.Aim.Equal(b.Aim) {
		return a.Aim.Compare(b.Aim)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

func orderFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// sortWaiting sorts the queue for the current time, since items lose precedence when
// they miss their objectives.
func (l *Line) sortWaiting(now time.Time) {
	slices.SortFunc(l.waiting, func(a, b *Item) int { return compare(now, a, b) })
}

// Offer admits, queues or refuses an item. dropped lists queued items that are
// dropped because this one overtakes them.
func (l *Line) Offer(now time.Time, it *Item) (v Verdict, dropped []*Item) {
	l.arrivals++
	it.arrival = l.arrivals
	if l.running < l.slots && len(l.waiting) == 0 {
		l.running++
		return Run, nil
	}
	if it.MaxWait <= 0 {
		return Busy, nil
	}
	l.sortWaiting(now)
	at, _ := slices.BinarySearchFunc(l.waiting, it, func(a, b *Item) int { return compare(now, a, b) })
	wait := l.expectedWaitAt(at, it.Inner)
	if wait > it.MaxWait {
		return Busy, nil
	}
	if l.unservable(now, it, at) || it.meetsObjective(now) && !it.meetsObjective(now.Add(wait)) {
		return Late, nil
	}
	if len(l.waiting) >= maxQueuePerSlot*l.slots {
		if at == len(l.waiting) {
			return Full, nil
		}
		last := len(l.waiting) - 1
		dropped = append(dropped, l.waiting[last])
		l.waiting = l.waiting[:last]
	}
	l.waiting = slices.Insert(l.waiting, at, it)
	return Wait, append(dropped, l.dropUnservable(now)...)
}

// unservable reports whether an item should not wait at a position of the queue:
// either the remaining time would be too short for its execution, or it has missed
// its objective and the item ahead can still meet its own.
func (l *Line) unservable(now time.Time, it *Item, at int) bool {
	if now.Add(l.expectedWaitAt(at, it.Inner) + it.Expected).After(it.Until) {
		return true
	}
	if at == 0 || it.meetsObjective(now) {
		return false
	}
	ahead := l.waiting[at-1]
	return !ahead.Inner && ahead.meetsObjective(now)
}

// dropUnservable removes the unservable items from the queue.
func (l *Line) dropUnservable(now time.Time) []*Item {
	var dropped []*Item
	for at := 0; at < len(l.waiting); {
		it := l.waiting[at]
		if !l.unservable(now, it, at) {
			at++
			continue
		}
		dropped = append(dropped, it)
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
	return dropped
}

// expectedWaitAt is the expected wait of an item at a position of the queue. Future
// nested requests will overtake all others, for which only the remaining slots
// count.
func (l *Line) expectedWaitAt(at int, inner bool) time.Duration {
	hold, slots := l.allSlotTime.value, float64(l.slots)
	if !inner && l.otherSlotTime.known {
		hold = l.otherSlotTime.value
		slots *= 1 - min(l.nestedShare(), maxNestedShare)
	}
	return time.Duration(float64(at+1) * hold / slots * float64(time.Second))
}

// nestedShare is the share of slot time that nested requests use.
func (l *Line) nestedShare() float64 {
	if l.allSlotTime.value <= 0 {
		return 0
	}
	return l.nestedSlotTime.value / l.allSlotTime.value
}

// ExpectedWait is the expected wait of a new item of the lowest precedence.
func (l *Line) ExpectedWait() time.Duration {
	if l.running < l.slots {
		return 0
	}
	return l.expectedWaitAt(len(l.waiting), false)
}

// Done releases a slot after a request held it for the given time.
func (l *Line) Done(held time.Duration, inner bool) {
	l.Release()
	seconds, nestedSeconds := held.Seconds(), 0.0
	if inner {
		nestedSeconds = seconds
	} else {
		l.otherSlotTime.add(seconds)
	}
	l.nestedSlotTime.add(nestedSeconds)
	l.allSlotTime.add(seconds)
}

// Release releases a slot without recording how long it was held.
func (l *Line) Release() { l.running-- }

// Next assigns free slots to queued items. late lists items that are dropped
// because too little time is left before their deadline.
func (l *Line) Next(now time.Time) (run, late []*Item) {
	l.sortWaiting(now)
	for l.running < l.slots && len(l.waiting) > 0 {
		it := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		if now.Add(it.Expected / 2).After(it.Until) {
			late = append(late, it)
			continue
		}
		l.running++
		run = append(run, it)
	}
	return run, late
}

// Leave removes an item from the queue and reports whether it was queued.
func (l *Line) Leave(it *Item) bool {
	i := slices.Index(l.waiting, it)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Flush removes and returns all queued items.
func (l *Line) Flush() []*Item {
	all := l.waiting
	l.waiting = nil
	return all
}
