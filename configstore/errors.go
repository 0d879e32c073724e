package configstore

import "fmt"

// ConflictError reports that a section has changed since it was read.
type ConflictError struct {
	Section string
	// Base is the revision that the editor started from.
	Base uint64
	// Current is the revision that changed the section last.
	Current uint64
	// Removed is set when that change removed it.
	Removed bool
	// Author made the change at Current.
	Author string
	// Diff shows what the rejected change would have done to the current
	// section.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	what := "changed"
	if e.Removed {
		what = "removed"
	}
	return fmt.Sprintf("section %s was %s at revision %d by %s, after your base %d; "+
		"run gooseberryshed config show, edit that, and apply again.\n"+
		"Your change against the current section:\n%s", e.Section, what, e.Current, e.Author, e.Base, e.Diff)
}

// UncertainError reports that a change may have been accepted.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("change %s may have been accepted or not; when the platform answers again, repeat the command "+
		"with --change-id %s, which cannot apply it twice: %v", e.ChangeID, e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// BusyError reports that other changes came first in every attempt.
type BusyError struct{ Attempts int }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("other changes were accepted first in %d attempts; nothing was applied, try again", e.Attempts)
}

// ReusedIDError reports a change id that an other change has used.
type ReusedIDError struct {
	ChangeID string
	Revision uint64
}

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s belongs to another change, accepted at revision %d; nothing was applied, use a new id", e.ChangeID, e.Revision)
}

// GapError reports deltas that do not continue a state.
type GapError struct {
	// Have is the revision of the state, Next the first delta after it.
	Have, Next uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the changes after revision %d begin at %d; load the whole document", e.Have, e.Next)
}

// CorruptError reports a row or object that cannot be read.
type CorruptError struct {
	Key string
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("%s is not readable: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }
