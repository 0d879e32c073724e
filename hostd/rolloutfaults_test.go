package hostd

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/rollout"
)

// awaitExposure waits until the new version has received requests.
func (r *rolloutFleet) awaitExposure() {
	r.t.Helper()
	r.await("requests at the new version", func() bool { return r.exposed() > 5 })
}

func (r *rolloutFleet) host(name string) *testHostd {
	for _, h := range r.hosts {
		if h.settings.Host == name {
			return h
		}
	}
	r.t.Fatalf("no host %q", name)
	return nil
}

// kill ends a host without a planned stop.
func (r *rolloutFleet) kill(h *testHostd) {
	h.settings.Bounds.ShutdownGracePeriod = 0
	h.cancel()
	<-h.done
}

// restart starts a killed host again.
func (r *rolloutFleet) restart(h *testHostd) {
	h.settings.Bounds.ShutdownGracePeriod = 6 * time.Second
	again := r.start(h.settings, h.target)
	for i := range r.hosts {
		if r.hosts[i] == h {
			r.hosts[i] = again
		}
	}
}

// checkCompleted checks that a roll-out is completed in time and leaves the old targets
// without requests.
func (r *rolloutFleet) checkCompleted(limit time.Duration) {
	r.t.Helper()
	r.awaitStatus(karpithaz.RolloutCompleted, limit)
	old := r.runsOfVersion("v1")
	time.Sleep(time.Second)
	assert.Equal(r.t, r.runsOfVersion("v1"), old, "requests at old targets after the completion")
}

// TestRolloutSurvivesItsHolder guards against a roll-out that ends with the process that
// controls it, or that is controlled by two.
func TestRolloutSurvivesItsHolder(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(14, nil)
	r.awaitExposure()
	first := r.state()
	r.freeze(first.Holder) // silent, as if it had been killed
	r.checkCompleted(14 * time.Second)
	s := r.state()
	assert.Assert(t, s.Holder != first.Holder && s.Term == first.Term+1, "holder %s, term %d", s.Holder, s.Term)
	assert.Assert(t, s.Charged >= first.Charged, "%d charged after %d", s.Charged, first.Charged)
}

// TestPausedHolderGrantsNothing guards against a holder that goes on after a pause
// longer than its lease, when another one has taken over.
func TestPausedHolderGrantsNothing(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(16, nil)
	r.awaitExposure()
	first := r.state()
	r.freeze(first.Holder)
	r.await("another holder", func() bool { return r.state().Holder != first.Holder })
	paused := r.host(first.Holder)
	paused.rollouts.mu.Lock()
	if l := paused.rollouts.lease; l != nil {
		assert.Assert(t, !l.valid(bootNow()), "the lease of the paused holder is valid")
	}
	paused.rollouts.mu.Unlock()
	r.thaw(first.Holder)
	r.await("the lease is given up", func() bool { return !paused.rollouts.holding() })
	r.checkCompleted(16 * time.Second)
	assert.Assert(t, r.state().Holder != first.Holder)
}

