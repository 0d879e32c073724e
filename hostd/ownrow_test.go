package hostd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// oneRowStore is a store with the row of one host. Its calls are counted.
type oneRowStore struct {
	version uint64
	value   []byte
	commits int
}

func (s *oneRowStore) Range(context.Context, string, string, time.Duration) (karpithaz.RowsResponse, error) {
	panic("not used")
}

func (s *oneRowStore) Feed(context.Context, string, uint64, time.Duration, time.Duration) (karpithaz.RowsResponse, error) {
	panic("not used")
}

func (s *oneRowStore) Commit(_ context.Context, tx karpithaz.Tx, _ time.Duration) (karpithaz.RowsResponse, error) {
	s.commits++
	if tx.Expect[0].Version != s.version {
		row := karpithaz.Row{Table: hostsTable, Key: "h", Version: s.version, Value: s.value}
		return karpithaz.RowsResponse{Rows: []karpithaz.Row{row}}, &platform.Error{Kind: platform.KindConflict}
	}
	s.version, s.value = 100, tx.Put[0].Value
	return karpithaz.RowsResponse{Version: s.version}, nil
}

// A starting host writes its row with as few calls as possible: in a large fleet,
// these were a third of all calls to the store.
func TestFirstWriteOfTheOwnRow(t *testing.T) {
	target := Target{ID: "i-1", Born: 5, Service: "svc", Host: "h", DataCentre: "dc", Gate: "127.0.0.1:1", Control: "127.0.0.1:2", Slots: 4}
	former, departed := target, target
	former.ID = "i-0"
	departed.Departed = true
	cases := []struct {
		name string
		// known is the row in the hosts table that the host has read, with its
		// version, and stored that in the store.
		known         *Target
		version       uint64
		stored        Target
		storedVersion uint64
		wanted        Target
		commits       int
	}{
		{"no row", nil, 0, Target{}, 0, target, 1},
		{"the daemon alone has restarted", &target, 7, target, 7, target, 0},
		{"the target has restarted too", &former, 7, former, 7, target, 1},
		{"the target has departed before", &departed, 7, departed, 7, target, 0},
		{"the target departs", &target, 7, target, 7, departed, 1},
		{"the row is newer than the table read", &former, 7, former, 8, target, 2},
		{"the row has been removed meanwhile", &former, 7, Target{}, 0, target, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &oneRowStore{version: c.storedVersion, value: []byte(encodeHeader(c.stored))}
				control := NewControl("h", "dc", s, nil, decisions.New(&logBuffer{}), metrics.New())
				rows := map[string]Target{}
				if c.known != nil {
					rows["h"] = *c.known
				}
				view := newView(nil, nil, rows, true, time.Now())
				view.hostVersions = map[string]uint64{"h": c.version}
				control.view.Store(view)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go control.RunOwnRow(ctx) //nolint:errcheck // returns nil when ctx ends
				<-control.PublishTarget(c.wanted)
				assert.Equal(t, s.commits, c.commits)
			})
		})
	}
}
