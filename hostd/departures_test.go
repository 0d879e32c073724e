package hostd

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// ordersAt sends more orders at the same time to a host than two targets have slots for, and
// returns how many of them ran at a target.
func (f *testFleet) ordersAt(i int, target *standin.Target, name string) int {
	f.t.Helper()
	before := len(target.Runs())
	var all sync.WaitGroup
	for n := range 24 {
		all.Go(func() {
			r, err := f.hosts[i].call(standin.Call{Attempt: fmt.Sprint(name, "-", n), Method: "POST", URI: "/order/1", Key: testKey, Body: "a bed"})
			if err != nil || r.Status != 200 {
				f.t.Errorf("status %d, %v", r.Status, err)
			}
		})
	}
	all.Wait()
	return len(target.Runs()) - before
}

// A departure that is acknowledged while the host is cut off from the store outlives its
// daemon: a late heartbeat does not bring the target back, neither while the store is away
// nor after that (review/7).
func TestAcknowledgedDepartureOutlivesTheDaemon(t *testing.T) {
	f := newFleetIn(t, "dc-a", "dc-a", "dc-b", "dc-b")
	h, target := f.hosts[0], f.hosts[0].target
	h.settings.Bounds.ShutdownGracePeriod = time.Second
	late := target.Heartbeat("dc-a", "ready")
	f.store.SetHostFault(h.settings.IP, standin.ModeSilent)
	f.await("the departure is acknowledged", func() bool {
		status, err := target.SignOff(h.settings.AnnounceListen)
		return err == nil && status == 200
	})
	h.cancel()
	assert.NilError(t, <-h.done)
	f.hosts[0] = f.start(h.settings, target) // its heartbeats say that it is ready
	_, err := target.SendHeartbeat(h.settings.AnnounceListen, late)
	assert.NilError(t, err)
	assert.Equal(t, f.ordersAt(1, target, "cut-off"), 0)
	f.store.SetHostFault(h.settings.IP, standin.ModeOK)
	f.await("the departure is in the store", func() bool {
		for _, h := range f.hosts {
			if !h.control.View().hasDeparted("host-1", target.ID, 0) {
				return false
			}
		}
		return true
	})
	assert.Equal(t, f.ordersAt(1, target, "in-touch"), 0)
}

// Nobody else knows of the departure, so that it is not acknowledged: the target ends by
// itself some seconds later. Nothing is sent to it meanwhile.
func TestDepartureIsNotAcknowledgedWithNobodyToHoldIt(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.store.SetHostFault(h.settings.IP, standin.ModeSilent)
	for range 2 {
		status, err := h.target.SignOff(h.settings.AnnounceListen)
		assert.NilError(t, err)
		assert.Equal(t, status, 503)
	}
	r, err := h.call(standin.Call{Attempt: "order", Method: "POST", URI: "/order/1", Key: testKey, Body: "a bed"})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 503)
	assert.Equal(t, len(h.target.Runs()), 0)
	f.store.SetHostFault(h.settings.IP, standin.ModeOK)
	f.await("acknowledged once the store has it", func() bool {
		status, err := h.target.SignOff(h.settings.AnnounceListen)
		return err == nil && status == 200
	})
}

// A heartbeat that arrives before other hosts have been asked is applied after that. If they
// hold the departure of its target, the target stays departed.
func TestHeartbeatWaitsUntilDeparturesAreAsked(t *testing.T) {
	for _, departed := range []bool{false, true} {
		t.Run(fmt.Sprint("departed ", departed), func(t *testing.T) {
			g, _ := newTestGate(t)
			asked := make(chan struct{})
			g.departuresAsked = asked
			assert.Assert(t, g.deferHeartbeat(newHeartbeat("a", 5, 1, false)))
			assert.Assert(t, g.deferHeartbeat(newHeartbeat("a", 5, 2, false)))
			assert.Assert(t, !g.hasTarget())
			if departed {
				g.learnDeparture(departure.Record{Target: "a", Born: 5})
			}
			close(asked)
			g.applyDeferred()
			assert.Equal(t, g.target.id, "a")
			assert.Equal(t, g.target.sequence, int64(2))
			assert.Equal(t, g.target.leaving, departed)
			assert.Assert(t, !g.deferHeartbeat(newHeartbeat("a", 5, 3, false)))
		})
	}
}

// A target that starts again under the id of one that has left is another one, whether or not
// the gate knew of it when it learned of the departure.
func TestIDOfADepartedTargetIsUsedAgain(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			g, _ := newTestGate(t)
			if known { // by a health check, which does not tell when it started
				g.startIncarnation(newHeartbeat("a", 0, 0, false), time.Now())
			}
			g.learnDeparture(departure.Record{Target: "a", Born: 5})
			g.applyHeartbeat(newHeartbeat("a", 5, 1, false), time.Now())
			assert.Assert(t, g.target.leaving)
			g.applyHeartbeat(newHeartbeat("a", 9, 1, false), time.Now())
			assert.Assert(t, !g.target.leaving)
		})
	}
}

// A target signs off before its first heartbeat has arrived, while the gate knows the one
// before it. It stays departed, also after a restart, and the other one stays.
func TestDepartureOfATargetThatIsNotKnownYet(t *testing.T) {
	f := newFleet(t, 3)
	h, former := f.hosts[0], f.hosts[0].target
	h.settings.Bounds.ShutdownGracePeriod = time.Second
	former.Close()
	target, err := standin.StartTarget("i-1-next", "svc", h.settings.TargetAddress, 4, 20*time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	status, err := target.SignOff(h.settings.AnnounceListen)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	_, err = target.Announce(h.settings.AnnounceListen, "dc-a", "ready")
	assert.NilError(t, err)
	assert.Equal(t, f.ordersAt(1, target, "before"), 0)
	h.cancel()
	assert.NilError(t, <-h.done)
	f.hosts[0] = f.start(h.settings, target)
	assert.Equal(t, f.ordersAt(1, target, "after"), 0)
}

// A late sign-off of an earlier target takes nothing from the current one, neither at once nor
// after a restart.
func TestLateSignOffOfAnEarlierTarget(t *testing.T) {
	f := newFleet(t, 3)
	h := f.hosts[0]
	h.settings.Bounds.ShutdownGracePeriod = time.Second
	earlier, err := standin.StartTarget("i-0", "svc", freeAddr(t, h.settings.IP), 4, 20*time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(earlier.Close)
	status, err := earlier.SignOff(h.settings.AnnounceListen)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Assert(t, f.ordersAt(0, h.target, "before") > 0)
	f.restart(0)
	assert.Assert(t, f.ordersAt(0, h.target, "after") > 0)
}

// The row of a departure that another publication supersedes is not taken for written.
func TestSupersededDepartureIsNotTakenForWritten(t *testing.T) {
	c := NewControl("host-1", "dc-a", nil, nil, nil, nil)
	first := c.PublishTarget(Target{ID: "i-1", Departed: true})
	second := c.PublishTarget(Target{ID: "i-1", Departed: true, Version: "v1"})
	select {
	case <-first:
		t.Fatal("the first row counts as written, and neither has been")
	default:
	}
	change := <-c.ownRow
	change.close()
	<-first
	<-second
}
