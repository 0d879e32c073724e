package link

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Stage is how far an exchange went.
type Stage int

const (
	// StageDial means that no byte of the request was sent.
	StageDial Stage = iota + 1
	// StageSent means that bytes of the request may have arrived and no byte
	// of the answer has.
	StageSent
	// StageAnswer means that a part of the answer was received.
	StageAnswer
)

var stageText = map[Stage]string{
	StageDial:   "nothing sent",
	StageSent:   "sent, no answer",
	StageAnswer: "answer incomplete",
}

// String implements fmt.Stringer.
func (s Stage) String() string { return stageText[s] }

// Cause is the kind of failure that ended an exchange.
type Cause int

const (
	// CauseClosed means that the peer closed or reset the connection, or
	// could not be connected to.
	CauseClosed Cause = iota + 1
	// CauseTimeout means that a deadline or a bound on silence passed.
	CauseTimeout
	// CauseCanceled means that the caller gave up.
	CauseCanceled
	// CauseProtocol means that the peer's bytes were not a verifiable answer.
	CauseProtocol
	// CauseRejected means that Exchange.BeforeSend returned an error.
	CauseRejected
)

var causeText = map[Cause]string{
	CauseClosed:   "connection refused or closed; check that the peer runs and is reachable",
	CauseTimeout:  "no progress in time; check the peer and the path to it",
	CauseCanceled: "canceled by the caller",
	CauseProtocol: "unverifiable answer; check that the peer frames its answers by Content-Length or chunks",
	CauseRejected: "rejected before sending",
}

// String implements fmt.Stringer.
func (c Cause) String() string { return causeText[c] }

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Cause Cause
	// Reused reports that the connection had served an earlier exchange.
	Reused bool
	Addr   string
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("exchange with %s: %s: %s", e.Addr, e.Stage, e.Cause)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as an Error, or nil.
func AsError(err error) *Error {
	var le *Error
	if errors.As(err, &le) {
		return le
	}
	return nil
}

// causeOf classifies an I/O error; ctx tells cancellation from a broken peer.
func causeOf(ctx context.Context, err error) Cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CauseTimeout
	case ctx.Err() != nil:
		return CauseCanceled
	case isTimeout(err):
		return CauseTimeout
	default:
		return CauseClosed
	}
}

func isTimeout(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
