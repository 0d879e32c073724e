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

func (a *usage) decayed(now time.Time) float64 {
	if a == nil {
		return 0
	}
	age := now.Sub(a.updatedAt).Seconds() / usageDecayTime.Seconds()
	return a.servedSeconds * math.Exp(-max(age, 0))
}

func (a *usage) end(now time.Time, held time.Duration) {
	a.servedSeconds = a.decayed(now) + max(held, 0).Seconds()
	a.updatedAt = now
	a.inService = max(a.inService-1, 0)
}

// usageByWorkspace maps workspaces to their usage. Its size is bounded by the
// number of workspaces that have requests in service or had some recently.
type usageByWorkspace map[string]*usage

func (as usageByWorkspace) of(workspace string, now time.Time) *usage {
	a := as[workspace]
	if a == nil {
		as.prune(now)
		a = &usage{updatedAt: now}
		as[workspace] = a
	}
	return a
}

// prune deletes negligible entries once there are many. It scans all entries, but
// only when their number is a power of two.
func (as usageByWorkspace) prune(now time.Time) {
	if len(as) < minPruneSize || len(as)&(len(as)-1) != 0 {
		return
	}
	for name, a := range as {
		if a.inService == 0 && a.decayed(now) < negligibleUsage {
			delete(as, name)
		}
	}
}
