package slowstart

import "time"

const (
	// window is the time to which the bound of a cold target applies.
	window = time.Second
	// confirmationTTL is how long a heartbeat is trusted. Heartbeats arrive
	// every second or two, some of them seconds late.
	confirmationTTL = 5 * time.Second
	// restartTime is the minimum time for which a target counts as possibly cold
	// after a restart. It covers heartbeats that were sent before and arrive
	// after.
	restartTime = 3 * time.Second
	// warmEvidence is the evidence against a slowdown that a request beyond the
	// bound needs: a likelihood ratio of 3,000 to 1.
	warmEvidence = -8.0
)

// Probing of a target that is near the bound without enough evidence.
const (
	// probeShare is the share of the bound at which the target is probed, so that
	// the answer arrives before the bound is reached.
	probeShare = 0.6
	// minProbeInterval bounds the rate of probes. Platforms allow three a second.
	minProbeInterval = 350 * time.Millisecond
)

// Slowdown is how much longer requests are taken to last on a cold target.
const Slowdown = 2.0

// Limiter bounds the rate of requests to one target. The zero value is ready for
// use and holds a target that has not been confirmed as warm. It is not safe for
// concurrent use.
type Limiter struct {
	sent        []time.Time
	confirmedAt time.Time
	// coldUntil is when a heartbeat can confirm the target again after a restart,
	// and suspectedAt when it may have restarted unnoticed.
	coldUntil, suspectedAt time.Time
	// provenAt is when the latest probe was sent that the target answered as warm,
	// and probedAt when it was last probed.
	provenAt, probedAt time.Time
}

// Confirm records that the target has said that it is not cold.
func (l *Limiter) Confirm(now time.Time) {
	if !now.Before(l.coldUntil) {
		l.confirmedAt = now
	}
}

// Restarted records that the target has restarted or is cold for another reason.
func (l *Limiter) Restarted(now time.Time) {
	l.confirmedAt, l.provenAt = time.Time{}, time.Time{}
	l.coldUntil = now.Add(restartTime)
	l.suspectedAt = now
}

// MayHaveRestarted records a possible restart. Requests sent before it are no
// evidence from now on.
func (l *Limiter) MayHaveRestarted(now time.Time) { l.suspectedAt = now }

// ProbeDue reports whether the target is to be probed: it is near the bound and
// neither the last probe nor its requests allow more. A caller that probes must
// call Probed. The arguments are those of Room.
func (l *Limiter) ProbeDue(now time.Time, bound int, slowdown func(since time.Time) float64) bool {
	l.trim(now)
	counted := l.unproven()
	if bound <= 0 || now.Sub(l.probedAt) < minProbeInterval || float64(len(counted)) < probeShare*float64(bound) {
		return false
	}
	return !l.Warm(now) || slowdown(l.evidenceStart(counted, bound)) > warmEvidence
}

// Probed records that a probe has been sent.
func (l *Limiter) Probed(now time.Time) { l.probedAt = now }

// Proven records that the target has answered a probe sent at sentAt, and said
// that it is warm. It proves nothing about a target that may have restarted since.
func (l *Limiter) Proven(now, sentAt time.Time) {
	if l.suspectedAt.After(sentAt) || l.provenAt.After(sentAt) {
		return
	}
	l.provenAt, l.confirmedAt, l.coldUntil = sentAt, now, time.Time{}
}

// unproven returns the times of the requests in the window that were sent after
// the target last proved to be warm.
func (l *Limiter) unproven() []time.Time {
	from := 0
	for from < len(l.sent) && l.sent[from].Before(l.provenAt) {
		from++
	}
	return l.sent[from:]
}

// evidenceStart returns the time since which requests have to show that the target
// is warm, so that one more may be sent.
func (l *Limiter) evidenceStart(counted []time.Time, bound int) time.Time {
	since := counted[max(len(counted)-bound, 0)]
	if l.suspectedAt.After(since) {
		return l.suspectedAt
	}
	return since
}

// Warm reports whether the target is confirmed as warm.
func (l *Limiter) Warm(now time.Time) bool {
	return !l.confirmedAt.IsZero() && now.Sub(l.confirmedAt) < confirmationTTL
}

// Room returns the number of requests that may be sent now, and if it is 0, the
// time until one may at the latest; the end of a request may allow one earlier.
// bound is the number of requests per second that a cold target bears; there is
// no limit if it is 0 or less, and Room returns a negative number. slowdown
// returns the evidence, as a log-likelihood ratio, that requests sent since a
// given time take Slowdown times as long as usual; it is called only above the
// bound.
func (l *Limiter) Room(now time.Time, bound int, slowdown func(since time.Time) float64) (room int, wait time.Duration) {
	l.trim(now)
	if bound <= 0 {
		return -1, 0
	}
	counted := l.unproven()
	if len(counted) < bound {
		return bound - len(counted), 0
	}
	if l.Warm(now) && slowdown(l.evidenceStart(counted, bound)) <= warmEvidence {
		return 1, 0
	}
	return 0, max(counted[len(counted)-bound].Add(window).Sub(now), time.Millisecond)
}

// Sent counts a request.
func (l *Limiter) Sent(now time.Time) { l.sent = append(l.sent, now) }

// trim drops the requests that have left the window.
func (l *Limiter) trim(now time.Time) {
	expired := 0
	for expired < len(l.sent) && now.Sub(l.sent[expired]) >= window {
		expired++
	}
	l.sent = l.sent[expired:]
}
