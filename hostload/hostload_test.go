package hostload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/hostload"
)

var start = time.Unix(1_700_000_000, 0)

const interval = 200 * time.Millisecond

// play ticks for a time with timers that are late by late(at).
func play(m *hostload.Monitor, from, to time.Duration, late func(at time.Duration) time.Duration) {
	for at := from; at < to; at += interval {
		m.Tick(start.Add(at+late(at)), start.Add(at))
	}
}

// throttled is the lateness on a host that may use share of each 100 ms and uses all of it.
func throttled(share float64) func(at time.Duration) time.Duration {
	const period = 100 * time.Millisecond
	used := time.Duration(share * float64(period))
	i := 0
	return func(time.Duration) time.Duration {
		i++
		due := time.Duration(i) * 37 * time.Millisecond % period
		if due < used {
			return 0
		}
		return period - due
	}
}

func TestProcessor(t *testing.T) {
	for _, c := range []struct {
		share    float64
		min, max float64
	}{{1, 0, 0}, {0.8, 0, 0}, {0.5, 0.1, 0.5}, {0.16, 0.7, 1}} {
		var m hostload.Monitor
		play(&m, 0, 20*time.Second, throttled(c.share))
		t.Logf("share %v: lateness %v, shortage %v", c.share, m.Lateness(), m.Shortage())
		assert.Assert(t, m.Shortage() >= c.min && m.Shortage() <= c.max)
	}
}

// Guards against a host that is avoided long after its shortage.
func TestShortageEnds(t *testing.T) {
	var m hostload.Monitor
	play(&m, 0, 10*time.Second, throttled(0.16))
	assert.Assert(t, m.Shortage() > 0.5)
	play(&m, 10*time.Second, 18*time.Second, func(time.Duration) time.Duration { return 0 })
	assert.Equal(t, m.Shortage(), 0.0)
}

// Guards against a host that is avoided because its process was paused or killed once.
func TestOnePauseIsNoShortage(t *testing.T) {
	var m hostload.Monitor
	play(&m, 0, 10*time.Second, func(time.Duration) time.Duration { return time.Millisecond })
	m.Tick(start.Add(18*time.Second), start.Add(10*time.Second))
	assert.Assert(t, m.Shortage() <= 0.5, "%v", m.Shortage())
	play(&m, 18*time.Second, 23*time.Second, func(time.Duration) time.Duration { return time.Millisecond })
	assert.Equal(t, m.Shortage(), 0.0)
}

func TestLink(t *testing.T) {
	for _, c := range []struct {
		bytes    int
		took     time.Duration // by write, one each 200 ms
		min, max float64
	}{{60 << 10, 48 * time.Millisecond, 0, 0}, {300 << 10, 190 * time.Millisecond, 0.8, 1}, {2 << 10, 190 * time.Millisecond, 0, 0}, {300 << 10, time.Millisecond, 0, 0}} {
		var m hostload.Monitor
		for at := time.Duration(0); at < 20*time.Second; at += interval {
			m.Sent(c.bytes, c.took)
			m.Tick(start.Add(at), start.Add(at))
		}
		t.Logf("%d B in %v: blocked %.2f, shortage %v", c.bytes, c.took, m.Blocked(), m.Shortage())
		assert.Assert(t, m.Shortage() >= c.min && m.Shortage() <= c.max)
	}
}

func TestShortageIsInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m hostload.Monitor
		now := start
		for range rapid.IntRange(0, 100).Draw(t, "ticks") {
			due := now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "interval")) * time.Millisecond)
			now = due.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "late")) * time.Millisecond)
			m.Sent(rapid.IntRange(0, 1<<20).Draw(t, "bytes"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond)
			m.Tick(now, due)
			assert.Assert(t, m.Shortage() >= 0 && m.Shortage() <= 1)
		}
	})
}
