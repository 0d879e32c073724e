package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Level is the degree of suspicion against a fingerprint.
type Level int

const (
	// Clear means that the request is not suspected.
	Clear Level = iota
	// Suspected means that the request must run at a target with no other
	// request in flight.
	Suspected
	// Quarantined means that the request is refused.
	Quarantined
)

// Verdict is the result of Check.
type Verdict struct {
	Level Level
	// Until is when the verdict expires if no further event occurs.
	Until time.Time
}

// Options configures a Registry. Zero fields take the documented defaults.
type Options struct {
	// SuspicionPeriod is how long one death counts. Default 10 min.
	SuspicionPeriod time.Duration
	// QuarantinePeriod is the quarantine after DeathThreshold deaths; it
	// doubles with each further death. Default 5 min.
	QuarantinePeriod time.Duration
	// DeathThreshold is the number of deaths that lead to quarantine. Default
	// 2.
	DeathThreshold int
	// MaxEntries bounds the number of entries. The least suspected are evicted
	// first, and among those the ones with the oldest latest death. Default
	// 4,096.
	MaxEntries int
}

const (
	defaultSuspicionPeriod  = 10 * time.Minute
	defaultQuarantinePeriod = 5 * time.Minute
	defaultMaxEntries       = 4096

	defaultDeathThreshold = 2

	// clearedRetention is how long a cleared entry is kept after its last change, so
	// that a delayed record of a death that has been cleared has no effect.
	clearedRetention = time.Minute
)

// Registry holds the suspected fingerprints. It is safe for concurrent use, and
// Check is cheap while there are none.
type Registry struct {
	opts Options
	size atomic.Int64

	mu      sync.Mutex
	entries map[uint64]*trackedEntry
}

type trackedEntry struct {
	Entry
	// updatedAt is the local time of the last update, for Export.
	updatedAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) *Registry {
	opts.SuspicionPeriod = cmp.Or(opts.SuspicionPeriod, defaultSuspicionPeriod)
	opts.QuarantinePeriod = cmp.Or(opts.QuarantinePeriod, defaultQuarantinePeriod)
	opts.DeathThreshold = cmp.Or(opts.DeathThreshold, defaultDeathThreshold)
	opts.MaxEntries = cmp.Or(opts.MaxEntries, defaultMaxEntries)
	return &Registry{opts: opts, entries: map[uint64]*trackedEntry{}}
}

// OnDeath records the fingerprints that were in flight when an incarnation of a
// target died.
func (r *Registry) OnDeath(now time.Time, target string, incarnation uint64, inFlight []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	death := Death{Target: target, Incarnation: incarnation, At: now}
	for _, fp := range inFlight {
		r.join(now, Entry{Fingerprint: fp, Deaths: []Death{death}})
	}
	r.evictExcess(now)
}

// OnSuccess records that a target has served a request with the fingerprint, which clears it
// of the deaths known until now. It returns those that were not cleared before.
func (r *Registry) OnSuccess(now time.Time, fp uint64) []Death {
	if r.size.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.entries[fp]
	if !ok {
		return nil
	}
	var cleared []Death
	for _, d := range t.Deaths {
		if !d.Cleared {
			d.Cleared = true
			cleared = append(cleared, d)
		}
	}
	if len(cleared) > 0 {
		r.join(now, Entry{Fingerprint: fp, Deaths: cleared})
	}
	return cleared
}

// Check returns the verdict on a fingerprint.
func (r *Registry) Check(now time.Time, fp uint64) Verdict {
	if r.size.Load() == 0 {
		return Verdict{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.entries[fp]
	if !ok {
		return Verdict{}
	}
	return r.verdict(now, t.Entry)
}

func (r *Registry) verdict(now time.Time, e Entry) Verdict {
	n, last := e.uncleared()
	if n == 0 {
		return Verdict{}
	}
	if n >= r.opts.DeathThreshold {
		until := last.Add(r.quarantinePeriod(n))
		if now.Before(until) {
			return Verdict{Quarantined, until}
		}
	}
	until := last.Add(r.retention(n))
	if now.Before(until) {
		return Verdict{Suspected, until}
	}
	return Verdict{}
}

func (r *Registry) quarantinePeriod(deaths int) time.Duration {
	return r.opts.QuarantinePeriod << (deaths - r.opts.DeathThreshold)
}

// retention returns how long deaths count. After its quarantine a request stays
// suspected for as long as the quarantine lasted plus SuspicionPeriod; a
// further death renews this.
func (r *Registry) retention(deaths int) time.Duration {
	if deaths < r.opts.DeathThreshold {
		return r.opts.SuspicionPeriod
	}
	return 2*r.quarantinePeriod(deaths) + r.opts.SuspicionPeriod
}

// Export returns the entries updated within maxAge, latest death first and at
// most limit.
func (r *Registry) Export(now time.Time, maxAge time.Duration, limit int) []Entry {
	if r.size.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*trackedEntry
	for _, t := range r.entries {
		if now.Sub(t.updatedAt) <= maxAge {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *trackedEntry) int { return compareNewestFirst(a, b) })
	out := make([]Entry, 0, min(len(list), limit))
	for _, t := range list[:min(len(list), limit)] {
		out = append(out, t.Entry)
	}
	return out
}

// Merge joins entries received from elsewhere and returns how many of them
// added information.
func (r *Registry) Merge(now time.Time, list []Entry) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	updated := 0
	for _, e := range list {
		if r.join(now, e) {
			updated++
		}
	}
	r.evictExcess(now)
	return updated
}

// Len returns the number of fingerprints held.
func (r *Registry) Len() int { return int(r.size.Load()) }

func (r *Registry) join(now time.Time, e Entry) bool {
	t, ok := r.entries[e.Fingerprint]
	if !ok {
		t = &trackedEntry{Entry: Entry{Fingerprint: e.Fingerprint}}
	}
	joined := Join(t.Entry, e)
	if joined.Equal(t.Entry) || !ok && r.expired(now, &trackedEntry{joined, now}) {
		return false
	}
	t.Entry = joined
	t.updatedAt = now
	r.entries[e.Fingerprint] = t
	r.size.Store(int64(len(r.entries)))
	return true
}

func (r *Registry) expired(now time.Time, t *trackedEntry) bool {
	if n, last := t.uncleared(); n > 0 {
		return now.Sub(last) >= r.retention(n)
	}
	return now.Sub(t.updatedAt) >= clearedRetention
}

// Tick drops expired entries.
func (r *Registry) Tick(now time.Time) {
	if r.size.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for fp, t := range r.entries {
		if r.expired(now, t) {
			delete(r.entries, fp)
		}
	}
	r.size.Store(int64(len(r.entries)))
}

// evictExcess evicts the least important entries above MaxEntries: cleared
// before suspected, suspected before quarantined, and the oldest of each level
// first.
func (r *Registry) evictExcess(now time.Time) {
	excess := len(r.entries) - r.opts.MaxEntries
	if excess <= 0 {
		return
	}
	list := make([]*trackedEntry, 0, len(r.entries))
	for _, t := range r.entries {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *trackedEntry) int {
		if c := cmp.Compare(r.verdict(now, a.Entry).Level, r.verdict(now, b.Entry).Level); c != 0 {
			return c
		}
		return compareNewestFirst(b, a)
	})
	for _, t := range list[:excess] {
		delete(r.entries, t.Fingerprint)
	}
	r.size.Store(int64(len(r.entries)))
}

func compareNewestFirst(a, b *trackedEntry) int {
	if c := b.lastDeathAt().Compare(a.lastDeathAt()); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}
