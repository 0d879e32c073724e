package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Apply makes the fleet accept a change. It fails with
//   - config.Problems when the document would not be valid,
//   - a ConflictError when a section has changed since its base,
//   - an UncertainError when a reply was lost and the platform then stayed away,
//   - a BusyError when other changes came first too often,
//   - a *platform.Error when the platform is unavailable and nothing was applied.
//
// A call with the id of an accepted change returns that change's revision.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	c, err := c.normalize()
	if err != nil {
		return Result{}, err
	}
	a := applier{store: s, change: c}
	next := firstPause
	for range applyAttempts {
		res, again, err := a.try(ctx)
		if !again {
			return res, a.explain(err)
		}
		if !wait(ctx, next) {
			return Result{}, a.explain(ctx.Err())
		}
		next = min(2*next, maxPause)
	}
	return Result{}, a.explain(&BusyError{Attempts: applyAttempts})
}

// wait pauses for d/2 to d.
func wait(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d/2+rand.N(d/2))
}

// applier is one call of Apply.
type applier struct {
	store  *Store
	change Change
	state  State
	loaded bool
	// sentAt is the head's row version that an unanswered commit depended on.
	// While the head keeps it, that commit may still take effect.
	sentAt  uint64
	pending bool
	// sent is set once this call has sent a commit.
	sent bool
}

// explain turns the error of a call with a pending commit into an UncertainError.
func (a *applier) explain(err error) error {
	if err == nil || !a.pending {
		return err
	}
	return &UncertainError{ChangeID: a.change.ID, Err: err}
}

// try makes one attempt. again is set when another one is worth while.
func (a *applier) try(ctx context.Context) (res Result, again bool, err error) {
	head, version, err := a.store.head(ctx)
	if err != nil {
		return Result{}, a.pending, err
	}
	if done, res, err := a.applied(ctx); done || err != nil {
		return res, !done && a.pending, err
	}
	if version != a.sentAt {
		a.pending = false // a commit that depended on an older head cannot take effect
	}
	if err := a.catchUp(ctx, head); err != nil {
		return Result{}, a.pending || isStale(err), err
	}
	if a.state.Revision != head {
		return Result{}, true, nil
	}
	p, err := decide(a.state, a.change)
	if err != nil {
		return Result{}, false, err
	}
	if len(p.touched) == 0 {
		return Result{Revision: head, Unchanged: true}, false, nil
	}
	return a.commit(ctx, p, version)
}

// applied looks the change id up. done is set when the matter is closed.
func (a *applier) applied(ctx context.Context) (done bool, res Result, err error) {
	r, err := a.store.change(ctx, a.change.ID)
	if r == nil || err != nil {
		return false, Result{}, err
	}
	a.pending = false
	if r.Digest != a.change.digest() {
		return true, Result{}, &ReusedIDError{ChangeID: a.change.ID, Revision: r.Revision}
	}
	return true, Result{Revision: r.Revision, Repeated: !a.sent}, nil
}

// catchUp brings the state to the head.
func (a *applier) catchUp(ctx context.Context, head uint64) error {
	if a.loaded && a.state.Revision == head {
		return nil
	}
	if a.loaded {
		deltas, err := a.store.Since(ctx, a.state.Revision, scanRows)
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

// isStale reports errors that reading the whole document again may cure.
func isStale(err error) bool {
	var gap *GapError
	return errors.As(err, &gap)
}

func (a *applier) commit(ctx context.Context, p plan, headVersion uint64) (Result, bool, error) {
	versions, current, err := a.versions(ctx, p)
	if err != nil || !current {
		return Result{}, a.pending || !current, err
	}
	rev := a.state.Revision + 1
	d := a.store.delta(a.change, p, rev)
	txn := rows(a.change, p, d, headVersion, versions)
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
		a.pending, a.sentAt = true, headVersion
		return Result{}, true, err
	case platform.IsKind(err, platform.KindConflict):
		return Result{}, true, err
	}
	return Result{}, a.pending, errors.WithMessage(err, "commit the change")
}

// saveSnapshot saves the document after d now and then. A failure is no failure
// of the change: who starts from an older snapshot takes more from the log.
func (a *applier) saveSnapshot(ctx context.Context, d Delta) {
	if a.store.objects == nil || d.Revision%snapshotEvery != 0 {
		return
	}
	next, err := a.state.Advance([]Delta{d})
	if err != nil {
		return
	}
	_ = a.store.SaveSnapshot(ctx, next)
}

// versions reads the row versions of the sections to write. current is false when
// one of them is not as the state has it.
func (a *applier) versions(ctx context.Context, p plan) (versions []uint64, current bool, err error) {
	for _, t := range p.touched {
		name := a.change.Edits[t].Name
		row, version, err := a.store.section(ctx, name)
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

// trimLog adds the removal of the change that falls out of the log at rev.
func (a *applier) trimLog(ctx context.Context, txn *platform.Txn, rev uint64) error {
	if rev <= a.store.keepLog {
		return nil
	}
	old, err := a.store.Since(ctx, rev-a.store.keepLog-1, 1)
	if isStale(err) || err == nil && len(old) == 0 {
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
