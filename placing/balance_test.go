package placing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

var start = time.Unix(1_700_000_000, 0)

// observe reports a load of running out of ten requests in a data centre.
func observe(b *placing.Balance, now time.Time, dc string, running int) {
	b.Observe(now, dc, placing.Report{ReceivedAt: now, Running: running, Slots: 10})
}

// spiltShare is the share of 2,000 requests that are spilt.
func spiltShare(b *placing.Balance, now time.Time, r placing.Request) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 2000 {
		if b.Choose(now, "home", []string{"near", "far"}, r, rnd) != "" {
			n++
		}
	}
	return float64(n) / 2000
}

func TestSpillNeedsClearDifference(t *testing.T) {
	var b placing.Balance
	for _, c := range []struct {
		home, near int
		want       bool
	}{{4, 4, false}, {6, 4, false}, {7, 3, false}, {8, 2, true}, {10, 5, true}, {10, 9, false}} {
		b = placing.Balance{}
		observe(&b, start, "home", c.home)
		observe(&b, start, "near", c.near)
		observe(&b, start, "far", c.home)
		share := spiltShare(&b, start, placing.Request{})
		assert.Equal(t, share > 0, c.want, "%+v: %v", c, share)
		assert.Assert(t, share <= 0.55)
	}
}

// Guards against traffic that swings to and fro between data centres: between the margins
// the decision stays as it was.
func TestSpillHysteresis(t *testing.T) {
	var b placing.Balance
	level := func(running int) bool {
		now := start.Add(time.Duration(running) * time.Microsecond)
		for range 100 {
			observe(&b, now, "home", running)
			observe(&b, now, "near", 2)
			observe(&b, now, "far", 10)
		}
		return spiltShare(&b, now, placing.Request{}) > 0
	}
	assert.Assert(t, !level(6))
	assert.Assert(t, !level(7)) // saves 0.03
	assert.Assert(t, level(8))
	assert.Assert(t, level(7))
	assert.Assert(t, !level(5))
	assert.Assert(t, !level(7))
}

// Guards against large requests and responses being sent far for a small gain.
func TestLargeRequestsStay(t *testing.T) {
	var b placing.Balance
	observe(&b, start, "home", 9)
	observe(&b, start, "near", 1)
	assert.Assert(t, spiltShare(&b, start, placing.Request{BodyBytes: 500}) > 0)
	assert.Equal(t, spiltShare(&b, start, placing.Request{BodyBytes: 60_000}), 0.0)
	assert.Equal(t, spiltShare(&b, start, placing.Request{LargeResponse: true}), 0.0)
}

// Guards against a spill that goes on for old reports, when reports are lost.
func TestSpillEndsWithoutReports(t *testing.T) {
	var b placing.Balance
	assert.Equal(t, spiltShare(&b, start, placing.Request{}), 0.0)
	observe(&b, start, "home", 10)
	observe(&b, start, "near", 1)
	assert.Assert(t, spiltShare(&b, start, placing.Request{}) > 0)
	assert.Equal(t, spiltShare(&b, start.Add(10*time.Second), placing.Request{}), 0.0)
}
