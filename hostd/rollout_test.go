package hostd

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/rollout"
)

const (
	rolloutHosts      = 4
	maxRefusalsLogged = 5
)

// rolloutFleet is a fleet whose platform orders roll-outs, under load.
type rolloutFleet struct {
	*testFleet
	stop     atomic.Bool
	loads    atomic.Int64
	load     sync.WaitGroup
	requests atomic.Int64
	failed   atomic.Int64
	// refused counts the answers of the fleet itself.
	refused   atomic.Int64
	orderedAt time.Time
}

func newRolloutFleet(t *testing.T, options ...func(*testFleet)) *rolloutFleet {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	f := &testFleet{t: t, subnet: 1 + fleetsStarted.Add(1)%maxSubnets, store: store, routes: defaultRoutes(), workspaces: []standin.Workspace{{Name: testWorkspace, Key: testKey}}}
	f.closeStoreAfterHosts()
	f.configure(1)
	for _, set := range options {
		set(f)
	}
	r := &rolloutFleet{testFleet: f}
	for n := range rolloutHosts {
		r.addVersion(n+1, "v1")
	}
	f.await("all hosts know each other", func() bool {
		for _, h := range f.hosts {
			if v := h.control.View(); !v.Ready() || !h.control.proven() || len(v.Targets("svc")) != rolloutHosts || v.inUse["svc"] != "v1" {
				return false
			}
		}
		return true
	})
	t.Cleanup(r.stopLoad)
	return r
}

func (r *rolloutFleet) addVersion(n int, version string) *testHostd {
	set := r.settings(n)
	set.Rollouts = true
	set.Bounds.ExposureShare, set.Bounds.ExposureSlack, set.Bounds.RollbackDeadline = 0.1, 50, 5*time.Second
	target, err := standin.StartTarget(fmt.Sprintf("i-%d", n), "svc", set.TargetAddress, 4, 20*time.Millisecond)
	assert.NilError(r.t, err)
	target.Version = version
	r.t.Cleanup(target.Close)
	h := r.start(set, target)
	r.hosts = append(r.hosts, h)
	return h
}

// order writes an order and starts as many targets of the new version as there are old
// ones.
func (r *rolloutFleet) order(durationS int, prepare func(*standin.Target)) {
	r.t.Helper()
	r.orderedAt = time.Now()
	r.writeOrder("v2", durationS)
	time.Sleep(time.Second)
	for n := range rolloutHosts {
		h := r.addVersion(rolloutHosts+n+1, "v2")
		if prepare != nil {
			prepare(h.target)
		}
	}
}

func (r *rolloutFleet) writeOrder(target string, durationS int) {
	r.store.Put(karpithaz.OperatorTable, karpithaz.RolloutKey("svc"), fmt.Appendf(nil, `{"service":"svc","target":%q,"durationS":%d}`, target, durationS))
}

