package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// ticket is an attempt that holds a slot of its target.
type ticket struct {
	g        *Gate
	att      wire.Attempt
	t        *target
	svc      config.Service
	deadline time.Time
	// waited is set when the attempt was queued.
	waited bool
	// sentAt is when its first byte was about to go out.
	sentAt time.Time

	// The fields below are guarded by the gate's lock.

	// dispatched is set once the ledger has entered the attempt.
	dispatched bool
	// held is set while a slot is held that no exchange uses.
	held bool
	// slotSince is when the last slot was taken.
	slotSince time.Time
}

// try is one exchange with the target. It takes over the ticket's slot when it
// is sent. When it ends before its call has returned, the ticket has the slot
// again; afterwards the slot is free. An exchange that was given up ends only
// when the target closes its end of the connection, so requests that the
// target still works on keep counting.
type try struct {
	tk       *ticket
	returned bool
}

// beforeSend is the last step before the first byte.
func (y *try) beforeSend() error {
	ref := y.tk.g.dispatch(y.tk)
	if ref != nil {
		return ref
	}
	return nil
}

// ended is called when the target has ended the exchange.
func (y *try) ended() {
	g := y.tk.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !y.returned {
		y.tk.held = true
		return
	}
	g.freeSlot(y.tk, g.opts.Clock())
}

// returns records that the exchange's call has returned.
func (y *try) returns() {
	y.tk.g.mu.Lock()
	y.returned = true
	y.tk.g.mu.Unlock()
}

// end ends a ticket; a slot that an exchange still uses is freed by its end.
// The lock is held.
func (g *Gate) end(tk *ticket, now time.Time) {
	if tk.dispatched {
		g.ledger.Done(tk.att.ID, tk.att.Epoch)
	}
	if tk.held {
		tk.held = false
		g.freeSlot(tk, now)
	} else {
		g.pump(tk.t, now) // the limit may have risen
	}
	g.leave()
}

// hold is how long the attempt has used its slot, or 0 when nothing was sent.
func (tk *ticket) hold(now time.Time) time.Duration {
	if !tk.dispatched {
		return 0
	}
	return now.Sub(tk.sentAt)
}
