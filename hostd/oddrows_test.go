package hostd

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// oddRows are values of another writer in the table of hosts, by key. The keys of the
// first ones are those in the values.
var oddRows = map[string]string{
	"host-x1": strings.Repeat("[", 20_000),
	"host-x2": strings.Repeat(`{"target":`, 4_000) + "1" + strings.Repeat("}", 4_000),
	"host-x3": `{"target":"i-x3","service":"svc","host":"host-x3","data_centre":"dc-a","gate":"127.0.1.9:70000","control":"127.0.1.9:7001","slots":7}`,
	"host-x4": `{"target":"i-x4","service":"svc","host":"host-x4","data_centre":"dc-a","gate":"127.0.1.9:0","control":"127.0.1.9:7001","slots":7}`,
	"host-x5": `{"target":"i-x5","service":"svc","host":"host-x5","data_centre":"dc-a","gate":"127.0.1.9:7000","control":"127.0.1.9:7001","slots":9000000000000000000}`,
	"host-x6": `{"target":"i-x6","service":"svc","host":"host-x6","data_centre":"dc-a","gate":"127.0.1.9:7000","control":"127.0.1.9:7001","slots":1e300}`,
	"host-x7": "\xff\x00\xfe",
	"host-x8": "",
}

func TestOddRowsOfAnotherWriterNameNoTarget(t *testing.T) {
	for key, value := range oddRows {
		target, err := decodeTarget(key, []byte(value))
		assert.Check(t, err != nil, "%s: %+v", key, target)
	}
}

func TestOddRowsOfAnotherWriterStopNoHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	for key, value := range oddRows {
		f.store.Put(hostsTable, key, []byte(value))
	}
	late := f.settings(4)
	f.add(4, late)
	f.await("all hosts know the target that has joined after the odd rows", func() bool {
		for _, h := range f.hosts {
			if targets := h.control.View().Targets("svc"); len(targets) != 4 {
				return false
			}
		}
		return true
	})
	for _, h := range f.hosts {
		for _, target := range h.control.View().Targets("svc") {
			assert.Assert(t, !strings.HasPrefix(target.Host, "host-x"), "%s uses %+v", h.settings.Host, target)
		}
	}
}

func TestHostWritesItsRowAgainAfterAnotherWriterHasReplacedIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	time.Sleep(ownRowCheckInterval) // rows of targets that have just started are not checked
	f.store.Put(hostsTable, "host-2", []byte(`{"target":[[[`))
	f.await("the row of host-2 can be read again", func() bool {
		row, ok := f.store.Row(hostsTable, "host-2")
		_, err := decodeTarget(row.Key, row.Value)
		return ok && err == nil
	})
	for _, h := range f.hosts {
		assert.Equal(t, len(h.control.View().Targets("svc")), 3, "%s", h.settings.Host)
	}
}

func TestHostWritesItsRowAgainAtOnceAfterItsRemoval(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	for round := range 4 {
		time.Sleep(time.Duration(round) * 400 * time.Millisecond)
		before, _ := f.store.Row(hostsTable, "host-2")
		f.store.Remove(hostsTable, "host-2")
		removed := time.Now()
		f.await("the row of host-2 is back", func() bool {
			row, ok := f.store.Row(hostsTable, "host-2")
			return ok && !row.Removed && row.Version > before.Version
		})
		took := time.Since(removed)
		t.Logf("back after %s", took)
		assert.Check(t, took < 2500*time.Millisecond, "back after %s", took)
		f.await("all hosts list host-2", func() bool {
			for _, h := range f.hosts {
				if _, ok := h.control.View().TargetOf("host-2"); !ok {
					return false
				}
			}
			return true
		})
	}
}

func TestRemovalOfTheOwnRowIsNoticedAtOnce(t *testing.T) {
	row := Target{ID: "i-1", Service: "svc", Host: "h", DataCentre: "dc", Gate: "127.0.0.1:1", Control: "127.0.0.1:2", Slots: 4}
	for _, removal := range []tableUpdate{
		{table: hostsTable, version: 2, rows: []karpithaz.Row{{Table: hostsTable, Key: "h", Version: 2, Removed: true}}},
		{table: hostsTable, version: 2, full: true},
	} {
		c := NewControl("h", "dc", nil, nil, decisions.New(&logBuffer{}), metrics.New())
		c.apply(tableUpdate{table: hostsTable, version: 1, full: true,
			rows: []karpithaz.Row{{Table: hostsTable, Key: "h", Version: 1, Value: []byte(encodeHeader(row))}}})
		assert.Equal(t, len(c.ownRowLost), 0)
		c.apply(removal)
		assert.Equal(t, len(c.ownRowLost), 1)
	}
	g, announced := newTestGate(t)
	g.applyHeartbeat(newHeartbeat("a", 1, 1, false), time.Now())
	g.refreshRow(Target{}, false, false)
	assert.Equal(t, len(*announced), 1, "the first row may still be under way")
	g.refreshRow(Target{}, false, true)
	assert.Equal(t, len(*announced), 2)
}
