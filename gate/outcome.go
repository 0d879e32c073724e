package gate

import "time"

// Kind is how an exchange with a target ended.
type Kind string

// The kinds of outcomes.
const (
	// KindOK is an answer with a status below 500.
	KindOK Kind = "ok"
	// KindError is an answer with a status of 500 or above.
	KindError Kind = "error"
	// KindShed is a 503.
	KindShed Kind = "shed"
	// KindTimeout is no answer in time, or a body that stopped.
	KindTimeout Kind = "timeout"
	// KindBroken is a connection closed before the whole answer, or an answer
	// that breaks the protocol.
	KindBroken Kind = "broken"
	// KindUnreachable is a target that could not be connected to.
	KindUnreachable Kind = "unreachable"
	// KindDied is the death of a target, with the requests in flight then.
	KindDied Kind = "died"
)

// Outcome is what the gate saw of one exchange, or of the death of a target.
type Outcome struct {
	// Target is the member.Target ID.
	Target string
	// Incarnation is the target's; together with Target it identifies a death,
	// which may be reported in parts.
	Incarnation uint64
	Service     string
	Kind        Kind
	// Latency is the time to the answer's header.
	Latency time.Duration
	// Allowed is the time that the attempt had when it came to the gate.
	Allowed   time.Duration
	Workspace string
	// Fingerprint identifies the request; 0 for deaths.
	Fingerprint uint64
	// InFlight lists the fingerprints that a dying target was running.
	InFlight []uint64
	At       time.Time
}

// Observer is told the outcomes. Calls must return at once; they come from
// many goroutines, without the gate's lock.
type Observer interface {
	OnOutcome(o Outcome)
}

type nopObserver struct{}

func (nopObserver) OnOutcome(Outcome) {}

func (g *Gate) notifyOutcomes(outcomes []Outcome) {
	for _, o := range outcomes {
		g.opts.Observer.OnOutcome(o)
	}
}
