package measure

import (
	"container/heap"
	"time"
)

// epoch is the start of simulated time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function that is scheduled for a time. Events with equal times run
// in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loop is a discrete-event scheduler with a simulated clock.
type loop struct {
	now   time.Time
	queue eventHeap
	seq   int
}

func newLoop() *loop { return &loop{now: epoch} }

// after schedules run to be called in d.
func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.now.Add(d), seq: l.seq, run: run})
}

// runUntil runs all events that are due by end and sets the clock to end.
func (l *loop) runUntil(end time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
