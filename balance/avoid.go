package balance

import (
	"sync"
	"time"
)

// The bounds of local avoidance.
const (
	backoffInitial = 1 * time.Second
	backoffMax     = 30 * time.Second
)

// Avoid remembers hosts that this ingress cannot reach. It ejects nobody: other
// ingresses may reach them well. Each avoidance ends by itself; a failure soon
// after doubles the next one. The zero value is ready; it is safe for
// concurrent use.
type Avoid struct {
	mu    sync.Mutex
	hosts map[string]backoff
}

type backoff struct {
	until    time.Time
	interval time.Duration
}

// Failed records that the path to host failed.
func (a *Avoid) Failed(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = make(map[string]backoff)
	}
	prev, known := a.hosts[host]
	if known && now.Before(prev.until) {
		return // an attempt that began before the avoidance
	}
	interval := backoffInitial
	if known {
		interval = min(2*prev.interval, backoffMax)
	}
	a.hosts[host] = backoff{until: now.Add(interval), interval: interval}
}

// Reached records that the path to host works.
func (a *Avoid) Reached(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, host)
}

// Avoided reports whether host is to be avoided now. When an avoidance has
// expired, one caller gets false and so tries the host; the others wait for
// its outcome for another avoidFirst.
func (a *Avoid) Avoided(now time.Time, host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.hosts[host]
	if !ok {
		return false
	}
	return now.Before(b.until)
}

// claimProbe makes the caller the one that tries a host whose avoidance expired.
func (a *Avoid) claimProbe(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.hosts[host]
	if !ok {
		return
	}
	b.until = now.Add(backoffInitial)
	a.hosts[host] = b
}

// Len returns how many hosts are remembered.
func (a *Avoid) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.hosts)
}
