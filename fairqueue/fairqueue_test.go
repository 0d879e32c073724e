package fairqueue_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/fairqueue"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type item = fairqueue.Item[int]

func entry(workspace string, weight int) *item {
	return &item{Workspace: workspace, Weight: weight, Deadline: start.Add(time.Hour)}
}

func never(*item) {}

func TestSharesFollowWeights(t *testing.T) {
	q := fairqueue.New[int](1000)
	for range 100 {
		for _, it := range []*item{entry("a", 1), entry("b", 3), entry("c", 1)} {
			res, _ := q.Push(it, start, fairqueue.Load{})
			assert.Equal(t, res, fairqueue.Queued)
		}
	}
	served := map[string]int{}
	for range 50 {
		it := q.Pop(start, never)
		q.End(it.Workspace, start, 0)
		served[it.Workspace]++
	}
	assert.DeepEqual(t, served, map[string]int{"a": 10, "b": 30, "c": 10})
}

// No request ends: the numbers of requests in service are in proportion to the
// weights.
func TestSharesInServiceFollowWeights(t *testing.T) {
	q := fairqueue.New[int](1000)
	for range 100 {
		for _, it := range []*item{entry("a", 1), entry("b", 3), entry("c", 1)} {
			q.Push(it, start, fairqueue.Load{})
		}
	}
	q.Begin("c", start)
	served := map[string]int{"c": 1}
	for range 49 {
		served[q.Pop(start, never).Workspace]++
	}
	assert.DeepEqual(t, served, map[string]int{"a": 10, "b": 30, "c": 10})
}

func TestFullQueueEvictsFromLargestShare(t *testing.T) {
	q := fairqueue.New[int](4)
	for i := range 4 {
		it := entry("large", 1)
		it.Value = i
		q.Push(it, start, fairqueue.Load{})
	}
	res, _ := q.Push(entry("large", 1), start, fairqueue.Load{})
	assert.Equal(t, res, fairqueue.Full)
	for want := 3; want >= 2; want-- {
		res, evicted := q.Push(entry("small", 1), start, fairqueue.Load{})
		assert.Equal(t, res, fairqueue.Queued)
		assert.Equal(t, evicted.Workspace, "large")
		assert.Equal(t, evicted.Value, want, "the newest is evicted first")
	}
	res, _ = q.Push(entry("small", 1), start, fairqueue.Load{})
	assert.Equal(t, res, fairqueue.Full)
	assert.Equal(t, q.Len(), 4)
}

func TestRefusesWhenExpectedWaitExceedsDeadline(t *testing.T) {
	q := fairqueue.New[int](100)
	load := fairqueue.Load{Concurrency: 2, ServiceTime: 100 * time.Millisecond}
	for range 10 {
		q.Push(entry("large", 1), start, load)
	}
	soon := func(workspace string) *item {
		it := entry(workspace, 1)
		it.Deadline = start.Add(200 * time.Millisecond)
		return it
	}
	res, _ := q.Push(soon("large"), start, load)
	assert.Equal(t, res, fairqueue.TooLate)
	res, _ = q.Push(soon("small"), start, load)
	assert.Equal(t, res, fairqueue.Queued, "a workspace without queued requests does not wait for the whole queue")
}

func TestExpiredItemsAreDropped(t *testing.T) {
	q := fairqueue.New[int](10)
	late := entry("a", 1)
	late.Deadline = start.Add(time.Second)
	q.Push(late, start, fairqueue.Load{})
	good := entry("a", 1)
	q.Push(good, start, fairqueue.Load{})
	var dropped []*item
	got := q.Pop(start.Add(time.Second), func(it *item) { dropped = append(dropped, it) })
	assert.Equal(t, got, good)
	assert.Equal(t, len(dropped), 1)
	assert.Assert(t, !q.Remove(late))
}

// The queue is compared with a model: no item is lost, duplicated or invented,
// the capacity is not exceeded, and each workspace's items stay in order.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(rt, "capacity")
		q := fairqueue.New[int](capacity)
		waiting := map[*item]bool{}
		last := map[string]int{}
		serial := 0
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				serial++
				it := entry(rapid.StringMatching("[abc]").Draw(rt, "workspace"), rapid.IntRange(0, 3).Draw(rt, "weight"))
				it.Value = serial
				res, evicted := q.Push(it, start, fairqueue.Load{})
				if res == fairqueue.Queued {
					waiting[it] = true
				}
				if evicted != nil {
					assert.Assert(rt, waiting[evicted])
					delete(waiting, evicted)
				}
			},
			"pop": func(rt *rapid.T) {
				it := q.Pop(start, never)
				assert.Equal(rt, it != nil, len(waiting) > 0)
				if it == nil {
					return
				}
				assert.Assert(rt, waiting[it])
				assert.Assert(rt, it.Value > last[it.Workspace])
				last[it.Workspace] = it.Value
				delete(waiting, it)
			},
			"remove": func(rt *rapid.T) {
				for it := range waiting {
					assert.Assert(rt, q.Remove(it))
					assert.Assert(rt, !q.Remove(it))
					delete(waiting, it)
					return
				}
			},
			"": func(rt *rapid.T) {
				assert.Equal(rt, q.Len(), len(waiting))
				assert.Assert(rt, q.Len() <= capacity)
			},
		})
	})
}

