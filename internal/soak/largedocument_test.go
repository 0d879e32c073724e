package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/slowlink"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// largeRoutes is the size of the document that the users plan for, and applyWithin how long
	// a change of it may take on slow links, by their page.
	largeRoutes = 8000
	applyWithin = 2500 * time.Millisecond
	// largeHosts is the number of daemons, and largeWait how long a change is waited for.
	largeHosts = 16
	largeWait  = 12 * time.Second
	probeEvery = 20 * time.Millisecond
	// probePrefix is that of probes' attempts.
	probePrefix = "probe-"
)

// manyRoutes returns routes that no caller uses.
func manyRoutes(n int) []standin.Route {
	var list []standin.Route
	for i := range n {
		list = append(list, standin.Route{Name: fmt.Sprintf("route-%x", i*7919), Host: fmt.Sprintf("h%x.example", i*104729%65537), Prefix: fmt.Sprintf("/p%x/%x/", i*31, i%256),
			Kind: "idempotent", Service: "svc", Timeout: 8 * time.Second, Objective: 3 * time.Second})
	}
	return list
}

// largeSeeds is the first seed whose runs have a large document and slow links.
const largeSeeds = 60000

// largeDocument returns an option of the fleet of a seed.
func largeDocument(seed uint64) func(*fleet) {
	return func(f *fleet) {
		if seed >= largeSeeds {
			f.linkRate, f.useFabric, f.moreRoutes = slowlink.TenMegabit, false, manyRoutes(largeRoutes)
		}
	}
}

// configureProbe writes a document with a route for the probe of its revision.
func (f *fleet) configureProbe(revision int, key string, more []standin.Route) {
	former := f.moreRoutes
	f.moreRoutes = append([]standin.Route{{Name: "probe", Host: shopHost, Prefix: fmt.Sprintf("/probe-%d/", revision), Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: time.Second, AuthExempt: true}}, more...)
	f.configure(revision, key)
	f.moreRoutes = former
}

// checkChangesInTime checks after the faults that changes in series are in force in time, in runs
// with a large document.
func (r *run) checkChangesInTime(t *testing.T) {
	if r.seed < largeSeeds {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 3 {
		revision := r.f.revision + 1
		r.f.configureProbe(revision, r.key, r.f.moreRoutes)
		for i, d := range r.f.inForce(revision) {
			if d > applyWithin {
				t.Errorf("revision %d is in force at %s after %s", revision, r.f.hosts[i].set.Host, d)
			}
		}
	}
}

// inForce returns after which time each host has served the probe of a revision.
func (f *fleet) inForce(revision int) []time.Duration {
	begun := time.Now()
	out := make([]time.Duration, len(f.hosts))
	var wg sync.WaitGroup
	for i, h := range f.hosts {
		wg.Go(func() {
			for n := 0; ; n++ {
				c := standin.Call{Attempt: fmt.Sprintf(probePrefix+"%s-%d-%d", h.set.Host, revision, n), Method: "GET", Host: shopHost, URI: fmt.Sprintf("/probe-%d/x", revision), Timeout: time.Second}
				r, err := c.Do(h.set.CallerListen)
				out[i] = time.Since(begun)
				if err == nil && r.Status == 200 || out[i] > largeWait {
					return
				}
				time.Sleep(probeEvery)
			}
		})
	}
	wg.Wait()
	return out
}

// Guards against changes that are late at some hosts, or never reach them, as the document is
// large and links are slow.
func TestLargeDocumentOverSlowLinks(t *testing.T) {
	f := newFleet(t, 190, largeHosts, func(f *fleet) { f.linkRate, f.useFabric = slowlink.TenMegabit, false })
	done := make(chan struct{})
	defer close(done)
	for _, h := range f.hosts {
		go h.announceTarget(done)
	}
	f.configureProbe(2, firstKey, nil)
	f.inForce(2)
	f.configureProbe(3, firstKey, manyRoutes(largeRoutes-1400))
	f.inForce(3) // as many routes at once are not what the page bounds
	for revision := 4; revision < 9; revision++ {
		time.Sleep(time.Second)
		f.configureProbe(revision, firstKey, manyRoutes(largeRoutes))
		took := f.inForce(revision)
		t.Logf("revision %d: %s", revision, took)
		for i, d := range took {
			assert.Check(t, d <= applyWithin, "revision %d is in force at %s after %s", revision, f.hosts[i].set.Host, d)
		}
	}
}
