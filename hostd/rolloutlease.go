package hostd

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

const (
	// leaseRenewal is the interval between writes of the row.
	leaseRenewal = time.Second
	// leaseTTL is the time since the last successful write began during which the holder
	// grants. It is shorter than takeoverAfter.
	leaseTTL = 2 * time.Second
	// takeoverAfter is how long a row must be unchanged before another host takes over.
	takeoverAfter = 3 * time.Second
	// holderSilence is how long a holder must be silent before a host reads its row, and
	// holderStagger the time between the hosts' reads, by rank. maxHolderRank bounds it.
	holderSilence = time.Second
	holderStagger = 400 * time.Millisecond
	maxHolderRank = 12
	// rowReadInterval is the interval between reads of a row that may be taken over.
	rowReadInterval = 700 * time.Millisecond
	// writeRetry is the interval between writes of the row that fail.
	writeRetry = 300 * time.Millisecond
	// rowReadRetry is the interval between reads before the state is known at all: until
	// then a target that was there before the process must refuse.
	rowReadRetry = 250 * time.Millisecond
)

// lease is the holder's part of a roll-out. It is guarded by rollouts.mu.
type lease struct {
	controller *rollout.Controller
	// startedAt is the time of the order on this host's clock.
	startedAt time.Duration
	// version is that of the row, writtenAt when the last successful write began, begunAt
	// when the last write did, and triedAt when it or a read in its place did.
	version                     uint64
	writtenAt, begunAt, triedAt time.Duration
	// uncertain is set if a write may have taken effect.
	uncertain bool
	// done is set when the final state has been written.
	done bool
}

func (l *lease) elapsed(now time.Duration) time.Duration { return now - l.startedAt }

// valid reports whether the holder may grant. A final state holds without a lease.
func (l *lease) valid(now time.Duration) bool {
	return l.done || l.writtenAt != 0 && now-l.writtenAt < leaseTTL
}

func (l *lease) report(rep rollout.Report, now time.Duration) (rollout.Answer, bool) {
	if !l.valid(now) {
		return rollout.Answer{}, false
	}
	return l.controller.Report(rep, l.elapsed(now))
}

func (r *rollouts) holding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease != nil
}

// claim becomes the holder if there is none, or if the holder is lost.
func (r *rollouts) claim(ctx context.Context, order rollout.Order) {
	now := bootNow()
	rank := min(max(slices.Index(r.ranked(order), r.host), 0), maxHolderRank)
	r.mu.Lock()
	silence, holder := now-r.contactAt, r.holder
	r.mu.Unlock()
	wait, interval := time.Duration(rank)*holderStagger, rowReadInterval
	if rank > 0 || holder != "" && holder != r.host {
		wait += holderSilence
	}
	if !r.resolved(order) {
		wait, interval = 0, rowReadRetry
	}
	if silence < wait || now-r.readAt < interval {
		return
	}
	r.readAt = now
	resp, err := r.readRow(ctx, order)
	if err != nil {
		r.metrics.Add("rollout_store_failures", 1)
		return
	}
	if silence < wait {
		return
	}
	switch row := r.row; {
	case row == nil || row.Order < order.Version:
		if rank == 0 || silence >= holderSilence {
			r.take(ctx, rollout.Start(order, rolloutLimits(r.settings().Bounds), r.host, row, r.view().versionBefore(order)),
				r.orderSeenAt-orderNoticeDelay)
		}
	case row.Order > order.Version || row.Phase.Final():
	case row.Holder == r.host, bootNow()-r.rowSince >= takeoverAfter && silence >= holderSilence:
		elapsed := row.Elapsed() + bootNow() - r.rowSince
		if row.OrderedAtMs != 0 && resp.StoreClockMillis > row.OrderedAtMs {
			elapsed = max(row.Elapsed(), time.Duration(resp.StoreClockMillis-row.OrderedAtMs)*time.Millisecond)
		}
		r.take(ctx, rollout.Resume(order, rolloutLimits(r.settings().Bounds), r.host, row), bootNow()-elapsed)
	}
}

