package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// emptiedSeeds is the first seed whose runs also empty the list of workspaces for a
	// while. The schedules of earlier seeds stay as they were when they failed.
	emptiedSeeds = 50000
	// emptiedFrom bounds when the list is emptied, and emptiedFor is for how long: the
	// keys of it must have ended before it is given back.
	emptiedFrom = 2500 * time.Millisecond
	emptiedFor  = revokeWithin + 2500*time.Millisecond
	// unissuedKey is the key of calls that must never run.
	unissuedKey = "key-never-issued"
	// unissuedEvery is the time between such calls to one host.
	unissuedEvery = 150 * time.Millisecond
)

// emptyList empties the list of workspaces once in a run, and gives it back later.
func (r *run) emptyList(n int) {
	if r.seed < emptiedSeeds {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rnd := rand.New(rand.NewPCG(r.seed, 50))
	due := time.Duration(rnd.Int64N(int64(emptiedFrom)))
	switch {
	case n <= r.f.revision: // this fault has changed the configuration
	case r.emptiedAt.IsZero() && time.Since(r.startedAt) >= due:
		r.f.listEmptied = true
		r.f.configure(n, r.key)
		r.emptiedAt = time.Now()
		r.recordEvent("list of workspaces emptied")
	case r.f.listEmptied && time.Since(r.emptiedAt) >= emptiedFor:
		r.giveListBack(n)
	}
}

// giveListBack ends what emptyList has done. r.mu must be held.
func (r *run) giveListBack(revision int) {
	if !r.f.listEmptied {
		return
	}
	r.recordEvent("list of workspaces given back")
	r.f.listEmptied, r.givenBackAt = false, time.Now()
	r.f.configure(revision, r.key)
}

// sendUnissued sends orders with a key that was never issued, and reads without any, to one
// host until done is closed.
func (r *run) sendUnissued(h *host, done <-chan struct{}) {
	for i := 0; r.seed >= emptiedSeeds; i++ {
		c := call{Call: standin.Call{Attempt: fmt.Sprintf("unissued-%s-%d", h.set.Host, i), Method: "POST", Host: shopHost,
			URI: "/order/1", Key: unissuedKey, Timeout: time.Second}}
		if i%2 == 1 {
			c.Method, c.URI, c.Key = "GET", "/read/1", ""
		}
		c.sent = time.Now()
		c.result, c.err = c.Do(h.set.CallerListen)
		c.ended = time.Now()
		r.mu.Lock()
		r.calls = append(r.calls, c)
		r.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(unissuedEvery):
		}
	}
}

// checkKeyless checks a call that no configuration allows: without a key, with one that was
// never issued, or with one of the list while that was empty.
func (r *run) checkKeyless(t *testing.T, c call, runs int) {
	if runs == 0 {
		return
	}
	if c.Key == "" || c.Key == unissuedKey {
		t.Errorf("call %s ran with the key %q, which was never issued", c.Attempt, c.Key)
	}
	// A call that ends after the list was given back may have arrived after that.
	if !r.emptiedAt.IsZero() && c.sent.After(r.emptiedAt.Add(revokeWithin)) && c.ended.Before(r.givenBackAt) {
		t.Errorf("call %s was sent %s after the list of workspaces was emptied and ran", c.Attempt, c.sent.Sub(r.emptiedAt))
	}
}
