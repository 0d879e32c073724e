package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
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
