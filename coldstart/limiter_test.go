package coldstart

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const usualLatency = 25 * time.Millisecond

// serveWarm records responses of the usual latency for 20 s.
func serveWarm(l *Limiter, now time.Time) time.Time {
	for range 800 {
		now = now.Add(usualLatency)
		l.OnSuccess(now, usualLatency)
	}
	return now
}

func TestLimitRisesToSlots(t *testing.T) {
	l := New(Options{Slots: 7, ColdLimit: 2}, start)
	assert.Equal(t, l.Limit(start), 2)
	now := serveWarm(l, start)
	assert.Equal(t, l.Limit(now), 7)
	assert.Assert(t, !l.Cold())
}

// A new target is compared with the service's other targets.
func TestPeerLatencyGovernsRise(t *testing.T) {
	serve := func(latency time.Duration) int {
		l := New(Options{Slots: 7}, start)
		l.SetPeerLatency(2 * usualLatency)
		now := start
		for range 120 {
			now = now.Add(usualLatency)
			l.OnSuccess(now, latency)
		}
		return l.Limit(now)
	}
	assert.Equal(t, serve(usualLatency), 7, "as fast as the others, 3 s")
	assert.Equal(t, serve(3*usualLatency), 1, "slower than the others")
}

// Overdue requests alone, without any response, reveal a cold target.
func TestOverdueRequestsResetToColdLimit(t *testing.T) {
	l := New(Options{Slots: 7}, start)
	now := serveWarm(l, start)
	assert.Assert(t, l.SlowAfter() > usualLatency && l.SlowAfter() < 5*usualLatency, "%s", l.SlowAfter())
	for range 7 {
		l.OnOverdue(now)
	}
	assert.Equal(t, l.Limit(now), 1)
}

func TestColdLimitOfAllSlots(t *testing.T) {
	l := New(Options{Slots: 3, ColdLimit: 3}, start)
	now := serveWarm(l, start)
	assert.Equal(t, l.Limit(now), 3)
	assert.Equal(t, l.ResetCount(), 0)
}

func TestResetToColdLimit(t *testing.T) {
	for _, tc := range []struct {
		name string
		make func(l *Limiter, now time.Time)
	}{
		{"restart", func(l *Limiter, now time.Time) { l.Restart(now) }},
		{"latency jump", func(l *Limiter, now time.Time) {
			for range 10 {
				l.OnSuccess(now, 5*usualLatency)
			}
		}},
		{"sheds", func(l *Limiter, now time.Time) {
			for range shedsToReset {
				l.OnShed(now)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(Options{Slots: 7}, start)
			now := serveWarm(l, start)
			tc.make(l, now)
			assert.Equal(t, l.Limit(now), 1)
			now = serveWarm(l, now)
			assert.Equal(t, l.Limit(now), 7)
		})
	}
}

func TestSingleSlowResponseIsIgnored(t *testing.T) {
	l := New(Options{Slots: 7}, start)
	now := serveWarm(l, start)
	l.OnSuccess(now, 20*usualLatency)
	assert.Equal(t, l.Limit(now), 7)
	assert.Equal(t, l.ResetCount(), 0)
}

// A target that is permanently slower than before gets its full slots again.
func TestRelearnsPermanentlyHigherLatency(t *testing.T) {
	l := New(Options{Slots: 7}, start)
	now := serveWarm(l, start)
	for range 1000 {
		now = now.Add(5 * usualLatency)
		l.OnSuccess(now, 5*usualLatency)
	}
	assert.Equal(t, l.Limit(now), 7)
}

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		cold := rapid.IntRange(1, 20).Draw(t, "cold")
		l := New(Options{Slots: slots, ColdLimit: cold}, start)
		now := start
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.OnShed(now)
			case 1:
				l.OnFailure(now)
			case 2:
				l.OnSuccess(now, time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency"))*time.Millisecond)
			case 3:
				l.OnSuccess(now, usualLatency)
			case 4:
				l.Restart(now)
				assert.Equal(t, l.Limit(now), min(cold, slots))
			}
			limit := l.Limit(now)
			assert.Assert(t, limit >= min(cold, slots) && limit <= slots, "limit %d", limit)
		}
	})
}

func TestStaysColdForColdTime(t *testing.T) {
	l := New(Options{Slots: 7, ColdLimit: 2, ColdTime: time.Minute}, start)
	now := serveWarm(l, start)
	assert.Equal(t, l.Limit(now), 2)
	now = serveWarm(l, start.Add(time.Minute))
	assert.Equal(t, l.Limit(now), 7)
	l.Restart(now)
	now = serveWarm(l, now)
	assert.Equal(t, l.Limit(now), 2)
}

// A target whose limit was resumed as warm is still reset when it turns cold.
func TestResumedTargetCanTurnCold(t *testing.T) {
	l := New(Options{Slots: 7, ColdTime: time.Minute}, start)
	l.Resume(start, 7)
	assert.Equal(t, l.Limit(start), 7)
	now := serveWarm(l, start)
	assert.Equal(t, l.Limit(now), 7)
	for range 10 {
		l.OnSuccess(now, 5*usualLatency)
	}
	assert.Equal(t, l.Limit(now), 1)
	assert.Equal(t, l.Limit(serveWarm(l, now)), 1, "cold for the cold time")
}

// A target that started minutes before a new daemon first sees it counts as
// warm.
func TestOldTargetOfNewDaemonIsWarm(t *testing.T) {
	opt := Options{Slots: 7, ColdTime: 5 * time.Second}
	assert.Equal(t, New(opt, start).Limit(start.Add(2*time.Minute)), 7)
	assert.Equal(t, New(opt, start).Limit(start.Add(time.Minute)), 1)
	seen := New(opt, start)
	assert.Equal(t, seen.Limit(start), 1)
	assert.Equal(t, seen.Limit(start.Add(time.Hour)), 1, "not warm without requests")
}

// A target keeps its full slots when requests become slower at all targets.
func TestServiceWideSlowdownKeepsLimit(t *testing.T) {
	const slower = 20 * usualLatency
	l := New(Options{Slots: 7}, start)
	l.SetPeerLatency(2 * usualLatency)
	now := serveWarm(l, start)
	assert.Equal(t, l.Limit(now), 7)
	serve := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(slower / 7) {
			l.OnSuccess(now, slower)
		}
	}
	serve(defaultPeerConfirmTime / 2)
	l.SetPeerLatency(2 * slower)
	serve(time.Minute)
	assert.Equal(t, l.Limit(now), 7)
	assert.Equal(t, l.ResetCount(), 0)
}

// A target that becomes slow while the others stay fast is reset.
func TestTargetSlowerThanPeersIsReset(t *testing.T) {
	l := New(Options{Slots: 7}, start)
	l.SetPeerLatency(2 * usualLatency)
	now := serveWarm(l, start)
	for end := now.Add(2 * defaultPeerConfirmTime); now.Before(end); now = now.Add(usualLatency) {
		l.OnSuccess(now, 5*usualLatency)
	}
	assert.Equal(t, l.Limit(now), 1)
	assert.Equal(t, l.ResetCount(), 1)
}
