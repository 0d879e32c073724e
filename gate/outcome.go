package gate

import "time"

// Kind is how an exchange with a target ended.
type Kind string

// The kinds of outcomes.
const (
	// KindOK is a response with a status below 500.
	KindOK Kind = "ok"
	// KindError is a response with a status of 500 or above, other than 503.
	KindError Kind = "error"
	// KindShed is a response with status 503, by which the target sheds load.
	KindShed Kind = "shed"
	// KindTimeout is a missing response, or a body that stalled.
	KindTimeout Kind = "timeout"
	// KindBroken is a connection closed before the response was complete, or a
	// response that violates the protocol.
	KindBroken Kind = "broken"
	// KindUnreachable is a target that did not accept a connection.
	KindUnreachable Kind = "unreachable"
	// KindDied is the death of a target with requests in flight.
	KindDied Kind = "died"
)

// Outcome is the result of one exchange, or the death of a target.
type Outcome struct {
	// Target is the member.Target ID.
	Target string
	// Incarnation is the target's incarnation. Together with Target it
	// identifies a death, which may be reported in several parts.
	Incarnation uint64
	Service     string
	Kind        Kind
	// Latency is the time until the response headers, or until the failure.
	Latency time.Duration
	// Remaining is the time that was left until the deadline when the attempt
	// reached the gate.
	Remaining time.Duration
	Workspace string
	// Fingerprint identifies the request; 0 for deaths.
	Fingerprint uint64
	// InFlight lists the fingerprints of the requests that a target was running
	// when it died.
	InFlight []uint64
	At       time.Time
}

// Observer receives outcomes. OnOutcome is called from many goroutines without
// the gate's lock, and must not block.
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
