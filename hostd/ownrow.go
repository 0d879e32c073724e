package hostd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// ownRowChange is a change of the host's own row.
type ownRowChange struct {
	target Target
	// written is closed when the row has been written or superseded.
	written chan struct{}
}

// PublishTarget replaces the host's own row with one for t. It does not block. A
// newer call supersedes a pending one. The channel that it returns is closed when
// the row has been written or superseded.
func (c *Control) PublishTarget(t Target) (written <-chan struct{}) {
	select {
	case old := <-c.ownRow:
		close(old.written)
	default:
	}
	change := ownRowChange{t, make(chan struct{})}
	c.ownRow <- change
	return change.written
}

// RunOwnRow maintains the host's own row until ctx ends.
func (c *Control) RunOwnRow(ctx context.Context) error {
	var wanted ownRowChange
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
		err := c.writeOwnRow(ctx, wanted.target, &version)
		switch {
		case err == nil:
			close(wanted.written)
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
		case next := <-c.ownRow:
			if pending {
				close(wanted.written)
			}
			wanted, pending = next, true
		default:
		}
	}
}

// writeOwnRow makes one attempt to write the row. The expected version prevents a
// delayed write by an earlier process of this host from overwriting a newer row.
// A row that says that the same target has departed stays as it is.
func (c *Control) writeOwnRow(ctx context.Context, t Target, version *uint64) error {
	value, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode host row")
	}
	row := karpithaz.Row{Table: hostsTable, Key: c.host, Version: *version, Value: value}
	r, err := c.store.Commit(ctx, karpithaz.Tx{Expect: []karpithaz.Row{row}, Put: []karpithaz.Row{row}}, storeTimeout)
	if platform.IsKind(err, platform.KindConflict) {
		*version = 0
		for _, current := range r.Rows {
			if current.Key != c.host || current.Removed {
				continue
			}
			*version = current.Version
			old, decodeErr := decodeTarget(current.Key, current.Value)
			switch {
			case decodeErr != nil: // overwritten by the next attempt
			case !t.Departed && old.includes(t.ID, t.Born):
				c.log.Decide("target-departed-before", "target", t.ID, "born", t.Born, "row_version", current.Version)
				return nil
			case old.sameRow(t):
				return nil
			}
		}
		return err
	}
	if err == nil {
		*version = r.Version
		c.log.Decide("own-row", "row_version", r.Version, "departed", t.Departed)
	}
	return err
}
