package hostd

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

// reports keeps what gates last told, and which paths to them failed.
type reports struct {
	mu       sync.Mutex
	byTarget map[string]placing.Report
	paths    map[string]path
	// lives are those of the hosts' gates.
	lives map[string]int64
	// absent are targets that their gates do not let have anything.
	absent map[string]time.Time
}

// path is the state of the way to a host.
type path struct {
	failures int
	retryAt  time.Time
}

// Bounds of the time in which a path that failed is avoided; it doubles with
// each failure in a row.
const (
	firstAvoid = 500 * time.Millisecond
	longAvoid  = 4 * time.Second
)

func newReports() *reports {
	return &reports{byTarget: map[string]placing.Report{}, paths: map[string]path{}, absent: map[string]time.Time{}, lives: map[string]int64{}}
}

func (r *reports) set(target string, rep placing.Report) {
	if rep.ReceivedAt.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byTarget[target] = rep
}

// setLife records the life of a host's gate.
func (r *reports) setLife(host string, life int64) {
	if life == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[host] = life
}

// life is the last known life of a host's gate, or 0.
func (r *reports) life(host string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[host]
}

func (r *reports) get(target string) placing.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTarget[target]
}

// reached records that a host's gate has answered.
func (r *reports) reached(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.paths, host)
}

// failed records that the way to a host failed, or that a request sent there was
// overtaken.
func (r *reports) failed(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[host]
	p.retryAt = now.Add(min(firstAvoid<<min(p.failures, 8), longAvoid))
	p.failures++
	r.paths[host] = p
}

// avoid records that a host did not answer and is to be passed over for a time.
func (r *reports) avoid(host string, now time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths[host] = path{failures: r.paths[host].failures + 1, retryAt: now.Add(d)}
}

// doubtful reports whether the way to a host failed a short while ago.
func (r *reports) doubtful(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.paths[host]
	return ok && now.Before(p.retryAt)
}

// absentFor is how long a target is passed over that its gate said is leaving
// or not there; by then the hosts' rows tell.
const absentFor = 1500 * time.Millisecond

// setAbsent records that a target gets nothing from its gate.
func (r *reports) setAbsent(target string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.absent[target] = now.Add(absentFor)
}

// isAbsent reports whether a target gets nothing from its gate.
func (r *reports) isAbsent(target string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.absent[target]
	if ok && now.After(until) {
		delete(r.absent, target)
		return false
	}
	return ok
}

// keep drops the reports on targets that are no longer there.
func (r *reports) keep(known func(target string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t := range r.byTarget {
		if !known(t) {
			delete(r.byTarget, t)
		}
	}
}
