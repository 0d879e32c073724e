package eject

import (
	"cmp"
	"math"
	"time"
)

// Options configure a Detector. Zero fields take the defaults given.
type Options struct {
	// Threshold is the log-likelihood ratio at which a target becomes suspect.
	// The mean number of samples of a healthy target between two false
	// suspicions is at least e^Threshold. Default 18.
	Threshold float64
	// ConfirmTime is how long a sum must stay above the threshold before the
	// target becomes suspect. It should exceed the time that a record takes to
	// reach the other daemons, so that a fault of the whole service is
	// recognized as such. Default 4 s.
	ConfirmTime time.Duration
	// HoldTime is the minimum time for which a target stays suspect; it doubles
	// with each relapse. Default 10 s.
	HoldTime time.Duration
	// GracePeriod is the time after a start in which slow responses are ignored:
	// a target is slow during its cold start and would not warm up without
	// requests. Default 30 s.
	GracePeriod time.Duration
	// SlowFactor times the latency of the other targets is the bound above
	// which a request counts as slow. Default 2.
	SlowFactor float64
}

const (
	defaultThreshold  = 18.0
	defaultConfirm    = 4 * time.Second
	defaultHold       = 10 * time.Second
	defaultGrace      = 30 * time.Second
	defaultSlowFactor = 2.0

	// maxHold is the upper bound of the hold time.
	maxHold = 5 * time.Minute
	// relapseWindow is the time after a recovery in which a new suspicion counts
	// as a relapse.
	relapseWindow = 10 * time.Minute
	// recoveryThreshold is the log-likelihood ratio of a healthy over a bad
	// target at which suspicion ends.
	recoveryThreshold = 4.6
	// gainWindow and maxWindowGain bound by how much a short burst can raise the
	// sums.
	gainWindow    = 100 * time.Millisecond
	maxWindowGain = 6.0
	// scoreGranularity is the granularity of the published score.
	scoreGranularity = 6.0
)

// Sample is the outcome of one request to the target.
type Sample struct {
	// Failed is set if the target failed the request: an error status, or an
	// incomplete or late response. A request shed by the target is no failure.
	Failed bool
	// Latency is the time to the first byte of the response.
	Latency time.Duration
}

// Detector detects whether one target is an outlier. It is not safe for
// concurrent use.
type Detector struct {
	opt             Options
	baseline        Baseline
	stats           stats
	errorSum        float64 // CUSUM of failures
	slowSum         float64 // CUSUM of slow responses
	recoverySum     float64 // evidence of recovery, while suspect
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

// NewDetector returns a detector for a target that has just started and is not
// suspect.
func NewDetector(opt Options) *Detector {
	opt.Threshold = cmp.Or(opt.Threshold, defaultThreshold)
	opt.ConfirmTime = cmp.Or(opt.ConfirmTime, defaultConfirm)
	opt.HoldTime = cmp.Or(opt.HoldTime, defaultHold)
	opt.GracePeriod = cmp.Or(opt.GracePeriod, defaultGrace)
	opt.SlowFactor = cmp.Or(opt.SlowFactor, defaultSlowFactor)
	return &Detector{opt: opt, holdTime: opt.HoldTime}
}

// SetBaseline sets the baseline of the service's other targets.
func (d *Detector) SetBaseline(b Baseline) { d.baseline = b }

// SlowAfter is the latency above which a request counts as slow; 0 if there is
// no baseline. A request in flight for longer can be reported to ObserveOverdue
// without waiting for its outcome.
func (d *Detector) SlowAfter() time.Duration {
	if d.baseline.Targets == 0 {
		return 0
	}
	return time.Duration(d.opt.SlowFactor * float64(d.baseline.Latency))
}

// Observe records the outcome of a request.
func (d *Detector) Observe(now time.Time, s Sample) {
	d.stats.add(now, s)
	slow := d.SlowAfter() > 0 && s.Latency > d.SlowAfter()
	d.update(now, s.Failed, slow)
}

// ObserveOverdue records that a request has been in flight for longer than
// SlowAfter. It is called once for each such request; the outcome is passed to
// Observe as well.
func (d *Detector) ObserveOverdue(now time.Time) {
	d.update(now, false, true)
}

// ObserveRestart records an announced restart of the target, after which slow
// responses are ignored for the grace period. The first sample counts as a
// restart.
func (d *Detector) ObserveRestart(now time.Time) {
	d.startedAt = now
	d.slowSum = 0
}

// Tick re-evaluates the state when time has passed without a sample.
func (d *Detector) Tick(now time.Time) { d.evaluate(now) }

// Suspect reports whether the target is suspect.
func (d *Detector) Suspect() bool { return d.suspect }

// Score is the larger of the two sums in steps of scoreGranularity, by which
// suspects are ranked. It is also non-zero during the confirmation time.
func (d *Detector) Score() float64 {
	if !d.suspect && d.aboveSince.IsZero() {
		return 0
	}
	return max(scoreGranularity, math.Round(max(d.errorSum, d.slowSum)/scoreGranularity)*scoreGranularity)
}

// SuspicionCount returns how often the target became suspect.
func (d *Detector) SuspicionCount() int { return d.suspicions }

// Summary returns the statistics for the target's record.
func (d *Detector) Summary(now time.Time) Summary { return d.stats.summary(now) }

// update adds one observation to the sums.
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
	if d.SlowAfter() > 0 && now.Sub(d.startedAt) >= d.opt.GracePeriod {
		gain = d.limitGain(now, m.slowness.logLikelihoodRatio(slow))
		d.slowSum = clamp(d.slowSum+gain, 0, 2*d.opt.Threshold)
	}
	d.evaluate(now)
}

// limitGain limits the growth of the sums within a short window, so that one
// pause that affects many concurrent requests counts as one event.
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
	if now.Sub(d.aboveSince) < d.opt.ConfirmTime || d.baseline.serviceWide() {
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
	d.holdTime = d.opt.HoldTime
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
