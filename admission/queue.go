package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/fairqueue"
)

// Item is a request for a slot.
type Item struct {
	// Nested marks a nested request, made by a request that is running on some
	// target.
	Nested bool
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Workspace is the workspace of the request; empty if there are none.
	Workspace string
	// Expected is the expected duration of execution.
	Expected time.Duration
	// Deadline is the time after which the response is useless.
	Deadline time.Time
	// Objective is the time at which the latency objective ends; zero means that
	// there is none.
	Objective time.Time
	// MaxWait bounds the expected wait for a slot; 0 means that the request must
	// not wait.
	MaxWait time.Duration
	// Value is not used by this package.
	Value any

	arrival uint64
	// excess is by how many steps the workspace's recent use exceeds that of the others
	// in the queue.
	excess int
}

// Excess reports by how many steps the recent use of the item's workspace exceeded that
// of the others in the queue when the item was last compared with them.
func (it *Item) Excess() int { return it.excess }

// Decision is the result of Offer.
type Decision int

const (
	// Admitted means that the item has been given a slot.
	Admitted Decision = iota + 1
	// Queued means that the item has been queued.
	Queued
	// NoSlot means that there is no free slot and the expected wait exceeds
	// MaxWait.
	NoSlot
	// TooLate means that waiting would make the item miss its deadline or
	// objective.
	TooLate
	// QueueFull means that the queue is full of items that precede this one.
	QueueFull
)

// maxQueuePerSlot bounds the length of the queue in multiples of the slots. A
// wait for more rounds than that exceeds any objective.
const maxQueuePerSlot = 4

// Rate is the state of a limit on the rate at which requests may start.
type Rate struct {
	// Room is the number of requests that may start now; negative means that
	// there is no limit.
	Room int
	// Wait is the time until the next request may start if Room is 0, and
	// Interval the mean time between further ones.
	Wait, Interval time.Duration
}

// unlimited is the rate of a queue without a limit.
var unlimited = Rate{Room: -1}

