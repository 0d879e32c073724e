package limiter

import (
	"context"
	"time"
)

// Times after the start in which membership is still being learnt. The first
// candidate of a row of its own data centre waits for settleOwn, others for
// settleOther.
const (
	settleOwn   = 1500 * time.Millisecond
	settleOther = 6 * time.Second
)

// settled reports whether this daemon has been up long enough to take a free
// row. Otherwise the first daemon of a fleet would take them all.
func (s *Service) settled(row rowID) bool {
	if s.startedAt.IsZero() {
		return true
	}
	up := s.opts.Clock().Sub(s.startedAt)
	if up >= settleOther {
		return true
	}
	order := candidates(s.opts, row)
	first := len(order) > 0 && order[0].Host == s.opts.Self.Host
	return first && row.DataCentre == s.opts.Self.DataCentre && up >= settleOwn
}

// displacedSteps is how many steps in a row another daemon must be the better
// candidate before a row moves, so that flapping members move nothing.
const displacedSteps = 3

// displace hands a row to a better candidate of its data centre, as when this
// daemon was the first one up and took what was free. It reports whether the row
// was given up. Only a candidate that answers is given the row, and only right
// after a renewal: without the table nobody could take it.
func (s *Service) displace(ctx context.Context, o *owner) bool {
	order := candidates(s.opts, o.row)
	better := len(order) > 0 && order[0].Host != s.opts.Self.Host
	if !o.displaced(better) || !o.justRenewed(s.opts.Clock()) {
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

// displaced counts the steps in which another daemon was the better candidate.
func (o *owner) displaced(better bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !better {
		o.outrankedSteps = 0
		return false
	}
	o.outrankedSteps++
	return o.outrankedSteps >= displacedSteps
}

// justRenewed reports whether the last renewal succeeded.
func (o *owner) justRenewed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.lease.RenewedAt) < o.policy.Lease/renewalsPerLease
}
