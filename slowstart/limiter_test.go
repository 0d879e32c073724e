package slowstart

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func fast(time.Time) float64 { return 2 * warmEvidence }

func unknown(time.Time) float64 { return 0 }

func TestUnconfirmedTargetGetsTheBoundInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		bound := rapid.IntRange(1, 20).Draw(t, "bound")
		now := t0
		var sent []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			if room, wait := l.Room(now, bound, fast); room == 0 {
				assert.Assert(t, wait > 0 && wait <= time.Second, "%s", wait)
				continue
			}
			l.Sent(now)
			sent = append(sent, now)
			within := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			assert.Assert(t, within <= bound)
		}
	})
}

func TestWarmTargetGetsMoreWhileItsRequestsAreFast(t *testing.T) {
	for _, c := range []struct {
		name     string
		confirm  bool
		slowdown func(time.Time) float64
		want     int
	}{
		{"warm and fast", true, fast, 100},
		{"warm, no evidence", true, unknown, 20},
		{"not confirmed", false, fast, 20},
	} {
		var l Limiter
		if c.confirm {
			l.Confirm(t0)
		}
		sent := 0
		for range 100 {
			if room, _ := l.Room(t0, 20, c.slowdown); room > 0 {
				l.Sent(t0)
				sent++
			}
		}
		assert.Equal(t, sent, c.want, c.name)
	}
}

// A heartbeat that was sent before a restart and arrives after it confirms
// nothing.
func TestLateHeartbeatDoesNotConfirmARestartedTarget(t *testing.T) {
	var l Limiter
	l.Confirm(t0)
	assert.Assert(t, l.Warm(t0))
	l.Restarted(t0.Add(time.Second))
	l.Confirm(t0.Add(2 * time.Second))
	assert.Assert(t, !l.Warm(t0.Add(2*time.Second)))
	l.Confirm(t0.Add(4 * time.Second))
	assert.Assert(t, l.Warm(t0.Add(4*time.Second)))
}

func TestConfirmationExpires(t *testing.T) {
	var l Limiter
	l.Confirm(t0)
	assert.Assert(t, !l.Warm(t0.Add(confirmationTTL)))
}

func TestNoBoundIsNoLimit(t *testing.T) {
	var l Limiter
	for range 100 {
		room, _ := l.Room(t0, 0, fast)
		assert.Equal(t, room, -1)
		l.Sent(t0)
	}
}

// Requests from before a broken connection are no evidence of a target that may
// have restarted since.
func TestPossibleRestartNeedsNewEvidence(t *testing.T) {
	var l Limiter
	l.Confirm(t0)
	for range 20 {
		l.Sent(t0)
	}
	var since time.Time
	evidence := func(s time.Time) float64 {
		since = s
		return 2 * warmEvidence
	}
	l.Room(t0.Add(time.Millisecond), 20, evidence)
	assert.Assert(t, since.Equal(t0))
	l.MayHaveRestarted(t0.Add(2 * time.Millisecond))
	l.Room(t0.Add(3*time.Millisecond), 20, evidence)
	assert.Assert(t, since.Equal(t0.Add(2*time.Millisecond)))
}
