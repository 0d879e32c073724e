package soak

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// drillSeeds is the first seed whose runs also restore the store from an older copy.
	// The schedules of earlier seeds stay as they were when they failed.
	drillSeeds = 2000
	// drillShare is the share of the faults that a drill follows.
	drillShare = 0.12
	// copyInterval is the time between copies of the store; a restored one is between one
	// and two intervals old, or older if there were few faults.
	copyInterval = 1500 * time.Millisecond
	// drillAway is how long the store is away before it comes back, and drillRewrite how
	// long after that the operators write again what it has lost.
	drillAway    = 300 * time.Millisecond
	drillRewrite = 400 * time.Millisecond
)

// storeCopies are the two latest copies of the store.
type storeCopies struct {
	latest, older *standin.Copy
	at            time.Time
}

func (c *storeCopies) take(p *standin.Platform) {
	if c.latest == nil || time.Since(c.at) >= copyInterval {
		c.latest, c.older, c.at = p.Copy(), c.latest, time.Now()
	}
}

// drill restores the store from an older copy after some of the faults. The operators
// then write the latest configuration again.
func (r *run) drill(n int, copies *storeCopies) {
	if r.seed < drillSeeds {
		return
	}
	copies.take(r.f.store)
	rnd := rand.New(rand.NewPCG(r.seed, uint64(n)<<32))
	if copies.older == nil || rnd.Float64() >= drillShare {
		return
	}
	r.recordEvent("store restored from an older copy")
	r.f.store.SetHostFault("", standin.ModeDown)
	time.Sleep(drillAway)
	r.f.store.Restore(copies.older)
	*copies = storeCopies{}
	r.f.store.SetHostFault("", standin.ModeOK)
	delete(r.impaired, "")
	time.Sleep(drillRewrite)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.configure(r.f.revision, r.key)
}
