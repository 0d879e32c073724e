package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// Limiter says how many requests one target bears at once. The gate calls it
// under its lock; calls return at once.
type Limiter interface {
	// Limit is the number of requests that may be at the target now.
	Limit() int
	// OnSuccess is told of an answer.
	OnSuccess(now time.Time, latency time.Duration)
	// OnFailure is told of a failed request.
	OnFailure(now time.Time, latency time.Duration)
	// OnShed is told that the target refused a request for load.
	OnShed(now time.Time, latency time.Duration)
}

// slowStartLimiter starts at the cold limit and rises by one for each limit's worth of
// successes, that is, once per round of requests.
type slowStartLimiter struct {
	coldLimit      int
	maxLimit     int
	limit     int
	successes int
}

// NewRamp returns a limiter that starts at the service's cold limit, grows
// with successes up to slots, and falls back when the target sheds load.
func NewRamp(svc config.Service, slots int, _ time.Time) Limiter {
	cold := min(max(svc.ColdLimit, 1), slots)
	return &slowStartLimiter{coldLimit: cold, maxLimit: slots, limit: cold}
}

func (r *slowStartLimiter) Limit() int { return r.limit }

func (r *slowStartLimiter) OnSuccess(time.Time, time.Duration) {
	r.successes++
	if r.successes >= r.limit && r.limit < r.maxLimit {
		r.limit++
		r.successes = 0
	}
}

func (r *slowStartLimiter) OnFailure(time.Time, time.Duration) { r.successes = 0 }

func (r *slowStartLimiter) OnShed(time.Time, time.Duration) {
	r.successes = 0
	r.limit = max(r.coldLimit, r.limit/2)
}
