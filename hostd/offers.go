package hostd

import (
	"sync"

	"github.com/gooseberryshed/gooseberryshed/offerlog"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// offers is the record of the offers of one request to gates. It alone tells whether the
// request may have run: an offer is open until its run state has been recorded, so that there
// is no moment at which it is neither open nor counted.
type offers struct {
	mu     sync.Mutex
	record offerlog.Request
}

type offer = offerlog.Offer

// begin records an offer. It returns nil if the target's host already has one or if
// no further offers may be made.
func (o *offers) begin(t Target, incarnation int64) *offer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.Begin(t.ID, t.Host, incarnation)
}

// markSent records that the gate is sending the request to the target.
func (o *offers) markSent(x *offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.MarkSent()
}

// mayBegin reports whether the first transmission of an offer may be written to a connection.
func (o *offers) mayBegin(x *offer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return x.MayBegin()
}

// repeat records that an offer is made again and returns the number of the transmission.
func (o *offers) repeat(x *offer) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return x.Repeat()
}

// learn records the reply to a transmission of an offer.
func (o *offers) learn(x *offer, transmission int, r Reply) offerlog.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return x.Reply(transmission, offerlog.Reply{Lost: connectionLost(r), Run: runStateOf(r), Settled: r.Settled})
}

// concluded reports whether the run state of an offer is known for good, and which it is.
func (o *offers) concluded(x *offer) (bool, wire.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return x.State() == offerlog.Finished, x.RunState()
}

// withdrawing records that the gate is about to be asked to withdraw an offer.
func (o *offers) withdrawing(x *offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.Withdrawing()
}

// settle records the gate's answer to a withdrawal.
func (o *offers) settle(x *offer, sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.SettleWithdrawal(sent)
}

// end ends an offer whose last reply has a run state, and returns what is known for good. A
// refusal as not run counts only if the record of the offer says so too.
func (o *offers) end(x *offer, run wire.RunState) wire.RunState {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.Reply(0, offerlog.Reply{Run: run})
	return o.record.End(x)
}

// runState returns NotRun if no offer has run, and none will, and Unknown otherwise.
func (o *offers) runState() wire.RunState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.RunState()
}

// withdraw prevents further offers and withdraws the open ones. It returns true if the
// request has not run and will not. withdrawn reports whether an offer was withdrawn
// before its gate sent it to the target; if so, the gate never will.
func (o *offers) withdraw(withdrawn func(offer) bool) bool {
	for _, x := range o.close() {
		o.mu.Lock()
		x.Withdrawing()
		asked := *x
		o.mu.Unlock()
		if asked.State() == offerlog.Sent || !withdrawn(asked) {
			return false
		}
		o.settle(x, false)
	}
	return o.runState() == wire.NotRun // an offer may have ended in the meantime
}

// close prevents further offers and returns the open ones.
func (o *offers) close() []*offer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record.Close()
}

// runStateOf returns the run state of a gate's reply.
func runStateOf(r Reply) wire.RunState {
	if r.Answer != nil {
		return wire.Ran
	}
	return r.Refusal.Run
}
