package ingress

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// epochMaxAge is how long a cached epoch of a gate is used without requesting it
// again. Gates accept several generations, and an epoch that is too old only
// causes a refusal.
const epochMaxAge = time.Minute

// epochCache caches the last known epoch of each host's gate.
type epochCache struct{ byHost sync.Map }

type knownEpoch struct {
	epoch wire.Epoch
	at    time.Time
}

func (c *epochCache) set(host string, e wire.Epoch, now time.Time) {
	if e.Incarnation != 0 {
		c.byHost.Store(host, knownEpoch{e, now})
	}
}

// get returns the last known epoch and whether it is younger than epochMaxAge.
func (c *epochCache) get(host string, now time.Time) (wire.Epoch, bool) {
	v, ok := c.byHost.Load(host)
	if !ok {
		return wire.Epoch{}, false
	}
	k := v.(knownEpoch)
	return k.epoch, now.Sub(k.at) < epochMaxAge
}

// budgets holds the retry budget of each service.
type budgets struct{ byService sync.Map }

func (b *budgets) forService(service string) *retry.Budget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*retry.Budget)
	}
	v, _ := b.byService.LoadOrStore(service, retry.NewBudget(0, 0))
	return v.(*retry.Budget)
}
