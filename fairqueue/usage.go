package fairqueue

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time in which past use loses all but 1/e of its weight.
	usageDecayTime = 10 * time.Second
	// negligibleUsage is the use, in seconds, that is too little to remember.
	negligibleUsage = 1e-3
	// minPruneSize is how many accounts are kept before old ones are looked for.
	minPruneSize = 64
)

// usage is what one workspace has of the target's time.
type usage struct {
	inService int
	// servedSeconds is the decayed time of ended requests in seconds, as of at.
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

// usageByWorkspace maps workspaces to what they have. Its size is bounded by the
// workspaces being served and those that were lately.
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

// prune drops accounts that no longer matter once there are many; each call
// looks at all of them, and they double in number between two calls at most.
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
