package balance

import (
	"sync"
	"time"
)

// Bounds of the backoff after a failed connection to a host.
const (
	backoffInitial = 1 * time.Second
	backoffMax     = 30 * time.Second
)

// HostBackoff keeps an exponential backoff for each host that this ingress
// failed to reach. It is local and does not eject the host's targets, since
// other ingresses may still reach them. A backoff expires by itself; if the
// first attempt afterwards fails as well, the next one is twice as long. The
// zero value is ready to use. It is safe for concurrent use.
type HostBackoff struct {
	mu    sync.Mutex
	hosts map[string]hostState
}

type hostState struct {
	until    time.Time
	interval time.Duration
}

// RecordFailure records a failed attempt to reach host.
func (b *HostBackoff) RecordFailure(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hosts == nil {
		b.hosts = make(map[string]hostState)
	}
	prev, known := b.hosts[host]
	if known && now.Before(prev.until) {
		return // the attempt started before the current backoff
	}
	interval := backoffInitial
	if known {
		interval = min(2*prev.interval, backoffMax)
	}
	b.hosts[host] = hostState{until: now.Add(interval), interval: interval}
}

// RecordSuccess records that host was reached and ends its backoff.
func (b *HostBackoff) RecordSuccess(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.hosts, host)
}

// Active reports whether host is in backoff. After the backoff has expired, the
// first request that is sent to the host probes it; claimProbe extends the
// backoff of the others by backoffInitial while its outcome is pending.
func (b *HostBackoff) Active(now time.Time, host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.hosts[host]
	if !ok {
		return false
	}
	return now.Before(state.until)
}

// claimProbe makes the caller the only one that probes a host whose backoff has
// expired.
func (b *HostBackoff) claimProbe(now time.Time, host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.hosts[host]
	if !ok {
		return
	}
	state.until = now.Add(backoffInitial)
	b.hosts[host] = state
}

// Len returns the number of hosts with a recorded backoff.
func (b *HostBackoff) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.hosts)
}
