package coldstart

import (
	"cmp"
	"math"
	"time"
)

// Options tune a Limiter. Zero fields take the defaults given.
type Options struct {
	// Slots is the upper bound. Default 1.
	Slots int
	// ColdLimit is the limit of a cold target. Default 1.
	ColdLimit int
	// ColdTime is how long a target stays cold at least: the limit does not
	// rise before. Default 0.
	ColdTime time.Duration
	// WarmAfter is how much longer than ColdTime ago a target must have started
	// to count as warm when it is first seen, by a daemon that is newer than
	// the target. Default 1 min.
	WarmAfter time.Duration
	// Step is the least time between two rises of a target that serves as fast
	// as when warm. Default 250 ms.
	Step time.Duration
	// SlowStep is that of a slower one. Default 2 s.
	SlowStep time.Duration
	// PeerDelay is how long evidence for a cold target must last when other
	// targets are known, so that these can tell whether the work itself
	// has become slower. Default 250 ms.
	PeerDelay time.Duration
	// Patience is how long a target that was found slow without a restart, and
	// has no others to compare with, is held below its slots before its warm
	// latency is taken as outdated: its work has become slower, not the
	// target. Default is ColdTime, but at least 2 s. In other cases it is a
	// minute longer.
	Patience time.Duration
}

const (
	defaultWarmAfter = time.Minute

	defaultStep      = 250 * time.Millisecond
	defaultSlowStep  = 2 * time.Second
	defaultPeerDelay = 250 * time.Millisecond
	minRelearnDelay  = 2 * time.Second
	relearnMargin    = time.Minute

	// minRoundAnswers is the least number of answers in a round.
	minRoundAnswers = 8
	// minSlowRoundAnswers is that of a round slower than when warm.
	minSlowRoundAnswers = 16
	// warmFactor is how many times the warm latency still counts as warm.
	warmFactor = 1.4
	// steadyFactor is how many times the latency at lower limits still counts as no
	// slower.
	steadyFactor = 1.2
	// overloadFactor is how many times the latency at lower limits means that the
	// limit is above what the target bears.
	overloadFactor = 1.6
	// baselineWeight is the weight of a faster round in the base.
	baselineWeight = 0.4
	// shedsToReset is how many sheds within shedWindow mean a cold target.
	shedsToReset = 2
	shedWindow   = time.Second
	// shedCooldown is how long after a shed the slow step applies.
	shedCooldown = 10 * time.Second
)

// Limiter is the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	options        Options
	limit          int
	round          mean
	baseline       float64 // log latency at lower limits; 0 is unknown
	limitChangedAt time.Time
	lastRise       time.Time // since when the limit has not risen
	coldSince      time.Time // since when the target is cold
	warmLatency    latencyProfile
	// peerLatency is the log of the present p90 latency of the service's other
	// targets, 0 when unknown.
	peerLatency   float64
	evidenceSince time.Time // since when there is evidence for a cold target
	initialized   bool
	// coldByStart tells that the target is cold by a start, not by evidence.
	coldByStart bool
	shedCount   int
	lastShed    time.Time
	resetCount  int
}

// New returns the limiter of a target that started at the given time.
func New(opt Options, started time.Time) *Limiter {
	opt.Slots = max(1, opt.Slots)
	opt.ColdLimit = min(max(1, opt.ColdLimit), opt.Slots)
	opt.WarmAfter = cmp.Or(opt.WarmAfter, defaultWarmAfter)
	opt.Step = cmp.Or(opt.Step, defaultStep)
	opt.SlowStep = cmp.Or(opt.SlowStep, defaultSlowStep)
	opt.PeerDelay = cmp.Or(opt.PeerDelay, defaultPeerDelay)
	opt.Patience = cmp.Or(opt.Patience, max(opt.ColdTime, minRelearnDelay))
	return &Limiter{options: opt, limit: opt.ColdLimit, limitChangedAt: started, lastRise: started, coldSince: started, coldByStart: true}
}

