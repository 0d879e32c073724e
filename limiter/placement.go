package limiter

import (
	"context"
	"time"
)

// Times after the start in which membership is still being learnt. The first
// candidate of a row of its own data centre waits for startupDelayPreferred, others for
// startupDelay.
const (
	startupDelayPreferred   = 1500 * time.Millisecond
	startupDelay = 6 * time.Second
)

// startupDelayPassed reports whether this daemon has been up long enough to take a free
// row. Otherwise the first daemon of a fleet would take them all.
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

// minOutrankedSteps is how many steps in a row another daemon must be the better
// candidate before a row moves, so that flapping members move nothing.
const minOutrankedSteps = 3

// rebalance hands a row to a better candidate of its data centre, as when this
// daemon was the first one up and took what was free. It reports whether the row
// was given up. Only a candidate that answers is given the row, and only right
// after a renewal: without the table nobody could take it.
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

// updateOutranked counts the steps in which another daemon was the better candidate.
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
	return now.Sub(o.lease.RenewedAt) < o.policy.Lease/renewalsPerLease
}
