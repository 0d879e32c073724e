package coldstart

import (
	"cmp"
	"math"
	"time"
)

// Options configure a Limiter. Zero fields take the defaults given.
type Options struct {
	// Slots is the upper bound of the limit. Default 1.
	Slots int
	// ColdLimit is the limit of a cold target. Default 1.
	ColdLimit int
	// ColdTime is the minimum time for which a target counts as cold; the limit
	// does not rise before. Default 0.
	ColdTime time.Duration
	// WarmAfter applies when a daemon first sees a target that is older than the
	// daemon: the target counts as warm if it started at least ColdTime plus
	// WarmAfter ago. Default 1 min.
	WarmAfter time.Duration
	// RiseInterval is the minimum time between two rises of the limit of a
	// target that is as fast as when warm. Default 250 ms.
	RiseInterval time.Duration
	// SlowRiseInterval is the same for a slower target. Default 2 s.
	SlowRiseInterval time.Duration
	// PeerConfirmTime is the time for which evidence of a cold target must last
	// if other targets are known. In this time the latency of the others shows
	// whether the requests have become more expensive. Default 250 ms.
	PeerConfirmTime time.Duration
	// RelearnDelay is the time without a rise after which the known warm latency
	// of a target below its slots is discarded as outdated, on the assumption
	// that its requests have become more expensive. It applies to a target that
	// turned slow without a restart and has no other targets to compare with; in
	// all other cases the time is one minute longer. Default ColdTime, but at
	// least 2 s.
	RelearnDelay time.Duration
}

const (
	defaultWarmAfter = time.Minute

	defaultRiseInterval     = 250 * time.Millisecond
	defaultSlowRiseInterval = 2 * time.Second
	defaultPeerConfirmTime  = 250 * time.Millisecond
	minRelearnDelay         = 2 * time.Second
	relearnMargin           = time.Minute

	// minRoundAnswers is the minimum number of successful responses in a round.
	minRoundAnswers = 8
	// minSlowRoundAnswers is the same for a round slower than when warm.
	minSlowRoundAnswers = 16
	// warmFactor times the warm latency is the bound up to which a target counts
	// as warm.
	warmFactor = 1.4
	// steadyFactor times the latency at lower limits is the bound up to which a
	// target counts as not slower.
	steadyFactor = 1.2
	// overloadFactor times the latency at lower limits is the bound above which
	// the limit exceeds the target's capacity.
	overloadFactor = 1.6
	// baselineWeight is the weight of a faster round in the baseline.
	baselineWeight = 0.4
	// shedsToReset is the number of shed requests within shedWindow after which
	// a target counts as cold.
	shedsToReset = 2
	shedWindow   = time.Second
	// shedCooldown is the time after a shed request in which
	// SlowRiseInterval applies.
	shedCooldown = 10 * time.Second
)

// Limiter is the concurrency limit of one target. It is not safe for concurrent
// use.
type Limiter struct {
	options        Options
	limit          int
	round          mean
	baseline       float64 // log latency at lower limits; 0 if unknown
	limitChangedAt time.Time
	lastRise       time.Time // last rise of the limit, or the start
	coldSince      time.Time // when the target last turned cold
	warmLatency    latencyProfile
	// peerLatency is the log of the current p90 latency of the service's other
	// targets; 0 if unknown.
	peerLatency   float64
	evidenceSince time.Time // start of the present evidence of a cold target
	initialized   bool
	// coldByStart is set if the target is cold because it started, not because
	// it turned slow or shed requests.
	coldByStart bool
	shedCount   int
	lastShed    time.Time
	resetCount  int
}

