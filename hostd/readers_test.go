package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// A new configuration reaches hosts that are not readers from the readers, and
// their number does not add to the calls to the store.
func TestChangesReachOtherHostsThroughReaders(t *testing.T) {
	const hosts = 8
	f := newFleet(t, hosts)
	time.Sleep(startPollPause * 3 / 2) // every host knows its readers
	before := f.store.Calls(karpithaz.PathFeed) + f.store.Calls(karpithaz.PathRange)
	f.configure(2)
	begun := time.Now()
	f.await("all hosts have the new configuration", func() bool {
		for _, h := range f.hosts {
			if h.control.View().Config.Revision != 2 {
				return false
			}
		}
		return true
	})
	took := time.Since(begun)
	calls := f.store.Calls(karpithaz.PathFeed) + f.store.Calls(karpithaz.PathRange) - before
	assert.Assert(t, took < 2*time.Second, "%s", took)
	// Two readers poll two tables again after the change and every 1.5 s.
	assert.Assert(t, calls <= 2*2*3, "%d calls", calls)
}

// The store refuses the readers of a data centre and the first standbys, as it may
// refuse any hosts, and serves all others. Changes reach the hosts of that data centre in the time
// in which a configuration must come into force.
func TestChangesReachADataCentreWithoutReaders(t *testing.T) {
	for _, mode := range []standin.Mode{standin.ModeDown, standin.ModeReset, standin.ModeSilent} {
		t.Run(string(mode), func(t *testing.T) {
			f := newFleetIn(t, "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-b", "dc-b", "dc-b")
			time.Sleep(startPollPause * 3 / 2) // every host knows its readers
			for _, reader := range f.hosts[0].control.View().ranked("dc-a")[:storepoll.Readers+2] {
				for _, h := range f.hosts {
					if h.settings.Host == reader {
						f.store.SetHostFault(h.settings.IP, mode)
					}
				}
			}
			for revision := 2; revision <= 8; revision++ {
				time.Sleep(time.Duration(revision) * 60 * time.Millisecond)
				f.configure(revision)
				changed := time.Now()
				f.await("all hosts have the new configuration", func() bool {
					for _, h := range f.hosts {
						if h.control.View().Config.Revision < uint64(revision) {
							return false
						}
					}
					return true
				})
				took := time.Since(changed)
				t.Logf("revision %d: %s", revision, took)
				assert.Check(t, took < f.hosts[0].settings.Bounds.ConfigApplyDeadline, "revision %d: %s", revision, took)
			}
		})
	}
}
