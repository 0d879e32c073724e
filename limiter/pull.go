package limiter

import (
	"time"
)

// Limits of the delay after a pull that received no tokens.
const (
	minPullBackoff = 20 * time.Millisecond
	maxPullBackoff = time.Second
)

// pullFactor is the ratio of the tokens requested by a pull to those missing.
// It is above 1 so that steady demand does not need a pull for each token.
const pullFactor = 4

// maxPullWait is how long token requests wait for a pull. It is well below the
// limit on the age of replies, so that the reply still arrives in time.
const maxPullWait = 50 * time.Millisecond

// pull starts requesting the missing tokens from the other holders, one
// after the other. The channel is closed when enough have arrived or all
// holders have been tried. It is nil if there is no room for tokens.
func (s *Service) pull(o *owner, limits workspaceLimits, workspace string, missing int) <-chan struct{} {
	reserved, done := o.startPull(s.opts.Clock(), limits, workspace, missing*pullFactor)
	if reserved == 0 {
		return nil
	}
	s.counters.pulls.Add(1)
	go s.runPull(o, limits, workspace, reserved, min(missing, reserved))
	return done
}

func (s *Service) runPull(o *owner, limits workspaceLimits, workspace string, reserved, needed int) {
	got := 0
	for _, h := range limits.layout.Order(o.row.DataCentre, workspace) {
		if h == o.row.Holder {
			continue
		}
		got += s.pullFrom(rowID{Holder: h, Shard: o.row.Shard}, workspace, reserved-got)
		if got >= needed {
			break
		}
	}
	now := s.opts.Clock()
	var noPullUntil time.Time
	if got == 0 {
		noPullUntil = now.Add(pullBackoff(limits.total.Rate))
	}
	s.counters.pulledTokens.Add(int64(got))
	lost := o.endPull(now, limits, workspace, reserved, got, noPullUntil)
	s.counters.lostTokens.Add(int64(lost))
}

func (s *Service) pullFrom(row rowID, workspace string, want int) int {
	req := giveRequest{Row: row, Workspace: workspace, Want: want}
	if n, ok := s.give(req); ok {
		return n
	}
	var reply giveReply
	err := s.callOwner(row, methodGive, req, func() ownerReply {
		reply = giveReply{}
		return &reply
	})
	if err != nil {
		return 0
	}
	return min(max(reply.Granted, 0), want)
}

// pullBackoff is about the time in which the whole workspace accrues one token.
func pullBackoff(rate float64) time.Duration {
	if rate <= 0 {
		return maxPullBackoff
	}
	t := time.Duration(float64(time.Second) / rate)
	return min(max(t, minPullBackoff), maxPullBackoff)
}
