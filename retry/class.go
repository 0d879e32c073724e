package retry

import "github.com/gooseberryshed/gooseberryshed/wire"

// class groups reasons by what another attempt can mend.
type class int

const (
	// classFinal is the same everywhere: no attempt mends it.
	classFinal class = iota
	// classReroute names a target that cannot be used just now; another can. The
	// refusal cost no target anything.
	classReroute
	// classRetryable may be mended by another gate.
	classRetryable
	// classStale is mended by what the refusal itself carries.
	classStale
	// classTargetDied may be the request's own doing.
	classTargetDied
)

// classes lists every reason that an attempt may mend; the others are final.
var classes = map[wire.Reason]class{
	wire.ReasonBusy:           classRetryable,
	wire.ReasonCold:           classReroute,
	wire.ReasonLeaving:        classReroute,
	wire.ReasonDataCentreOut:  classReroute,
	wire.ReasonNoTarget:       classReroute,
	wire.ReasonTimeout:        classRetryable,
	wire.ReasonUnreachable:    classRetryable,
	wire.ReasonTargetFailed:   classRetryable,
	wire.ReasonUnauthentic:    classRetryable,
	wire.ReasonSettled:        classRetryable,
	wire.ReasonOutOfTouch:     classReroute,
	wire.ReasonDuplicateOrder: classRetryable,
	wire.ReasonStaleEpoch:     classStale,
	wire.ReasonStaleConfig:    classStale,
	wire.ReasonTargetDied:     classTargetDied,
}

func classOf(r wire.Reason) class { return classes[r] }
