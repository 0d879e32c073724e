package limiter

import (
	"context"
	"time"
)

// Delays after the start in which the daemon is still learning the membership.
// startupDelayPreferred applies to the first candidate of a row in its own data
// centre, startupDelay to all others.
const (
	startupDelayPreferred = 1500 * time.Millisecond
	startupDelay          = 6 * time.Second
)

// startupDelayPassed reports whether this daemon has been running long enough
// to acquire a free row. Without the delay the first daemon of a starting fleet
// would acquire all rows.
func (s *Service) startupDelayPassed(row rowID) bool {
	if s.startedAt.IsZero() {
		return true
	}
	up := s.opts.Clock().Sub(s.startedAt)
	if up >= startupDelay {
		return true
	}
	order := candidates(s.opts, row)
	first := len(order) > 0 && order[0].Host == s.opts.Self.Host
	return first && row.DataCentre == s.opts.Self.DataCentre && up >= startupDelayPreferred
}

// minOutrankedSteps is the number of consecutive steps in which another daemon
// must be the preferred candidate before a row moves, so that flapping members
// cause no moves.
const minOutrankedSteps = 3

// rebalance hands a row over to the preferred candidate, for example after this
// daemon was the first to start and acquired all free rows. It reports whether
// the row was released. The candidate must reply first, and the last renewal
// must have succeeded: during a table outage no daemon could acquire the row.
func (s *Service) rebalance(ctx context.Context, o *owner) bool {
	order := candidates(s.opts, o.row)
	outranked := len(order) > 0 && order[0].Host != s.opts.Self.Host
	if !o.updateOutranked(outranked) || !o.recentlyRenewed(s.opts.Clock()) {
		return false
	}
	var reply yieldReply
	if s.call(order[0].RPCAddr, methodYield, yieldRequest{Row: o.row}, &reply) != nil {
		return false
	}
	s.opts.Logger.Info("limit row handed to its first candidate", "row", o.row.key(), "to", order[0].Host)
	s.releaseRow(ctx, o)
	return true
}

// updateOutranked counts consecutive steps in which another daemon was the
// preferred candidate. It reports whether there have been enough of them for
// the row to move.
func (o *owner) updateOutranked(outranked bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !outranked {
		o.outrankedSteps = 0
		return false
	}
	o.outrankedSteps++
	return o.outrankedSteps >= minOutrankedSteps
}

// recentlyRenewed reports whether the last renewal succeeded.
func (o *owner) recentlyRenewed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.lease.RenewedAt) < o.policy.LeaseDuration/renewalsPerLease
}
