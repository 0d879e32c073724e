package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// slowTable takes a while to send rows, a kilobyte each 0.3 s, or is silent for as long.
type slowTable struct {
	platform.Table
	takes  time.Duration
	silent bool
}

func (s *slowTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	for range s.takes / (300 * time.Millisecond) {
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !s.silent {
			transfer.MeterOf(ctx).Add(1024)
		}
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// Guards against a daemon that never gets a configuration whose bytes take longer than the
// time-out of a call: it read the table from the beginning each time.
func TestConfigurationIsReadFromASlowTable(t *testing.T) {
	for _, c := range []struct {
		name   string
		table  slowTable
		loaded bool
	}{
		{"rows take 6 s", slowTable{takes: 6 * time.Second}, true},
		{"no row for 6 s", slowTable{takes: 6 * time.Second, silent: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, p := startControl(t)
				section := &config.Section{Name: "base", Team: "ops", DataCentres: []config.DataCentre{{Name: "dc1", Region: "r"}}}
				_, err := configstore.New(p, nil).Apply(t.Context(), configstore.Change{ID: "c", Author: "op", Edits: []configstore.Edit{{Name: "base", Section: section}}})
				assert.NilError(t, err)
				c.table.Table = p
				reader.opts.Store = configstore.New(&c.table, nil)
				begun := time.Now()
				reader.pollTable(t.Context())
				assert.Equal(t, reader.revision() == 1, c.loaded)
				assert.Assert(t, c.loaded || time.Since(begun) < 2*time.Second, "silence was waited for %s", time.Since(begun))
			})
		})
	}
}
