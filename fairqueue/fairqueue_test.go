package fairqueue_test

import (
	"flag"
	"fmt"
	"os"
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
		served[q.Pop(start, never).Workspace]++
	}
	assert.DeepEqual(t, served, map[string]int{"a": 10, "b": 30, "c": 10})
}

func TestFullQueueGivesWayToSmallShare(t *testing.T) {
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
		assert.Equal(t, evicted.Value, want, "the newest goes first")
	}
	res, _ = q.Push(entry("small", 1), start, fairqueue.Load{})
	assert.Equal(t, res, fairqueue.Full)
	assert.Equal(t, q.Len(), 4)
}

func TestEarlyRefusal(t *testing.T) {
	q := fairqueue.New[int](100)
	load := fairqueue.Load{Servers: 2, Service: 100 * time.Millisecond}
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
	assert.Equal(t, res, fairqueue.Queued, "a workspace of its own waits for its turn only")
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

// TestAccounting checks against a model that no item is lost, doubled or
// invented, that the bound holds, and that each workspace keeps its order.
func TestAccounting(t *testing.T) {
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

// fifo is the baseline of the benchmark.
type fifo struct {
	capacity int
	items    []*item
}

func (f *fifo) push(it *item) bool {
	if len(f.items) >= f.capacity {
		return false
	}
	f.items = append(f.items, it)
	return true
}

func (f *fifo) pop() *item {
	if len(f.items) == 0 {
		return nil
	}
	it := f.items[0]
	f.items = f.items[1:]
	return it
}

// worstShare offers a target's capacity to 8 workspaces of the same fair
// share, one of which sends five times that, and returns the served part of
// the worst-served workspace's requests within its share.
func worstShare(push func(*item) bool, pop func() *item) float64 {
	const workspaces, steps, heavy = 8, 4000, 5
	sent, served := map[string]int{}, map[string]int{}
	for step := range steps {
		for i := range workspaces {
			w := (i + step) % workspaces
			n := 1
			if w == 0 {
				n = heavy
			}
			for range n {
				it := entry(fmt.Sprint("w", w), 1)
				sent[it.Workspace]++
				push(it)
			}
		}
		for range workspaces {
			if it := pop(); it != nil {
				served[it.Workspace]++
			}
		}
	}
	worst := 1.0
	for name, n := range sent {
		if name != "w0" {
			worst = min(worst, float64(served[name])/float64(n))
		}
	}
	return worst
}

func BenchmarkWorstServedWorkspace(b *testing.B) {
	b.Run("fair", func(b *testing.B) {
		for b.Loop() {
			q := fairqueue.New[int](32)
			push := func(it *item) bool {
				res, _ := q.Push(it, start, fairqueue.Load{})
				return res == fairqueue.Queued
			}
			b.ReportMetric(worstShare(push, func() *item { return q.Pop(start, never) }), "worst-served")
		}
	})
	b.Run("fifo", func(b *testing.B) {
		for b.Loop() {
			f := &fifo{capacity: 32}
			b.ReportMetric(worstShare(f.push, f.pop), "worst-served")
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := fairqueue.New[int](32)
	for i := range 16 {
		q.Push(entry(fmt.Sprint(i%8), 1), start, fairqueue.Load{})
	}
	it := entry("x", 1)
	for b.Loop() {
		q.Push(it, start, fairqueue.Load{Servers: 7, Service: time.Millisecond})
		it = q.Pop(start, never)
	}
}