// discipline is a queuing discipline under comparison.
type discipline interface {
	push(it *item, now time.Time)
	pop(now time.Time) *item
	end(workspace string, now time.Time, held time.Duration)
}

// fifo is the baseline: one bounded FIFO queue.
type fifo struct {
	capacity int
	items    []*item
}

func (f *fifo) push(it *item, _ time.Time) {
	if len(f.items) < f.capacity {
		f.items = append(f.items, it)
	}
}

func (f *fifo) pop(time.Time) *item {
	if len(f.items) == 0 {
		return nil
	}
	it := f.items[0]
	f.items = f.items[1:]
	return it
}

func (f *fifo) end(string, time.Time, time.Duration) {}

// fair is the queue under test. With roundRobin, every request is recorded as
// ending immediately, which leaves plain deficit round robin.
type fair struct {
	q          *fairqueue.Queue[int]
	roundRobin bool
}

func (f *fair) push(it *item, now time.Time) { f.q.Push(it, now, fairqueue.Load{}) }

func (f *fair) pop(now time.Time) *item {
	it := f.q.Pop(now, never)
	if it != nil && f.roundRobin {
		f.q.End(it.Workspace, now, 0)
	}
	return it
}

func (f *fair) end(workspace string, now time.Time, held time.Duration) {
	if !f.roundRobin {
		f.q.End(workspace, now, held)
	}
}

// load is the offered load of one workspace: requests per step, and steps per
// request.
type load struct {
	rate float64
	hold int
}

// worstServed simulates 8 workspaces of equal weight that send to one target.
// The first sends the heavy load, the others 0.8 of their share. It returns the
// lowest share of requests served among the latter.
func worstServed(l discipline, slots int, heavy load) float64 {
	const workspaces, steps, step = 8, 20_000, 10 * time.Millisecond
	light := load{rate: 0.1 * float64(slots) / 8, hold: 8}
	heavy.rate *= float64(slots) / 8
	now := start
	rng := rand.New(rand.NewPCG(1, 2))
	sent, served := make([]int, workspaces), make([]int, workspaces)
	var busy []*item // Value counts the steps left
	for range steps {
		now = now.Add(step)
		for w := range workspaces {
			ld := light
			if w == 0 {
				ld = heavy
			}
			for n := ld.rate; n > 0; n-- {
				if rng.Float64() < n {
					it := entry(fmt.Sprint(w), 1)
					it.Value = ld.hold
					sent[w]++
					l.push(it, now)
				}
			}
		}
		for len(busy) < slots {
			it := l.pop(now)
			if it == nil {
				break
			}
			busy = append(busy, it)
		}
		kept := busy[:0]
		for _, it := range busy {
			it.Value--
			if it.Value > 0 {
				kept = append(kept, it)
				continue
			}
			w, _ := strconv.Atoi(it.Workspace)
			hold := light.hold
			if w == 0 {
				hold = heavy.hold
			}
			l.end(it.Workspace, now, time.Duration(hold)*step)
			served[w]++
		}
		busy = kept
	}
	worst := 1.0
	for w := 1; w < workspaces; w++ {
		worst = min(worst, float64(served[w])/float64(sent[w]))
	}
	return worst
}

func BenchmarkWorstServedWorkspace(b *testing.B) {
	const capacity = 32
	disciplines := []struct {
		name string
		make func() discipline
	}{
		{"fifo", func() discipline { return &fifo{capacity: capacity} }},
		{"round-robin", func() discipline { return &fair{q: fairqueue.New[int](capacity), roundRobin: true} }},
		{"fair", func() discipline { return &fair{q: fairqueue.New[int](capacity)} }},
	}
	loads := []struct {
		name string
		load
	}{
		{"rate-x5", load{rate: 0.5, hold: 8}},
		{"hold-x10", load{rate: 0.1, hold: 80}},
		{"both", load{rate: 0.5, hold: 80}},
	}
	for _, slots := range []int{1, 7} {
		for _, ld := range loads {
			for _, ln := range disciplines {
				b.Run(fmt.Sprintf("slots-%d/%s/%s", slots, ld.name, ln.name), func(b *testing.B) {
					for b.Loop() {
						b.ReportMetric(worstServed(ln.make(), slots, ld.load), "worst-served")
					}
				})
			}
		}
	}
}

func BenchmarkPushPop(b *testing.B) {
	q := fairqueue.New[int](32)
	for i := range 16 {
		q.Push(entry(fmt.Sprint(i%8), 1), start, fairqueue.Load{})
	}
	it := entry("x", 1)
	for b.Loop() {
		q.Push(it, start, fairqueue.Load{Concurrency: 7, ServiceTime: time.Millisecond})
		it = q.Pop(start, never)
		q.End(it.Workspace, start, time.Millisecond)
	}
}
