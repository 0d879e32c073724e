package balance

import (
	"slices"
	"time"
)

// Bounds of the trial requests that let an ejected target return.
const (
	// trickleShare is the greatest share of a service's idempotent requests
	// that an ingress risks on ejected targets.
	trickleShare = 0.05
	// tricklePeriod is the mean time between trial requests that one ejected
	// target receives from the whole fleet.
	tricklePeriod = time.Second
)

// troubledFactor makes a target against which evidence gathers seem fuller, so
// that it gets little while the verdict waits for confirmation, or when the
// floor keeps it in use. When all are troubled it changes nothing.
const troubledFactor = 4.0

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
	if c := p.trial(s); c != nil {
		return Choice{Target: c.id, Host: c.host, Trial: true}, true
	}
	c := p.choose(s)
	if c == nil {
		return Choice{}, false
	}
	if avoid != nil {
		avoid.claim(now, c.host)
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

// choose prefers room in the own data centre, then in the region, then
// anywhere. When nothing has room it takes the least occupied target seen.
func (p *picker) choose(s *service) *candidate {
	if c := p.chooseRamped(s, true); c != nil {
		return c
	}
	return p.chooseRamped(s, false)
}

func (p *picker) chooseRamped(s *service, ramped bool) *candidate {
	var fallback *candidate
	for _, tier := range [][]zone{{s.local}, s.near, s.far} {
		c := p.chooseTier(tier, ramped)
		if c == nil {
			continue
		}
		if p.hasRoom(c) {
			return c
		}
		if fallback == nil {
			fallback = c
		}
	}
	return fallback
}

func (p *picker) chooseTier(tier []zone, ramped bool) *candidate {
	var cands []*candidate
	for i := range tier {
		z := &tier[i]
		if ramped && p.rng.Float64() >= p.weight(z) {
			continue
		}
		for j := range z.cands {
			c := &z.cands[j]
			if p.allowed(c) {
				cands = append(cands, c)
			}
		}
	}
	c := p.twoChoices(cands)
	if c == nil || p.hasRoom(c) {
		return c
	}
	return p.least(cands)
}

// weight rises from 0 to 1 while a data centre returns.
func (p *picker) weight(z *zone) float64 {
	if z.since.IsZero() {
		return 1
	}
	return min(1, max(0, float64(p.now.Sub(z.since))/float64(p.ramp)))
}

func (p *picker) allowed(c *candidate) bool {
	if slices.Contains(p.req.Tried, c.id) {
		return false
	}
	return p.avoid == nil || !p.avoid.Avoided(p.now, c.host)
}

func (p *picker) twoChoices(cands []*candidate) *candidate {
	n := len(cands)
	switch n {
	case 0:
		return nil
	case 1:
		return cands[0]
	}
	if p.req.Alone {
		return p.least(cands)
	}
	i := p.rng.IntN(n)
	j := p.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if p.less(cands[j], cands[i]) {
		i = j
	}
	return cands[i]
}

func (p *picker) least(cands []*candidate) *candidate {
	start := p.rng.IntN(len(cands))
	best := cands[start]
	for k := range cands {
		c := cands[(start+k)%len(cands)]
		if p.less(c, best) {
			best = c
		}
	}
	return best
}

// idle is below this number of requests in flight; reports decay to a fraction.
const idleBelow = 0.5

// less reports whether a is the better choice. Idle targets are equal, whatever
// their limits, because a cold target warms up only by being used.
func (p *picker) less(a, b *candidate) bool {
	if p.isIdle(a) && p.isIdle(b) {
		return false
	}
	return p.occupancy(a) < p.occupancy(b)
}

func (p *picker) isIdle(c *candidate) bool {
	return !c.troubled && c.load.inFlight(p.now) < idleBelow
}

func (p *picker) occupancy(c *candidate) float64 {
	limit := float64(c.load.limitOr(p.now, c.limit))
	inFlight := c.load.inFlight(p.now)
	if c.troubled {
		return troubledFactor * (inFlight + 1) / limit
	}
	return inFlight / limit
}

// hasRoom reports whether one more request fits; with Alone, whether the
// target seems idle.
func (p *picker) hasRoom(c *candidate) bool {
	if p.req.Alone {
		return c.load.inFlight(p.now) < idleBelow
	}
	limit := c.load.limitOr(p.now, c.limit)
	return c.load.inFlight(p.now)+1 <= float64(limit)
}

// trial picks an ejected target for a trial request now and then.
func (p *picker) trial(s *service) *candidate {
	if len(s.ejected) == 0 || !p.req.Idempotent || p.req.Alone || len(p.req.Tried) > 0 {
		return nil
	}
	if p.rng.Float64() >= trickleShare {
		return nil
	}
	c := &s.ejected[p.rng.IntN(len(s.ejected))]
	period := tricklePeriod * time.Duration(max(1, s.sharers))
	if !p.allowed(c) || !c.load.takeTrickle(p.now, period) {
		return nil
	}
	return c
}
