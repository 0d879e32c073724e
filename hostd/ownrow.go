package hostd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// PublishTarget replaces the host's own row with one for t, or removes the row
// if t is nil. It does not block. A newer call supersedes a pending one.
func (c *Control) PublishTarget(t *Target) {
	select {
	case <-c.ownRow:
	default:
	}
	c.ownRow <- t
}

// RunOwnRow maintains the host's own row until ctx ends.
func (c *Control) RunOwnRow(ctx context.Context) error {
	var wanted *Target
	pending := false
	var version uint64
	for failures := 0; ; {
		if !pending {
			select {
			case <-ctx.Done():
				return nil
			case wanted = <-c.ownRow:
				pending = true
			}
		}
		err := c.writeOwnRow(ctx, wanted, &version)
		switch {
		case err == nil:
			pending, failures = false, 0
		case platform.IsKind(err, platform.KindConflict):
			// writeOwnRow has updated version.
		default:
			failures++
			c.log.Logger().Warn("failed to write the host's own row; retrying", "err", err)
			if !pause.For(ctx, storeBackoff(failures)) {
				return nil
			}
		}
		select {
		case wanted = <-c.ownRow:
			pending = true
		default:
		}
	}
}

// writeOwnRow makes one attempt to write or remove the row. The expected
// version prevents a delayed write by an earlier process of this host from
// overwriting a newer row.
func (c *Control) writeOwnRow(ctx context.Context, t *Target, version *uint64) error {
	row := karpithaz.Row{Table: hostsTable, Key: c.host, Version: *version}
	tx := karpithaz.Tx{Expect: []karpithaz.Row{row}}
	if t == nil {
		if *version == 0 {
			if _, known := c.View().TargetOf(c.host); !known {
				return nil
			}
		}
		tx.Remove = []karpithaz.Row{row}
	} else {
		value, err := json.Marshal(t)
		if err != nil {
			return errors.Wrap(err, "encode host row")
		}
		row.Value = value
		tx.Put = []karpithaz.Row{row}
	}
	r, err := c.store.Commit(ctx, tx, storeTimeout)
	if platform.IsKind(err, platform.KindConflict) {
		*version = 0
		for _, current := range r.Rows {
			if current.Key == c.host && !current.Removed {
				*version = current.Version
			}
		}
		return err
	}
	if err == nil {
		*version = r.Version
		if t == nil {
			*version = 0
		}
		c.log.Decide("own-row", "row_version", r.Version, "removed", t == nil)
	}
	return err
}
