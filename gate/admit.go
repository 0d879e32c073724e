package gate

import (
	"context"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/fairqueue"
	"github.com/gooseberryshed/gooseberryshed/ledger"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// busyRetryAfter is the retry delay suggested in refusals for overload.
const busyRetryAfter = 100 * time.Millisecond

// admit checks an attempt and acquires a slot at its target, waiting in the
// queue if necessary.
func (g *Gate) admit(ctx context.Context, att wire.Attempt) (*ticket, *wire.Refusal) {
	if ref := g.checkPolicy(att); ref != nil {
		return nil, ref
	}
	if att.Remaining <= 0 {
		return nil, wire.Refuse(wire.ReasonTimeout, "no time left before the deadline")
	}
	now := g.opts.Clock()
	tk := &ticket{g: g, att: att, deadline: now.Add(att.Remaining)}
	g.mu.Lock()
	item, ref := g.acquireSlotOrEnqueue(tk, now)
	g.mu.Unlock()
	if ref != nil {
		return nil, ref
	}
	if item == nil {
		return tk, nil
	}
	tk.queued = true
	return g.awaitSlot(ctx, tk, item)
}

// checkPolicy runs the policy and quarantine checks. It does not need the lock.
func (g *Gate) checkPolicy(att wire.Attempt) *wire.Refusal {
	if g.opts.Policy != nil {
		if ref := g.opts.Policy.Check(att); ref != nil {
			return ref
		}
	}
	if g.opts.Quarantine != nil && g.opts.Quarantine.Check(att.Fingerprint) {
		return wire.Refuse(wire.ReasonQuarantined, "requests with this fingerprint have crashed targets")
	}
	return nil
}

// acquireSlotOrEnqueue acquires a slot for the ticket, or enqueues it and
// returns its queue item. The caller must hold the lock.
func (g *Gate) acquireSlotOrEnqueue(tk *ticket, now time.Time) (*fairqueue.Item[*waiter], *wire.Refusal) {
	g.stats.Attempts++
	if ref := g.ledgerRefusal(g.ledger.Check(tk.att.ID, tk.att.Epoch)); ref != nil {
		return nil, ref
	}
	if g.draining {
		return nil, wire.Refuse(wire.ReasonLeaving, "host %s is stopping", g.opts.Host)
	}
	t, ref := g.findTarget(tk.att, now)
	if ref != nil {
		return nil, ref
	}
	tk.t = t
	tk.svc = t.svc
	if g.acquireSlot(tk, now) {
		g.active++
		return nil, nil
	}
	if tk.att.NoQueue && t.limiter.Limit() < t.slots {
		return nil, g.refuseCold(t)
	}
	it, ref := g.enqueue(tk, now)
	if ref == nil {
		g.active++
		g.stats.Queued++
	}
	return it, ref
}

// ledgerRefusal converts a ledger verdict to a refusal; nil means admitted. The
// caller must hold the lock.
func (g *Gate) ledgerRefusal(v ledger.Verdict) *wire.Refusal {
	switch v {
	case ledger.Stale:
		g.stats.Stale++
		ref := wire.Refuse(wire.ReasonStaleEpoch, "the ledger no longer covers the attempt's epoch")
		ref.Epoch = g.ledger.Epoch()
		return ref
	case ledger.Duplicate:
		g.stats.Duplicates++
		return wire.RefuseUnknown(wire.ReasonDuplicateAttempt, "the attempt has already been dispatched")
	case ledger.Settled:
		return wire.Refuse(wire.ReasonSettled, "the attempt was settled as not run")
	case ledger.Full:
		g.stats.Busy++
		return wire.Refuse(wire.ReasonBusy, "the ledger of attempts is full")
	}
	return nil
}

func (g *Gate) findTarget(att wire.Attempt, now time.Time) (*target, *wire.Refusal) {
	host, name, ok := strings.Cut(att.Target, "/")
	if !ok || host != g.opts.Host {
		return nil, wire.Refuse(wire.ReasonNoTarget, "target %q is not on host %s", att.Target, g.opts.Host)
	}
	t := g.targets[name]
	if t == nil || t.service != att.Service {
		return nil, wire.Refuse(wire.ReasonNoTarget, "no target %q of service %q", att.Target, att.Service)
	}
	return t, t.refusal(g.opts, now)
}

func (g *Gate) enqueue(tk *ticket, now time.Time) (*fairqueue.Item[*waiter], *wire.Refusal) {
	item := &fairqueue.Item[*waiter]{
		Workspace: tk.att.Workspace,
		Weight:    g.opts.Weight(tk.att.Workspace),
		Deadline:  tk.deadline,
		Value:     &waiter{tk: tk, grant: make(chan *wire.Refusal, 1)},
	}
	load := fairqueue.Load{Concurrency: tk.t.limiter.Limit(), ServiceTime: tk.t.meanSlotTime}
	result, evicted := tk.t.queue.Push(item, now, load)
	if evicted != nil {
		g.stats.Evicted++
		evicted.Value.grant <- g.refuseBusy(tk.t, "the workspace has used its share of the queue")
	}
	switch result {
	case fairqueue.Full:
		return nil, g.refuseBusy(tk.t, "the queue is full")
	case fairqueue.TooLate:
		return nil, g.refuseBusy(tk.t, "the expected queueing time exceeds the deadline")
	}
	return item, nil
}

// refuseCold refuses an attempt at a target in cold start that is at its limit:
// another target is likely to serve the attempt sooner than this target's
// queue.
func (g *Gate) refuseCold(t *target) *wire.Refusal {
	g.stats.Busy++
	return wire.Refuse(wire.ReasonTargetCold, "target %s is in cold start and at its concurrency limit", t.id)
}

func (g *Gate) refuseBusy(t *target, detail string) *wire.Refusal {
	g.stats.Busy++
	ref := wire.Refuse(wire.ReasonBusy, "target %s: %s", t.id, detail)
	ref.RetryAfter = busyRetryAfter
	return ref
}

// awaitSlot waits until the queue grants a slot. The attempt is already counted
// as active.
func (g *Gate) awaitSlot(ctx context.Context, tk *ticket, item *fairqueue.Item[*waiter]) (*ticket, *wire.Refusal) {
	timer := time.NewTimer(tk.deadline.Sub(g.opts.Clock()))
	defer timer.Stop()
	var ref *wire.Refusal
	select {
	case ref = <-item.Value.grant:
	case <-ctx.Done():
		ref = g.cancelWait(tk, item, "the caller canceled the request while it was queued")
	case <-timer.C:
		ref = g.cancelWait(tk, item, "the deadline passed while the request was queued")
	}
	if ref != nil {
		g.mu.Lock()
		g.attemptDone()
		g.mu.Unlock()
		return nil, ref
	}
	tk.holdsSlot = true
	return tk, nil
}

// cancelWait removes the item from the queue, or releases a slot that was
// granted concurrently.
func (g *Gate) cancelWait(tk *ticket, item *fairqueue.Item[*waiter], detail string) *wire.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !tk.t.queue.Remove(item) {
		if ref := <-item.Value.grant; ref != nil {
			return ref
		}
		g.releaseSlot(tk, g.opts.Clock())
	}
	return wire.Refuse(wire.ReasonTimeout, "%s", detail)
}

