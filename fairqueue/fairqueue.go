package fairqueue

import (
	"container/list"
	"time"
)

// Item is one queued request.
type Item[T any] struct {
	Workspace string
	// Weight is the workspace's weight; less than 1 counts as 1.
	Weight   int
	Deadline time.Time
	Value    T

	elem *list.Element // element of flow.items; nil if not queued
	flow *flow[T]
}

// Load describes the service rate of the target, from which waits are estimated.
type Load struct {
	// Concurrency is the number of requests that the target serves concurrently.
	Concurrency int
	// ServiceTime is the mean service time of a request; 0 if unknown.
	ServiceTime time.Duration
}

// Result is the result of Push.
type Result int

const (
	// Queued means that the item has been queued.
	Queued Result = iota + 1
	// Full means that the queue is full and no other item may be evicted.
	Full
	// TooLate means that the expected wait exceeds the item's deadline.
	TooLate
)

// flow is the queue of one workspace.
type flow[T any] struct {
	workspace string
	weight    int
	deficit   int
	items     list.List // of *Item[T], oldest first
	position  *list.Element
}

// excess is the length of the flow relative to its weight.
func (f *flow[T]) excess() float64 { return float64(f.items.Len()) / float64(f.weight) }

// Queue is the queue of one target. It is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	size     int
	flows    map[string]*flow[T]
	rotation list.List // of *flow[T], in round-robin order
	usage    *Usage
}

// New returns an empty queue of the given capacity; less than 1 counts as 1.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{
		capacity: max(capacity, 1),
		flows:    map[string]*flow[T]{},
		usage:    NewUsage(),
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.size }

// SetCapacity changes the capacity. Items beyond a smaller capacity stay queued.
func (q *Queue[T]) SetCapacity(capacity int) { q.capacity = max(capacity, 1) }

// Push queues an item or refuses it. If another item had to be evicted, it is
// returned.
func (q *Queue[T]) Push(it *Item[T], now time.Time, load Load) (res Result, evicted *Item[T]) {
	it.Weight = max(it.Weight, 1)
	if q.expectedWait(it, load) > it.Deadline.Sub(now) {
		return TooLate, nil
	}
	if q.size >= q.capacity {
		evicted = q.evictionCandidate(it)
		if evicted == nil {
			return Full, nil
		}
		q.Remove(evicted)
	}
	f := q.flowOf(it)
	it.flow = f
	it.elem = f.items.PushBack(it)
	q.size++
	return Queued, evicted
}

// Begin records that service of a request of the workspace has started. Pop does
// so itself; Begin must be called for requests that did not have to wait.
func (q *Queue[T]) Begin(workspace string, now time.Time) {
	q.usage.Begin(workspace, now)
}

// End records that service of a request of the workspace has ended, and its
// service time.
func (q *Queue[T]) End(workspace string, now time.Time, held time.Duration) {
	q.usage.End(workspace, now, held)
}

// Pop removes and returns the next item whose deadline has not passed, or nil.
// Items past their deadline are removed and passed to expired.
func (q *Queue[T]) Pop(now time.Time, expired func(*Item[T])) *Item[T] {
	for q.size > 0 {
		it := q.next(now)
		if now.Before(it.Deadline) {
			q.Begin(it.Workspace, now)
			return it
		}
		expired(it)
	}
	return nil
}

// Remove removes an item and reports whether it was queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.elem == nil {
		return false
	}
	f := it.flow
	f.items.Remove(it.elem)
	it.elem, it.flow = nil, nil
	q.size--
	if f.items.Len() == 0 {
		q.rotation.Remove(f.position)
		delete(q.flows, f.workspace)
	}
	return true
}

// Flush removes and returns all items, in order of arrival within a workspace.
func (q *Queue[T]) Flush() []*Item[T] {
	items := make([]*Item[T], 0, q.size)
	for q.size > 0 {
		items = append(items, q.dequeue(q.rotation.Front().Value.(*flow[T])))
	}
	return items
}

// next removes and returns the next item. The queue must not be empty.
func (q *Queue[T]) next(now time.Time) *Item[T] {
	return q.dequeue(q.nextFlow(now))
}

// dequeue removes and returns the oldest item of a flow and updates its deficit.
func (q *Queue[T]) dequeue(f *flow[T]) *Item[T] {
	if f.deficit < 1 {
		f.deficit += f.weight
	}
	it := f.items.Front().Value.(*Item[T])
	f.deficit--
	q.Remove(it)
	if f.items.Len() > 0 && f.deficit < 1 {
		q.rotation.MoveToBack(f.position)
	}
	return it
}

// nextFlow returns the flow with the fewest requests in service relative to its
// weight; among equals the one with the least recent service time relative to
// its weight, and then the first in round-robin order.
func (q *Queue[T]) nextFlow(now time.Time) *flow[T] {
	var best *flow[T]
	var bestServing, bestUsed float64
	for e := q.rotation.Front(); e != nil; e = e.Next() {
		f := e.Value.(*flow[T])
		serving, used := q.sharePerWeight(f, now)
		if best == nil || serving < bestServing || (serving == bestServing && used < bestUsed) {
			best, bestServing, bestUsed = f, serving, used
		}
	}
	return best
}

// sharePerWeight returns the requests in service and the recent service time of
// a flow's workspace, relative to its weight.
func (q *Queue[T]) sharePerWeight(f *flow[T], now time.Time) (serving, used float64) {
	weight := float64(f.weight)
	return float64(q.usage.InService(f.workspace)) / weight, q.usage.Recent(f.workspace, now) / weight
}

func (q *Queue[T]) flowOf(it *Item[T]) *flow[T] {
	f := q.flows[it.Workspace]
	if f == nil {
		f = &flow[T]{workspace: it.Workspace}
		f.position = q.rotation.PushBack(f)
		q.flows[it.Workspace] = f
	}
	f.weight = it.Weight
	return f
}

// evictionCandidate returns the newest item of the flow with the largest excess,
// or nil if the new item's own flow would have at least the same excess.
func (q *Queue[T]) evictionCandidate(it *Item[T]) *Item[T] {
	own := 1 / float64(it.Weight)
	if f := q.flows[it.Workspace]; f != nil {
		own = float64(f.items.Len()+1) / float64(it.Weight)
	}
	var worst *flow[T]
	for e := q.rotation.Front(); e != nil; e = e.Next() {
		f := e.Value.(*flow[T])
		if worst == nil || f.excess() > worst.excess() {
			worst = f
		}
	}
	if worst == nil || worst.excess() <= own {
		return nil
	}
	return worst.items.Back().Value.(*Item[T])
}

// expectedWait estimates the time for which a new item would be queued.
func (q *Queue[T]) expectedWait(it *Item[T], load Load) time.Duration {
	if load.ServiceTime <= 0 || q.size == 0 {
		return 0
	}
	own := 0
	if f := q.flows[it.Workspace]; f != nil {
		own = f.items.Len()
	}
	ahead := own
	rounds := own/it.Weight + 1
	for name, f := range q.flows {
		if name != it.Workspace {
			ahead += min(f.items.Len(), rounds*f.weight)
		}
	}
	return time.Duration(ahead) * load.ServiceTime / time.Duration(max(load.Concurrency, 1))
}