// TestHolderCutFromTheStoreIsReplaced guards against grants by a holder that can no
// longer write its row.
func TestHolderCutFromTheStoreIsReplaced(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(16, nil)
	r.awaitExposure()
	first := r.state()
	r.store.SetHostFault(r.host(first.Holder).settings.IP, standin.ModeSilent)
	r.await("another holder", func() bool { return r.state().Holder != first.Holder })
	r.checkCompleted(16 * time.Second)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestRolloutGoesOnAfterAnOutageOfTheStore guards against callers refused, and against a
// roll-out that is given up, while the store is away for some seconds.
func TestRolloutGoesOnAfterAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(16, nil)
	r.awaitExposure()
	r.store.SetFault(standin.Fault{Mode: standin.ModeDown})
	time.Sleep(3 * time.Second)
	r.store.SetFault(standin.Fault{Mode: standin.ModeOK})
	r.checkCompleted(16 * time.Second)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// lossyStore applies the write that completes a roll-out and loses its reply, once. The
// next reads fail as well.
type lossyStore struct {
	store
	lost *atomic.Int64
}

// readsLost is the number of reads that fail after the lost reply.
const readsLost = 2

func (s lossyStore) Commit(ctx context.Context, tx karpithaz.Tx, timeout time.Duration) (karpithaz.RowsResponse, error) {
	resp, err := s.store.Commit(ctx, tx, timeout)
	for _, row := range tx.Put {
		if row.Table == karpithaz.StatusTable && strings.Contains(string(row.Value), karpithaz.RolloutCompleted) && s.lost.CompareAndSwap(0, 1) {
			return karpithaz.RowsResponse{}, &platform.Error{Kind: platform.KindUncertain, Op: "commit"}
		}
	}
	return resp, err
}

func (s lossyStore) Range(ctx context.Context, table, part string, timeout time.Duration) (karpithaz.RowsResponse, error) {
	if n := s.lost.Load(); n > 0 && n <= readsLost && s.lost.CompareAndSwap(n, n+1) {
		return karpithaz.RowsResponse{}, &platform.Error{Kind: platform.KindUnavailable, Op: "read"}
	}
	return s.store.Range(ctx, table, part, timeout)
}

// TestLostReplyOfTheFinalWrite guards against a completed roll-out that hosts do not know
// to be completed, or that is rolled back.
func TestLostReplyOfTheFinalWrite(t *testing.T) {
	t.Parallel()
	var lost atomic.Int64
	r := newRolloutFleet(t, func(f *testFleet) {
		f.rolloutStore = func(s store) store { return lossyStore{s, &lost} }
	})
	r.startLoad(r.hosts...)
	r.order(10, nil)
	r.awaitStatus(karpithaz.RolloutCompleted, 10*time.Second)
	r.await("all hosts know the completion", func() bool {
		for _, h := range r.hosts {
			if d, known := h.rollouts.gateDirective(); !known || d.Phase != rollout.Completed {
				return false
			}
		}
		return true
	})
	assert.Assert(t, lost.Load() > readsLost, "%d replies lost", lost.Load())
	assert.Equal(t, r.status(), karpithaz.RolloutCompleted)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestGateCutFromTheHolderRefuses guards against exposure that the holder cannot end:
// the allowance of a gate without an answer expires.
func TestGateCutFromTheHolderRefuses(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts[:2]...)
	r.order(14, nil)
	r.awaitExposure()
	var cut *testHostd
	for _, h := range r.hosts {
		if len(h.target.Runs()) > 0 && h.target.Version == "v2" && h.settings.Host != r.state().Holder {
			cut = h
		}
	}
	cut.unreachable.Store(true)
	time.Sleep(rollout.AllowanceTTL + 300*time.Millisecond)
	runs := len(cut.target.Runs())
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, len(cut.target.Runs()), runs, "requests after the expiry of the allowance")
	assert.Equal(t, r.state().Phase, rollout.Canary)
	cut.unreachable.Store(false)
	r.checkCompleted(14 * time.Second)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestRolloutSurvivesARestartOfAllHosts guards against a roll-out whose state is lost
// when all hosts are killed at the same moment.
func TestRolloutSurvivesARestartOfAllHosts(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(14, nil)
	r.awaitExposure()
	r.stopLoad()
	r.stop.Store(false)
	for _, h := range r.hosts {
		r.kill(h)
	}
	before := r.state()
	time.Sleep(time.Second)
	for _, h := range append([]*testHostd(nil), r.hosts...) {
		r.restart(h)
	}
	back := time.Now()
	r.await("the roll-out goes on", func() bool { return r.state().Term > before.Term })
	took := time.Since(back)
	assert.Assert(t, took < 1500*time.Millisecond, "the roll-out goes on after %s", took)
	t.Logf("the roll-out goes on %s after the return, %s after the order", took, time.Since(r.orderedAt))
	r.startLoad(r.hosts...)
	r.checkCompleted(14 * time.Second)
	s := r.state()
	assert.Assert(t, s.Total >= before.Total && s.Charged >= before.Charged)
}

// TestWithdrawnTargetsStayWithdrawnOverARestart guards against an old target that serves
// again after its gate has confirmed that it refuses.
func TestWithdrawnTargetsStayWithdrawnOverARestart(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(8, nil)
	r.awaitStatus(karpithaz.RolloutCompleted, 8*time.Second)
	old := r.hosts[0]
	runs := len(old.target.Runs())
	r.kill(old)
	r.restart(old)
	time.Sleep(2 * time.Second)
	r.stopLoad()
	assert.Equal(t, len(old.target.Runs()), runs)
}

// TestRolloutThroughARestartAndAnOutage plays a day on which a roll-out was missed: all
// hosts are killed at half of the time, the store is away around the deadline, and the old
// hosts are stopped as soon as the roll-out is completed.
func TestRolloutThroughARestartAndAnOutage(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(16, nil)
	at := func(d time.Duration) { time.Sleep(d - time.Since(r.orderedAt)) }
	at(8 * time.Second)
	r.stopLoad()
	r.stop.Store(false)
	for _, h := range r.hosts {
		r.kill(h)
	}
	time.Sleep(time.Second)
	for _, h := range append([]*testHostd(nil), r.hosts...) {
		r.restart(h)
	}
	r.await("the roll-out goes on", func() bool { return r.state().Term > 1 })
	r.startLoad(r.hosts[rolloutHosts:]...)
	outage := time.AfterFunc(13100*time.Millisecond-time.Since(r.orderedAt), func() { r.store.SetFault(standin.Fault{Mode: standin.ModeDown}) })
	defer outage.Stop()
	r.awaitStatus(karpithaz.RolloutCompleted, 16*time.Second)
	for _, h := range r.hosts[:rolloutHosts] {
		r.kill(h)
		h.target.Close()
	}
	time.Sleep(2 * time.Second)
	r.stopLoad()
	assert.Equal(t, r.refused.Load(), int64(0))
}
