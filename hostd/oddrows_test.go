package hostd

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
