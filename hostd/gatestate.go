package hostd

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

// gateStates holds the latest reports of gates and which gates are unreachable.
type gateStates struct {
	mu       sync.Mutex
	byTarget map[string]placing.Report
	gates    map[string]reachability
	// incarnations are those of the hosts' gates, and contacts when they last replied.
	incarnations map[string]int64
	contacts     map[string]time.Time
	// unavailable holds the targets that their gates refuse to serve, with the
	// time at which the entry expires.
	unavailable map[string]time.Time
}

// reachability is the state of the connection to a host's gate.
type reachability struct {
	failures int
	retryAt  time.Time
}

// Bounds of the back-off from an unreachable gate, which doubles with each
// consecutive failure.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

func newGateStates() *gateStates {
	return &gateStates{byTarget: map[string]placing.Report{}, gates: map[string]reachability{}, unavailable: map[string]time.Time{}, incarnations: map[string]int64{}, contacts: map[string]time.Time{}}
}

func (s *gateStates) set(target string, rep placing.Report) {
	if rep.ReceivedAt.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTarget[target] = rep
}

// setIncarnation records the incarnation of a host's gate.
func (s *gateStates) setIncarnation(host string, incarnation int64) {
	if incarnation == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[host] = incarnation
}

// incarnation returns the last known incarnation of a host's gate, or 0.
func (s *gateStates) incarnation(host string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[host]
}

func (s *gateStates) get(target string) placing.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byTarget[target]
}

// recordSuccess records that a host's gate has answered.
func (s *gateStates) recordSuccess(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.gates, host)
	s.contacts[host] = time.Now()
}

// recordContact records that a host has answered a query. Its gate may yet be slow.
func (s *gateStates) recordContact(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts[host] = now
}

// contact returns when a host's gate last replied.
func (s *gateStates) contact(host string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacts[host]
}

// recordFailure records that a host could not be reached or that a request sent
// to it was superseded by another attempt.
func (s *gateStates) recordFailure(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.gates[host]
	p.retryAt = now.Add(min(minBackoff<<min(p.failures, 8), maxBackoff))
	p.failures++
	s.gates[host] = p
}

// backOff records that a host did not answer and is to be avoided for d.
func (s *gateStates) backOff(host string, now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates[host] = reachability{failures: s.gates[host].failures + 1, retryAt: now.Add(d)}
}

// backingOff reports whether a host is avoided after a recent failure.
func (s *gateStates) backingOff(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.gates[host]
	return ok && now.Before(p.retryAt)
}

// unavailableFor is how long a target is avoided after its gate reported it as
// leaving or unknown. By then the hosts table reflects the change.
const unavailableFor = 1500 * time.Millisecond

// setUnavailable records that a gate refuses to serve its target.
func (s *gateStates) setUnavailable(target string, now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[target] = now.Add(d)
}

// isUnavailable reports whether a gate recently refused to serve its target.
func (s *gateStates) isUnavailable(target string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.unavailable[target]
	if ok && now.After(until) {
		delete(s.unavailable, target)
		return false
	}
	return ok
}

// prune drops the reports on targets that no longer exist.
func (s *gateStates) prune(known func(target string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.byTarget {
		if !known(t) {
			delete(s.byTarget, t)
		}
	}
}
