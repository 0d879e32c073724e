package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/slowlink"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
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
)

// configureLarge writes a document with many routes, of which one is for a probe of its
// revision.
func (f *fleet) configureLarge(revision, routes int) {
	f.revision = revision
	list := []standin.Route{{Name: "probe", Host: shopHost, Prefix: fmt.Sprintf("/probe-%d/", revision), Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: time.Second, AuthExempt: true}}
	for i := range routes {
		list = append(list, standin.Route{Name: fmt.Sprintf("route-%x", i*7919), Host: fmt.Sprintf("h%x.example", i*104729%65537), Prefix: fmt.Sprintf("/p%x/%x/", i*31, i%256),
			Kind: "idempotent", Service: "svc", Timeout: 8 * time.Second, Objective: 3 * time.Second})
	}
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfig(revision, []string{"svc"}, list, []standin.Workspace{{Name: "ws", Key: firstKey}}))
}

// inForce returns after which time each host has served the probe of a revision.
func (f *fleet) inForce(revision int) []time.Duration {
	begun := time.Now()
	out := make([]time.Duration, len(f.hosts))
	var wg sync.WaitGroup
	for i, h := range f.hosts {
		wg.Go(func() {
			for n := 0; ; n++ {
				c := standin.Call{Attempt: fmt.Sprintf("probe-%s-%d-%d", h.set.Host, revision, n), Method: "GET", Host: shopHost, URI: fmt.Sprintf("/probe-%d/x", revision), Timeout: time.Second}
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
	f.configureLarge(2, 20)
	f.inForce(2)
	f.configureLarge(3, largeRoutes-1400)
	f.inForce(3) // as many routes at once are not what the page bounds
	for revision := 4; revision < 9; revision++ {
		time.Sleep(time.Second)
		f.configureLarge(revision, largeRoutes)
		took := f.inForce(revision)
		t.Logf("revision %d: %s", revision, took)
		for i, d := range took {
			assert.Check(t, d <= applyWithin, "revision %d is in force at %s after %s", revision, f.hosts[i].set.Host, d)
		}
	}
}
