package hostd

import (
	"slices"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// offers records what became of each offer of one request to a gate. It alone tells
// whether the request may have run: an offer is open until the run state of its result
// has been recorded, so that there is no moment at which it is neither open nor counted.
type offers struct {
	mu         sync.Mutex
	open       []*offer
	closed     bool
	mayHaveRun bool
}

// offer is an offer whose result has not been recorded.
type offer struct {
	target, host string
	// incarnation is that of the gate when the request was offered.
	incarnation int64
	// sent is set when the gate has reported that it is sending the request to
	// the target.
	sent bool
}

// begin records an offer. It returns nil if the target's host already has one or if
// no further offers may be made.
func (o *offers) begin(t Target, incarnation int64) *offer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || slices.ContainsFunc(o.open, func(x *offer) bool { return x.host == t.Host }) {
		return nil
	}
	x := &offer{target: t.ID, host: t.Host, incarnation: incarnation}
	o.open = append(o.open, x)
	return x
}

// markSent records that the gate is sending the request to the target.
func (o *offers) markSent(x *offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.sent = true
}

// end records the run state of an offer's result.
func (o *offers) end(x *offer, run wire.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if run != wire.NotRun {
		o.mayHaveRun = true
	}
	o.open = slices.DeleteFunc(o.open, func(y *offer) bool { return y == x })
}

// runState returns NotRun if no offer is open and none may have run, and Unknown
// otherwise.
func (o *offers) runState() wire.RunState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mayHaveRun || len(o.open) > 0 {
		return wire.Unknown
	}
	return wire.NotRun
}

// withdraw prevents further offers and withdraws the open ones. It returns true if the
// request has not run and will not. withdrawn reports whether an offer was withdrawn
// before its gate sent it to the target; if so, the gate never will.
func (o *offers) withdraw(withdrawn func(offer) bool) bool {
	for _, x := range o.close() {
		if x.sent || !withdrawn(x) {
			return false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.mayHaveRun // an offer may have ended in the meantime
}

// close prevents further offers and returns the open ones.
func (o *offers) close() []offer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	open := make([]offer, len(o.open))
	for i, x := range o.open {
		open[i] = *x
	}
	return open
}

// runStateOf returns the run state of a gate's reply.
func runStateOf(r Reply) wire.RunState {
	if r.Answer != nil {
		return wire.Ran
	}
	return r.Refusal.Run
}
