package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// behaviour is that of the new version's answers.
type behaviour struct {
	// failShare is the share of answers that fail from badFrom on, on route badRoute if
	// that is set, and if the target has at least badLoad other requests.
	failShare float64
	badFrom   time.Duration
	badRoute  string
	badLoad   int
	// slowFactor multiplies the time of slowShare of the answers.
	slowFactor, slowShare float64
}

// playedTarget is a target and its gate.
type playedTarget struct {
	host, version string
	gate          *Gate
	running       int
	appears       time.Duration
	reportAt      time.Duration
	cut           bool
}

// play simulates a service during a roll-out.
type play struct {
	rnd        *rand.Rand
	order      Order
	limits     Limits
	rate       float64
	bad        behaviour
	targets    []*playedTarget
	controller *Controller
	row        *State
	writtenAt  time.Duration
	// storeOut and holderOut are times without a store or a holder.
	storeOut, holderOut [2]time.Duration
	ends                []ending
	seen                map[string]int

	requests, exposed, badAnswers int
	refused                       int
	fiftiethAt, lastExposedAt     time.Duration
	finishedAt                    time.Duration
	directive                     Directive
	known                         bool
}

type ending struct {
	at     time.Duration
	t      *playedTarget
	route  string
	result Result
}

const (
	playTick      = 10 * time.Millisecond
	playTargets   = 22
	playSlots     = 4
	playWork      = 400 * time.Millisecond
	playFirstSeen = 2500 * time.Millisecond
	playSeenLate  = 700 * time.Millisecond
)

func newPlay(seed uint64, d time.Duration, bad behaviour) *play {
	p := &play{rnd: rand.New(rand.NewPCG(seed, 1)), rate: 110, bad: bad, seen: map[string]int{}, limits: Limits{Share: 0.1, Slack: 50},
		order: Order{Service: "svc", Target: "v2", Version: 7, Duration: d}}
	for i := range playTargets {
		for v, version := range []string{"v1", "v2"} {
			t := &playedTarget{host: fmt.Sprintf("%s-%d", version, i), version: version, gate: NewGate(int64(2*i + v + 1)),
				appears: time.Duration(v) * playFirstSeen, reportAt: playSeenLate + time.Duration(p.rnd.Int64N(int64(500*time.Millisecond)))}
			t.gate.Learn(Directive{Order: p.order.Version, Phase: Canary, Target: "v2", From: "v1"})
			p.targets = append(p.targets, t)
		}
	}
	p.controller = Start(p.order, p.limits, "v1-0", nil, "v1")
	return p
}

func within(now time.Duration, span [2]time.Duration) bool { return now >= span[0] && now < span[1] }

func (p *play) run() {
	for now := time.Duration(0); now < p.order.Duration; now += playTick {
		p.step(now)
	}
}

func (p *play) step(now time.Duration) {
	p.endRequests(now)
	p.directive, p.known = p.controller.Directive(now)
	for range p.arrivals() {
		p.request(now)
	}
	if within(now, p.holderOut) {
		return
	}
	if now >= playSeenLate && now%(100*time.Millisecond) == 0 {
		p.control(now)
	}
	for _, t := range p.targets {
		if now < t.appears || now < t.reportAt || t.cut {
			continue
		}
		t.reportAt = now + 500*time.Millisecond
		if d, _ := t.gate.Directive(); d.Phase.Final() || now-p.writtenAt > 2*time.Second {
			continue // nothing to report, or the holder has no lease
		}
		r := t.gate.Report(t.version, t.running, now)
		r.Host = t.host
		if a, ok := p.controller.Report(r, now); ok {
			t.gate.Apply(a, now)
		}
	}
}

func (p *play) arrivals() int {
	n, limit, product := 0, math.Exp(-p.rate*playTick.Seconds()), 1.0
	for {
		if product *= p.rnd.Float64(); product < limit {
			return n
		}
		n++
	}
}

// control advances the controller and writes its row.
func (p *play) control(now time.Duration) {
	var members []Member
	for _, t := range p.targets {
		if now >= t.appears {
			members = append(members, Member{t.host, t.version})
		}
	}
	p.controller.Advance(now, members)
	if within(now, p.storeOut) || p.row != nil && p.row.Phase.Final() || !p.controller.Pending() && now-p.writtenAt < time.Second {
		return
	}
	s := p.controller.Next(now)
	p.controller.Committed(s)
	p.row, p.writtenAt = s, now
	if s.Phase.Final() {
		p.finishedAt = now
	}
}

// request offers one request to targets until one takes it.
func (p *play) request(now time.Duration) {
	p.requests++
	route := "read"
	switch draw := p.rnd.Float64(); {
	case draw < 0.3:
		route = "order"
	case draw < 0.34:
		route = "rare"
	}
	p.seen[route]++
	share := CanaryPercent(p.limits)
	if d := p.directive; p.known {
		share = d.SharePercent
	}
	if !p.known || p.directive.Phase == Canary {
		share = RoutePercent(share, p.seen, route)
	}
	var first, second []*playedTarget
	for _, i := range p.rnd.Perm(len(p.targets)) {
		t := p.targets[i]
		if d := p.directive; t.version == "v2" && now >= t.appears && (!p.known || d.Phase != Canary || d.CanaryHosts == "" || slices.Contains(d.Canaries(), t.host)) {
			first = append(first, t)
		}
	}
	for _, i := range p.rnd.Perm(len(p.targets)) {
		if t := p.targets[i]; t.version == "v1" {
			second = append(second, t)
		}
	}
	if p.rnd.IntN(100) >= share {
		first, second = second, first
	}
	for _, t := range append(first, second...) {
		if t.running < playSlots && t.gate.Check(t.version, now) == Serve {
			p.send(t, route, now)
			return
		}
	}
	p.refused++
}

