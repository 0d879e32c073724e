package fairqueue

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time in which past service time decays to 1/e.
	usageDecayTime = 10 * time.Second
	// negligibleUsage is the service time, in seconds, below which an entry is
	// pruned.
	negligibleUsage = 1e-3
	// minPruneSize is the number of entries from which on old ones are pruned.
	minPruneSize = 64
)

// usage is the use of the target by one workspace.
type usage struct {
	inService int
	// servedSeconds is the decayed service time of completed requests in
	// seconds, as of updatedAt.
	servedSeconds float64
	updatedAt     time.Time
}

func (u *usage) decayed(now time.Time) float64 {
	if u == nil {
		return 0
	}
	age := now.Sub(u.updatedAt).Seconds() / usageDecayTime.Seconds()
	return u.servedSeconds * math.Exp(-max(age, 0))
}

func (u *usage) end(now time.Time, held time.Duration) {
	u.servedSeconds = u.decayed(now) + max(held, 0).Seconds()
	u.updatedAt = now
	u.inService = max(u.inService-1, 0)
}

// usageByWorkspace maps workspaces to their usage. Its size is bounded by the
// number of workspaces that have requests in service or had some recently.
type usageByWorkspace map[string]*usage

func (m usageByWorkspace) of(workspace string, now time.Time) *usage {
	u := m[workspace]
	if u == nil {
		m.prune(now)
		u = &usage{updatedAt: now}
		m[workspace] = u
	}
	return u
}

// prune deletes negligible entries once there are many. It scans all entries,
// but only when their number is a power of two.
func (m usageByWorkspace) prune(now time.Time) {
	if len(m) < minPruneSize || len(m)&(len(m)-1) != 0 {
		return
	}
	for name, u := range m {
		if u.inService == 0 && u.decayed(now) < negligibleUsage {
			delete(m, name)
		}
	}
}
