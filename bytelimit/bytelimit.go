// Package bytelimit bounds the bytes of the requests in flight at a target that has died of
// too many.
//
// The load that it answers: a target crashes if the requests that it holds exceed its
// memory. Its slots do not tell: eight short requests are nothing, eight uploads may be too
// much.
//
// Algorithm: a target that has not died is not bounded. When it dies, the bytes that it
// held tell something only if it had not sustained as much before; then it gets at most
// boundShare of them at once for retention, also in its next incarnation. A request that
// comes alone is always admitted, since no other target would bear it better.
//
// Weighed and not taken: a bound for each target from the start, as no page tells the
// memory of a target; raising the bound by trial, as each trial that fails costs all the
// requests at the target.
package bytelimit

import "time"

const (
	// MinEvidence is the size below which a death is not blamed on bytes: about the mean
	// upload, 60 KB.
	MinEvidence = 64 << 10
	// boundShare of the bytes held at a death may be in flight afterwards. The target's
	// memory is below what it held, by up to one body.
	boundShare = 0.75
	// survivalShare is the part of the largest amount sustained so far that a target must have
	// held when it died, for its death to be blamed on bytes.
	survivalShare = 0.9
	// retention is how long a bound holds. The next version of a target may bear more.
	retention = 10 * time.Minute
)

// Limiter is the state of one target. It is not safe for concurrent use.
type Limiter struct {
	inFlight int64
	// sustained is the largest amount in flight when a request ended well.
	sustained int64
	bound     int64
	until     time.Time
}

// Admit reports whether a request of n bytes may be sent.
func (l *Limiter) Admit(now time.Time, n int64) bool {
	bound := l.Bound(now)
	return bound == 0 || l.inFlight == 0 || l.inFlight+n <= bound
}

// Bound returns the bytes that may be in flight, or 0 if they are not bounded.
func (l *Limiter) Bound(now time.Time) int64 {
	if !now.Before(l.until) {
		return 0
	}
	return l.bound
}

// InFlight returns the bytes of requests at the target.
func (l *Limiter) InFlight() int64 { return l.inFlight }

// Start counts a request of n bytes that is sent.
func (l *Limiter) Start(n int64) { l.inFlight += n }

// End counts a request of n bytes that has ended. answered is set if the target answered.
func (l *Limiter) End(n int64, answered bool) {
	if answered {
		l.sustained = max(l.sustained, l.inFlight)
	}
	l.inFlight -= n
}

// Died records the death of the target when it held some bytes. It reports whether that
// bounds it from now on.
func (l *Limiter) Died(now time.Time, held int64) bool {
	if held < MinEvidence || float64(held) < survivalShare*float64(l.sustained) {
		return false
	}
	l.bound = max(int64(boundShare*float64(held)), MinEvidence)
	l.until = now.Add(retention)
	l.sustained = min(l.sustained, l.bound)
	return true
}
