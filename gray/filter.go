package gray

import (
	"math"
	"time"
)

// Options configure the model. Zero fields take the defaults given.
type Options struct {
	// FailureShare is the share of requests that fail on a gray target. Default
	// 0.8.
	FailureShare float64
	// HealthyTime and GrayTime are the mean durations of the healthy and the
	// gray state. The defaults of 18 s and 6 s are the maximum-likelihood values
	// for the outcomes recorded on simulated days (docs/MEASUREMENTS.md).
	HealthyTime, GrayTime time.Duration
	// Window is the maximum number of requests in the filter. Default 48.
	Window int
}

const (
	defaultFailureShare = 0.8
	defaultHealthyTime  = 18 * time.Second
	defaultGrayTime     = 6 * time.Second
	defaultWindow       = 48

	// healthyFailureShare is the share of requests that fail on a healthy
	// target, including those that fail because of a nested request.
	healthyFailureShare = 0.05
	// minSurvival bounds the weight of a single very late request: about one in
	// a hundred takes several times the typical duration.
	minSurvival = 0.015
	// maxAge is the time after its start for which a request stays in the
	// window.
	maxAge = 20 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FailureShare <= 0 {
		o.FailureShare = defaultFailureShare
	}
	if o.HealthyTime <= 0 {
		o.HealthyTime = defaultHealthyTime
	}
	if o.GrayTime <= 0 {
		o.GrayTime = defaultGrayTime
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return o
}

// state is the state of a request in the window.
type state uint8

const (
	running state = iota
	succeeded
	failed
	canceled // canceled by the caller; its age is evidence
)

// Request is a request in the filter's window.
type Request struct {
	start     time.Time
	ended     time.Time
	durations *DurationModel
	state     state
}

// Filter estimates the state of one target. It is not safe for concurrent use.
type Filter struct {
	opts     Options
	requests []*Request
}

// NewFilter returns a filter without observations.
func NewFilter(o Options) *Filter { return &Filter{opts: o.withDefaults()} }

// Start adds a request that is about to be sent. durations is the model of the
// durations of similar requests.
func (f *Filter) Start(now time.Time, durations *DurationModel) *Request {
	r := &Request{start: now, durations: durations}
	f.requests = append(f.requests, r)
	f.trim(now)
	return r
}

// RecordSuccess records a complete successful response and adds its duration to
// the model.
func (f *Filter) RecordSuccess(now time.Time, r *Request) {
	r.end(now, succeeded)
	r.durations.Observe(now.Sub(r.start))
}

// RecordFailure records a failure caused by the target.
func (f *Filter) RecordFailure(now time.Time, r *Request) { r.end(now, failed) }

// RecordCancellation records that the caller canceled the request.
func (f *Filter) RecordCancellation(now time.Time, r *Request) { r.end(now, canceled) }

// Remove removes a request that was not executed.
func (f *Filter) Remove(r *Request) {
	for i, other := range f.requests {
		if other == r {
			f.requests = append(f.requests[:i], f.requests[i+1:]...)
			return
		}
	}
}

// Reset removes all observations, for a target that has restarted.
func (f *Filter) Reset() { f.requests = nil }

func (r *Request) end(now time.Time, s state) {
	if r.state == running {
		r.ended, r.state = now, s
	}
}

func (f *Filter) trim(now time.Time) {
	drop := max(len(f.requests)-f.opts.Window, 0)
	for drop < len(f.requests) && now.Sub(f.requests[drop].start) > maxAge {
		drop++
	}
	if drop > 0 {
		f.requests = append([]*Request(nil), f.requests[drop:]...)
	}
}

// priorProbability is the long-run share of time in the gray state.
func (o Options) priorProbability() float64 {
	return float64(o.GrayTime) / float64(o.GrayTime+o.HealthyTime)
}

// decay moves a probability towards the prior over a time without evidence.
func (o Options) decay(p float64, dt time.Duration) float64 {
	rate := 1/o.GrayTime.Seconds() + 1/o.HealthyTime.Seconds()
	prior := o.priorProbability()
	return prior + (p-prior)*math.Exp(-rate*max(dt.Seconds(), 0))
}

// Decay moves a probability that was computed dt ago towards the prior, with the
// default options.
func Decay(p float64, dt time.Duration) float64 {
	return Options{}.withDefaults().decay(p, dt)
}

// PriorProbability is the prior probability, which applies to a target without
// observations.
func PriorProbability() float64 { return Options{}.withDefaults().priorProbability() }

// Probability is the probability that the target is gray now.
func (f *Filter) Probability(now time.Time) float64 {
	p := f.opts.priorProbability()
	if len(f.requests) == 0 {
		return p
	}
	at := f.requests[0].start
	for _, r := range f.requests {
		p = f.opts.decay(p, r.start.Sub(at))
		at = r.start
		healthy, gray := r.likelihoods(now, f.opts.FailureShare)
		p = p * gray / (p*gray + (1-p)*healthy)
	}
	return f.opts.decay(p, now.Sub(at))
}

// likelihoods returns the likelihoods of the observation for a healthy and for a
// gray target.
func (r *Request) likelihoods(now time.Time, failureShare float64) (healthy, gray float64) {
	switch r.state {
	case succeeded:
		return 1 - healthyFailureShare, 1 - failureShare
	case failed:
		return healthyFailureShare, failureShare
	case canceled:
		now = r.ended
	}
	s := max(r.durations.Survival(now.Sub(r.start)), minSurvival)
	return s, (1-failureShare)*s + failureShare
}

// maxEvidence bounds the evidence of one request in Slowdown, which limits the
// effect of single outliers.
const maxEvidence = 2.5

// Slowdown returns the evidence that the target has been slower by a factor since
// a given time: the log-likelihood ratio of the durations of the requests started
// since then. It is negative if they were as fast as usual. Requests that failed
// are no evidence.
func (f *Filter) Slowdown(now, since time.Time, factor float64) float64 {
	sum := 0.0
	for _, r := range f.requests {
		if r.state != failed && !r.start.Before(since) {
			sum += min(max(r.slowEvidence(now, factor), -maxEvidence), maxEvidence)
		}
	}
	return sum
}

// slowEvidence returns the log-likelihood ratio of a slower target to one that
// is as fast as usual.
func (r *Request) slowEvidence(now time.Time, factor float64) float64 {
	if r.state == succeeded {
		return r.durations.logRatio(r.ended.Sub(r.start), factor)
	}
	if r.state == canceled {
		now = r.ended
	}
	age := now.Sub(r.start)
	usual := max(r.durations.Survival(age), minSurvival)
	slower := max(r.durations.Survival(time.Duration(float64(age)/factor)), minSurvival)
	return math.Log(slower / usual)
}
