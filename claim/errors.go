package claim

import "fmt"

// Kind classifies why a claim could not be made or kept.
type Kind int

const (
	// KindStoreOut means that the table did not confirm the claim. The request
	// must be refused as not run.
	KindStoreOut Kind = iota + 1
	// KindLost means that another daemon has taken the claim over. The request
	// must not be attempted again.
	KindLost
	// KindFull means that too many writes wait for the table.
	KindFull
)

var kindText = map[Kind]string{
	KindStoreOut: "the table did not confirm the claim; repeat later with the same Idempotency-Key",
	KindLost:     "another daemon has taken the claim over; repeat with the same Idempotency-Key to learn the outcome",
	KindFull:     "too many claims are waiting for the table; repeat later with the same Idempotency-Key",
}

// Error is a failure of a claim. The request was not dispatched on its account.
type Error struct {
	Kind Kind
	// Err is the cause, if any.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return kindText[e.Kind]
	}
	return fmt.Sprintf("%s: %v", kindText[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