// New returns a limiter for a target that started at the given time.
func New(opt Options, started time.Time) *Limiter {
	opt.Slots = max(1, opt.Slots)
	opt.ColdLimit = min(max(1, opt.ColdLimit), opt.Slots)
	opt.WarmAfter = cmp.Or(opt.WarmAfter, defaultWarmAfter)
	opt.RiseInterval = cmp.Or(opt.RiseInterval, defaultRiseInterval)
	opt.SlowRiseInterval = cmp.Or(opt.SlowRiseInterval, defaultSlowRiseInterval)
	opt.PeerConfirmTime = cmp.Or(opt.PeerConfirmTime, defaultPeerConfirmTime)
	opt.RelearnDelay = cmp.Or(opt.RelearnDelay, max(opt.ColdTime, minRelearnDelay))
	return &Limiter{options: opt, limit: opt.ColdLimit, limitChangedAt: started, lastRise: started, coldSince: started, coldByStart: true}
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit(now time.Time) int {
	l.initialize(now)
	return l.limit
}

// initialize is called on first use. A target that started long before counts as
// warm.
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

// ResetCount returns how often the limit was reset to the cold limit.
func (l *Limiter) ResetCount() int { return l.resetCount }

// Resize sets the slots and the cold limit.
func (l *Limiter) Resize(slots, coldLimit int) {
	l.options.Slots = max(1, slots)
	l.options.ColdLimit = min(max(1, coldLimit), l.options.Slots)
	l.limit = min(max(l.limit, l.options.ColdLimit), l.options.Slots)
}

// OnSuccess records a successful response and the time to its first byte.
func (l *Limiter) OnSuccess(now time.Time, latency time.Duration) {
	l.initialize(now)
	logLatency := math.Log(float64(max(latency, time.Microsecond)))
	if !l.Cold() {
		l.round.add(logLatency)
		l.handleEvidence(now, l.warmLatency.observe(logLatency))
		return
	}
	if now.Sub(l.coldSince) < l.options.ColdTime {
		return
	}
	l.round.add(logLatency)
	if l.round.n >= max(minRoundAnswers, l.limit) {
		l.evaluateRound(now)
	}
}

// Resume restores the limit that an earlier process of the daemon last had for
// the same incarnation of the target, so that a restart of the daemon alone does
// not make warm targets cold. It must not be called for another incarnation.
func (l *Limiter) Resume(now time.Time, limit int) {
	l.initialized = true
	l.coldSince = now.Add(-l.options.ColdTime)
	l.setLimit(now, min(max(limit, l.options.ColdLimit), l.options.Slots))
}

// SetPeerLatency sets the current p90 latency of the service's other targets; 0
// if unknown. A target is compared with it until its own warm latency is known,
// and whenever it is slow compared with its own history.
func (l *Limiter) SetPeerLatency(p90 time.Duration) {
	l.peerLatency = 0
	if p90 > 0 {
		l.peerLatency = math.Log(float64(p90))
		l.warmLatency.seedFromPeers(l.peerLatency)
	}
}

// handleEvidence handles evidence that a target at its full slots has turned
// cold. If the other targets have become as slow, the requests have become more
// expensive, and the warm latency is relearnt instead of the limit being reset.
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
	if now.Sub(l.evidenceSince) < l.options.PeerConfirmTime || l.round.n == 0 {
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
func (l *Limiter) matchesPeers(latency float64) bool {
	return l.peerLatency != 0 && latency <= l.peerLatency-peerP90Offset+math.Log(warmFactor)
}

// SlowAfter is the time in flight after which a request is to be reported to
// OnOverdue; 0 if the limit is below the slots or no warm latency is known.
func (l *Limiter) SlowAfter() time.Duration {
	if l.Cold() || !l.warmLatency.known() {
		return 0
	}
	return time.Duration(math.Exp(l.warmLatency.p90) * slowFactor)
}

// OnOverdue records that a request has been in flight for longer than SlowAfter,
// so that a cold target is detected before its slow responses arrive. It is
// called at most once for each request; the response is passed to OnSuccess as
// well.
func (l *Limiter) OnOverdue(now time.Time) {
	if !l.Cold() && l.warmLatency.observeOverdue() {
		l.handleEvidence(now, true)
	}
}

// OnShed records a request that the target shed because of overload.
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

// OnFailure records a request that the target failed. A failure does not
// indicate a lack of capacity, but it restarts the round, so the limit does not
// rise.
func (l *Limiter) OnFailure(now time.Time) {
	l.round = mean{}
	l.limitChangedAt = now
}

// Restart records an announced restart or a new incarnation. The warm latency is
// kept for comparison with the new process.
func (l *Limiter) Restart(now time.Time) {
	l.resetToCold(now)
	l.coldByStart = true
}

// evaluateRound adjusts the limit after a round if enough time has passed since
// the last change.
func (l *Limiter) evaluateRound(now time.Time) {
	latency := l.round.value()
	sinceChange := now.Sub(l.limitChangedAt)
	warm := l.isWarm(latency)
	if warm && !l.recentlyShed(now) {
		if sinceChange >= l.options.RiseInterval {
			l.raiseLimit(now, latency)
		}
		return
	}
	if l.round.n < max(minSlowRoundAnswers, l.limit) || sinceChange < l.options.SlowRiseInterval {
		return
	}
	switch {
	case warm, l.belowOverload(latency):
		l.raiseLimit(now, latency)
	case now.Sub(l.lastRise) >= l.relearnDelay():
		l.baseline = latency
		l.warmLatency.discard()
		l.raiseLimit(now, latency)
	default:
		l.setLimit(now, max(l.options.ColdLimit, l.limit-1))
	}
}

// relearnDelay is the time without a rise after which the warm latency is
// discarded. It is longer if a start or the other targets show that the target
// itself is slow.
func (l *Limiter) relearnDelay() time.Duration {
	if l.coldByStart || l.peerLatency != 0 {
		return l.options.RelearnDelay + relearnMargin
	}
	return l.options.RelearnDelay
}

// isWarm reports whether a round is as fast as the warm latency or, if that is
// not known, as rounds at lower limits.
func (l *Limiter) isWarm(latency float64) bool {
	if l.matchesPeers(latency) {
		return true
	}
	if l.warmLatency.known() {
		return latency <= l.warmLatency.mean+math.Log(warmFactor)
	}
	return l.baseline == 0 || latency <= l.baseline+math.Log(steadyFactor)
}

// belowOverload reports whether a target whose warm latency is not known shows
// no overload compared with rounds at lower limits.
func (l *Limiter) belowOverload(latency float64) bool {
	if l.warmLatency.known() {
		return false
	}
	return latency <= l.baseline+math.Log(overloadFactor)
}

func (l *Limiter) recentlyShed(now time.Time) bool {
	return !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedCooldown
}

// raiseLimit raises the limit by one and updates the baseline.
func (l *Limiter) raiseLimit(now time.Time, latency float64) {
	switch {
	case l.baseline == 0:
		l.baseline = latency
	case latency < l.baseline:
		l.baseline += baselineWeight * (latency - l.baseline)
	}
	l.lastRise = now
	l.setLimit(now, min(l.limit+1, l.options.Slots))
	if !l.Cold() {
		l.warmLatency.learn(latency)
	}
}

// setLimit sets the limit and starts a new round.
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
