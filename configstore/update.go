package configstore

import (
	"context"

	"github.com/pkg/errors"
)

// updateAttempts bounds how often Update decides anew.
const updateAttempts = 8

// Update applies a change whose edits follow from the current document, such as
// the withdrawal of one key. When another change comes first it decides anew.
// Edits in c are ignored.
func (s *Store) Update(ctx context.Context, c Change, decide func(State) ([]Edit, error)) (Result, error) {
	var lost *ConflictError
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
