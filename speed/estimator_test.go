package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/speed"
)

var start = time.Unix(1_700_000_000, 0)

const usual = 300 * time.Millisecond

// playTarget is a target that runs requests in virtual time at its gate's limit.
type playTarget struct {
	slots, knee int
	slowness    float64
	sigma       float64
	rate        float64
	// factor multiplies the durations at a time, for all targets of the service.
	factor func(at time.Duration) float64
	gray   float64
}

// play runs requests against an estimator from one time to another and returns how often
// the limit was below the slots and how often the slowness was not 1, as shares of
// the requests.
func (p playTarget) play(e *speed.Estimator, rnd *rand.Rand, from, to time.Duration) (limited, uneven float64) {
	var ends []time.Duration
	n := 0
	for at := from; at < to; at += time.Duration(rnd.ExpFloat64() / p.rate * float64(time.Second)) {
		kept := ends[:0]
		for _, end := range ends {
			if end > at {
				kept = append(kept, end)
			}
		}
		ends = kept
		if len(ends) >= e.Limit() {
			continue // the request goes to another target
		}
		level := len(ends) + 1
		took := usual.Seconds() * p.slowness * max(1, float64(level)/float64(p.knee)) * math.Exp(p.sigma*rnd.NormFloat64())
		if p.factor != nil {
			took *= p.factor(at)
		}
		ends = append(ends, at+time.Duration(took*float64(time.Second)))
		// Samples are passed in the order of the starts, which differs little from that of the ends.
		e.Observe(start.Add(at), speed.Sample{InProgress: level, Took: time.Duration(took * float64(time.Second)), Usual: usual, Warm: true, Gray: p.gray})
		n++
		if e.Limit() < p.slots {
			limited++
		}
		if e.Slowness() != 1 {
			uneven++
		}
	}
	return limited / float64(n), uneven / float64(n)
}

// mean plays a minute on several seeds and returns the mean shares and the limits.
func (p playTarget) mean() (limited, uneven, limit, slowness float64) {
	const runs = 300
	for seed := range uint64(runs) {
		e := speed.NewEstimator(p.slots)
		l, u := p.play(e, rand.New(rand.NewPCG(seed, 2)), 0, time.Minute)
		limited, uneven = limited+l/runs, uneven+u/runs
		limit, slowness = limit+float64(e.Limit())/runs, slowness+e.Slowness()/runs
	}
	return limited, uneven, limit, slowness
}

// Guards against limits and speeds read into the spread of durations: targets of equal
// speed must be served as before.
func TestEvenTargetStaysNeutral(t *testing.T) {
	for _, sigma := range []float64{0.4, 0.6, 0.8} {
		for _, rate := range []float64{5, 10, 20} {
			for _, slowness := range []float64{0.9, 1, 1.1} {
				p := playTarget{slots: 6, knee: 6, slowness: slowness, sigma: sigma, rate: rate}
				limited, uneven, _, _ := p.mean()
				t.Logf("sigma %v, %v requests/s, slowness %v: limited %.3f, uneven %.3f of the requests", sigma, rate, slowness, limited, uneven)
				assert.Assert(t, limited < 0.02)
				assert.Assert(t, uneven < 0.1)
			}
		}
	}
}

func TestLearnsLimit(t *testing.T) {
	for _, c := range []struct {
		p           playTarget
		limited     float64
		maxLimit    float64
		maxSlowness float64
	}{
		{playTarget{slots: 6, knee: 3, slowness: 1, sigma: 0.4, rate: 10}, 0.8, 4.2, 1.1},
		{playTarget{slots: 6, knee: 3, slowness: 1, sigma: 0.6, rate: 10}, 0.6, 4.2, 1.1},
		{playTarget{slots: 6, knee: 3, slowness: 1, sigma: 0.6, rate: 5}, 0.3, 5.2, 1.1},
		{playTarget{slots: 8, knee: 4, slowness: 1, sigma: 0.6, rate: 20}, 0.6, 5.5, 1.2},
		{playTarget{slots: 8, knee: 4, slowness: 1, sigma: 0.8, rate: 10}, 0.4, 6.2, 1.2},
	} {
		limited, _, limit, slowness := c.p.mean()
		t.Logf("%+v: limited %.2f of the requests, limit %.1f, slowness %.2f", c.p, limited, limit, slowness)
		assert.Assert(t, limited >= c.limited)
		assert.Assert(t, limit <= c.maxLimit)
		assert.Assert(t, slowness <= c.maxSlowness)
	}
}

func TestLearnsSlowness(t *testing.T) {
	for _, slowness := range []float64{0.6, 1.5, 2} {
		for _, sigma := range []float64{0.4, 0.8} {
			p := playTarget{slots: 6, knee: 6, slowness: slowness, sigma: sigma, rate: 6}
			limited, _, _, got := p.mean()
			t.Logf("slowness %v, sigma %v: %.2f", slowness, sigma, got)
			assert.Assert(t, math.Abs(math.Log(got/slowness)) < 0.2)
			assert.Assert(t, limited < 0.03)
		}
	}
}

