package hostd

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// offer is a gate's refusal of a request.
type offer struct {
	c       placing.Candidate
	refusal *wire.Refusal
}

// search is one attempt's way through the gates.
type search struct {
	a       *attempt
	refused []offer
	last    *wire.Refusal
	result  attemptResult
}

// round offers the request to candidates on the same terms. It reports whether
// that settled the attempt.
func (s *search) round(ctx context.Context, cands []placing.Candidate, t terms) bool {
	for _, c := range cands {
		if r := s.known(c, t); r != nil {
			s.note(c, r)
			continue
		}
		if s.ask(ctx, c, t) {
			return true
		}
	}
	return false
}

// known is the refusal that a gate's last word foretells, if that is fresh.
func (s *search) known(c placing.Candidate, t terms) *wire.Refusal {
	r := s.a.e.in.reports.get(c.Target)
	busyFor, grayFor := knownFor, knownFor
	if !c.Local {
		busyFor, grayFor = knownFarBusy, knownFarGray
	}
	age := time.Since(r.ReceivedAt)
	switch {
	case r.ReceivedAt.IsZero() || age > max(busyFor, grayFor):
		return nil
	case r.GrayProbability > t.maxGray && age <= grayFor:
		return wire.Refuse(wire.ReasonGray, "target %s was gray with probability %.2f a moment ago", c.Target, r.GrayProbability)
	case t.maxWait == 0 && r.Running >= r.Slots && age <= busyFor:
		return wire.Refuse(wire.ReasonBusy, "target %s had no free slot a moment ago", c.Target)
	}
	return nil
}

func (s *search) note(c placing.Candidate, r *wire.Refusal) {
	s.last = r
	for i := range s.refused {
		if s.refused[i].c.Target == c.Target {
			s.refused[i].refusal = r
			return
		}
	}
	s.refused = append(s.refused, offer{c, r})
}

// ask offers the request to one gate and reports whether that settled the
// attempt.
func (s *search) ask(ctx context.Context, c placing.Candidate, t terms) bool {
	reply, target := s.a.offer(ctx, c, t)
	if s.a.settled(reply) || ctx.Err() != nil {
		s.result = s.a.result(reply, target)
		return true
	}
	s.note(c, reply.Refusal)
	return false
}

// insist asks for a place in a line, or for a gray target, whichever costs
// less by what the gates have just told. A second attempt beside another does
// not go to a gray target.
func (s *search) insist(ctx context.Context) bool {
	var open []offer
	for _, o := range s.refused {
		switch o.refusal.Reason {
		case wire.ReasonBusy, wire.ReasonGray, wire.ReasonCold:
			o.c.Report = s.a.e.in.reports.get(o.c.Target)
			open = append(open, o)
		}
	}
	now := time.Now()
	placed := s.a.placed()
	slices.SortStableFunc(open, func(x, y offer) int {
		return cmp.Compare(placing.Cost(now, x.c, placed), placing.Cost(now, y.c, placed))
	})
	last := terms{maxWait: time.Until(s.a.e.deadline), maxGray: 1}
	if s.a.hedge {
		last.maxGray = s.a.grayFirst()
	}
	for _, o := range open[:min(len(open), maxInsists)] {
		if s.ask(ctx, o.c, last) {
			return true
		}
	}
	return false
}
