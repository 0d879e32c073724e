package slowstart

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probeTime is how long a target takes to answer a probe.
const probeTime = 25 * time.Millisecond

// playProbes plays a target that fails all requests at once, so that they are no
// evidence, and answers probes truthfully after probeTime. coldAt says at which
// time it turns cold without notice; zero means never. It returns when requests
// were sent.
func playProbes(l *Limiter, bound, perSecond int, coldAt time.Duration, duration time.Duration, probes bool) (sent []time.Duration) {
	cold := func(at time.Duration) bool { return coldAt > 0 && at >= coldAt }
	var probeSent time.Duration
	probing := false
	arrived := 0
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		now := t0.Add(at)
		if at%(1500*time.Millisecond) == 0 && !cold(at) {
			l.Confirm(now)
		}
		if probing && at >= probeSent+probeTime {
			probing = false
			if cold(at) {
				l.Restarted(now)
			} else {
				l.Proven(now, t0.Add(probeSent))
			}
		}
		if probes && !probing && l.ProbeDue(now, bound, unknown) {
			probing, probeSent = true, at
			l.Probed(now)
		}
		for ; arrived < int(at*time.Duration(perSecond)/time.Second); arrived++ {
			if room, _ := l.Room(now, bound, unknown); room != 0 {
				l.Sent(now)
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// A warm target whose requests are no evidence, because they fail for reasons of
// their own, gets what arrives.
func TestProbedTargetIsNotHeldToTheBound(t *testing.T) {
	const bound, perSecond, seconds = 21, 55, 20
	without := len(playProbes(&Limiter{}, bound, perSecond, 0, seconds*time.Second, false))
	with := len(playProbes(&Limiter{}, bound, perSecond, 0, seconds*time.Second, true))
	t.Logf("%d requests arrived, %d sent without probes, %d with", perSecond*seconds, without, with)
	assert.Assert(t, without <= bound*(seconds+1))
	assert.Assert(t, float64(with) >= 0.95*perSecond*seconds)
}

// However it is timed, a target that turns cold without notice gets no more than
// the bound in any second from then on.
func TestProbedTargetThatTurnsColdGetsTheBound(t *testing.T) {
	const bound = 21
	for coldAt := 2 * time.Second; coldAt < 3*time.Second; coldAt += 3 * time.Millisecond {
		sent := playProbes(&Limiter{}, bound, 80, coldAt, 5*time.Second, true)
		for i, from := range sent {
			within := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					within++
				}
			}
			if from >= coldAt {
				assert.Assert(t, within <= bound, "%d in the second from %s, cold at %s", within, from, coldAt)
			}
		}
	}
}

func TestProbeOfAnEarlierIncarnationProvesNothing(t *testing.T) {
	var l Limiter
	const bound = 5
	for range bound {
		l.Sent(t0)
	}
	l.Restarted(t0.Add(10 * time.Millisecond))
	l.Proven(t0.Add(20*time.Millisecond), t0.Add(5*time.Millisecond))
	room, _ := l.Room(t0.Add(30*time.Millisecond), bound, unknown)
	assert.Equal(t, room, 0)
	assert.Assert(t, !l.Warm(t0.Add(30*time.Millisecond)))
	l.Proven(t0.Add(40*time.Millisecond), t0.Add(30*time.Millisecond))
	room, _ = l.Room(t0.Add(50*time.Millisecond), bound, unknown)
	assert.Equal(t, room, bound)
}

func TestProbesAreRare(t *testing.T) {
	var l Limiter
	l.Confirm(t0)
	for range 20 {
		l.Sent(t0)
	}
	assert.Assert(t, !l.ProbeDue(t0, 20, fast), "the requests are evidence enough")
	assert.Assert(t, l.ProbeDue(t0, 20, unknown))
	l.Probed(t0)
	assert.Assert(t, !l.ProbeDue(t0.Add(minProbeInterval-time.Millisecond), 20, unknown))
	assert.Assert(t, l.ProbeDue(t0.Add(minProbeInterval), 20, unknown))
	assert.Assert(t, !(&Limiter{}).ProbeDue(t0, 20, unknown), "nothing was sent")
	assert.Assert(t, !l.ProbeDue(t0.Add(minProbeInterval), 0, unknown), "there is no bound")
}
