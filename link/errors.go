package link

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Stage is the progress of an exchange at its failure.
type Stage int

const (
	// StageDial means that no byte of the request was sent.
	StageDial Stage = iota + 1
	// StageSent means that the peer may have received a part of the request and
	// no byte of the response was received.
	StageSent
	// StageResponse means that a part of the response was received.
	StageResponse
)

var stageText = map[Stage]string{
	StageDial:     "request not sent",
	StageSent:     "request sent, no response",
	StageResponse: "response incomplete",
}

// String implements fmt.Stringer.
func (s Stage) String() string { return stageText[s] }

// Cause classifies the failure of an exchange.
type Cause int

const (
	// CauseClosed means that the connection could not be established, or that
	// the peer closed or reset it.
	CauseClosed Cause = iota + 1
	// CauseTimeout means that a deadline or a read timeout expired.
	CauseTimeout
	// CauseCanceled means that the caller canceled the exchange.
	CauseCanceled
	// CauseProtocol means that the peer did not send a valid response with a
	// verifiable end.
	CauseProtocol
	// CauseRejected means that RequestOptions.BeforeSend returned an error.
	CauseRejected
)

var causeText = map[Cause]string{
	CauseClosed:   "connection refused or closed; check that the peer runs and is reachable",
	CauseTimeout:  "timed out; check the peer and the network path to it",
	CauseCanceled: "canceled by the caller",
	CauseProtocol: "invalid or unframed response; check that the peer sends Content-Length or chunked responses",
	CauseRejected: "rejected by the caller before sending",
}

// String implements fmt.Stringer.
func (c Cause) String() string { return causeText[c] }

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	Cause Cause
	// Reused reports whether the connection had carried an earlier exchange.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns the *Error in the chain of err, or nil.
func AsError(err error) *Error {
	var le *Error
	if errors.As(err, &le) {
		return le
	}
	return nil
}

// causeOf classifies an I/O error. If ctx has ended, that is the cause.
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
