package retry

import "github.com/gooseberryshed/gooseberryshed/wire"

// class groups refusal reasons by which kind of further attempt can succeed.
type class int

const (
	// classFinal has the same result everywhere; no further attempt can
	// succeed.
	classFinal class = iota
	// classReroute means that the target is currently unavailable but another
	// one may not be. The refusal put no load on a target.
	classReroute
	// classRetryable may succeed at another gate.
	classRetryable
	// classStale is resolved by the information that the refusal carries.
	classStale
	// classTargetDied may have been caused by the request itself.
	classTargetDied
)

// classes lists every reason that a further attempt may resolve; all other
// reasons are final.
var classes = map[wire.Reason]class{
	wire.ReasonBusy:                classRetryable,
	wire.ReasonTargetCold:          classReroute,
	wire.ReasonLeaving:             classReroute,
	wire.ReasonDataCentreOut:       classReroute,
	wire.ReasonNoTarget:            classReroute,
	wire.ReasonTimeout:             classRetryable,
	wire.ReasonUnreachable:         classRetryable,
	wire.ReasonTargetFailed:        classRetryable,
	wire.ReasonUnauthenticatedPeer: classRetryable,
	wire.ReasonSettled:             classRetryable,
	wire.ReasonStaleHost:           classReroute,
	wire.ReasonDuplicateAttempt:    classRetryable,
	wire.ReasonStaleEpoch:          classStale,
	wire.ReasonStaleConfig:         classStale,
	wire.ReasonTargetDied:          classTargetDied,
}

func classOf(r wire.Reason) class { return classes[r] }
