package admission

import (
	"cmp"
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
	// Aim is when the answer loses part of its worth; zero means that it never
	// does.
	Aim time.Time
	// MaxWait bounds the expected wait for a slot; 0 allows none.
	MaxWait time.Duration
	// Value is the caller's.
	Value any

	arrival uint64
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

// maxLinePerSlot bounds the line in multiples of the slots: a longer wait than that
// many rounds passes any objective.
const maxLinePerSlot = 4

// Line is the slots of one target and those who wait for them. It is not safe
// for concurrent use.
type Line struct {
	slots    int
	running  int
	waiting  []*Item
	arrivals uint64
	// otherSlotTime is the mean time for which work that is no call holds a slot.
	otherSlotTime mean
	// callSlotTime and allSlotTime are the means over all work of the time in slots,
	// that of calls alone and that of all.
	callSlotTime, allSlotTime mean
}

// mean is a mean that forgets old samples.
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

// meanSampleWeight is the weight of a new sample: some ten requests, about a second
// of a busy target, tell of a change.
const meanSampleWeight = 0.1

// maxCallShare bounds the share of the slots that calls are taken to need, so that
// a burst of them does not seem to stop all other work.
const maxCallShare = 0.8

// New returns a line for a target with the given slots.
func New(slots int) *Line { return &Line{slots: max(slots, 1)} }

// SetSlots changes the number of slots.
func (l *Line) SetSlots(slots int) { l.slots = max(slots, 1) }

// Slots is the number of slots.
func (l *Line) Slots() int { return l.slots }

// Running is the number of slots in use.
func (l *Line) Running() int { return l.running }

// Waiting is the number of items in the line.
func (l *Line) Waiting() int { return len(l.waiting) }

// meetsObjective reports whether work that began now would usually end by its aim.
func (it *Item) meetsObjective(now time.Time) bool {
	return it.Aim.IsZero() || !now.Add(it.Expected).After(it.Aim)
}

// compare orders items by who comes first.
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

// sortWaiting brings the line into its order of now: time takes items past their aims.
func (l *Line) sortWaiting(now time.Time) {
	slices.SortFunc(l.waiting, func(a, b *Item) int { return compare(now, a, b) })
}

// Offer takes an item in or refuses it. dropped lists items that waited and
// have to go because this one comes before them.
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
	if len(l.waiting) >= maxLinePerSlot*l.slots {
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

// unservable reports whether an item at a place of the line is not worth its wait:
// too little time would be left for its work, or its aim has passed and others
// that can still meet theirs come first.
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

// dropUnservable takes out the items that are no longer worth their wait.
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

// expectedWaitAt is the expected wait of an item at a place of the line. Calls that are
// yet to come pass all other work, which therefore has only the slots that they
// usually leave.
func (l *Line) expectedWaitAt(at int, inner bool) time.Duration {
	hold, slots := l.allSlotTime.value, float64(l.slots)
	if !inner && l.otherSlotTime.known {
		hold = l.otherSlotTime.value
		slots *= 1 - min(l.callShare(), maxCallShare)
	}
	return time.Duration(float64(at+1) * hold / slots * float64(time.Second))
}

// callShare is the share of the slots' time that calls take.
func (l *Line) callShare() float64 {
	if l.allSlotTime.value <= 0 {
		return 0
	}
	return l.callSlotTime.value / l.allSlotTime.value
}

// ExpectedWait is the expected wait of a new item of the lowest rank.
func (l *Line) ExpectedWait() time.Duration {
	if l.running < l.slots {
		return 0
	}
	return l.expectedWaitAt(len(l.waiting), false)
}

// Done gives a slot back after a call or other work held it for a time.
func (l *Line) Done(held time.Duration, inner bool) {
	l.Release()
	seconds, callSeconds := held.Seconds(), 0.0
	if inner {
		callSeconds = seconds
	} else {
		l.otherSlotTime.add(seconds)
	}
	l.callSlotTime.add(callSeconds)
	l.allSlotTime.add(seconds)
}

// Release gives back a slot that was not used.
func (l *Line) Release() { l.running-- }

// Next gives free slots to those who wait. late lists items that are dropped,
// since too little time is left for their work.
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
