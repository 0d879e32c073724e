package coldstart

import (
	"cmp"
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
	// Step is the least time between two rises of the limit. Default 250 ms.
	Step time.Duration
	// JumpFactor is how many times its warm latency makes an answer a jump.
	// Default 3.
	JumpFactor float64
	// JumpRun is how many jumps in a row mean a cold target. Default 3.
	JumpRun int
}

const (
	defaultStep       = 250 * time.Millisecond
	defaultJumpFactor = 3.0
	defaultJumpRun    = 3

	// latencyWeight is the weight of a new answer in the warm latency.
	latencyWeight = 1.0 / 16
	// relearnWeight is the weight of an answer that exceeds the warm latency
	// by JumpFactor.
	relearnWeight = 1.0 / 64
	// learnRun is how many answers set the first warm latency.
	learnRun = 8
	// shedRun is how many sheds within shedWindow mean a cold target.
	shedRun    = 2
	shedWindow = time.Second
)

// Limiter is the limit of one target. It is not safe for concurrent use.
type Limiter struct {
	opt     Options
	limit   int
	good    int // answers in a row without a jump since the last rise
	jumps   int
	sheds   int
	shedAt  time.Time
	stepAt  time.Time
	coldAt  time.Time // since when the target is cold
	warm    float64   // nanoseconds
	answers int
	resets  int
}

// New returns the limiter of a target that is cold from now on.
func New(opt Options, now time.Time) *Limiter {
	opt.Slots = max(1, opt.Slots)
	opt.ColdLimit = min(max(1, opt.ColdLimit), opt.Slots)
	opt.Step = cmp.Or(opt.Step, defaultStep)
	opt.JumpFactor = cmp.Or(opt.JumpFactor, defaultJumpFactor)
	opt.JumpRun = cmp.Or(opt.JumpRun, defaultJumpRun)
	return &Limiter{opt: opt, limit: opt.ColdLimit, coldAt: now}
}

// Limit is how many requests the target may have at once now.
func (l *Limiter) Limit(_ time.Time) int { return l.limit }

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
	if l.isJump(latency) {
		l.onJump(now, latency)
		return
	}
	l.jumps = 0
	l.learn(latency, latencyWeight)
	l.good++
	if l.good < l.limit || now.Sub(l.stepAt) < l.opt.Step || now.Sub(l.coldAt) < l.opt.ColdTime {
		return
	}
	l.rise(now)
}

// OnShed takes a request that the target refused for overload.
func (l *Limiter) OnShed(now time.Time) {
	if now.Sub(l.shedAt) > shedWindow {
		l.sheds = 0
	}
	l.sheds++
	l.shedAt = now
	l.good = 0
	l.stepAt = now
	if l.sheds >= shedRun {
		l.reset(now)
		return
	}
	l.limit = max(l.opt.ColdLimit, l.limit/2)
}

// OnFailure takes a request that the target failed. A failure says nothing of
// capacity, but the limit does not rise on it.
func (l *Limiter) OnFailure(now time.Time) {
	l.good = 0
	l.stepAt = now
}

// Restart takes an announced restart or a new incarnation. The warm latency is
// kept, as the new process is compared with it.
func (l *Limiter) Restart(now time.Time) { l.reset(now) }

func (l *Limiter) isJump(latency time.Duration) bool {
	return l.answers >= learnRun && float64(latency) > l.opt.JumpFactor*l.warm
}

func (l *Limiter) onJump(now time.Time, latency time.Duration) {
	l.learn(latency, relearnWeight)
	l.good = 0
	l.jumps++
	if l.jumps >= l.opt.JumpRun {
		l.reset(now)
	}
}

func (l *Limiter) learn(latency time.Duration, weight float64) {
	l.answers++
	if l.answers <= learnRun {
		weight = 1 / float64(l.answers)
	}
	l.warm += weight * (float64(latency) - l.warm)
}

func (l *Limiter) rise(now time.Time) {
	l.good = 0
	l.stepAt = now
	l.limit = min(l.limit+1, l.opt.Slots)
}

func (l *Limiter) reset(now time.Time) {
	if l.limit > l.opt.ColdLimit {
		l.resets++
	}
	l.limit = l.opt.ColdLimit
	l.good = 0
	l.jumps = 0
	l.sheds = 0
	l.stepAt = now
	l.coldAt = now
}
