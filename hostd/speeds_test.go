package hostd

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

// finishRequests lets the gate's target finish n requests that were sent with one to six
// in progress and take four times as long beyond two.
func finishRequests(g *Gate, n int) {
	const usual = 100 * time.Millisecond
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for i := range n {
		tk := &ticket{f: Forward{Route: "r", UsualUs: usual.Microseconds()}, target: g.target, inProgress: 1 + i%6, started: now.Add(-usual)}
		if tk.inProgress > 2 {
			tk.started = now.Add(-4 * usual)
		}
		g.observeSpeed(tk, now)
		now = now.Add(20 * time.Millisecond)
	}
}

// Guards against a limit that is learnt but not applied or told, against a row of the
// hosts table that states the limit instead of the slots, and against a new target with
// the limit of the one that it replaces.
func TestLearntLimitIsToldAndEndsWithItsTarget(t *testing.T) {
	g, announced := newTestGate(t)
	b := newHeartbeat("a", 1, 1, false)
	b.Slots = 6
	g.applyHeartbeat(b, time.Now().Add(-4*time.Second))
	b.Sequence = 2
	g.applyHeartbeat(b, time.Now())
	finishRequests(g, 200)
	r := g.report()
	assert.Assert(t, r.Slots >= 1 && r.Slots < 6, "%d", r.Slots)
	b.Sequence = 3
	g.applyHeartbeat(b, time.Now())
	assert.Equal(t, g.report().Slots, r.Slots)
	assert.Equal(t, (*announced)[0].Slots, 6)
	assert.Equal(t, g.hostRow(g.target).Slots, 6)

	b.Target, b.StartedAtMillis, b.Sequence = "b", 2, 1
	g.applyHeartbeat(b, time.Now())
	assert.Equal(t, g.report().Slots, 6)
	assert.Equal(t, g.report().Slowness, 1.0)
}

// Guards against a cold target that is bounded by slowstart and taken for a slow one too.
func TestColdTargetIsNotTakenForASlowOne(t *testing.T) {
	g, _ := newTestGate(t)
	b := newHeartbeat("a", 1, 1, false)
	b.Slots, b.ColdRemaining = 6, time.Minute
	g.applyHeartbeat(b, time.Now())
	finishRequests(g, 200)
	assert.Equal(t, g.report().Slots, 6)
	assert.Equal(t, g.report().Slowness, 1.0)
}

func TestReportsCarrySpeed(t *testing.T) {
	now := time.Now()
	for _, slowness := range []float64{0, 1, 1.5} { // 0 and 1 are not written
		var h fasthttp.ResponseHeader
		writeReport(&h, placing.Report{Incarnation: 1, Running: 3, Slots: 4, Slowness: slowness, Typical: 150 * time.Millisecond})
		r := readReport(&h, now)
		assert.Equal(t, r.Typical, 150*time.Millisecond)
		c := placing.Candidate{Report: r}
		even := c
		even.Report.Slowness = 1
		assert.Equal(t, placing.Cost(now, c, placing.Request{}) > placing.Cost(now, even, placing.Request{}), slowness > 1)
	}
	// A report of an earlier version.
	var h fasthttp.ResponseHeader
	h.Set(headerReport, `{"l":1,"r":3,"s":4,"g":0.1}`)
	r := readReport(&h, now)
	assert.Equal(t, r.Slowness, 0.0)
	even := r
	even.Slowness = 1
	assert.Equal(t, placing.Cost(now, placing.Candidate{Report: r}, placing.Request{}), placing.Cost(now, placing.Candidate{Report: even}, placing.Request{}))
}

func TestUsualDurations(t *testing.T) {
	u := newUsualDurations()
	assert.Equal(t, u.get("s", "r"), time.Duration(0))
	for range 3 {
		u.observe("s", "r", 100*time.Millisecond)
	}
	assert.Assert(t, u.get("s", "r") > 99*time.Millisecond)
	assert.Equal(t, u.get("t", "r"), time.Duration(0))
	for i := range 2 * maxUsualDurations {
		u.observe("s", string(rune(i)), time.Second)
	}
	assert.Assert(t, len(u.byRoute) <= maxUsualDurations)
}
