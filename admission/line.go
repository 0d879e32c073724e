package admission

import (
	"slices"
	"time"
)

// Item is a request that wants a slot.
type Item struct {
	// Inner marks a call made by work that is running at some target.
	Inner bool
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Expected is the time that the work usually takes.
	Expected time.Duration
	// Until is when the answer is of no more use.
	Until time.Time
	// MaxWait bounds the expected wait for a slot; 0 allows none.
	MaxWait time.Duration
	// Value is the caller's.
	Value any

	order uint64
}

// Verdict says what becomes of an offered item.
type Verdict int

// The verdicts.
const (
	// Run means that the item has a slot.
	Run Verdict = iota + 1
	// Wait means that the item has a place in the line.
	Wait
	// Busy means that there is no free slot and the item may not wait.
	Busy
	// Late means that the wait would leave too little time.
	Late
	// Full means that the line is full of items that come before.
	Full
)

// maxLine bounds the line in multiples of the slots: a longer wait than that
// many rounds passes any objective.
const maxLine = 4

// Line is the slots of one target and those who wait for them. It is not safe
// for concurrent use.
type Line struct {
	slots   int
	running int
	waiting []*Item
	order   uint64
	hold    time.Duration
}

// New returns a line for a target with the given slots.
func New(slots int) *Line { return &Line{slots: max(slots, 1)} }

// SetSlots changes the number of slots.
func (l *Line) SetSlots(slots int) { l.slots = max(slots, 1) }

// Slots, Running and Waiting describe the line.
func (l *Line) Slots() int { return l.slots }

// Running is the number of slots in use.
func (l *Line) Running() int { return l.running }

// Waiting is the number of items in the line.
func (l *Line) Waiting() int { return len(l.waiting) }

// before reports whether a comes before b.
func before(a, b *Item) bool {
	if a.Inner != b.Inner {
		return a.Inner
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.order < b.order
}

// Offer takes an item in or refuses it. dropped lists items that waited and
// have to go because this one comes before them.
func (l *Line) Offer(now time.Time, it *Item) (v Verdict, dropped []*Item) {
	l.order++
	it.order = l.order
	if l.running < l.slots && len(l.waiting) == 0 {
		l.running++
		return Run, nil
	}
	if it.MaxWait <= 0 {
		return Busy, nil
	}
	at, _ := slices.BinarySearchFunc(l.waiting, it, compare)
	wait := l.waitAt(at)
	if wait > it.MaxWait {
		return Busy, nil
	}
	if now.Add(wait + it.Expected).After(it.Until) {
		return Late, nil
	}
	if len(l.waiting) >= maxLine*l.slots {
		if at == len(l.waiting) {
			return Full, nil
		}
		last := len(l.waiting) - 1
		dropped = append(dropped, l.waiting[last])
		l.waiting = l.waiting[:last]
	}
	l.waiting = slices.Insert(l.waiting, at, it)
	return Wait, append(dropped, l.dropLate(now)...)
}

func compare(a, b *Item) int {
	if before(a, b) {
		return -1
	}
	return 1
}

// waitAt is the expected wait of the item at a place of the line.
func (l *Line) waitAt(at int) time.Duration {
	return time.Duration(at+1) * l.hold / time.Duration(l.slots)
}

// ExpectedWait is the expected wait of a new item of the lowest rank.
func (l *Line) ExpectedWait() time.Duration {
	if l.running < l.slots {
		return 0
	}
	return l.waitAt(len(l.waiting))
}

// dropLate takes out the items that can no longer be served in time.
func (l *Line) dropLate(now time.Time) []*Item {
	var late []*Item
	kept := l.waiting[:0]
	for _, it := range l.waiting {
		if now.Add(l.waitAt(len(kept)) + it.Expected).After(it.Until) {
			late = append(late, it)
			continue
		}
		kept = append(kept, it)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	return late
}

// holdWeight is the weight of a new sample in the mean time of a slot.
const holdWeight = 0.1

// Done gives a slot back after it was held for a time.
func (l *Line) Done(held time.Duration) {
	l.running--
	if l.hold == 0 {
		l.hold = held
		return
	}
	l.hold += time.Duration(holdWeight * float64(held-l.hold))
}

// Next gives free slots to those who wait. late lists items that are dropped,
// since too little time is left for their work.
func (l *Line) Next(now time.Time) (run, late []*Item) {
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

// Leave takes an item out of the line and reports whether it waited.
func (l *Line) Leave(it *Item) bool {
	i := slices.Index(l.waiting, it)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Flush takes out all that wait.
func (l *Line) Flush() []*Item {
	all := l.waiting
	l.waiting = nil
	return all
}
