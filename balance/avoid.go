package balance

import (
	"sync"
	"time"
)

// The bounds of local avoidance.
const (
	avoidFirst = 1 * time.Second
	avoidMax   = 30 * time.Second
)

// Avoid remembers hosts that this ingress cannot reach. It ejects nobody: other
// ingresses may reach them well. Each avoidance ends by itself; a failure soon
// after doubles the next one. The zero value is ready; it is safe for
// concurrent use.
type Avoid struct {
	mu    sync.Mutex
	hosts map[string]avoidance
}

type avoidance struct {
	until time.Time
	span  time.Duration
}

// Failed records that the path to host failed.
func (a *Avoid) Failed(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = make(map[string]avoidance)
	}
	old, known := a.hosts[host]
	if known && now.Before(old.until) {
		return // an attempt that began before the avoidance
	}
	span := avoidFirst
	if known {
		span = min(2*old.span, avoidMax)
	}
	a.hosts[host] = avoidance{until: now.Add(span), span: span}
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
	av, ok := a.hosts[host]
	if !ok {
		return false
	}
	return now.Before(av.until)
}

// claim makes the caller the one that tries a host whose avoidance expired.
func (a *Avoid) claim(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	av, ok := a.hosts[host]
	if !ok {
		return
	}
	av.until = now.Add(avoidFirst)
	a.hosts[host] = av
}

// Len returns how many hosts are remembered.
func (a *Avoid) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.hosts)
}
