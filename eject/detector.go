package eject

import (
	"cmp"
	"math"
	"time"
)

// Options tune a Detector. Zero fields take the defaults given.
type Options struct {
	// Threshold is the log-likelihood ratio that raises suspicion. The mean
	// number of healthy samples to a false one is at least e^Threshold.
	// Default 18.
	Threshold float64
	// Confirm is how long the evidence must stay above the threshold before
	// it counts. It should exceed the time that a record takes to reach the
	// other daemons, so that trouble of the whole service is known for such.
	// Default 4 s.
	Confirm time.Duration
	// Hold is the least time a target stays suspect; it doubles when the
	// target is suspect again soon. Default 10 s.
	Hold time.Duration
	// Grace is how long after a start slowness is no evidence: a target in cold
	// start is slow, and would not warm up without work. Default 30 s.
	Grace time.Duration
	// SlowFactor multiplies the other targets' latency to the bound above
	// which a request is slow. Default 2.
	SlowFactor float64
}

const (
	defaultThreshold  = 18.0
	defaultConfirm    = 4 * time.Second
	defaultHold       = 10 * time.Second
	defaultGrace      = 30 * time.Second
	defaultSlowFactor = 2.0

	// maxHold bounds the doubling of the hold time.
	maxHold = 5 * time.Minute
	// relapseWindow is how soon a new suspicion counts as a relapse.
	relapseWindow = 10 * time.Minute
	// recoveryThreshold is the log-likelihood ratio of good over bad service that
	// ends suspicion.
	recoveryThreshold = 4.6
	// gainWindow and gainBound bound how much evidence a short burst can give.
	gainWindow    = 100 * time.Millisecond
	maxWindowGain = 6.0
	// scoreGranularity is the coarseness of the published score.
	scoreGranularity = 6.0
)

// Sample is the outcome of one real request at the target.
type Sample struct {
	// Failed tells that the target failed it: an error status, a broken or
	// late answer. A request shed by the target is no failure.
	Failed bool
	// Latency is the time to the answer's first byte.
	Latency time.Duration
}

// Detector judges one target. It is not safe for concurrent use.
type Detector struct {
	opt             Options
	base            Baseline
	stats           stats
	errorSum        float64 // CUSUM of failures
	slowSum         float64 // CUSUM of slow answers
	recoverySum     float64 // evidence for return, while suspect
	startedAt       time.Time
	gainWindowStart time.Time
	windowGain      float64
	aboveSince      time.Time
	suspect         bool
	suspectSince    time.Time
	holdTime        time.Duration
	lastRecovery    time.Time
	suspicions      int
}

// NewDetector returns a detector for a target that has just started; it suspects
// nothing.
func NewDetector(opt Options) *Detector {
	opt.Threshold = cmp.Or(opt.Threshold, defaultThreshold)
	opt.Confirm = cmp.Or(opt.Confirm, defaultConfirm)
	opt.Hold = cmp.Or(opt.Hold, defaultHold)
	opt.Grace = cmp.Or(opt.Grace, defaultGrace)
	opt.SlowFactor = cmp.Or(opt.SlowFactor, defaultSlowFactor)
	return &Detector{opt: opt, holdTime: opt.Hold}
}

// SetBaseline takes the state of the other targets.
func (d *Detector) SetBaseline(b Baseline) { d.base = b }

// SlowAfter is the latency above which a request counts as slow; 0 when there
// is nothing to compare with. A request in flight for longer may be reported
// by Overdue at once.
func (d *Detector) SlowAfter() time.Duration {
	if d.base.Targets == 0 {
		return 0
	}
	return time.Duration(d.opt.SlowFactor * float64(d.base.Latency))
}

// Observe takes the outcome of a request.
func (d *Detector) Observe(now time.Time, s Sample) {
	d.stats.add(now, s)
	slow := d.SlowAfter() > 0 && s.Latency > d.SlowAfter()
	d.update(now, s.Failed, slow)
}