// Limit is how many requests the target may have at once now.
func (l *Limiter) Limit(now time.Time) int {
	l.initialize(now)
	return l.limit
}

// initialize takes the first call, which tells how old the target is.
func (l *Limiter) initialize(now time.Time) {
	if l.initialized {
		return
	}
	l.initialized = true
	if now.Sub(l.coldSince) >= l.options.ColdTime+l.options.WarmAfter {
		l.setLimit(now, l.options.Slots)
	}
}

// Cold reports whether the limit is below the slots.
func (l *Limiter) Cold() bool { return l.limit < l.options.Slots }

// Resets counts how often the target was found cold again.
func (l *Limiter) Resets() int { return l.resetCount }

// Resize takes changed slots or a changed cold limit.
func (l *Limiter) Resize(slots, coldLimit int) {
	l.options.Slots = max(1, slots)
	l.options.ColdLimit = min(max(1, coldLimit), l.options.Slots)
	l.limit = min(max(l.limit, l.options.ColdLimit), l.options.Slots)
}

// OnSuccess takes an answer and the time to its first byte.
func (l *Limiter) OnSuccess(now time.Time, latency time.Duration) {
	l.initialize(now)
	lat := math.Log(float64(max(latency, time.Microsecond)))
	if !l.Cold() {
		l.round.add(lat)
		l.handleEvidence(now, l.warmLatency.observe(lat))
		return
	}
	if now.Sub(l.coldSince) < l.options.ColdTime {
		return
	}
	l.round.add(lat)
	if l.round.n >= max(minRoundAnswers, l.limit) {
		l.evaluateRound(now)
	}
}

// Resume sets the limit at which an earlier gate last saw the same incarnation
// of the target, so that a restart of the daemon alone does not make its warm
// targets cold. It must not be called for another incarnation.
func (l *Limiter) Resume(now time.Time, limit int) {
	l.initialized = true
	l.coldSince = now.Add(-l.options.ColdTime)
	l.setLimit(now, min(max(limit, l.options.ColdLimit), l.options.Slots))
}

// SetReference takes the present p90 latency of the service's other targets, 0
// when unknown. A target is compared with it until its own warm latency is known,
// and whenever its own past says that it is slow.
func (l *Limiter) SetReference(p90 time.Duration) {
	l.peerLatency = 0
	if p90 > 0 {
		l.peerLatency = math.Log(float64(p90))
		l.warmLatency.seedFromPeers(l.peerLatency)
	}
}

// handleEvidence acts on evidence for a cold target at its full slots. When the other
// targets have become as slow, it is the work that has, and the target's warm
// latency is learnt anew.
func (l *Limiter) handleEvidence(now time.Time, evidence bool) {
	if !evidence {
		l.evidenceSince = time.Time{}
		return
	}
	if l.peerLatency == 0 {
		l.resetToCold(now)
		return
	}
	if l.evidenceSince.IsZero() {
		l.evidenceSince = now
		l.round = mean{}
		return
	}
	if now.Sub(l.evidenceSince) < l.options.PeerDelay || l.round.n == 0 {
		return
	}
	if !l.matchesPeers(l.round.value()) {
		l.resetToCold(now)
		return
	}
	l.warmLatency.discard()
	l.warmLatency.learn(l.round.value())
	l.evidenceSince = time.Time{}
}

// matchesPeers reports whether a round is as fast as the other targets are now.
func (l *Limiter) matchesPeers(got float64) bool {
	return l.peerLatency != 0 && got <= l.peerLatency-peerP90Offset+math.Log(warmFactor)
}

// SlowAfter is the time in flight after which a request is to be reported by
// OnOverdue; 0 when there is nothing to compare with.
func (l *Limiter) SlowAfter() time.Duration {
	if l.Cold() || !l.warmLatency.known() {
		return 0
	}
	return time.Duration(math.Exp(l.warmLatency.p90) * slowFactor)
}