func (p *play) send(t *playedTarget, route string, now time.Duration) {
	t.gate.Sent(t.version)
	r := Result{Warm: true, Took: time.Duration(float64(playWork) * math.Exp(0.5*p.rnd.NormFloat64()))}
	r.Failed = p.rnd.Float64() < 0.003
	if t.version == "v2" {
		p.exposed++
		p.lastExposedAt = now
		b := p.bad
		if now >= b.badFrom && (b.badRoute == "" || b.badRoute == route) && t.running >= b.badLoad {
			r.Failed = r.Failed || p.rnd.Float64() < b.failShare
			if p.rnd.Float64() < b.slowShare {
				r.Took = time.Duration(b.slowFactor * float64(r.Took))
				p.countBad(now)
			}
		}
		if r.Failed {
			p.countBad(now)
		}
	}
	t.running++
	p.ends = append(p.ends, ending{now + r.Took, t, route, r})
}

func (p *play) countBad(now time.Duration) {
	if p.badAnswers++; p.badAnswers == 50 {
		p.fiftiethAt = now
	}
}

func (p *play) endRequests(now time.Duration) {
	kept := p.ends[:0]
	for _, e := range p.ends {
		if e.at > now {
			kept = append(kept, e)
			continue
		}
		e.t.running--
		e.t.gate.Observe(e.route, e.result, now)
	}
	p.ends = kept
}

const playSeeds = 40

// TestGoodVersionCompletesEarly guards against roll-outs that miss their deadline when
// the store or the fleet is out for some seconds before it, and against good versions
// that are rolled back.
func TestGoodVersionCompletesEarly(t *testing.T) {
	for _, d := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		for seed := range uint64(playSeeds) {
			p := newPlay(seed, d, behaviour{})
			p.run()
			assert.Equal(t, p.row.Phase, Completed, "%s seed %d: %s", d, seed, p.row.Reason)
			left := float64(d-p.finishedAt) / float64(d)
			assert.Assert(t, left > 0.12 && left < 0.35, "%s seed %d: %.2f of the time left", d, seed, left)
			assert.Assert(t, p.refused < p.requests/200, "%s seed %d: %d of %d refused", d, seed, p.refused, p.requests)
		}
	}
}

// keepsPromises reports whether a played bad version was rolled back within its limits.
func (p *play) keepsPromises() (ok bool, problem string) {
	allowed := p.limits.Share*float64(p.requests) + p.limits.Slack
	switch {
	case p.row.Phase != RolledBack:
		return false, "in phase " + p.row.Phase.String()
	case float64(p.exposed) > allowed:
		return false, fmt.Sprintf("%d exposed, %.0f allowed; %s at %s", p.exposed, allowed, p.row.Reason, p.finishedAt)
	case p.fiftiethAt > 0 && p.lastExposedAt > p.fiftiethAt+5*time.Second:
		return false, fmt.Sprintf("exposed %s after the 50th bad answer", p.lastExposedAt-p.fiftiethAt)
	}
	return true, ""
}

// TestBadVersionIsRolledBack guards against exposing callers to a bad version beyond the
// stated share, and against bad versions that are completed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, b := range map[string]behaviour{
		"at once, all":     {failShare: 1},
		"at once, a third": {failShare: 0.33},
		"late":             {failShare: 0.5, badFrom: 4500 * time.Millisecond},
		"under load":       {failShare: 0.6, badLoad: 2},
		"on one route":     {failShare: 0.5, badRoute: "order"},
		"slow":             {slowFactor: 4, slowShare: 1},
		"slow late":        {slowFactor: 5, slowShare: 1, badFrom: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(playSeeds) {
				p := newPlay(seed, 12*time.Second, b)
				p.run()
				ok, problem := p.keepsPromises()
				assert.Assert(t, ok, "seed %d: %s", seed, problem)
			}
		})
	}
}

// minWeaklyBad is the number of weakly bad versions of playSeeds that must be found in
// time. Within the exposure budget of 12 s some show too few bad answers by chance.
const minWeaklyBad = playSeeds - 3

// TestWeaklyBadVersionIsUsuallyRolledBack guards against tests of little power.
func TestWeaklyBadVersionIsUsuallyRolledBack(t *testing.T) {
	for name, b := range map[string]behaviour{
		"one of seven fails":      {failShare: 0.15},
		"bad on a rare route":     {failShare: 0.7, badRoute: "rare"},
		"two of five take longer": {slowFactor: 5, slowShare: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for seed := range uint64(playSeeds) {
				p := newPlay(seed, 12*time.Second, b)
				p.run()
				ok, problem := p.keepsPromises()
				if !ok {
					t.Logf("seed %d: %s", seed, problem)
					continue
				}
				found++
			}
			assert.Assert(t, found >= minWeaklyBad, "%d of %d", found, playSeeds)
		})
	}
}
