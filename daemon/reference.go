package daemon

import (
	"slices"
	"sync"
	"time"
)

// Shape of a reference.
const (
	// recentAnswers is how many answers of other hosts are looked at.
	recentAnswers = 5
	// recentFor is how long they are of use.
	recentFor = time.Second
	// spread is by how much the 90th percentile is thought to exceed the median.
	spread = 2
)

// references holds the present latency of each service at other hosts.
type references struct{ byService sync.Map }

func (r *references) of(service string) *reference {
	v, _ := r.byService.LoadOrStore(service, &reference{})
	return v.(*reference)
}

// reference is the latency of one service at other hosts. What the own ingress
// sees of them is newer than what their records say.
type reference struct {
	mu     sync.Mutex
	record time.Duration
	recent [recentAnswers]time.Duration
	count  int
	last   time.Time
}

// setRecord takes the 90th percentile that the records of other targets give.
func (r *reference) setRecord(p90 time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = p90
}

// observe takes an answer of another host.
func (r *reference) observe(now time.Time, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last) > recentFor {
		r.count = 0
	}
	r.recent[r.count%recentAnswers] = latency
	r.count++
	r.last = now
}

// p90 estimates the 90th percentile at other hosts, 0 when nothing is known.
func (r *reference) p90(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < recentAnswers || now.Sub(r.last) > recentFor {
		return r.record
	}
	sorted := r.recent
	slices.Sort(sorted[:])
	return max(r.record, spread*sorted[recentAnswers/2])
}