// Guards against the reverse conclusion: in a period in which all requests take longer,
// more are in progress, but the target has no lower limit.
func TestSlowPeriodIsNoLimit(t *testing.T) {
	for _, rate := range []float64{5, 10, 20} {
		p := playTarget{slots: 6, knee: 6, slowness: 1, sigma: 0.6, rate: rate,
			factor: func(at time.Duration) float64 { return 1 + 1.5*float64(int(at/(5*time.Second))%2) }}
		limited, _, _, _ := p.mean()
		t.Logf("%v requests/s: limited %.3f of the requests", rate, limited)
		assert.Assert(t, limited < 0.1)
	}
}

// Guards against an estimate from a gray or a cold period.
func TestIgnoresGrayAndColdPeriods(t *testing.T) {
	e := speed.NewEstimator(6)
	for i := range 200 {
		s := speed.Sample{InProgress: 1 + i%6, Took: 3 * usual, Usual: usual, Warm: true, Gray: 0.6}
		if i%2 == 0 {
			s.Warm, s.Gray = false, 0.1
		}
		assert.Assert(t, !e.Observe(start.Add(time.Duration(i)*100*time.Millisecond), s))
	}
	assert.Equal(t, e.Slowness(), 1.0)
	assert.Equal(t, e.Limit(), 6)
}

// Guards against an estimate that stays after its cause: the beginning of a gray period,
// before the gray probability rises, or a target that becomes faster in place.
func TestRecoversByTrial(t *testing.T) {
	for _, sigma := range []float64{0.4, 0.6} {
		slow, fast := 0.0, 0.0
		const runs = 200
		for seed := range uint64(runs) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			e := speed.NewEstimator(6)
			playTarget{slots: 6, knee: 2, slowness: 1, sigma: sigma, rate: 6}.play(e, rnd, 0, 30*time.Second)
			before := e.Limit()
			playTarget{slots: 6, knee: 6, slowness: 1, sigma: sigma, rate: 10}.play(e, rnd, 30*time.Second, 90*time.Second)
			slow, fast = slow+float64(before)/runs, fast+float64(e.Limit())/runs
			assert.Assert(t, e.Slowness() < 1.25, "%v", e.Slowness())
		}
		t.Logf("sigma %v: limit %.1f while slow, %.1f a minute after", sigma, slow, fast)
		assert.Assert(t, slow < 4)
		assert.Assert(t, fast > 5)
	}
}

func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 9).Draw(t, "slots")
		e := speed.NewEstimator(slots)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "resize") == 0 {
				slots = rapid.IntRange(0, 9).Draw(t, "slots")
				e.SetSlots(slots)
			}
			e.Observe(now, speed.Sample{InProgress: rapid.IntRange(-1, 12).Draw(t, "in progress"), Warm: true,
				Took:  time.Duration(rapid.IntRange(-1, 20_000).Draw(t, "took")) * time.Millisecond,
				Usual: time.Duration(rapid.IntRange(-1, 2000).Draw(t, "usual")) * time.Millisecond})
			assert.Assert(t, e.Limit() >= 1 && e.Limit() <= max(slots, 1))
			assert.Assert(t, e.Slowness() >= 1.0/3.01 && e.Slowness() <= 3.01)
		}
	})
}

func TestUsual(t *testing.T) {
	var u speed.Usual
	u.Observe(0)
	for range 3 {
		assert.Equal(t, u.Duration(), time.Duration(0))
		u.Observe(usual)
	}
	assert.Assert(t, math.Abs(u.Duration().Seconds()-usual.Seconds()) < 1e-6)
	for range 50 {
		u.Observe(2 * usual)
	}
	assert.Assert(t, u.Duration() > 19*usual/10)
}

func BenchmarkObserve(b *testing.B) {
	e := speed.NewEstimator(8)
	for i := range b.N {
		e.Observe(start.Add(time.Duration(i)*100*time.Millisecond), speed.Sample{InProgress: 1 + i%8, Took: usual * time.Duration(1+i%3), Usual: usual, Warm: true})
	}
}

func TestLoad(t *testing.T) {
	var l speed.Load
	assert.Equal(t, l.Mean(start), 0.0)
	assert.Equal(t, l.Mean(start.Add(time.Second)), 0.0)
	l = speed.Load{}
	for i := range 3000 { // a target that is full for a third of the time
		l.Observe(start.Add(time.Duration(i)*10*time.Millisecond), float64(((i/10)%3)/2))
	}
	mean := l.Mean(start.Add(30 * time.Second))
	assert.Assert(t, math.Abs(mean-1.0/3) < 0.03, "%v", mean)
	l.Observe(start.Add(30*time.Second), 0)
	assert.Equal(t, l.Mean(start.Add(60*time.Second)), 0.01)
	assert.Equal(t, l.Mean(start.Add(50*time.Second)), 0.01) // time may go back
}