// Overdue takes a request that is in flight for longer than SlowAfter. It is
// called once for each such request; the later outcome is observed as well.
func (d *Detector) Overdue(now time.Time) {
	d.update(now, false, true)
}

// Restart takes an announced restart of the target, after which it may be slow
// for the grace time. The first sample counts as one.
func (d *Detector) Restart(now time.Time) {
	d.startedAt = now
	d.slowSum = 0
}

// Tick moves time on without a sample.
func (d *Detector) Tick(now time.Time) { d.evaluate(now) }

// Suspect reports the verdict.
func (d *Detector) Suspect() bool { return d.suspect }

// Score ranks suspects: the evidence in coarse steps. It is published while
// the evidence waits for confirmation as well.
func (d *Detector) Score() float64 {
	if !d.suspect && d.aboveSince.IsZero() {
		return 0
	}
	return max(scoreGranularity, math.Round(max(d.errorSum, d.slowSum)/scoreGranularity)*scoreGranularity)
}

// Verdicts counts how often suspicion was raised.
func (d *Detector) Verdicts() int { return d.suspicions }

// Summary returns the figures for the target's record.
func (d *Detector) Summary(now time.Time) Summary { return d.stats.summary(now) }

func (d *Detector) update(now time.Time, failed, slow bool) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	if d.suspect {
		d.updateRecovery(failed, slow)
	}
	m := d.hypotheses()
	gain := d.limitGain(now, m.failure.logLikelihoodRatio(failed))
	d.errorSum = clamp(d.errorSum+gain, 0, 2*d.opt.Threshold)
	if d.SlowAfter() > 0 && now.Sub(d.startedAt) >= d.opt.Grace {
		gain = d.limitGain(now, m.slowness.logLikelihoodRatio(slow))
		d.slowSum = clamp(d.slowSum+gain, 0, 2*d.opt.Threshold)
	}
	d.evaluate(now)
}

// limitGain limits the growth within a short period, so that one hiccup that
// hits many requests at once counts as one event.
func (d *Detector) limitGain(now time.Time, gain float64) float64 {
	if gain <= 0 {
		return gain
	}
	if now.Sub(d.gainWindowStart) >= gainWindow {
		d.gainWindowStart = now
		d.windowGain = 0
	}
	gain = min(gain, maxWindowGain-d.windowGain)
	d.windowGain += gain
	return gain
}

func (d *Detector) evaluate(now time.Time) {
	if d.suspect {
		d.evaluateRecovery(now)
		return
	}
	if max(d.errorSum, d.slowSum) < d.opt.Threshold {
		d.aboveSince = time.Time{}
		return
	}
	if d.aboveSince.IsZero() {
		d.aboveSince = now
	}
	if now.Sub(d.aboveSince) < d.opt.Confirm || d.base.serviceWide() {
		return
	}
	d.markSuspect(now)
}

func (d *Detector) markSuspect(now time.Time) {
	d.suspect = true
	d.suspicions++
	d.suspectSince = now
	d.recoverySum = 0
	relapse := !d.lastRecovery.IsZero() && now.Sub(d.lastRecovery) < relapseWindow
	if relapse {
		d.holdTime = min(2*d.holdTime, maxHold)
		return
	}
	d.holdTime = d.opt.Hold
}

func (d *Detector) updateRecovery(failed, slow bool) {
	d.recoverySum -= d.recoveryFailure().logLikelihoodRatio(failed)
	if d.SlowAfter() > 0 {
		d.recoverySum -= recoverySlowness.logLikelihoodRatio(slow)
	}
	d.recoverySum = clamp(d.recoverySum, 0, recoveryThreshold)
}

func (d *Detector) evaluateRecovery(now time.Time) {
	if now.Sub(d.suspectSince) < d.holdTime || d.recoverySum < recoveryThreshold {
		return
	}
	d.suspect = false
	d.errorSum = 0
	d.slowSum = 0
	d.aboveSince = time.Time{}
	d.lastRecovery = now
}

func clamp(v, lo, hi float64) float64 { return min(max(v, lo), hi) }
