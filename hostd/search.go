package hostd

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// refusedOffer is a candidate and its gate's refusal.
type refusedOffer struct {
	candidate placing.Candidate
	refusal   *wire.Refusal
}

// gateSearch is the state of one attempt's search for a gate that accepts the
// request.
type gateSearch struct {
	a       *attempt
	refused []refusedOffer
	last    *wire.Refusal
	result  attemptResult
	// versionRefused is set if a gate refused the request for its target's version.
	versionRefused bool
}

// tryAll offers the request to candidates on the same terms. It reports whether
// the attempt has a result.
func (s *gateSearch) tryAll(ctx context.Context, cands []placing.Candidate, terms offerTerms) bool {
	for _, c := range cands {
		if r := s.predictRefusal(c, terms); r != nil {
			s.recordRefusal(c, r)
			continue
		}
		if s.tryGate(ctx, c, terms) {
			return true
		}
	}
	return false
}

// predictRefusal returns the refusal to expect from the gate's last report, or
// nil if the report is too old or shows no reason to refuse.
func (s *gateSearch) predictRefusal(c placing.Candidate, terms offerTerms) *wire.Refusal {
	r := s.a.e.in.states.get(c.Target)
	busyFor, grayFor := reportTTL, reportTTL
	if !c.Local {
		busyFor, grayFor = remoteBusyReportTTL, remoteGrayReportTTL
	}
	age := time.Since(r.ReceivedAt)
	switch {
	case r.ReceivedAt.IsZero() || age > max(busyFor, grayFor):
		return nil
	case r.GrayProbability > terms.maxGray && age <= grayFor:
		return wire.Refuse(wire.ReasonTargetGray, "target %s was gray-failing with probability %.2f at its last report", c.Target, r.GrayProbability)
	case terms.maxWait == 0 && r.Running >= r.Slots && age <= busyFor:
		return wire.Refuse(wire.ReasonBusy, "target %s had no free slot at its last report", c.Target)
	}
	return nil
}

func (s *gateSearch) recordRefusal(c placing.Candidate, r *wire.Refusal) {
	s.last = r
	for i := range s.refused {
		if s.refused[i].candidate.Target == c.Target {
			s.refused[i].refusal = r
			return
		}
	}
	s.refused = append(s.refused, refusedOffer{c, r})
}

// tryGate offers the request to one gate and reports whether the attempt has a
// result.
func (s *gateSearch) tryGate(ctx context.Context, c placing.Candidate, terms offerTerms) bool {
	reply, target := s.a.offer(ctx, c, terms)
	if s.a.isFinal(reply) || ctx.Err() != nil {
		s.result = s.a.result(reply, target)
		return true
	}
	s.versionRefused = s.versionRefused || reply.Refusal.Reason == wire.ReasonVersionWithdrawn
	s.recordRefusal(c, reply.Refusal)
	return false
}

// tryLastResort asks to be queued or to be sent to a gray target, in the order
// of cost according to the gates' latest reports. A hedge is not sent to a gray
// target.
func (s *gateSearch) tryLastResort(ctx context.Context) bool {
	var candidates []refusedOffer
	for _, o := range s.refused {
		switch o.refusal.Reason {
		case wire.ReasonBusy, wire.ReasonTargetGray, wire.ReasonTargetCold:
			o.candidate.Report = s.a.e.in.states.get(o.candidate.Target)
			candidates = append(candidates, o)
		}
	}
	now := time.Now()
	placed := s.a.placementRequest()
	slices.SortStableFunc(candidates, func(x, y refusedOffer) int {
		return cmp.Compare(placing.Cost(now, x.candidate, placed), placing.Cost(now, y.candidate, placed))
	})
	last := offerTerms{maxWait: time.Until(s.a.e.targetDeadline()), maxGray: 1}
	if s.a.hedge {
		last.maxGray = s.a.grayLimit()
	}
	for _, o := range candidates[:min(len(candidates), maxLastResortTries)] {
		if s.tryGate(ctx, o.candidate, last) {
			return true
		}
	}
	return false
}
