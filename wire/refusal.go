package wire

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// RunState tells whether a request was sent to a target.
type RunState string

const (
	// NotRun means that no byte of the request was or will be sent to a target.
	NotRun RunState = "not-run"
	// Running means that a target is processing the request.
	Running RunState = "running"
	// Ran means that a target has responded or closed the connection.
	Ran RunState = "ran"
	// Unknown means that the state cannot be determined.
	Unknown RunState = "unknown"
)

// Reason classifies refusals.
type Reason string

// Reasons for refusals. Each has an HTTP status and a remedy for the caller.
const (
	ReasonBadRequest            Reason = "bad-request"
	ReasonNoRoute               Reason = "no-route"
	ReasonNoKey                 Reason = "no-key"
	ReasonBadKey                Reason = "bad-key"
	ReasonForbidden             Reason = "forbidden"
	ReasonRateExceeded          Reason = "rate-exceeded"
	ReasonLimiterUnavailable    Reason = "limiter-unavailable"
	ReasonBusy                  Reason = "busy"
	ReasonTargetCold            Reason = "target-cold"
	ReasonLeaving               Reason = "leaving"
	ReasonDataCentreOut         Reason = "data-centre-out"
	ReasonNoTarget              Reason = "no-target"
	ReasonStaleEpoch            Reason = "stale-epoch"
	ReasonStaleConfig           Reason = "stale-config"
	ReasonQuarantined           Reason = "quarantined"
	ReasonTooLarge              Reason = "too-large"
	ReasonTimeout               Reason = "timeout"
	ReasonUnreachable           Reason = "unreachable"
	ReasonTargetFailed          Reason = "target-failed"
	ReasonIdempotencyKeyReused  Reason = "idempotency-key-reused"
	ReasonInProgress            Reason = "in-progress"
	ReasonClaimStoreUnavailable Reason = "claim-store-out"
	ReasonUnauthenticatedPeer   Reason = "unauthentic-peer"
	ReasonSettled               Reason = "settled"
	ReasonStaleHost             Reason = "out-of-touch"
	ReasonTargetDied            Reason = "target-died"
	ReasonDuplicateAttempt      Reason = "duplicate-attempt"
	// ReasonTargetGray means that the target probably fails a large share of its
	// requests.
	ReasonTargetGray Reason = "target-gray"
	// ReasonVersionWithdrawn means that the target's version is not the one in use and
	// has no allowance to receive requests.
	ReasonVersionWithdrawn Reason = "version-withdrawn"
	// ReasonTargetShed means that the target stated that it did not run the request.
	ReasonTargetShed Reason = "target-shed"
	// ReasonWrongTarget means that another target was at the address and refused
	// the request.
	ReasonWrongTarget Reason = "wrong-target"
)

// Refusal is the error for a request without a response from a target.
type Refusal struct {
	Reason Reason
	// Run tells whether the request ran. It is NotRun only if that is certain.
	Run RunState
	// Detail is a human-readable explanation.
	Detail string
	// RetryAfter is the suggested delay before a retry; 0 means none.
	RetryAfter time.Duration
	// Epoch is the gate's epoch if Reason is ReasonStaleEpoch.
	Epoch Epoch
	// Revision is the configuration revision of the refusing side if Reason is
	// ReasonStaleConfig.
	Revision uint64
	// Load is the load of the target; it is zero if the attempt was refused
	// before the target's state was checked.
	Load Load
}

// Refuse returns a refusal with run state NotRun.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Run: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal with run state Unknown.
func RefuseUnknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Run: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Reason, r.Run, r.Detail, r.Reason.Remedy())
}

// AsRefusal returns the Refusal in the chain of err, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