// OnOverdue takes a request that is in flight for longer than SlowAfter, so
// that a target turned cold is noticed before its slow answers arrive. It is
// called at most once for each request; the answer is taken as well.
func (l *Limiter) OnOverdue(now time.Time) {
	if !l.Cold() && l.warmLatency.observeOverdue() {
		l.handleEvidence(now, true)
	}
}

// OnShed takes a request that the target refused for overload.
func (l *Limiter) OnShed(now time.Time) {
	if now.Sub(l.lastShed) > shedWindow {
		l.shedCount = 0
	}
	l.shedCount++
	l.lastShed = now
	if l.shedCount >= shedsToReset {
		l.resetToCold(now)
		return
	}
	l.setLimit(now, max(l.options.ColdLimit, l.limit/2))
}

// OnFailure takes a request that the target failed. A failure says nothing of
// capacity, but the limit does not rise on it.
func (l *Limiter) OnFailure(now time.Time) {
	l.round = mean{}
	l.limitChangedAt = now
}

// Restart takes an announced restart or a new incarnation. The warm latency is
// kept, as the new process is compared with it.
func (l *Limiter) Restart(now time.Time) {
	l.resetToCold(now)
	l.coldByStart = true
}

// evaluateRound ends a round when the step is over.
func (l *Limiter) evaluateRound(now time.Time) {
	got := l.round.value()
	sinceChange := now.Sub(l.limitChangedAt)
	warm := l.isWarm(got)
	if warm && !l.recentlyShed(now) {
		if sinceChange >= l.options.Step {
			l.raiseLimit(now, got)
		}
		return
	}
	if l.round.n < max(minSlowRoundAnswers, l.limit) || sinceChange < l.options.SlowStep {
		return
	}
	switch {
	case warm, l.belowOverload(got):
		l.raiseLimit(now, got)
	case now.Sub(l.lastRise) >= l.relearnDelay():
		l.baseline = got
		l.warmLatency.discard()
		l.raiseLimit(now, got)
	default:
		l.setLimit(now, max(l.options.ColdLimit, l.limit-1))
	}
}

// relearnDelay is long when it is known that the target, not its work, is slow.
func (l *Limiter) relearnDelay() time.Duration {
	if l.coldByStart || l.peerLatency != 0 {
		return l.options.Patience + relearnMargin
	}
	return l.options.Patience
}

// isWarm compares a round with the warm target, or when that is not known with
// rounds at lower limits.
func (l *Limiter) isWarm(got float64) bool {
	if l.matchesPeers(got) {
		return true
	}
	if l.warmLatency.known() {
		return got <= l.warmLatency.mean+math.Log(warmFactor)
	}
	return l.baseline == 0 || got <= l.baseline+math.Log(steadyFactor)
}

// belowOverload compares a target whose warm latency is not known with itself at
// lower limits.
func (l *Limiter) belowOverload(got float64) bool {
	if l.warmLatency.known() {
		return false
	}
	return got <= l.baseline+math.Log(overloadFactor)
}

func (l *Limiter) recentlyShed(now time.Time) bool {
	return !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedCooldown
}

func (l *Limiter) raiseLimit(now time.Time, got float64) {
	switch {
	case l.baseline == 0:
		l.baseline = got
	case got < l.baseline:
		l.baseline += baselineWeight * (got - l.baseline)
	}
	l.lastRise = now
	l.setLimit(now, min(l.limit+1, l.options.Slots))
	if !l.Cold() {
		l.warmLatency.learn(got)
	}
}

// setLimit sets the limit and begins a round.
func (l *Limiter) setLimit(now time.Time, limit int) {
	l.limit = limit
	l.round = mean{}
	l.limitChangedAt = now
}

func (l *Limiter) resetToCold(now time.Time) {
	if l.limit > l.options.ColdLimit {
		l.resetCount++
	}
	l.setLimit(now, l.options.ColdLimit)
	l.baseline = 0
	l.lastRise = now
	l.coldSince = now
	l.coldByStart = false
	l.shedCount = 0
	l.evidenceSince = time.Time{}
	l.warmLatency.clearEvidence()
}
