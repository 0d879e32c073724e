package hostd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// ownRowChange is a change of the host's own row.
type ownRowChange struct {
	target Target
	// written are closed when the row has been written, or a later one in its place: those
	// of this change and of the ones that it supersedes.
	written []chan struct{}
}

// supersede makes c take the place of an older change that has not been written.
func (c *ownRowChange) supersede(older ownRowChange) { c.written = append(c.written, older.written...) }

func (c *ownRowChange) close() {
	for _, w := range c.written {
		close(w)
	}
}

// PublishTarget replaces the host's own row with one for t. It does not block. A
// newer call supersedes a pending one. The channel that it returns is closed when
// the row has been written, or a later one in its place.
func (c *Control) PublishTarget(t Target) (written <-chan struct{}) {
	own := make(chan struct{})
	change := ownRowChange{t, []chan struct{}{own}}
	select {
	case older := <-c.ownRow:
		change.supersede(older)
	default:
	}
	c.ownRow <- change
	return own
}

// RunOwnRow maintains the host's own row until ctx ends.
func (c *Control) RunOwnRow(ctx context.Context) error {
	var wanted ownRowChange
	pending := false
	var version uint64
	for first, failures := true, 0; ; first = false {
		if !pending {
			select {
			case <-ctx.Done():
				return nil
			case wanted = <-c.ownRow:
				pending = true
			}
		}
		write := c.writeOwnRow
		if first {
			write = c.writeFirstOwnRow
		}
		err := write(ctx, wanted.target, &version)
		switch {
		case err == nil:
			wanted.close()
			pending, failures = false, 0
			c.ownRowVersion.Store(version)
		case platform.IsKind(err, platform.KindConflict):
			// writeOwnRow has updated version.
		default:
			failures++
			c.log.Logger().Warn("failed to write the host's own row; retrying", "err", err)
			if !pause.For(ctx, storepoll.WriteBackoff(failures, c.View().HostCount, c.tableWrites, rand.Float64())) {
				return nil
			}
		}
		select {
		case next := <-c.ownRow:
			if pending {
				next.supersede(wanted)
			}
			wanted, pending = next, true
		default:
		}
	}
}

// ownRowReplaced reports whether another writer has replaced the host's own row. Its
// version tells, because hosts do not pass on rows that they cannot decode.
func (c *Control) ownRowReplaced(view *View) bool {
	known := c.ownRowVersion.Load()
	return known != 0 && view.hostVersions[c.host] > known
}

const (
	// ownVersionTimeout bounds how long a starting host waits for the hosts table,
	// which tells it the version of its own row, before it writes that row.
	ownVersionTimeout = 400 * time.Millisecond
	ownVersionPoll    = 20 * time.Millisecond
)

// writeFirstOwnRow writes the row for the first time since the process started. It
// makes no call if an earlier process left the row as it should be. It waits until
// the hosts table has been read, unless that is put off.
func (c *Control) writeFirstOwnRow(ctx context.Context, t Target, version *uint64) error {
	deadline := time.Now().Add(ownVersionTimeout)
	for c.firstReadDelay == 0 && !c.View().HostsLoaded && time.Now().Before(deadline) {
		if !pause.For(ctx, ownVersionPoll) {
			return ctx.Err()
		}
	}
	var existing Target
	if existing, *version = c.View().row(c.host); *version != 0 && c.keepsOwnRow(existing, t, *version) {
		return nil
	}
	return c.writeOwnRow(ctx, t, version)
}

// writeOwnRow makes one attempt to write the row. The expected version prevents a
// delayed write by an earlier process of this host from overwriting a newer row.
func (c *Control) writeOwnRow(ctx context.Context, t Target, version *uint64) error {
	value, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode host row")
	}
	row := karpithaz.Row{Table: hostsTable, Key: c.host, Version: *version, Value: value}
	r, err := c.store.Commit(ctx, karpithaz.Tx{Expect: []karpithaz.Row{row}, Put: []karpithaz.Row{row}}, storepoll.WriteTimeout)
	if platform.IsKind(err, platform.KindConflict) {
		*version = 0
		for _, current := range r.Rows {
			if current.Key != c.host || current.Removed {
				continue
			}
			*version = current.Version
			// An unreadable row is overwritten by the next attempt.
			if old, decodeErr := decodeTarget(current.Key, current.Value); decodeErr == nil && c.keepsOwnRow(old, t, current.Version) {
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

// keepsOwnRow reports whether the host's row stays as it is: it says the same as t
// would, or that t has departed.
func (c *Control) keepsOwnRow(row, t Target, version uint64) bool {
	if !t.Departed && row.Departed && row.includes(t.ID, t.Born) {
		c.log.Decide("target-departed-before", "target", t.ID, "born", t.Born, "row_version", version)
		return true
	}
	return row.sameRow(t)
}