// resolved reports whether the gate knows whether its target may be withdrawn.
func (r *rollouts) resolved(order rollout.Order) bool {
	if r.rowRead {
		return true
	}
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	d, known := r.gate.versions.state.Directive()
	return known && d.Order == order.Version || r.gate.versions.resolved
}

// readRow reads the row of the service and applies it to the gate.
func (r *rollouts) readRow(ctx context.Context, order rollout.Order) (karpithaz.RowsResponse, error) {
	resp, err := r.store.Range(ctx, rolloutsTable, "", storeTimeout)
	if err != nil {
		return resp, err
	}
	r.metrics.Add("rollout_rows_read", 1)
	var state *rollout.State
	var version uint64
	for _, row := range resp.Rows {
		if row.Key != order.Service {
			continue
		}
		version = row.Version
		if state, err = rollout.DecodeState(row.Value); err != nil {
			r.log.Decide("rollout-unreadable", "service", order.Service, "row_version", row.Version, "err", err)
			state = nil // replaced by the next holder
		}
	}
	if version != r.rowVersion || !r.rowRead {
		r.rowSince = bootNow()
	}
	r.row, r.rowVersion, r.rowRead = state, version, true
	if state != nil {
		r.gate.learnDirective(state.Directive())
		r.mu.Lock()
		if state.Order == order.Version && state.Holder != r.host {
			r.holder = state.Holder
		}
		r.mu.Unlock()
	}
	r.gate.notWithdrawn(r.view().versionBefore(order))
	return resp, nil
}

// take writes the row as the new holder.
func (r *rollouts) take(ctx context.Context, c *rollout.Controller, startedAt time.Duration) {
	l := &lease{controller: c, startedAt: startedAt, version: r.rowVersion}
	r.mu.Lock()
	s := c.State()
	if r.order.Version != s.Order {
		r.mu.Unlock()
		return
	}
	r.lease, r.holder = l, r.host
	r.mu.Unlock()
	r.log.Decide("rollout-held", "service", s.Service, "to", s.Target, "from", s.From, "order", s.Order, "term", s.Term, "phase", s.Phase.String(),
		"elapsed_ms", l.elapsed(bootNow()).Milliseconds(), "charged", s.Charged, "total", s.Total)
	r.write(ctx, l)
}

// hold advances the roll-out and renews the lease.
func (r *rollouts) hold(ctx context.Context) {
	r.mu.Lock()
	l := r.lease
	if l == nil || l.done {
		r.mu.Unlock()
		return
	}
	now := bootNow()
	before, suspects := l.controller.State().Phase, len(l.controller.State().Suspects)
	l.controller.Advance(l.elapsed(now), r.view().memberTargets(r.order.Service))
	s := l.controller.State()
	if s.Phase != before {
		r.metrics.Add("rollout_phase_"+s.Phase.String(), 1)
		r.log.Decide("rollout-phase", "service", s.Service, "to", s.Target, "phase", s.Phase.String(), "reason", s.Reason, "term", s.Term,
			"elapsed_ms", l.elapsed(now).Milliseconds(), "total", s.Total, "charged", s.Charged, "summary", l.controller.Summary())
	}
	if len(s.Suspects) > suspects {
		r.metrics.Add("rollout_suspects", 1)
		r.log.Decide("rollout-suspect", "service", s.Service, "to", s.Target, "host", s.Suspects[suspects], "reason", s.SuspectReason, "term", s.Term,
			"elapsed_ms", l.elapsed(now).Milliseconds(), "summary", l.controller.Summary())
	}
	due := l.controller.Pending() || now-l.writtenAt >= leaseRenewal
	failed := l.writtenAt < l.triedAt
	r.mu.Unlock()
	if due && (!failed || now-l.triedAt >= writeRetry) {
		r.write(ctx, l)
	}
}