// Queue manages the slots of one target and the queue for them. It is not safe
// for concurrent use.
type Queue struct {
	slots   int
	limit   int // of requests that run at once, at most the slots
	running int
	rate    Rate
	// returning is set while the gate has just started (SetReturning).
	returning bool
	// leastUrgent is the highest Priority offered so far.
	leastUrgent int
	waiting     []*Item
	arrivals    uint64
	// otherSlotTime is the mean time for which a request that is not nested
	// holds a slot.
	otherSlotTime mean
	// nestedSlotTime and allSlotTime are means over all requests: of the time
	// for which nested requests hold a slot, with 0 for others, and of the time
	// for which any request does.
	nestedSlotTime, allSlotTime mean
	usage                       *fairqueue.Usage
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

// meanSampleWeight is the weight of a new sample. A change becomes visible
// within about ten requests, which take about a second on a busy target.
const meanSampleWeight = 0.1

// maxNestedShare bounds the estimated share of the slots that nested requests
// need, so that a burst of them does not make the expected wait of all others
// unbounded.
const maxNestedShare = 0.8

// NewQueue returns an empty queue for a target with the given number of slots.
func NewQueue(slots int) *Queue {
	slots = max(slots, 1)
	return &Queue{slots: slots, limit: slots, rate: unlimited, usage: fairqueue.NewUsage()}
}

// SetSlots sets the stated slots and removes a lower limit.
func (q *Queue) SetSlots(slots int) {
	q.slots = max(slots, 1)
	q.limit = q.slots
}

// SetLimit sets the number of requests that may run at once, between 1 and the
// slots. Requests that run beyond a lowered limit continue.
func (q *Queue) SetLimit(limit int) { q.limit = min(max(limit, 1), q.slots) }

// Limit is the number of requests that may run at once.
func (q *Queue) Limit() int { return q.limit }

func (q *Queue) Slots() int { return q.slots }

// SetReturning sets whether the gate has just started. Then many requests have waited
// for it and have missed their objectives, and other gates have probably just
// started too. A request that misses its objective is then kept while less urgent ones
// are served.
func (q *Queue) SetReturning(returning bool) { q.returning = returning }

// keepsOverdue reports whether an item is kept although it misses its objective.
func (q *Queue) keepsOverdue(it *Item) bool { return q.returning && it.Priority < q.leastUrgent }

// SetRate sets the state of the rate limit. Each start reduces its room.
func (q *Queue) SetRate(r Rate) { q.rate = r }

// canStart reports whether there is a free slot and room in the rate.
func (q *Queue) canStart() bool { return q.running < q.limit && q.rate.Room != 0 }

// start takes a slot.
func (q *Queue) start() {
	q.running++
	if q.rate.Room > 0 {
		q.rate.Room--
	}
}

// rateWait is the time until the rate allows the request at a position of the
// queue to start.
func (q *Queue) rateWait(at int) time.Duration {
	if q.rate.Room != 0 {
		return 0
	}
	return q.rate.Wait + time.Duration(at)*q.rate.Interval
}

// Running is the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting is the number of queued items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// meetsObjective reports whether the item, if started now, would be expected to
// meet its objective.
func (it *Item) meetsObjective(now time.Time) bool {
	return it.Objective.IsZero() || !now.Add(it.Expected).After(it.Objective)
}

// compare orders items by precedence, as described for the package.
func compare(now time.Time, a, b *Item) int {
	if a.Nested != b.Nested {
		return orderFirst(a.Nested)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.excess != b.excess {
		return cmp.Compare(a.excess, b.excess)
	}
	if in := a.meetsObjective(now); in != b.meetsObjective(now) {
		return orderFirst(in)
	} else if in && !a.Objective.Equal(b.Objective) {
		return a.Objective.Compare(b.Objective)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

func orderFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// sortWaiting sorts the queue for the current time, since items lose precedence
// when they miss their objectives. arriving is an item to be queued, or nil.
func (q *Queue) sortWaiting(now time.Time, arriving *Item) {
	q.setExcess(now, arriving)
	slices.SortFunc(q.waiting, func(a, b *Item) int { return compare(now, a, b) })
}

// Offer admits, queues or refuses an item. dropped lists queued items that are
// dropped because this one overtakes them.
func (q *Queue) Offer(now time.Time, it *Item) (v Decision, dropped []*Item) {
	q.arrivals++
	it.arrival = q.arrivals
	q.leastUrgent = max(q.leastUrgent, it.Priority)
	if q.canStart() && len(q.waiting) == 0 {
		q.start()
		return Admitted, nil
	}
	if it.MaxWait <= 0 {
		return NoSlot, nil
	}
	q.sortWaiting(now, it)
	at, _ := slices.BinarySearchFunc(q.waiting, it, func(a, b *Item) int { return compare(now, a, b) })
	wait := q.expectedWaitAt(at, it.Nested)
	if wait > it.MaxWait {
		return NoSlot, nil
	}
	if q.unservable(now, it, at) || !q.keepsOverdue(it) && it.meetsObjective(now) && !it.meetsObjective(now.Add(wait)) {
		return TooLate, nil
	}
	if len(q.waiting) >= maxQueuePerSlot*q.limit {
		if at == len(q.waiting) {
			return QueueFull, nil
		}
		last := len(q.waiting) - 1
		dropped = append(dropped, q.waiting[last])
		q.waiting = q.waiting[:last]
	}
	q.waiting = slices.Insert(q.waiting, at, it)
	return Queued, append(dropped, q.dropUnservable(now)...)
}

// unservable reports whether an item should not wait at a position of the queue:
// either the remaining time would be too short for its execution, or it has
// missed its objective and the item ahead can still meet its own.
func (q *Queue) unservable(now time.Time, it *Item, at int) bool {
	if now.Add(q.expectedWaitAt(at, it.Nested) + it.Expected).After(it.Deadline) {
		return true
	}
	if q.keepsOverdue(it) || at == 0 || it.meetsObjective(now) {
		return false
	}
	ahead := q.waiting[at-1]
	return !ahead.Nested && ahead.meetsObjective(now)
}

// dropUnservable removes the unservable items from the queue.
func (q *Queue) dropUnservable(now time.Time) []*Item {
	var dropped []*Item
	for at := 0; at < len(q.waiting); {
		it := q.waiting[at]
		if !q.unservable(now, it, at) {
			at++
			continue
		}
		dropped = append(dropped, it)
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	return dropped
}

// expectedWaitAt is the expected wait of an item at a position of the queue.
// Future nested requests will overtake all others, for which only the remaining
// slots count.
func (q *Queue) expectedWaitAt(at int, nested bool) time.Duration {
	hold, slots := q.allSlotTime.value, float64(q.limit)
	if !nested && q.otherSlotTime.known {
		hold = q.otherSlotTime.value
		slots *= 1 - min(q.nestedShare(), maxNestedShare)
	}
	if q.running < q.limit {
		return q.rateWait(at)
	}
	return max(time.Duration(float64(at+1)*hold/slots*float64(time.Second)), q.rateWait(at))
}

// nestedShare is the share of slot time that nested requests use.
func (q *Queue) nestedShare() float64 {
	if q.allSlotTime.value <= 0 {
		return 0
	}
	return q.nestedSlotTime.value / q.allSlotTime.value
}

// ExpectedWait is the expected wait of a new item of the lowest precedence.
func (q *Queue) ExpectedWait() time.Duration {
	if q.canStart() {
		return 0
	}
	return q.expectedWaitAt(len(q.waiting), false)
}

// Complete releases a slot after a request held it for the given time.
func (q *Queue) Complete(held time.Duration, nested bool) {
	q.Release()
	seconds, nestedSeconds := held.Seconds(), 0.0
	if nested {
		nestedSeconds = seconds
	} else {
		q.otherSlotTime.add(seconds)
	}
	q.nestedSlotTime.add(nestedSeconds)
	q.allSlotTime.add(seconds)
}

// Reserve takes a free slot for a request that does not come from the queue. It
// returns false if there is none.
func (q *Queue) Reserve() bool {
	if q.running >= q.limit {
		return false
	}
	q.running++
	return true
}

// Release releases a slot without recording how long it was held.
func (q *Queue) Release() { q.running-- }

// Next assigns free slots to queued items. late lists items that are dropped
// because too little time is left before their deadline.
func (q *Queue) Next(now time.Time) (run, late []*Item) {
	q.sortWaiting(now, nil)
	for q.canStart() && len(q.waiting) > 0 {
		it := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		if now.Add(it.Expected / 2).After(it.Deadline) {
			late = append(late, it)
			continue
		}
		q.start()
		run = append(run, it)
	}
	return run, late
}

// Remove removes an item from the queue and reports whether it was queued.
func (q *Queue) Remove(it *Item) bool {
	i := slices.Index(q.waiting, it)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Flush removes and returns all queued items.
func (q *Queue) Flush() []*Item {
	all := q.waiting
	q.waiting = nil
	return all
}
