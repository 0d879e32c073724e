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
	minPatience      = 2 * time.Second
	surePatience     = time.Minute

	// minRound is the least number of answers in a round.
	minRound = 8
	// minSlowRound is that of a round slower than when warm.
	minSlowRound = 16
	// asWarm is how many times the warm latency still counts as warm.
	asWarm = 1.4
	// steady is how many times the latency at lower limits still counts as no
	// slower.
	steady = 1.2
	// overload is how many times the latency at lower limits means that the
	// limit is above what the target bears.
	overload = 1.6
	// baseWeight is the weight of a faster round in the base.
	baseWeight = 0.4
	// shedRun is how many sheds within shedWindow mean a cold target.
	shedRun    = 2
	shedWindow = time.Second
	// shedMemory is how long after a shed the slow step applies.
	shedMemory = 10 * time.Second
)

// Limiter is the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	opt    Options
	limit  int
	round  mean
	base   float64 // log latency at lower limits; 0 is unknown
	stepAt time.Time
	heldAt time.Time // since when the limit has not risen
	coldAt time.Time // since when the target is cold
	warm   warmth
	// peers is the log of the present p90 latency of the service's other
	// targets, 0 when unknown.
	peers   float64
	doubtAt time.Time // since when there is evidence for a cold target
	seen    bool
	// started tells that the target is cold by a start, not by evidence.
	started bool
	sheds   int
	shedAt  time.Time
	resets  int
}

// New returns the limiter of a target that started at the given time.
func New(opt Options, started time.Time) *Limiter {
	opt.Slots = max(1, opt.Slots)
	opt.ColdLimit = min(max(1, opt.ColdLimit), opt.Slots)
	opt.WarmAfter = cmp.Or(opt.WarmAfter, defaultWarmAfter)
	opt.Step = cmp.Or(opt.Step, defaultStep)
	opt.SlowStep = cmp.Or(opt.SlowStep, defaultSlowStep)
	opt.PeerDelay = cmp.Or(opt.PeerDelay, defaultPeerDelay)
	opt.Patience = cmp.Or(opt.Patience, max(opt.ColdTime, minPatience))
	return &Limiter{opt: opt, limit: opt.ColdLimit, stepAt: started, heldAt: started, coldAt: started, started: true}
}

// Limit is how many requests the target may have at once now.
func (l *Limiter) Limit(now time.Time) int {
	l.see(now)
	return l.limit
}

// see takes the first call, which tells how old the target is.
func (l *Limiter) see(now time.Time) {
	if l.seen {
		return
	}
	l.seen = true
	if now.Sub(l.coldAt) >= l.opt.ColdTime+l.opt.WarmAfter {
		l.move(now, l.opt.Slots)
	}
}

// Cold reports whether the limit is below the slots.
func (l *Limiter) Cold() bool { return l.limit < l.opt.Slots }

// Resets counts how often the target was found cold again.
func (l *Limiter) Resets() int { return l.resets }

// Resize takes changed slots or a changed cold limit.
func (l *Limiter) Resize(slots, coldLimit int) {
	l.opt.Slots = max(1, slots)
	l.opt.ColdLimit = min(max(1, coldLimit), l.opt.Slots)
	l.limit = min(max(l.limit, l.opt.ColdLimit), l.opt.Slots)
}

// OnSuccess takes an answer and the time to its first byte.
func (l *Limiter) OnSuccess(now time.Time, latency time.Duration) {
	l.see(now)
	lat := math.Log(float64(max(latency, time.Microsecond)))
	if !l.Cold() {
		l.round.add(lat)
		l.weigh(now, l.warm.observe(lat))
		return
	}
	if now.Sub(l.coldAt) < l.opt.ColdTime {
		return
	}
	l.round.add(lat)
	if l.round.n >= max(minRound, l.limit) {
		l.judge(now)
	}
}

// Resume sets the limit at which an earlier gate last saw the same incarnation
// of the target, so that a restart of the daemon alone does not make its warm
// targets cold. It must not be called for another incarnation.
func (l *Limiter) Resume(now time.Time, limit int) {
	l.seen = true
	l.coldAt = now.Add(-l.opt.ColdTime)
	l.move(now, min(max(limit, l.opt.ColdLimit), l.opt.Slots))
}

// SetReference takes the present p90 latency of the service's other targets, 0
// when unknown. A target is compared with it until its own warm latency is known,
// and whenever its own past says that it is slow.
func (l *Limiter) SetReference(p90 time.Duration) {
	l.peers = 0
	if p90 > 0 {
		l.peers = math.Log(float64(p90))
		l.warm.refer(l.peers)
	}
}

