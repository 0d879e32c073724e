package balance

import (
	"slices"
	"time"
)

// Bounds of the trial requests that let an ejected target return.
const (
	// trialShare is the greatest share of a service's idempotent requests
	// that an ingress risks on ejected targets.
	trialShare = 0.05
	// trialPeriod is the mean time between trial requests that one ejected
	// target receives from the whole fleet.
	trialPeriod = time.Second
)

// degradedFactor makes a target against which evidence gathers seem fuller, so
// that it gets little while the verdict waits for confirmation, or when the
// floor keeps it in use. When all are troubled it changes nothing.
const degradedFactor = 4.0

// Rand is the source of randomness. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	IntN(n int) int
	Float64() float64
}

// Request describes the attempt to place.
type Request struct {
	Service string
	// Tried lists IDs of targets that are not to be chosen again.
	Tried []string
	// Idempotent allows a trial at an ejected target.
	Idempotent bool
	// Alone asks for a target with no request in flight, for a request that
	// may crash its target.
	Alone bool
}

// Choice is the chosen target.
type Choice struct {
	Target string
	Host   string
	// Trial tells that the target is ejected and this is a trial request.
	Trial bool
}

// Pick chooses a target, or reports that none may be chosen. avoid may be nil.
func Pick(now time.Time, v *View, avoid *Avoid, req Request, rng Rand) (Choice, bool) {
	s := v.services[req.Service]
	if s == nil {
		return Choice{}, false
	}
	p := picker{now: now, ramp: v.ramp, avoid: avoid, req: req, rng: rng}
	if c := p.pickTrial(s); c != nil {
		return Choice{Target: c.id, Host: c.host, Trial: true}, true
	}
	c := p.pickTarget(s)
	if c == nil {
		return Choice{}, false
	}
	if avoid != nil {
		avoid.claimProbe(now, c.host)
	}
	return Choice{Target: c.id, Host: c.host}, true
}

type picker struct {
	now   time.Time
	ramp  time.Duration
	avoid *Avoid
	req   Request
	rng   Rand
}

// pickTarget prefers room in the own data centre, then in the region, then
// anywhere. When nothing has room it takes the least occupied target seen.
func (p *picker) pickTarget(s *service) *candidate {
	if c := p.pickByLocality(s, true); c != nil {
		return c
	}
	return p.pickByLocality(s, false)
}

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

func (p *picker) pickInTier(tier []dcGroup, ramped bool) *candidate {
	var cands []*candidate
	for i := range tier {
		z := &tier[i]
		if ramped && p.rng.Float64() >= p.rampWeight(z) {
			continue
		}
		for j := range z.candidates {
			c := &z.candidates[j]
			if p.eligible(c) {
				cands = append(cands, c)
			}
		}
	}
	c := p.powerOfTwo(cands)
	if c == nil || p.hasCapacity(c) {
		return c
	}
	return p.leastOccupied(cands)
}

// rampWeight rises from 0 to 1 while a data centre returns.
func (p *picker) rampWeight(z *dcGroup) float64 {
	if z.restoredAt.IsZero() {
		return 1
	}
	return min(1, max(0, float64(p.now.Sub(z.restoredAt))/float64(p.ramp)))
}

func (p *picker) eligible(c *candidate) bool {
	if slices.Contains(p.req.Tried, c.id) {
		return false
	}
	return p.avoid == nil || !p.avoid.Avoided(p.now, c.host)
}

func (p *picker) powerOfTwo(cands []*candidate) *candidate {
	n := len(cands)
	switch n {
	case 0:
		return nil
	case 1:
		return cands[0]
	}
	if p.req.Alone {
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

// idle is below this number of requests in flight; reports decay to a fraction.
const idleThreshold = 0.5

// lessOccupied reports whether a is the better choice. Idle targets are equal, whatever
// their limits, because a cold target warms up only by being used.
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

// hasCapacity reports whether one more request fits; with Alone, whether the
// target seems idle.
func (p *picker) hasCapacity(c *candidate) bool {
	if p.req.Alone {
		return c.load.inFlight(p.now) < idleThreshold
	}
	limit := c.load.effectiveLimit(p.now, c.limit)
	return c.load.inFlight(p.now)+1 <= float64(limit)
}

// pickTrial picks an ejected target for a pickTrial request now and then.
func (p *picker) pickTrial(s *service) *candidate {
	if len(s.ejected) == 0 || !p.req.Idempotent || p.req.Alone || len(p.req.Tried) > 0 {
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
