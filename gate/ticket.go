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
	// queued is set when the attempt was queued.
	queued bool
	// sentAt is when its first byte was about to go out.
	sentAt time.Time

	// The fields below are guarded by the gate's lock.

	// dispatched is set once the ledger has entered the attempt.
	dispatched bool
	// holdsSlot is set while a slot is holdsSlot that no exchange uses.
	holdsSlot bool
	// slotAcquiredAt is when the last slot was taken.
	slotAcquiredAt time.Time
}

// exchange is one exchange with the target. It takes over the ticket's slot when it
// is sent. When it ends before its call has returned, the ticket has the slot
// again; afterwards the slot is free. An exchange that was given up ends only
// when the target closes its end of the connection, so requests that the
// target still works on keep counting.
type exchange struct {
	tk       *ticket
	returned bool
}

// beforeSend is the last step before the first byte.
func (x *exchange) beforeSend() error {
	ref := x.tk.g.dispatch(x.tk)
	if ref != nil {
		return ref
	}
	return nil
}

// onEnded is called when the target has onEnded the exchange.
func (x *exchange) onEnded() {
	g := x.tk.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !x.returned {
		x.tk.holdsSlot = true
		return
	}
	g.releaseSlot(x.tk, g.opts.Clock())
}

// markReturned records that the exchange's call has returned.
func (x *exchange) markReturned() {
	x.tk.g.mu.Lock()
	x.returned = true
	x.tk.g.mu.Unlock()
}

// finish ends a ticket; a slot that an exchange still uses is freed by its finish.
// The lock is held.
func (g *Gate) finish(tk *ticket, now time.Time) {
	if tk.dispatched {
		g.ledger.Done(tk.att.ID, tk.att.Epoch)
	}
	if tk.holdsSlot {
		tk.holdsSlot = false
		g.releaseSlot(tk, now)
	} else {
		g.grantSlots(tk.t, now) // the limit may have risen
	}
	g.attemptDone()
}

// slotTime is how long the attempt has used its slot, or 0 when nothing was sent.
func (tk *ticket) slotTime(now time.Time) time.Duration {
	if !tk.dispatched {
		return 0
	}
	return now.Sub(tk.sentAt)
}
