package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// ticket is the state of an admitted attempt, which is queued for or holds a
// slot of its target.
type ticket struct {
	g        *Gate
	att      wire.Attempt
	t        *target
	svc      config.Service
	deadline time.Time
	// queued is set if the attempt had to wait in the queue.
	queued bool
	// sentAt is the time just before the first byte was sent.
	sentAt time.Time
	// closedOnReuse is set if the target closed a reused connection before it responded,
	// and the request was sent again.
	closedOnReuse bool

	// The fields below are guarded by the gate's lock.

	// dispatched is set once the ledger has recorded the attempt as dispatched.
	dispatched bool
	// holdsSlot is set while the ticket owns a slot that no exchange uses.
	holdsSlot bool
	// slotAcquiredAt is the time at which the current slot was acquired.
	slotAcquiredAt time.Time
}

// exchange is one exchange with the target. It takes over the ticket's slot
// when it is sent. If the exchange ends before its call has returned, the
// ticket owns the slot again; otherwise the slot is released. An abandoned
// exchange ends only when the target closes its end of the connection or
// Options.Linger has passed, so requests that the target is still processing
// count against its limit.
type exchange struct {
	tk       *ticket
	returned bool
}

// beforeSend runs immediately before the first byte is sent.
func (x *exchange) beforeSend() error {
	ref := x.tk.g.dispatch(x.tk)
	if ref != nil {
		return ref
	}
	return nil
}

// onEnded is called when the exchange has ended at the target.
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

// markReturned records that the call that made the exchange has returned.
func (x *exchange) markReturned() {
	x.tk.g.mu.Lock()
	x.returned = true
	x.tk.g.mu.Unlock()
}

// finish completes a ticket. A slot still used by an exchange is released when
// that exchange ends. The caller must hold the lock.
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

// slotTime returns how long the attempt has used its slot, or 0 if nothing was
// sent.
func (tk *ticket) slotTime(now time.Time) time.Duration {
	if !tk.dispatched {
		return 0
	}
	return now.Sub(tk.sentAt)
}
