package configstore

import "fmt"

// ConflictError reports that a section has changed since the revision that an
// edit is based on.
type ConflictError struct {
	Section string
	// Base is the revision that the edit is based on.
	Base uint64
	// Current is the revision that last changed the section.
	Current uint64
	// Removed is set if that change removed the section.
	Removed bool
	// Author is the author of the change at Current.
	Author string
	// Diff shows how the rejected change would have changed the current
	// section.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	what := "changed"
	if e.Removed {
		what = "removed"
	}
	return fmt.Sprintf("section %s was %s at revision %d by %s, after your base revision %d; "+
		"run gooseberryshed config show, edit its output, and apply it again.\n"+
		"Your change compared with the current section:\n%s", e.Section, what, e.Current, e.Author, e.Base, e.Diff)
}

// UncertainError reports that it is unknown whether a change was accepted.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("change %s may have been accepted; when the platform is available again, repeat the command "+
		"with --change-id %s, which does not apply the change twice: %v", e.ChangeID, e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// ContentionError reports that concurrent changes were committed first in every
// attempt.
type ContentionError struct{ Attempts int }

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("concurrent changes were accepted first in all %d attempts; nothing was applied, try again", e.Attempts)
}

// ReusedIDError reports that a change ID was already used for another change.
type ReusedIDError struct {
	ChangeID string
	Revision uint64
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change ID %s was already used for another change, accepted at revision %d; nothing was applied, use a new ID", e.ChangeID, e.Revision)
}

// GapError reports that the deltas directly after a revision are missing.
type GapError struct {
	// Have is the last revision before the gap and Next the first after it.
	Have, Next uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes are missing after revision %d, the next one is %d; load the whole document", e.Have, e.Next)
}

// CorruptError reports a row or object that is damaged, missing or of an
// unsupported format.
type CorruptError struct {
	Key string
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }
