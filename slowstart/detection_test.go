package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/gray"
)

// slowPlayer plays short requests at a target with slots that may turn cold.
type slowPlayer struct {
	rnd     *rand.Rand
	slots   int
	median  time.Duration
	sigma   float64
	filter  *gray.Filter
	model   *gray.DurationModel
	limiter Limiter
	running []playedRequest
}

type playedRequest struct {
	r   *gray.Request
	end time.Time
}

func newSlowPlayer(seed uint64, slots int, median time.Duration) *slowPlayer {
	p := &slowPlayer{rnd: rand.New(rand.NewPCG(seed, 1)), slots: slots, median: median, sigma: 0.5,
		filter: gray.NewFilter(gray.Options{}), model: gray.NewDurationModel(4 * median)}
	for range 60 {
		p.model.Observe(p.duration(1))
	}
	return p
}

func (p *slowPlayer) duration(factor float64) time.Duration {
	return time.Duration(factor * float64(p.median) * math.Exp(p.sigma*p.rnd.NormFloat64()))
}

// step ends the requests that are due and starts as many as slots and limiter
// allow. It returns the number started.
func (p *slowPlayer) step(now time.Time, bound int, factor float64) (started int) {
	kept := p.running[:0]
	for _, r := range p.running {
		if r.end.After(now) {
			kept = append(kept, r)
			continue
		}
		p.filter.RecordSuccess(r.end, r.r)
	}
	p.running = kept
	slow := func(since time.Time) float64 { return p.filter.Slowdown(now, since, Slowdown) }
	for len(p.running) < p.slots {
		if room, _ := p.limiter.Room(now, bound, slow); room == 0 {
			return started
		}
		p.limiter.Sent(now)
		p.running = append(p.running, playedRequest{p.filter.Start(now, p.model), now.Add(p.duration(factor))})
		started++
	}
	return started
}

// TestSilentColdTurnIsDetectedInTime saturates a target that turns cold without
// notice. In its first cold second it must not get more than it bears.
func TestSilentColdTurnIsDetectedInTime(t *testing.T) {
	const bound = 21
	for _, c := range []struct {
		slots  int
		median time.Duration
	}{{4, 53 * time.Millisecond}, {8, 106 * time.Millisecond}, {15, 200 * time.Millisecond}} {
		worst, above := 0, 0
		for seed := range uint64(200) {
			p := newSlowPlayer(seed, c.slots, c.median)
			sent := 0
			for ms := range 4000 {
				now := t0.Add(time.Duration(ms) * time.Millisecond)
				if ms%1000 == 0 && ms < 3000 {
					p.limiter.Confirm(now)
				}
				factor := 1.0
				if ms >= 3000 {
					factor = Slowdown
				}
				n := p.step(now, bound, factor)
				if ms >= 3000 {
					sent += n
				}
			}
			worst = max(worst, sent)
			if sent > bound {
				above++
			}
		}
		t.Logf("%d slots, median %s: at most %d in the first cold second, above %d in %d of 200", c.slots, c.median, worst, bound, above)
		assert.Assert(t, worst <= bound)
	}
}

// TestWarmTargetIsRarelyHeldBack bounds what false alarms cost at a saturated
// target.
func TestWarmTargetIsRarelyHeldBack(t *testing.T) {
	const bound, seconds = 21, 300
	for _, c := range []struct {
		slots  int
		median time.Duration
	}{{4, 53 * time.Millisecond}, {8, 106 * time.Millisecond}} {
		p := newSlowPlayer(7, c.slots, c.median)
		started := 0
		for ms := range seconds * 1000 {
			now := t0.Add(time.Duration(ms) * time.Millisecond)
			if ms%1500 == 0 {
				p.limiter.Confirm(now)
			}
			started += p.step(now, bound, 1)
		}
		rate := float64(started) / seconds
		t.Logf("%d slots: %.1f requests a second", c.slots, rate)
		assert.Assert(t, rate > 1.5*bound, "the bound of a cold target is %d a second", bound)
	}
}
