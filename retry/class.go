package retry

import "github.com/gooseberryshed/gooseberryshed/wire"

// class groups reasons by what another attempt can mend.
type class int

const (
	// classFinal is the same everywhere: no attempt mends it.
	classFinal class = iota
	// classMove names a target that cannot be used just now; another can. The
	// refusal cost no target anything.
	classMove
	// classElsewhere may be mended by another gate.
	classElsewhere
	// classRefresh is mended by what the refusal itself carries.
	classRefresh
	// classDeath may be the request's own doing.
	classDeath
)

// classes lists every reason that an attempt may mend; the others are final.
var classes = map[wire.Reason]class{
	wire.ReasonBusy:           classElsewhere,
	wire.ReasonCold:           classMove,
	wire.ReasonLeaving:        classMove,
	wire.ReasonDataCentreOut:  classMove,
	wire.ReasonNoTarget:       classMove,
	wire.ReasonTimeout:        classElsewhere,
	wire.ReasonUnreachable:    classElsewhere,
	wire.ReasonTargetFailed:   classElsewhere,
	wire.ReasonUnauthentic:    classElsewhere,
	wire.ReasonSettled:        classElsewhere,
	wire.ReasonOutOfTouch:     classMove,
	wire.ReasonDuplicateOrder: classElsewhere,
	wire.ReasonStaleEpoch:     classRefresh,
	wire.ReasonStaleConfig:    classRefresh,
	wire.ReasonTargetDied:     classDeath,
}

func classOf(r wire.Reason) class { return classes[r] }
