package claim

import "fmt"

// Kind classifies why a claim could not be made or kept.
type Kind int

const (
	// KindUnconfirmed means that the table did not confirm the claim. The
	// request must be refused as not run.
	KindUnconfirmed Kind = iota + 1
	// KindTakenOver means that another daemon has taken over the claim. The
	// request must not be attempted again.
	KindTakenOver
	// KindQueueFull means that too many writes are queued for the table.
	KindQueueFull
)

var kindText = map[Kind]string{
	KindUnconfirmed: "the table did not confirm the claim; retry later with the same Idempotency-Key",
	KindTakenOver:   "another daemon has taken over the claim; retry with the same Idempotency-Key to get the response",
	KindQueueFull:   "too many writes are queued for the table; retry later with the same Idempotency-Key",
}

// Error reports that a claim failed. The request was not dispatched under it.
type Error struct {
	Kind Kind
	// Err is the underlying error, if any.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return kindText[e.Kind]
	}
	return fmt.Sprintf("%s: %v", kindText[e.Kind], e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
