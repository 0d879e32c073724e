package wire

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// RunState says whether a request was handed to a target.
type RunState string

const (
	// NotRun means that no byte of the request went to a target and none will.
	NotRun RunState = "not-run"
	// Running means that the request is at a target.
	Running RunState = "running"
	// Ran means that a target has answered it or ended the connection.
	Ran RunState = "ran"
	// Unknown means that nobody can tell.
	Unknown RunState = "unknown"
)

// Reason is the kind of a refusal.
type Reason string

// The reasons of refusals. Each has a remedy for the caller and an HTTP status.
const (
	ReasonBadRequest     Reason = "bad-request"
	ReasonNoRoute        Reason = "no-route"
	ReasonNoKey          Reason = "no-key"
	ReasonBadKey         Reason = "bad-key"
	ReasonForbidden      Reason = "forbidden"
	ReasonRate           Reason = "rate-exceeded"
	ReasonLimiter        Reason = "limiter-unavailable"
	ReasonBusy           Reason = "busy"
	ReasonCold           Reason = "target-cold"
	ReasonLeaving        Reason = "leaving"
	ReasonDataCentreOut  Reason = "data-centre-out"
	ReasonNoTarget       Reason = "no-target"
	ReasonStaleEpoch     Reason = "stale-epoch"
	ReasonStaleConfig    Reason = "stale-config"
	ReasonQuarantined    Reason = "quarantined"
	ReasonTooLarge       Reason = "too-large"
	ReasonTimeout        Reason = "timeout"
	ReasonUnreachable    Reason = "unreachable"
	ReasonTargetFailed   Reason = "target-failed"
	ReasonKeyReused      Reason = "idempotency-key-reused"
	ReasonInProgress     Reason = "in-progress"
	ReasonClaimStoreOut  Reason = "claim-store-out"
	ReasonUnauthentic    Reason = "unauthentic-peer"
	ReasonSettled        Reason = "settled"
	ReasonOutOfTouch     Reason = "out-of-touch"
	ReasonTargetDied     Reason = "target-died"
	ReasonDuplicateOrder Reason = "duplicate-attempt"
	// ReasonGray is a target that seems to fail much of its work.
	ReasonGray Reason = "target-gray"
	// ReasonShed is a target that stated that it did not run the request.
	ReasonShed Reason = "target-shed"
	// ReasonWrongTarget is another target at the address, which refused.
	ReasonWrongTarget Reason = "wrong-target"
)

// Refusal is the error of a request that got no answer from a target.
type Refusal struct {
	Reason Reason
	// Run says whether the request ran. It is NotRun only when that is certain.
	Run RunState
	// Detail is for people.
	Detail string
	// RetryAfter suggests when to try again; 0 suggests nothing.
	RetryAfter time.Duration
	// Epoch is the gate's epoch when Reason is ReasonStaleEpoch.
	Epoch Epoch
	// Revision is the refusing side's configuration when Reason is
	// ReasonStaleConfig.
	Revision uint64
	// Load is the gate's report on the target, when it got as far as that.
	Load Load
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Run: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal of a request that may have run.
func RefuseUnknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Run: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Reason, r.Run, r.Detail, r.Reason.Remedy())
}

// AsRefusal returns err as a refusal, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
