package configstore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// updateAttempts bounds how often Update decides anew.
const updateAttempts = 8

// Update applies a change whose edits follow from the current document, such as
// the withdrawal of one key. When another change comes first it decides anew.
// Edits in c are ignored. A call with the id of an accepted change returns that
// change's revision, as the edits may no longer follow from the document.
func (s *Store) Update(ctx context.Context, c Change, decide func(State) ([]Edit, error)) (Result, error) {
	var lost *ConflictError
	if rev, ok, err := s.changeRevision(ctx, c.ID); ok || err != nil {
		return Result{Revision: rev, Repeated: ok}, err
	}
	for range updateAttempts {
		st, err := s.Load(ctx)
		if err != nil {
			return Result{}, err
		}
		if c.Edits, err = decide(st); err != nil {
			return Result{}, err
		}
		res, err := s.Apply(ctx, c)
		if !errors.As(err, &lost) {
			return res, err
		}
	}
	return Result{}, lost
}

// changeRevision returns the revision of an accepted change.
func (s *Store) changeRevision(ctx context.Context, id string) (rev uint64, ok bool, err error) {
	row, err := s.change(ctx, id)
	if row == nil || err != nil {
		return 0, false, err
	}
	return row.Revision, true, nil
}

// change reads the row of a change id; nil when there is none.
func (s *Store) change(ctx context.Context, id string) (*changeRow, error) {
	row, err := s.table.Get(ctx, changeKey(id))
	if platform.IsKind(err, platform.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithMessage(err, "look up the change id")
	}
	var r changeRow
	if err := decodeRow(row, &r.Format, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
