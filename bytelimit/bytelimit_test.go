package bytelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against a bound on targets that have not died.
func TestTargetThatHasNotDiedIsNotBounded(t *testing.T) {
	var l Limiter
	for range 100 {
		assert.Assert(t, l.Admit(epoch, 1<<30))
		l.Start(1 << 30)
	}
}

// Guards against a target that crashes again and again of the same load.
func TestDeathBoundsWhatIsInFlight(t *testing.T) {
	const upload = 360 << 10
	var l Limiter
	for range 5 {
		l.Start(upload)
	}
	held := l.InFlight()
	for range 5 {
		l.End(upload, false)
	}
	assert.Assert(t, l.Died(epoch, held))
	n := 0
	for l.Admit(epoch, upload) {
		l.Start(upload)
		n++
	}
	assert.Equal(t, n, 3)
	assert.Assert(t, l.Admit(epoch, 0), "a request without a body has its place")
	assert.Assert(t, l.Admit(epoch.Add(retention), upload), "the bound ends")
}

// Guards against a bound from a death that has another cause.
func TestDeathWithFewBytesProvesNothing(t *testing.T) {
	var l Limiter
	assert.Assert(t, !l.Died(epoch, MinEvidence-1))
	l.Start(1 << 20)
	l.Start(1 << 20)
	l.End(1<<20, true)
	l.End(1<<20, true)
	assert.Assert(t, !l.Died(epoch, 1<<20), "it has sustained twice as much")
	assert.Equal(t, l.Bound(epoch), int64(0))
}

// A request that comes alone is admitted whatever its size, and otherwise the bound holds.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		assert.Assert(t, l.Died(epoch, rapid.Int64Range(MinEvidence, 64<<20).Draw(t, "held")))
		var running []int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			n := rapid.Int64Range(0, 16<<20).Draw(t, "bytes")
			switch {
			case len(running) > 0 && rapid.Bool().Draw(t, "end"):
				l.End(running[0], true)
				running = running[1:]
			case l.Admit(epoch, n):
				if l.InFlight() > 0 && l.InFlight()+n > l.Bound(epoch) {
					t.Fatalf("%d and %d bytes, bound %d", l.InFlight(), n, l.Bound(epoch))
				}
				l.Start(n)
				running = append(running, n)
			case l.InFlight() == 0:
				t.Fatalf("%d bytes refused although nothing is in flight", n)
			}
		}
	})
}
