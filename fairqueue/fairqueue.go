package fairqueue

import (
	"container/list"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	Workspace string
	// Weight is the workspace's share; less than 1 counts as 1.
	Weight   int
	Deadline time.Time
	Value    T

	elem *list.Element // in its lane; nil when not waiting
	flow *flow[T]
}

// Load describes how fast the queue is emptied, for estimating waits.
type Load struct {
	// Servers is how many requests the target serves at once.
	Servers int
	// Service is the mean time of serving one; 0 is not known.
	Service time.Duration
}

// Result says what became of a pushed item.
type Result int

const (
	// Queued means that the item waits.
	Queued Result = iota + 1
	// Full means that there is no place for the workspace's item.
	Full
	// TooLate means that the expected wait passes the item's deadline.
	TooLate
)

// flow holds one workspace's items.
type flow[T any] struct {
	workspace string
	weight    int
	deficit   int
	items     list.List // of *Item[T], oldest first
	position  *list.Element
}

// excess is how far the lane is above a share proportional to its weight.
func (l *flow[T]) excess() float64 { return float64(l.items.Len()) / float64(l.weight) }

// Queue is the queue of one target. It is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	size     int
	flows    map[string]*flow[T]
	rotation list.List // of *lane[T], next first
	usage    usageByWorkspace
}

// New returns an empty queue of the given capacity, at least 1.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{
		capacity: max(capacity, 1),
		flows:    map[string]*flow[T]{},
		usage:    usageByWorkspace{},
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// SetCapacity changes the capacity; items above a smaller one stay.
func (q *Queue[T]) SetCapacity(capacity int) { q.capacity = max(capacity, 1) }

// Push adds an item. When the item takes the place of another, that one is
// returned as evicted.
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
	l := q.flowOf(it)
	it.flow = l
	it.elem = l.items.PushBack(it)
	q.size++
	return Queued, evicted
}

// Begin records that a request of the workspace is being served. Pop does so
// by itself; call it for requests that did not have to wait.
func (q *Queue[T]) Begin(workspace string, now time.Time) {
	q.usage.of(workspace, now).inService++
}

// End records that a request of the workspace is no longer being served, and
// for how long it was.
func (q *Queue[T]) End(workspace string, now time.Time, held time.Duration) {
	q.usage.of(workspace, now).end(now, held)
}

// Pop returns the next item whose deadline has not passed, or nil. Items past
// their deadline are dropped and reported to expired.
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

// Remove takes an item out and reports whether it was waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.elem == nil {
		return false
	}
	l := it.flow
	l.items.Remove(it.elem)
	it.elem, it.flow = nil, nil
	q.size--
	if l.items.Len() == 0 {
		q.rotation.Remove(l.position)
		delete(q.flows, l.workspace)
	}
	return true
}

// Flush takes out all items, oldest first within a workspace.
func (q *Queue[T]) Flush() []*Item[T] {
	items := make([]*Item[T], 0, q.size)
	for q.size > 0 {
		items = append(items, q.dequeue(q.rotation.Front().Value.(*flow[T])))
	}
	return items
}

// next takes the item whose turn it is. The queue is not empty.
func (q *Queue[T]) next(now time.Time) *Item[T] {
	return q.dequeue(q.nextFlow(now))
}

// dequeue takes a lane's oldest item.
func (q *Queue[T]) dequeue(l *flow[T]) *Item[T] {
	if l.deficit < 1 {
		l.deficit += l.weight
	}
	it := l.items.Front().Value.(*Item[T])
	l.deficit--
	q.Remove(it)
	if l.items.Len() > 0 && l.deficit < 1 {
		q.rotation.MoveToBack(l.position)
	}
	return it
}

// nextFlow returns the lane with the fewest requests being served for its
// weight; among equals, the one that used the least time for its weight, and
// then the one whose turn comes first.
func (q *Queue[T]) nextFlow(now time.Time) *flow[T] {
	var best *flow[T]
	var bestServing, bestUsed float64
	for e := q.rotation.Front(); e != nil; e = e.Next() {
		l := e.Value.(*flow[T])
		serving, used := q.sharePerWeight(l, now)
		if best == nil || serving < bestServing || (serving == bestServing && used < bestUsed) {
			best, bestServing, bestUsed = l, serving, used
		}
	}
	return best
}

// sharePerWeight is what a lane's workspace has for its weight.
func (q *Queue[T]) sharePerWeight(l *flow[T], now time.Time) (serving, used float64) {
	a := q.usage[l.workspace]
	if a == nil {
		return 0, 0
	}
	weight := float64(l.weight)
	return float64(a.inService) / weight, a.decayed(now) / weight
}

func (q *Queue[T]) flowOf(it *Item[T]) *flow[T] {
	l := q.flows[it.Workspace]
	if l == nil {
		l = &flow[T]{workspace: it.Workspace}
		l.position = q.rotation.PushBack(l)
		q.flows[it.Workspace] = l
	}
	l.weight = it.Weight
	return l
}

// evictionCandidate returns the newest item of the lane furthest above its share, or nil
// when the new item's own lane would be as far above.
func (q *Queue[T]) evictionCandidate(it *Item[T]) *Item[T] {
	own := 1 / float64(it.Weight)
	if l := q.flows[it.Workspace]; l != nil {
		own = float64(l.items.Len()+1) / float64(it.Weight)
	}
	var worst *flow[T]
	for e := q.rotation.Front(); e != nil; e = e.Next() {
		l := e.Value.(*flow[T])
		if worst == nil || l.excess() > worst.excess() {
			worst = l
		}
	}
	if worst == nil || worst.excess() <= own {
		return nil
	}
	return worst.items.Back().Value.(*Item[T])
}

// expectedWait estimates how long a new item would wait for its turn.
func (q *Queue[T]) expectedWait(it *Item[T], load Load) time.Duration {
	if load.Service <= 0 || q.size == 0 {
		return 0
	}
	own := 0
	if l := q.flows[it.Workspace]; l != nil {
		own = l.items.Len()
	}
	ahead := own
	rounds := own/it.Weight + 1
	for name, l := range q.flows {
		if name != it.Workspace {
			ahead += min(l.items.Len(), rounds*l.weight)
		}
	}
	return time.Duration(ahead) * load.Service / time.Duration(max(load.Servers, 1))
}
