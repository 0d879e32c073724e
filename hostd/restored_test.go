package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// restoreStore brings the store back from a copy after a moment in which it was away.
func (f *testFleet) restoreStore(c *standin.Copy) {
	f.store.SetHostFault("", standin.ModeDown)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c)
	f.store.SetHostFault("", standin.ModeOK)
}

// awaitEra waits until all hosts have read both tables of the restored store.
func (f *testFleet) awaitEra(era uint64) {
	f.t.Helper()
	f.await("restored store read", func() bool {
		for _, h := range f.hosts {
			if karpithaz.EraOf(h.control.configAt.Load()) != era || karpithaz.EraOf(h.control.hostsAt.Load()) != era {
				return false
			}
		}
		return true
	})
}

// status returns the status of a call to a host.
func (h *testHostd) status(t *testing.T, attempt, uri, key string) int {
	t.Helper()
	r, err := h.call(standin.Call{Attempt: attempt, URI: uri, Key: key, Timeout: time.Second})
	assert.NilError(t, err)
	return r.Status
}

// Guards against going back to the older configuration of a restored store, in which a key
// that has been revoked is still valid: on hosts that live, and on a reader that starts.
func TestConfigurationIsNotOlderAfterARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	older := f.store.Copy()
	f.workspaces = []standin.Workspace{{Name: testWorkspace, Key: "another-key"}}
	f.configure(2)
	f.awaitRevision(2)
	f.restoreStore(older)
	f.awaitEra(1)
	for _, h := range f.hosts {
		assert.Equal(t, h.control.View().Config.Revision, uint64(2))
		assert.Equal(t, h.status(t, "r", "/read/1", testKey), 401)
		assert.Equal(t, h.status(t, "s", "/read/1", "another-key"), 200)
	}
	restarted := f.hosts[0]
	set, target := restarted.settings, restarted.target
	restarted.cancel()
	<-restarted.done
	f.hosts[0] = f.start(set, target)
	f.await("configuration of the restarted host", func() bool {
		view := f.hosts[0].control.View()
		return view.Ready() && f.hosts[0].control.proven() && view.Config.Revision == 2
	})
	f.configure(3)
	f.awaitRevision(3)
}

// Guards against a host that stays unlisted because the store has lost its row.
func TestOwnRowIsWrittenAgainAfterARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	older := f.store.Copy()
	f.add(3, f.settings(3))
	listed := func() bool {
		_, ok := f.store.Row(hostsTable, "host-3")
		return ok
	}
	f.await("third host known", func() bool { return listed() && len(f.hosts[0].control.View().Targets("svc")) == 3 })
	f.restoreStore(older)
	returned := time.Now()
	assert.Assert(t, !listed())
	f.await("row written again", listed)
	assert.Assert(t, time.Since(returned) < 2*time.Second, "after %s", time.Since(returned))
	for range 20 {
		assert.Equal(t, len(f.hosts[0].control.View().Targets("svc")), 3, "a host that lives is known all the while")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against sending requests to a target that has departed because the older copy of
// the store lists it as present.
func TestDepartedTargetDoesNotComeBackWithARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	older := f.store.Copy()
	gone := f.hosts[2]
	gone.gate.markLeaving(gone.target.ID)
	f.await("departure known", func() bool {
		return len(f.hosts[0].control.View().Targets("svc")) == 2 && len(f.hosts[1].control.View().Targets("svc")) == 2
	})
	f.restoreStore(older)
	f.awaitEra(1)
	f.await("departure written again", func() bool {
		assert.Equal(t, len(f.hosts[0].control.View().Targets("svc")), 2)
		row, ok := f.store.Row(hostsTable, gone.settings.Host)
		if !ok {
			return false
		}
		target, err := decodeTarget(row.Key, row.Value)
		return err == nil && target.Departed
	})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(f.hosts[0].control.View().Targets("svc")), 2)
}

// Guards against requests in a data centre whose evacuation the older copy lacks, and
// against an evacuation that stays although the operators have ended it.
func TestEvacuationOutlastsARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	out := func() bool {
		for _, h := range f.hosts {
			if !h.control.View().Evacuated("dc-a") {
				return false
			}
		}
		return true
	}
	older := f.store.Copy()
	f.store.Put(karpithaz.OperatorTable, "evacuate/dc-a", []byte("{}"))
	f.await("evacuated", out)
	f.restoreStore(older)
	f.awaitEra(1)
	assert.Assert(t, out(), "the evacuation was lost with the row")
	f.store.Put(karpithaz.OperatorTable, "evacuate/dc-a", []byte("{}"))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, out())
	f.store.Remove(karpithaz.OperatorTable, "evacuate/dc-a")
	f.await("back in service", func() bool {
		return !f.hosts[0].control.View().Evacuated("dc-a") && !f.hosts[1].control.View().Evacuated("dc-a")
	})
}

// Guards against a host that follows a reader of the earlier era: the store answers it
// nothing, and its versions are greater as plain numbers.
func TestLaterEraPrevailsBetweenHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	older := f.store.Copy()
	for range 20 {
		f.store.Put("other", "k", nil) // versions that will be given out again
	}
	f.configure(2)
	f.awaitRevision(2)
	cut := f.hosts[0]
	f.store.SetHostFault(cut.settings.IP, standin.ModeSilent)
	f.restoreStore(older)
	f.configure(3)
	f.awaitRevision(3)
	f.awaitEra(1)
	assert.Equal(t, cut.control.View().Config.Revision, uint64(3))
}
