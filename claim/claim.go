package claim

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Claim is the right to run one keyed request. It is not safe for concurrent
// use.
type Claim struct {
	store *Store
	key   string
	// version is the version of the row, or 0 if it is unknown after a write.
	version uint64
	rec     record
	// writes counts the attempted writes, so that each has its own number.
	writes int
}

// nextRecord returns a copy of the record for another write.
func (c *Claim) nextRecord() record {
	c.writes++
	next := c.rec
	next.WriteSeq = c.writes
	return next
}

// Reassign replaces the attempt, which did not run, by a new one. The new
// attempt may be sent only if Reassign returns nil.
func (c *Claim) Reassign(ctx context.Context, att AttemptRef) error {
	next := c.nextRecord()
	next.assign(att)
	return c.update(ctx, next)
}

// Finish stores the response for replay to retries. A response above the size
// limit is recorded as done without its body. During a table outage the write
// is deferred.
func (c *Claim) Finish(ctx context.Context, response StoredResponse) error {
	next := c.nextRecord()
	if len(response.Body) > c.store.opts.MaxStoredBody {
		response.Body = nil
		response.BodyOmitted = true
	}
	next.Stored = &response
	return c.finalize(ctx, next, false)
}

// Abandon removes the claim of a request that did not run and will not run, so
// that a retry may run. During a table outage the removal is deferred; until
// then a retry settles the attempt.
func (c *Claim) Abandon(ctx context.Context) error {
	return c.finalize(ctx, c.rec, true)
}

// finalize makes the last write of a claim. If it fails, the write is deferred.
func (c *Claim) finalize(ctx context.Context, next record, remove bool) error {
	err := c.writeFinal(ctx, next, remove)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindTakenOver {
		c.store.counters.takenOver.Add(1)
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
	return c.store.unconfirmed(err)
}

func (c *Claim) confirmRemoved(ctx context.Context) error {
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		return c.store.unconfirmed(err)
	}
	if version != 0 && found.Token == c.rec.Token {
		c.version = version
		return c.store.unconfirmed(errors.New("claim row was not removed"))
	}
	return nil
}

// update writes the claim's row. An uncertain outcome is resolved by reading.
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
	return c.store.unconfirmed(err)
}

// confirm reads the row to determine whether a write took effect.
func (c *Claim) confirm(ctx context.Context, next record) error {
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		c.version = 0
		return c.store.unconfirmed(err)
	}
	if version == 0 || found.Token != c.rec.Token {
		return &Error{Kind: KindTakenOver}
	}
	c.version = version
	if found.WriteSeq != next.WriteSeq {
		return c.store.unconfirmed(errors.New("claim row was not updated"))
	}
	c.rec = next
	return nil
}

// ensureVersion reads the version of the claim's row if it is unknown.
func (c *Claim) ensureVersion(ctx context.Context) error {
	if c.version != 0 {
		return nil
	}
	found, version, err := c.store.read(ctx, c.key)
	if err != nil {
		return c.store.unconfirmed(err)
	}
	if version == 0 || found.Token != c.rec.Token {
		return &Error{Kind: KindTakenOver}
	}
	c.version = version
	c.rec = found
	return nil
}

// write commits a record on the condition that the row has version c.version.
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
