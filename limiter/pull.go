package limiter

import (
	"time"
)

// Bounds of the time between two pulls that got nothing.
const (
	minDryTime = 20 * time.Millisecond
	maxDryTime = time.Second
)

// pullAhead is how many times the missing tokens a pull asks for, so that
// steady demand does not need a pull for each token.
const pullAhead = 4

// pull asks the other holders in turn for the missing tokens. It reports
// whether any arrived.
func (s *Service) pull(o *owner, a allotment, workspace string, missing int) bool {
	reserved := o.startPull(s.opts.Clock(), a, workspace, missing*pullAhead)
	if reserved == 0 {
		return false
	}
	s.counters.pulls.Add(1)
	got := 0
	for _, dc := range a.layout.Order(o.row.DataCentre, workspace) {
		if dc == o.row.DataCentre {
			continue
		}
		got += s.pullFrom(rowID{DataCentre: dc, Shard: o.row.Shard}, workspace, reserved-got)
		if got >= min(missing, reserved) {
			break
		}
	}
	now := s.opts.Clock()
	var dryUntil time.Time
	if got == 0 {
		dryUntil = now.Add(dryTime(a.total.Rate))
	}
	o.endPull(now, a, workspace, reserved, got, dryUntil)
	s.counters.pulledTokens.Add(int64(got))
	return got > 0
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

// dryTime is about the time in which the whole workspace accrues one token.
func dryTime(rate float64) time.Duration {
	if rate <= 0 {
		return maxDryTime
	}
	t := time.Duration(float64(time.Second) / rate)
	return min(max(t, minDryTime), maxDryTime)
}
