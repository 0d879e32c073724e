package claim

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Claim is the right to run one keyed request. It is used by one goroutine.
type Claim struct {
	store *Store
	key   string
	// version is the row's, or 0 when it is not known after a write.
	version uint64
	rec     record
	// changes counts the writes tried, so that each carries its own number.
	changes int
}

// nextRecord returns a copy of the record for another write.
func (c *Claim) nextRecord() record {
	c.changes++
	next := c.rec
	next.Change = c.changes
	return next
}

// Reassign names a further attempt in place of one that did not run. Only when
// it returns nil may the further attempt be sent.
func (c *Claim) Reassign(ctx context.Context, att AttemptRef) error {
	next := c.nextRecord()
	next.assign(att)
	return c.update(ctx, next)
}

// Finish records the answer for resends. An answer above the bound is recorded
// as done without its body. When the table is out the record is written later.
func (c *Claim) Finish(ctx context.Context, answer Stored) error {
	next := c.nextRecord()
	if len(answer.Body) > c.store.opts.MaxStored {
		answer.Body = nil
		answer.Dropped = true
	}
	next.Stored = &answer
	return c.finalize(ctx, next, false)
}

// Abandon removes the claim of a request that did not run and will not, so that
// a resend may run. When the table is out the row is removed later; until then
// a resend settles the attempt.
func (c *Claim) Abandon(ctx context.Context) error {
	return c.finalize(ctx, c.rec, true)
}

// finalize makes the last change of a claim and keeps it for later on failure.
func (c *Claim) finalize(ctx context.Context, next record, remove bool) error {
	err := c.writeFinal(ctx, next, remove)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindLost {
		c.store.counters.lost.Add(1)
		return err
	}
	if err != nil {
		c.store.deferred.add(&c.store.opts, deferredWrite{claim: c, next: next, remove: remove})
	}
	return err
}

func (c *Claim) writeFinal(ctx context.Context, next record, remove bool) error {
	if !remove {
		return c.update(ctx, next)
	}
	if err := c.ensureVersion(ctx); err != nil {
		return err
	}
	err := c.store.committer.commit(ctx, &change{key: c.key, version: c.version, remove: true})
	switch {
	case err == nil:
		return nil
	case platform.IsKind(err, platform.KindConflict), platform.IsKind(err, platform.KindUncertain):
		return c.confirmRemoved(ctx)
	}
	return c.store.unavailable(err)
}

func (c *Claim) confirmRemoved(ctx context.Context) error {
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		return c.store.unavailable(err)
	}
	if version != 0 && found.Token == c.rec.Token {
		c.version = version
		return c.store.unavailable(errors.New("the claim is still in the table"))
	}
	return nil
}

// update writes a change of this claim's row and resolves doubts by reading.
func (c *Claim) update(ctx context.Context, next record) error {
	if err := c.ensureVersion(ctx); err != nil {
		return err
	}
	err := c.write(ctx, next)
	switch {
	case err == nil:
		return nil
	case platform.IsKind(err, platform.KindConflict), platform.IsKind(err, platform.KindUncertain):
		return c.confirm(ctx, next)
	}
	return c.store.unavailable(err)
}

// confirm reads back whether a change took effect.
func (c *Claim) confirm(ctx context.Context, next record) error {
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		c.version = 0
		return c.store.unavailable(err)
	}
	if version == 0 || found.Token != c.rec.Token {
		return &Error{Kind: KindLost}
	}
	c.version = version
	if found.Change != next.Change {
		return c.store.unavailable(errors.New("the change did not take effect"))
	}
	c.rec = next
	return nil
}

// ensureVersion finds out the version of this claim's row if it is not known.
func (c *Claim) ensureVersion(ctx context.Context) error {
	if c.version != 0 {
		return nil
	}
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		return c.store.unavailable(err)
	}
	if version == 0 || found.Token != c.rec.Token {
		return &Error{Kind: KindLost}
	}
	c.version = version
	c.rec = found
	return nil
}

// write commits a record on condition of c.version.
func (c *Claim) write(ctx context.Context, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "row %s", c.key)
	}
	err = c.store.committer.commit(ctx, &change{key: c.key, version: c.version, value: value})
	if err == nil {
		c.rec = next
		c.version = 0
	}
	return err
}
