package fairqueue

import (
	"math"
	"time"
)

const (
	// usageDecay is the time in which past use loses all but 1/e of its weight.
	usageDecay = 10 * time.Second
	// usageForgotten is the use, in seconds, that is too little to remember.
	usageForgotten = 1e-3
	// minAccounts is how many accounts are kept before old ones are looked for.
	minAccounts = 64
)

// account is what one workspace has of the target's time.
type account struct {
	serving int
	// used is the decayed time of ended requests in seconds, as of at.
	used float64
	at   time.Time
}

func (a *account) usedBy(now time.Time) float64 {
	if a == nil {
		return 0
	}
	age := now.Sub(a.at).Seconds() / usageDecay.Seconds()
	return a.used * math.Exp(-max(age, 0))
}

func (a *account) end(now time.Time, held time.Duration) {
	a.used = a.usedBy(now) + max(held, 0).Seconds()
	a.at = now
	a.serving = max(a.serving-1, 0)
}

// accounts maps workspaces to what they have. Its size is bounded by the
// workspaces being served and those that were lately.
type accounts map[string]*account

func (as accounts) of(workspace string, now time.Time) *account {
	a := as[workspace]
	if a == nil {
		as.forget(now)
		a = &account{at: now}
		as[workspace] = a
	}
	return a
}

// forget drops accounts that no longer matter once there are many; each call
// looks at all of them, and they double in number between two calls at most.
func (as accounts) forget(now time.Time) {
	if len(as) < minAccounts || len(as)&(len(as)-1) != 0 {
		return
	}
	for name, a := range as {
		if a.serving == 0 && a.usedBy(now) < usageForgotten {
			delete(as, name)
		}
	}
}
