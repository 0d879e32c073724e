package configstore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// maxUpdateAttempts is the maximum number of times that Update calls makeEdits.
const maxUpdateAttempts = 8

// Update applies a change whose edits makeEdits derives from the current document,
// such as the withdrawal of one key. If the change conflicts with a concurrent
// one, makeEdits is called again on the new document. c.Edits is ignored. A call
// with the ID of an accepted change returns the revision of that change without
// calling makeEdits, whose result may differ on the current document.
func (s *Store) Update(ctx context.Context, c Change, makeEdits func(State) ([]Edit, error)) (Result, error) {
	var conflict *ConflictError
	if rev, ok, err := s.changeRevision(ctx, c.ID); ok || err != nil {
		return Result{Revision: rev, Repeated: ok}, err
	}
	for range maxUpdateAttempts {
		st, err := s.Load(ctx)
		if err != nil {
			return Result{}, err
		}
		if c.Edits, err = makeEdits(st); err != nil {
			return Result{}, err
		}
		res, err := s.Apply(ctx, c)
		if !errors.As(err, &conflict) {
			return res, err
		}
	}
	return Result{}, conflict
}

// changeRevision returns the revision of an accepted change.
func (s *Store) changeRevision(ctx context.Context, id string) (rev uint64, ok bool, err error) {
	row, err := s.readChange(ctx, id)
	if row == nil || err != nil {
		return 0, false, err
	}
	return row.Revision, true, nil
}

// readChange returns the row of a change ID, or nil if there is none.
func (s *Store) readChange(ctx context.Context, id string) (*changeRow, error) {
	row, err := s.table.Get(ctx, changeKey(id))
	if platform.IsKind(err, platform.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithMessage(err, "look up the change ID")
	}
	var r changeRow
	if err := decodeRow(row, &r.Format, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