// weigh acts on evidence for a cold target at its full slots. When the other
// targets have become as slow, it is the work that has, and the target's warm
// latency is learnt anew.
func (l *Limiter) weigh(now time.Time, evidence bool) {
	if !evidence {
		l.doubtAt = time.Time{}
		return
	}
	if l.peers == 0 {
		l.reset(now)
		return
	}
	if l.doubtAt.IsZero() {
		l.doubtAt = now
		l.round = mean{}
		return
	}
	if now.Sub(l.doubtAt) < l.opt.PeerDelay || l.round.n == 0 {
		return
	}
	if !l.isAsPeers(l.round.value()) {
		l.reset(now)
		return
	}
	l.warm.forget()
	l.warm.start(l.round.value())
	l.doubtAt = time.Time{}
}

// isAsPeers reports whether a round is as fast as the other targets are now.
func (l *Limiter) isAsPeers(got float64) bool {
	return l.peers != 0 && got <= l.peers-referSpread+math.Log(asWarm)
}

// SlowAfter is the time in flight after which a request is to be reported by
// OnOverdue; 0 when there is nothing to compare with.
func (l *Limiter) SlowAfter() time.Duration {
	if l.Cold() || !l.warm.known() {
		return 0
	}
	return time.Duration(math.Exp(l.warm.high) * slowFactor)
}

// OnOverdue takes a request that is in flight for longer than SlowAfter, so
// that a target turned cold is noticed before its slow answers arrive. It is
// called at most once for each request; the answer is taken as well.
func (l *Limiter) OnOverdue(now time.Time) {
	if !l.Cold() && l.warm.overdue() {
		l.weigh(now, true)
	}
}

// OnShed takes a request that the target refused for overload.
func (l *Limiter) OnShed(now time.Time) {
	if now.Sub(l.shedAt) > shedWindow {
		l.sheds = 0
	}
	l.sheds++
	l.shedAt = now
	if l.sheds >= shedRun {
		l.reset(now)
		return
	}
	l.move(now, max(l.opt.ColdLimit, l.limit/2))
}

// OnFailure takes a request that the target failed. A failure says nothing of
// capacity, but the limit does not rise on it.
func (l *Limiter) OnFailure(now time.Time) {
	l.round = mean{}
	l.stepAt = now
}

// Restart takes an announced restart or a new incarnation. The warm latency is
// kept, as the new process is compared with it.
func (l *Limiter) Restart(now time.Time) {
	l.reset(now)
	l.started = true
}

// judge ends a round when the step is over.
func (l *Limiter) judge(now time.Time) {
	got := l.round.value()
	since := now.Sub(l.stepAt)
	fast := l.isFast(got)
	if fast && !l.shedLately(now) {
		if since >= l.opt.Step {
			l.rise(now, got)
		}
		return
	}
	if l.round.n < max(minSlowRound, l.limit) || since < l.opt.SlowStep {
		return
	}
	switch {
	case fast, l.bearsMore(got):
		l.rise(now, got)
	case now.Sub(l.heldAt) >= l.patience():
		l.base = got
		l.warm.forget()
		l.rise(now, got)
	default:
		l.move(now, max(l.opt.ColdLimit, l.limit-1))
	}
}

// patience is long when it is known that the target, not its work, is slow.
func (l *Limiter) patience() time.Duration {
	if l.started || l.peers != 0 {
		return l.opt.Patience + surePatience
	}
	return l.opt.Patience
}

// isFast compares a round with the warm target, or when that is not known with
// rounds at lower limits.
func (l *Limiter) isFast(got float64) bool {
	if l.isAsPeers(got) {
		return true
	}
	if l.warm.known() {
		return got <= l.warm.mean+math.Log(asWarm)
	}
	return l.base == 0 || got <= l.base+math.Log(steady)
}

// bearsMore compares a target whose warm latency is not known with itself at
// lower limits.
func (l *Limiter) bearsMore(got float64) bool {
	if l.warm.known() {
		return false
	}
	return got <= l.base+math.Log(overload)
}

func (l *Limiter) shedLately(now time.Time) bool {
	return !l.shedAt.IsZero() && now.Sub(l.shedAt) < shedMemory
}

func (l *Limiter) rise(now time.Time, got float64) {
	switch {
	case l.base == 0:
		l.base = got
	case got < l.base:
		l.base += baseWeight * (got - l.base)
	}
	l.heldAt = now
	l.move(now, min(l.limit+1, l.opt.Slots))
	if !l.Cold() {
		l.warm.start(got)
	}
}

// move sets the limit and begins a round.
func (l *Limiter) move(now time.Time, limit int) {
	l.limit = limit
	l.round = mean{}
	l.stepAt = now
}

func (l *Limiter) reset(now time.Time) {
	if l.limit > l.opt.ColdLimit {
		l.resets++
	}
	l.move(now, l.opt.ColdLimit)
	l.base = 0
	l.heldAt = now
	l.coldAt = now
	l.started = false
	l.sheds = 0
	l.doubtAt = time.Time{}
	l.warm.reset()
}
