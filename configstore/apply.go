package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Apply commits a change. It fails with
//   - config.Problems if the document would be invalid,
//   - a ConflictError if a section has changed since its base revision,
//   - an UncertainError if a reply was lost and the platform then remained
//     unavailable,
//   - a ContentionError if concurrent changes were committed first in every
//     attempt,
//   - a *platform.Error if the platform is unavailable and nothing was applied.
//
// A call with the ID of an accepted change returns the revision of that change.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	c, err := c.normalize()
	if err != nil {
		return Result{}, err
	}
	a := applier{store: s, change: c}
	backoff := minBackoff
	for range maxApplyAttempts {
		res, retry, err := a.attempt(ctx)
		if !retry {
			return res, a.markUncertain(err)
		}
		if !sleepWithJitter(ctx, backoff) {
			return Result{}, a.markUncertain(ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return Result{}, a.markUncertain(&ContentionError{Attempts: maxApplyAttempts})
}

// sleepWithJitter sleeps for a random time from d/2 to d. It returns false if ctx
// ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d/2+rand.N(d/2))
}

// applier holds the state of one call of Apply.
type applier struct {
	store  *Store
	change Change
	state  State
	loaded bool
	// pendingHeadVersion is the head row version required by a commit whose
	// outcome is unknown. As long as the head has this version, that commit may
	// still take effect.
	pendingHeadVersion uint64
	pending            bool
	// sent is set after this call has sent a commit.
	sent bool
}

// markUncertain wraps the error in an UncertainError if a commit is pending.
func (a *applier) markUncertain(err error) error {
	if err == nil || !a.pending {
		return err
	}
	return &UncertainError{ChangeID: a.change.ID, Err: err}
}

// attempt makes one attempt. retry is set if another attempt may succeed.
func (a *applier) attempt(ctx context.Context) (res Result, retry bool, err error) {
	head, version, err := a.store.readHead(ctx)
	if err != nil {
		return Result{}, a.pending, err
	}
	if done, res, err := a.lookupChange(ctx); done || err != nil {
		return res, !done && a.pending, err
	}
	if version != a.pendingHeadVersion {
		a.pending = false // the precondition of the pending commit no longer holds
	}
	if err := a.catchUp(ctx, head); err != nil {
		return Result{}, a.pending || isGap(err), err
	}
	if a.state.Revision != head {
		return Result{}, true, nil
	}
	p, err := planChange(a.state, a.change)
	if err != nil {
		return Result{}, false, err
	}
	if len(p.changedEdits) == 0 {
		return Result{Revision: head, Unchanged: true}, false, nil
	}
	return a.commit(ctx, p, version)
}

// lookupChange looks up the change ID. done is set if the ID has already been
// used, by this change or another one.
func (a *applier) lookupChange(ctx context.Context) (done bool, res Result, err error) {
	r, err := a.store.readChange(ctx, a.change.ID)
	if r == nil || err != nil {
		return false, Result{}, err
	}
	a.pending = false
	if r.Digest != a.change.digest() {
		return true, Result{}, &ReusedIDError{ChangeID: a.change.ID, Revision: r.Revision}
	}
	return true, Result{Revision: r.Revision, Repeated: !a.sent}, nil
}

// catchUp advances the state to the head, or loads it.
func (a *applier) catchUp(ctx context.Context, head uint64) error {
	if a.loaded && a.state.Revision == head {
		return nil
	}
	if a.loaded {
		deltas, err := a.store.Since(ctx, a.state.Revision, scanBatchSize)
		if err == nil {
			a.state, err = a.state.Advance(deltas)
		}
		a.loaded = err == nil
		return err
	}
	st, err := a.store.Load(ctx)
	a.state, a.loaded = st, err == nil
	return err
}

// isGap reports whether err is a GapError, after which the whole document must be
// loaded again.
func isGap(err error) bool {
	var gap *GapError
	return errors.As(err, &gap)
}

func (a *applier) commit(ctx context.Context, p plan, headVersion uint64) (Result, bool, error) {
	versions, current, err := a.sectionVersions(ctx, p)
	if err != nil || !current {
		return Result{}, a.pending || !current, err
	}
	rev := a.state.Revision + 1
	d := a.store.newDelta(a.change, p, rev)
	txn := buildTxn(a.change, p, d, headVersion, versions)
	if err := a.trimLog(ctx, &txn, rev); err != nil {
		return Result{}, a.pending, err
	}
	a.sent = true
	err = a.store.table.Commit(ctx, txn)
	switch {
	case err == nil:
		a.pending = false
		a.saveSnapshot(ctx, d)
		return Result{Revision: rev}, false, nil
	case platform.IsKind(err, platform.KindUncertain):
		a.pending, a.pendingHeadVersion = true, headVersion
		return Result{}, true, err
	case platform.IsKind(err, platform.KindConflict):
		return Result{}, true, err
	}
	return Result{}, a.pending, errors.WithMessage(err, "commit the configuration change")
}

// saveSnapshot saves the document after d if its revision is a multiple of
// snapshotInterval. Errors are ignored, as the change does not depend on it: a
// daemon that starts from an older snapshot reads more of the log.
func (a *applier) saveSnapshot(ctx context.Context, d Delta) {
	if a.store.objects == nil || d.Revision%snapshotInterval != 0 {
		return
	}
	next, err := a.state.Advance([]Delta{d})
	if err != nil {
		return
	}
	_ = a.store.SaveSnapshot(ctx, next)
}

// sectionVersions reads the row versions of the sections to write. current is
// false if one of them is at another revision than in the state.
func (a *applier) sectionVersions(ctx context.Context, p plan) (versions []uint64, current bool, err error) {
	for _, t := range p.changedEdits {
		name := a.change.Edits[t].Name
		row, version, err := a.store.readSection(ctx, name)
		if err != nil {
			return nil, true, err
		}
		want, _ := a.state.Section(name)
		if row != nil && row.Revision != want.Revision || row == nil && want.Revision != 0 {
			return nil, false, nil
		}
		versions = append(versions, version)
	}
	return versions, true, nil
}

// trimLog adds to txn the removal of the oldest change once the log of revision
// rev exceeds its maximum length.
func (a *applier) trimLog(ctx context.Context, txn *platform.Txn, rev uint64) error {
	if rev <= a.store.maxLogEntries {
		return nil
	}
	old, err := a.store.Since(ctx, rev-a.store.maxLogEntries-1, 1)
	if isGap(err) || err == nil && len(old) == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	txn.Writes = append(txn.Writes,
		platform.Write{Key: logKey(old[0].Revision), Delete: true},
		platform.Write{Key: changeKey(old[0].ChangeID), Delete: true})
	return nil
}