// write writes the row, together with the status that operators read if that changes.
func (r *rollouts) write(ctx context.Context, l *lease) {
	begun := bootNow()
	if l.uncertain && !r.readBack(ctx, l) {
		l.triedAt = begun
		return
	}
	r.mu.Lock()
	s := l.controller.Next(l.elapsed(begun))
	r.mu.Unlock()
	l.triedAt, l.begunAt = begun, begun
	value, err := s.Encode()
	if err != nil {
		r.log.Logger().Error("failed to write a roll-out", "service", s.Service, "err", err)
		return
	}
	row := karpithaz.Row{Table: rolloutsTable, Key: s.Service, Version: l.version, Value: value}
	tx := karpithaz.Tx{Expect: []karpithaz.Row{row}, Put: []karpithaz.Row{row}}
	if status := rolloutStatus(s.Phase); l.writtenAt == 0 || s.Phase.Final() {
		tx.Put = append(tx.Put, karpithaz.Row{Table: karpithaz.StatusTable, Key: karpithaz.RolloutKey(s.Service), Value: karpithaz.EncodeRolloutStatus(status, s.Target)})
	}
	resp, err := r.store.Commit(ctx, tx, min(storepoll.WriteTimeout, leaseTTL/2))
	r.metrics.Add("rollout_writes", 1)
	switch {
	case err == nil:
		r.committed(l, s, resp, begun)
	case platform.IsKind(err, platform.KindConflict):
		l.uncertain = true // an earlier write of this host may have taken effect
		if !r.readBack(ctx, l) {
			return
		}
	default:
		l.uncertain = l.uncertain || platform.IsKind(err, platform.KindUncertain)
		r.metrics.Add("rollout_store_failures", 1)
		r.log.Decide("rollout-not-written", "service", s.Service, "phase", s.Phase.String(), "term", s.Term, "err", err)
	}
}

func rolloutStatus(p rollout.Phase) string {
	switch p {
	case rollout.Completed:
		return karpithaz.RolloutCompleted
	case rollout.RolledBack:
		return karpithaz.RolloutRolledBack
	}
	return karpithaz.RolloutRunning
}

// committed records a successful write.
func (r *rollouts) committed(l *lease, s *rollout.State, resp karpithaz.RowsResponse, begun time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.version, l.writtenAt, l.uncertain = resp.Version, begun, false
	if resp.StoreClockMillis > 0 {
		l.controller.OrderedAt(resp.StoreClockMillis - l.elapsed(bootNow()).Milliseconds())
	}
	l.controller.Committed(s)
	if s.Phase.Final() {
		l.done = true
		r.log.Decide("rollout-ended", "service", s.Service, "to", s.Target, "phase", s.Phase.String(), "reason", s.Reason, "elapsed_ms", s.ElapsedMs,
			"total", s.Total, "charged", s.Charged, "row_version", resp.Version)
	}
}

// readBack reads the row after a write that may have taken effect. It returns false if the
// host is no longer the holder or the row could not be read.
func (r *rollouts) readBack(ctx context.Context, l *lease) bool {
	resp, err := r.store.Range(ctx, rolloutsTable, "", storeTimeout)
	if err != nil {
		r.metrics.Add("rollout_store_failures", 1)
		return false
	}
	own, found := l.controller.State(), false
	for _, row := range resp.Rows {
		if row.Key != own.Service {
			continue
		}
		found = true
		s, err := rollout.DecodeState(row.Value)
		if err == nil && s.Order == own.Order && s.Term == own.Term && s.Holder == r.host {
			if row.Version != l.version {
				r.committed(l, s, karpithaz.RowsResponse{Version: row.Version}, l.begunAt)
			}
			l.uncertain = false
			return !l.done
		}
		if row.Version == l.version {
			l.uncertain = false // the row is still that of the previous holder
			return true
		}
	}
	if l.version == 0 && !found {
		l.uncertain = false
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == l {
		r.lease, r.contactAt = nil, bootNow()
	}
	r.metrics.Add("rollout_lease_lost", 1)
	r.log.Decide("rollout-lost", "service", own.Service, "term", own.Term, "order", own.Order)
	return false
}
