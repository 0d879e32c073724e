package balance

import (
	"slices"
	"time"
)

// Limits on the trial requests that give an ejected target the chance to
// recover.
const (
	// trialShare is the maximum share of a service's idempotent requests that
	// an ingress sends to ejected targets.
	trialShare = 0.05
	// trialPeriod is the mean interval between the trial requests that one
	// ejected target receives from all ingresses together.
	trialPeriod = time.Second
)

// degradedFactor multiplies the occupancy of a degraded target, so that it gets
// less traffic while its ejection is unconfirmed or prevented by the floor. It
// has no effect when all targets are degraded.
const degradedFactor = 4.0

// Rand is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	IntN(n int) int
	Float64() float64
}

// Request describes the attempt for which a target is chosen.
type Request struct {
	Service string
	// Tried lists the IDs of targets already tried, which are excluded.
	Tried []string
	// Idempotent allows the attempt to be a trial request to an ejected target.
	Idempotent bool
	// RequireIdle restricts the choice to targets without requests in flight if
	// there are any. It is set for a request that may crash its target.
	RequireIdle bool
}

// Choice is the result of Pick.
type Choice struct {
	Target string
	Host   string
	// Trial marks a trial request to an ejected target.
	Trial bool
}

// Pick chooses a target. It returns false if no target is eligible. backoff may
// be nil.
func Pick(now time.Time, v *View, backoff *HostBackoff, req Request, rng Rand) (Choice, bool) {
	s := v.services[req.Service]
	if s == nil {
		return Choice{}, false
	}
	p := picker{now: now, ramp: v.ramp, backoff: backoff, req: req, rng: rng}
	if c := p.pickTrial(s); c != nil {
		return Choice{Target: c.id, Host: c.host, Trial: true}, true
	}
	c := p.pickTarget(s)
	if c == nil {
		return Choice{}, false
	}
	if backoff != nil {
		backoff.claimProbe(now, c.host)
	}
	return Choice{Target: c.id, Host: c.host}, true
}

type picker struct {
	now     time.Time
	ramp    time.Duration
	backoff *HostBackoff
	req     Request
	rng     Rand
}

// pickTarget chooses a target in use. If ramp-up excludes every data centre, it
// chooses again without regard to ramp-up.
func (p *picker) pickTarget(s *service) *candidate {
	if c := p.pickByLocality(s, true); c != nil {
		return c
	}
	return p.pickByLocality(s, false)
}

// pickByLocality tries the own data centre, then the region, then all others,
// and returns the first pick that has capacity. If none has, it returns the pick
// of the nearest tier.
func (p *picker) pickByLocality(s *service, ramped bool) *candidate {
	var fallback *candidate
	for _, tier := range [][]dcGroup{{s.local}, s.sameRegion, s.otherRegions} {
		c := p.pickInTier(tier, ramped)
		if c == nil {
			continue
		}
		if p.hasCapacity(c) {
			return c
		}
		if fallback == nil {
			fallback = c
		}
	}
	return fallback
}

// pickInTier returns the power-of-two pick if it has capacity, else the least
// occupied eligible target.
func (p *picker) pickInTier(tier []dcGroup, ramped bool) *candidate {
	var eligible []*candidate
	for i := range tier {
		g := &tier[i]
		if ramped && p.rng.Float64() >= p.rampWeight(g) {
			continue
		}
		for j := range g.candidates {
			c := &g.candidates[j]
			if p.eligible(c) {
				eligible = append(eligible, c)
			}
		}
	}
	c := p.powerOfTwo(eligible)
	if c == nil || p.hasCapacity(c) {
		return c
	}
	return p.leastOccupied(eligible)
}

// rampWeight rises linearly from 0 to 1 while a data centre returns to service.
func (p *picker) rampWeight(g *dcGroup) float64 {
	if g.restoredAt.IsZero() {
		return 1
	}
	return min(1, max(0, float64(p.now.Sub(g.restoredAt))/float64(p.ramp)))
}

func (p *picker) eligible(c *candidate) bool {
	if slices.Contains(p.req.Tried, c.id) {
		return false
	}
	return p.backoff == nil || !p.backoff.Active(p.now, c.host)
}

func (p *picker) powerOfTwo(cands []*candidate) *candidate {
	n := len(cands)
	switch n {
	case 0:
		return nil
	case 1:
		return cands[0]
	}
	if p.req.RequireIdle {
		return p.leastOccupied(cands)
	}
	i := p.rng.IntN(n)
	j := p.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if p.lessOccupied(cands[j], cands[i]) {
		i = j
	}
	return cands[i]
}

func (p *picker) leastOccupied(cands []*candidate) *candidate {
	start := p.rng.IntN(len(cands))
	best := cands[start]
	for k := range cands {
		c := cands[(start+k)%len(cands)]
		if p.lessOccupied(c, best) {
			best = c
		}
	}
	return best
}

// idleThreshold is the estimated number of requests in flight below which a
// target counts as idle. Decayed reports leave a fraction of a request.
const idleThreshold = 0.5

// lessOccupied reports whether a is the better choice. Idle targets are equal
// whatever their limits, because a cold target warms up only under traffic.
func (p *picker) lessOccupied(a, b *candidate) bool {
	if p.isIdle(a) && p.isIdle(b) {
		return false
	}
	return p.occupancy(a) < p.occupancy(b)
}

func (p *picker) isIdle(c *candidate) bool {
	return !c.degraded && c.load.inFlight(p.now) < idleThreshold
}

func (p *picker) occupancy(c *candidate) float64 {
	limit := float64(c.load.effectiveLimit(p.now, c.limit))
	inFlight := c.load.inFlight(p.now)
	if c.degraded {
		return degradedFactor * (inFlight + 1) / limit
	}
	return inFlight / limit
}

// hasCapacity reports whether the target can take one more request. With
// Request.RequireIdle it reports whether the target is idle.
func (p *picker) hasCapacity(c *candidate) bool {
	if p.req.RequireIdle {
		return c.load.inFlight(p.now) < idleThreshold
	}
	limit := c.load.effectiveLimit(p.now, c.limit)
	return c.load.inFlight(p.now)+1 <= float64(limit)
}

// pickTrial returns an ejected target if this request is to be a trial request,
// else nil.
func (p *picker) pickTrial(s *service) *candidate {
	if len(s.ejected) == 0 || !p.req.Idempotent || p.req.RequireIdle || len(p.req.Tried) > 0 {
		return nil
	}
	if p.rng.Float64() >= trialShare {
		return nil
	}
	c := &s.ejected[p.rng.IntN(len(s.ejected))]
	period := trialPeriod * time.Duration(max(1, s.ingresses))
	if !p.eligible(c) || !c.load.claimTrial(p.now, period) {
		return nil
	}
	return c
}