// startLoad sends about 100 requests a second through the ingresses of some hosts.
func (r *rolloutFleet) startLoad(through ...*testHostd) {
	load := r.loads.Add(1)
	for i := range 8 {
		r.load.Go(func() {
			for n := 0; !r.stop.Load(); n++ {
				uri, method := "/read/x", "GET"
				if n%3 == 0 {
					uri, method = "/order/x", "POST"
				}
				res, err := through[(i+n)%len(through)].call(standin.Call{Attempt: fmt.Sprintf("a-%d-%d-%d", load, i, n), Method: method, URI: uri, Key: testKey})
				r.requests.Add(1)
				if err != nil || res.Status != 200 {
					r.failed.Add(1)
				}
				if err == nil && !res.Signed && r.refused.Add(1) <= maxRefusalsLogged {
					r.t.Logf("%.2f s: refused: %d %s", time.Since(r.orderedAt).Seconds(), res.Status, res.Body)
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
}

func (r *rolloutFleet) stopLoad() {
	r.stop.Store(true)
	r.load.Wait()
}

// status returns the state that operators read.
func (r *rolloutFleet) status() string {
	row, ok := r.store.Row(karpithaz.StatusTable, karpithaz.RolloutKey("svc"))
	if !ok {
		return ""
	}
	var s struct{ State, Target string }
	assert.NilError(r.t, json.Unmarshal(row.Value, &s))
	return s.State
}

func (r *rolloutFleet) state() *rollout.State {
	row, ok := r.store.Row(rolloutsTable, "svc")
	if !ok {
		return nil
	}
	s, err := rollout.DecodeState(row.Value)
	assert.NilError(r.t, err)
	return s
}

// awaitStatus waits for a state and returns the time since the order.
func (r *rolloutFleet) awaitStatus(state string, limit time.Duration) time.Duration {
	r.t.Helper()
	for r.status() != state {
		if time.Since(r.orderedAt) > limit {
			r.t.Fatalf("status %q instead of %q after %s; row %+v", r.status(), state, limit, r.state())
		}
		time.Sleep(10 * time.Millisecond)
	}
	after := time.Since(r.orderedAt)
	r.t.Logf("%s after %s: %s; %d requests, %d failed, %d refused; exposed %d", state, after, r.state().Reason, r.requests.Load(), r.failed.Load(), r.refused.Load(), r.exposed())
	return after
}

// runsOf returns the number of requests that targets of a version ran.
func (r *rolloutFleet) runsOfVersion(version string) (n int) {
	for _, h := range r.hosts {
		if h.target.Version == version {
			n += len(h.target.Runs())
		}
	}
	return n
}

func (r *rolloutFleet) exposed() int { return r.runsOfVersion("v2") }

// TestGoodVersionIsCompleted guards against roll-outs that are not completed in time,
// callers refused while the versions change, and old targets that get requests after
// the completion, when the platform stops them at once.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(8, nil)
	after := r.awaitStatus(karpithaz.RolloutCompleted, 8*time.Second)
	assert.Assert(t, after < 7*time.Second, "%s", after)
	old := r.runsOfVersion("v1")
	time.Sleep(time.Second)
	r.stopLoad()
	assert.Equal(t, r.runsOfVersion("v1"), old, "requests at old targets after the completion")
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestBadVersionIsRolledBackByHosts guards against bad versions that stay in use.
func TestBadVersionIsRolledBackByHosts(t *testing.T) {
	for name, prepare := range map[string]func(*standin.Target){
		"failing": func(s *standin.Target) { s.SetFailing(true) },
		"slow":    func(s *standin.Target) { s.SetWork(150 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRolloutFleet(t)
			r.startLoad(r.hosts...)
			r.order(8, prepare)
			r.awaitStatus(karpithaz.RolloutRolledBack, 8*time.Second)
			exposed := r.exposed()
			assert.Assert(t, exposed > 0 && float64(exposed) <= 0.1*float64(r.requests.Load())+50, "%d exposed", exposed)
			time.Sleep(1500 * time.Millisecond)
			exposed = r.exposed()
			time.Sleep(time.Second)
			r.stopLoad()
			assert.Equal(t, r.exposed(), exposed, "requests at the bad version after the roll-back")
			assert.Equal(t, r.refused.Load(), int64(0))
		})
	}
}

// TestVersionWithoutAnOrderGetsNothing guards against a version that no roll-out has named
// and that receives requests while its service runs another one.
func TestVersionWithoutAnOrderGetsNothing(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	stray := r.addVersion(rolloutHosts+1, "v9")
	r.await("the stray target is known", func() bool { return len(r.hosts[0].control.View().Targets("svc")) == rolloutHosts+1 })
	r.startLoad(r.hosts...)
	time.Sleep(2 * time.Second)
	r.stopLoad()
	assert.Equal(t, len(stray.target.Runs()), 0)
	assert.Equal(t, r.refused.Load(), int64(0))
	assert.Assert(t, r.state() == nil, "a row without an order")
}

// TestRepeatedOrderEndsTheRunningRollout guards against two roll-outs of a service, and
// against one that an operator cannot replace.
func TestRepeatedOrderEndsTheRunningRollout(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(60, nil)
	r.awaitExposure()
	first := r.state()
	r.orderedAt = time.Now()
	r.writeOrder("v2", 8)
	r.checkCompleted(8 * time.Second)
	s := r.state()
	assert.Assert(t, s.Order > first.Order && s.Term > first.Term && s.From == "v1", "%+v", s)
	r.orderedAt = time.Now()
	r.writeOrder("v2", 10)
	r.await("the version in use is completed again", func() bool { return r.state().Order > s.Order && r.status() == karpithaz.RolloutCompleted })
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestOrderWithoutTargetsIsRolledBack guards against an order without an end.
func TestOrderWithoutTargetsIsRolledBack(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.orderedAt = time.Now()
	r.writeOrder("v2", 4)
	r.awaitStatus(karpithaz.RolloutRunning, 2*time.Second)
	after := r.awaitStatus(karpithaz.RolloutRolledBack, 4*time.Second)
	assert.Assert(t, after > 3*time.Second, "%s", after)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestOrderWithoutTheContractChangesNothing guards against effects on deployments that do
// not order roll-outs.
func TestOrderWithoutTheContractChangesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.hosts[1].target.Version = "v2"
	_, err := f.hosts[1].target.Announce(f.hosts[1].settings.AnnounceListen, "dc-a", "ready")
	assert.NilError(t, err)
	f.store.Put(karpithaz.OperatorTable, karpithaz.RolloutKey("svc"), []byte(`{"service":"svc","target":"v2","durationS":5}`))
	f.await("the order is known", func() bool { return len(f.hosts[1].control.View().orders) == 1 })
	for i := range 60 {
		res, err := f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("c-%d", i), URI: "/read/x", Key: testKey})
		assert.NilError(t, err)
		assert.Equal(t, res.Status, 200)
	}
	assert.Assert(t, len(f.hosts[0].target.Runs()) > 0 && len(f.hosts[1].target.Runs()) > 0)
	_, written := f.store.Row(rolloutsTable, "svc")
	assert.Assert(t, !written)
}

// TestPartlyFailingVersionIsRolledBack guards against evidence that is lost because gates
// send little to a target that seems gray.
func TestPartlyFailingVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(10, func(s *standin.Target) { s.SetFailPercent(35) })
	r.awaitStatus(karpithaz.RolloutRolledBack, 10*time.Second)
	exposed := r.exposed()
	assert.Assert(t, float64(exposed) <= 0.1*float64(r.requests.Load())+50, "%d exposed", exposed)
	assert.Equal(t, r.refused.Load(), int64(0))
}

// TestGrayTargetDoesNotEndARollout guards against a good version that is rolled back for
// one of its targets.
func TestGrayTargetDoesNotEndARollout(t *testing.T) {
	t.Parallel()
	r := newRolloutFleet(t)
	r.startLoad(r.hosts...)
	r.order(12, nil)
	r.await("a canary", func() bool {
		for _, h := range r.hosts[rolloutHosts:] {
			if len(h.target.Runs()) > 0 {
				h.target.SetFailPercent(80)
				return true
			}
		}
		return false
	})
	r.awaitStatus(karpithaz.RolloutCompleted, 12*time.Second)
	assert.Equal(t, len(r.state().Suspects), 1)
}
