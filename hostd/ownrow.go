package hostd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// Announce replaces the host's own row by the target's; nil removes it. It
// returns at once, and a newer target supersedes one that waits.
func (c *Control) Announce(t *Target) {
	select {
	case <-c.own:
	default:
	}
	c.own <- t
}

// RunOwnRow keeps the host's own row until ctx ends.
func (c *Control) RunOwnRow(ctx context.Context) error {
	var wanted *Target
	pending := false
	var version uint64
	for failures := 0; ; {
		if !pending {
			select {
			case <-ctx.Done():
				return nil
			case wanted = <-c.own:
				pending = true
			}
		}
		err := c.writeOwnRow(ctx, wanted, &version)
		switch {
		case err == nil:
			pending, failures = false, 0
		case platform.IsKind(err, platform.KindConflict):
			// version has been brought up to date.
		default:
			failures++
			c.log.Logger().Warn("own row not written; trying again", "err", err)
			if !pause.For(ctx, storePause(failures)) {
				return nil
			}
		}
		select {
		case wanted = <-c.own:
			pending = true
		default:
		}
	}
}

// writeOwnRow makes one try. The precondition keeps a late effect of an
// earlier process of this host from undoing a newer row.
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
			return errors.Wrap(err, "encode the host's row")
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
