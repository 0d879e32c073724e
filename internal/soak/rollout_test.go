package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// rolloutWithin is the time to the deadline of a roll-out.
const rolloutWithin = 20 * time.Second

// rolloutHolder returns the host that holds the roll-out, or nil.
func (r *run) rolloutHolder() *host {
	row, ok := r.f.store.Row("rollouts", "svc")
	var s struct{ Holder string }
	if !ok || json.Unmarshal(row.Value, &s) != nil {
		return nil
	}
	for _, h := range r.f.hosts {
		if h.set.Host == s.Holder {
			return h
		}
	}
	return nil
}

func (r *run) rolloutState() string {
	row, _ := r.f.store.Row(karpithaz.StatusTable, karpithaz.RolloutKey("svc"))
	var s struct{ State string }
	if json.Unmarshal(row.Value, &s) != nil {
		return ""
	}
	return s.State
}

func (r *run) runsOfVersion(version string) int {
	n := 0
	for _, h := range r.f.hosts {
		if h.version == version {
			n += len(h.currentTarget().Runs())
		}
	}
	return n
}

// A roll-out is completed although its holder is suspended past its lease and the next
// one is killed. No order runs twice, and no request reaches an old target after the completion.
func TestRolloutOutlivesTwoHolders(t *testing.T) {
	t.Parallel()
	r := &run{f: newFleet(t, rolloutSeed, 4, func(f *fleet) { f.rollouts = true }), key: firstKey, startedAt: time.Now()}
	done := make(chan struct{})
	var background sync.WaitGroup
	for _, h := range r.f.hosts {
		background.Go(func() { h.announceTarget(done) })
	}
	t.Cleanup(func() {
		if t.Failed() {
			r.saveLogs(t, rolloutSeed)
		}
	})
	r.awaitService(t, "at the start")
	ordered := time.Now()
	r.f.store.Put(karpithaz.OperatorTable, karpithaz.RolloutKey("svc"),
		fmt.Appendf(nil, `{"service":"svc","target":"v2","durationS":%g}`, rolloutWithin.Seconds()))
	for range 4 {
		h := r.f.newHost(len(r.f.hosts)+1, "v2")
		r.f.hosts = append(r.f.hosts, h)
		background.Go(func() { h.announceTarget(done) })
	}
	var attempts []string
	var mu sync.Mutex
	for i, h := range r.f.hosts {
		background.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("rollout-%d-%d", i, n)
				mu.Lock()
				attempts = append(attempts, id)
				mu.Unlock()
				r.order(h, id, "/order/1", firstKey, time.Second) //nolint:errcheck // only its runs matter
				select {
				case <-done:
					return
				case <-time.After(80 * time.Millisecond):
				}
			}
		})
	}
	await(t, "requests at the new version", func() bool { return r.runsOfVersion("v2") > 3 })
	first := r.rolloutHolder()
	first.signal(syscall.SIGSTOP)
	await(t, "a second holder", func() bool { h := r.rolloutHolder(); return h != nil && h != first })
	first.signal(syscall.SIGCONT)
	second := r.rolloutHolder()
	second.restart()
	for r.rolloutState() != karpithaz.RolloutCompleted && time.Since(ordered) < rolloutWithin {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, r.rolloutState(), karpithaz.RolloutCompleted)
	t.Logf("completed after %s; first holder %s, second %s, last %s", time.Since(ordered), first.set.Host, second.set.Host, r.rolloutHolder().set.Host)
	old := r.runsOfVersion("v1")
	time.Sleep(time.Second)
	close(done)
	background.Wait()
	assert.Equal(t, r.runsOfVersion("v1"), old, "orders at old targets after the completion")
	for _, id := range attempts {
		assert.Assert(t, r.runsOf(id) <= 1, "order %s ran %d times", id, r.runsOf(id))
	}
}
