package storepoll

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeAttempt is a host's next write of its row.
type writeAttempt struct {
	at       time.Duration
	failures int
}

type writeQueue []writeAttempt

func (q writeQueue) Len() int           { return len(q) }
func (q writeQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q writeQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *writeQueue) Push(x any)        { *q = append(*q, x.(writeAttempt)) }
func (q *writeQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// playFleetStart plays hosts that start within 0.3 s and write their rows to a store
// that performs writes one after another, and refuses a write if more than a second
// of them waits. A host that gives up after a timeout writes again. It returns when
// the last host knows its row to be written, and the number of calls.
func playFleetStart(hosts int, writesPerSecond float64, timeout time.Duration, backoff func(failures int) time.Duration) (last time.Duration, calls int) {
	rnd := rand.New(rand.NewPCG(uint64(hosts), 1))
	q := &writeQueue{}
	for range hosts {
		heap.Push(q, writeAttempt{at: time.Duration(rnd.Float64() * 0.3 * float64(time.Second))})
	}
	each := time.Duration(float64(time.Second) / writesPerSecond)
	free := time.Duration(0) // when the store has performed all accepted writes
	for q.Len() > 0 {
		a := heap.Pop(q).(writeAttempt)
		calls++
		again := time.Duration(0)
		if free-a.at <= time.Second {
			free = max(free, a.at) + each
			if free-a.at <= timeout {
				last = max(last, free)
				continue
			}
			again = timeout
		}
		a.failures++
		a.at += again + backoff(a.failures)
		heap.Push(q, a)
	}
	return last, calls
}

// After a loss of power the rows are written about as fast as the store can, with few
// refused calls, at each size of the fleet.
func TestFleetWritesItsRowsAgainAtTheStoresRate(t *testing.T) {
	const rate = 300
	for _, hosts := range []int{27, 84, 357, 1200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			last, calls := playFleetStart(hosts, rate, WriteTimeout, func(failures int) time.Duration {
				return WriteBackoff(failures, hosts, rate, rnd.Float64())
			})
			needed := time.Duration(float64(hosts) / rate * float64(time.Second))
			t.Logf("rows written after %s, the store needs %s; %d calls", last, needed, calls)
			assert.Assert(t, last < 2*needed+time.Second, "%s", last)
			assert.Assert(t, calls < 5*hosts/2, "%d calls by %d hosts", calls, hosts)
		})
	}
}

func TestWriteBackoff(t *testing.T) {
	assert.Equal(t, WriteBackoff(1, 3, 300, 0), minWriteBackoff)
	assert.Assert(t, WriteBackoff(1, 3, 300, 0.99) <= 2*minWriteBackoff)
	assert.Assert(t, WriteBackoff(30, 3, 300, 0.99) <= maxWriteBackoff)
	assert.Assert(t, WriteBackoff(1, 1200, 300, 0.99) > 5*time.Second)
	assert.Assert(t, WriteBackoff(1, 1200, 0, 0.5) > 0)
}
