package offerlog

import (
	"slices"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// State is what an ingress knows of an offer. It only grows.
type State int

const (
	// Offered means that one transmission was begun and has no reply.
	Offered State = iota
	// PossiblySent means that a transmission was lost or the offer was made again.
	PossiblySent
	// Sent means that the gate has told that it sends the request to the target.
	Sent
	// Finished means that the run state of the offer is known for good.
	Finished
)

// Offer is the record of one offer of a request to a gate.
type Offer struct {
	Target, Host string
	// Incarnation is that of the gate's process as known when the request was offered first.
	Incarnation int64

	state State
	// run is the run state of a finished offer.
	run wire.RunState
	// last is the number of the last transmission; the first one is 0.
	last int
	// withdrawing is set once a gate may have been asked to withdraw the offer.
	withdrawing bool
}

// Reply is the end of one transmission of an offer.
type Reply struct {
	// Lost means that the connection ended without a reply.
	Lost bool
	// Run is the run state of the answer or the refusal.
	Run wire.RunState
	// Settled is set in a refusal by which the gate states from its record that the attempt
	// was not sent and will not be.
	Settled bool
}

// Verdict is what follows from a reply.
type Verdict int

const (
	// Concluded means that the offer is finished.
	Concluded Verdict = iota
	// Lost means that the transmission has told nothing.
	Lost
	// Superseded means that the transmission was refused after a later one had begun, which
	// may yet run.
	Superseded
	// Unsettled means that a repeat was refused, which says nothing about the transmissions
	// before it.
	Unsettled
)

// State returns what is known of the offer.
func (o *Offer) State() State { return o.state }

// RunState returns the run state of the offer, which is Unknown until it is finished.
func (o *Offer) RunState() wire.RunState {
	if o.state != Finished {
		return wire.Unknown
	}
	return o.run
}

func (o *Offer) grow(s State) { o.state = max(o.state, s) }

func (o *Offer) finish(run wire.RunState) {
	if o.state != Finished {
		o.state, o.run = Finished, run
	}
}

// MarkSent records that the gate has told that it sends the request to the target.
func (o *Offer) MarkSent() { o.grow(Sent) }

// Repeat records that the offer is made again and returns the number of the transmission.
func (o *Offer) Repeat() int {
	o.grow(PossiblySent)
	o.last++
	return o.last
}

// Reply records the end of a transmission.
func (o *Offer) Reply(transmission int, r Reply) Verdict {
	switch {
	case o.state == Finished:
		return Concluded
	case r.Lost:
		o.grow(PossiblySent)
		return Lost
	case r.Run != wire.NotRun, r.Settled, o.last == 0:
		o.finish(r.Run)
		return Concluded
	case transmission < o.last:
		return Superseded
	}
	return Unsettled
}

// Withdrawing records that the gate is about to be asked to withdraw the offer.
func (o *Offer) Withdrawing() { o.withdrawing = true }

// MayBegin reports whether the first transmission may be written to a connection. Once the
// gate has been asked about the offer, another process of it might get the transmission.
func (o *Offer) MayBegin() bool { return !o.withdrawing && o.last == 0 }

// SettleWithdrawal records the gate's answer to a withdrawal.
func (o *Offer) SettleWithdrawal(sent bool) {
	if sent {
		o.grow(PossiblySent)
		return
	}
	o.finish(wire.NotRun)
}

// End records that nothing more will be learnt of the offer, and returns its run state.
func (o *Offer) End() wire.RunState {
	o.finish(wire.Unknown)
	return o.run
}

// Request is the record of all offers of one request. It is not safe for concurrent use. The
// zero value has no offers.
type Request struct {
	open       []*Offer
	closed     bool
	mayHaveRun bool
}

// Begin records an offer. It returns nil if the host already has one that is open or if no
// further offers may be made.
func (q *Request) Begin(target, host string, incarnation int64) *Offer {
	if q.closed || slices.ContainsFunc(q.open, func(x *Offer) bool { return x.Host == host }) {
		return nil
	}
	o := &Offer{Target: target, Host: host, Incarnation: incarnation}
	q.open = append(q.open, o)
	return o
}

// End ends an offer and returns its run state.
func (q *Request) End(o *Offer) wire.RunState {
	run := o.End()
	q.mayHaveRun = q.mayHaveRun || run != wire.NotRun
	q.open = slices.DeleteFunc(q.open, func(x *Offer) bool { return x == o })
	return run
}

// Close prevents further offers and returns the open ones.
func (q *Request) Close() []*Offer {
	q.closed = true
	return slices.Clone(q.open)
}

// RunState returns NotRun if no offer has run, and none will. It is Unknown otherwise.
func (q *Request) RunState() wire.RunState {
	if q.mayHaveRun || slices.ContainsFunc(q.open, func(o *Offer) bool { return o.RunState() != wire.NotRun }) {
		return wire.Unknown
	}
	return wire.NotRun
}