// acquireSlot takes a free slot if no attempt is queued for it. The caller must
// hold the lock.
func (g *Gate) acquireSlot(tk *ticket, now time.Time) bool {
	if tk.t.queue.Len() > 0 || tk.t.inFlight >= tk.t.limiter.Limit() {
		return false
	}
	tk.t.inFlight++
	tk.slotAcquiredAt = now
	tk.t.queue.Begin(tk.att.Workspace, now)
	tk.holdsSlot = true
	return true
}

// releaseSlot frees a slot and grants it to the next queued attempt. The caller
// must hold the lock.
func (g *Gate) releaseSlot(tk *ticket, now time.Time) {
	tk.t.inFlight--
	tk.t.queue.End(tk.att.Workspace, now, now.Sub(tk.slotAcquiredAt))
	g.grantSlots(tk.t, now)
}

// grantSlots grants free slots to queued attempts. The caller must hold the
// lock.
func (g *Gate) grantSlots(t *target, now time.Time) {
	if t.refusal(g.opts, now) != nil {
		return
	}
	for t.inFlight < t.limiter.Limit() {
		item := t.queue.Pop(now, refuseExpired)
		if item == nil {
			return
		}
		t.inFlight++
		item.Value.tk.slotAcquiredAt = now
		item.Value.grant <- nil
	}
}

func refuseExpired(item *fairqueue.Item[*waiter]) {
	item.Value.grant <- wire.Refuse(wire.ReasonTimeout, "the deadline passed while the request was queued")
}

// attemptDone removes an attempt from the active count. The caller must hold
// the lock.
func (g *Gate) attemptDone() {
	g.active--
	g.signalDrained()
}
