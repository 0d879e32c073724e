package gate

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// Limiter sets the concurrency limit of one target. The gate calls it while
// holding its lock, so methods must not block.
type Limiter interface {
	// Limit returns the number of requests that may be at the target now.
	Limit() int
	// OnSuccess records a successful response.
	OnSuccess(now time.Time, latency time.Duration)
	// OnFailure records a failed request.
	OnFailure(now time.Time, latency time.Duration)
	// OnShed records that the target refused a request because of load.
	OnShed(now time.Time, latency time.Duration)
}

// slowStartLimiter starts at the cold limit. It raises the limit by one after
// as many successes as the current limit, that is, once per round of requests.
type slowStartLimiter struct {
	coldLimit int
	maxLimit  int
	limit     int
	successes int
}

// NewSlowStartLimiter returns a limiter that starts at the service's cold
// limit, grows with successes up to slots, and halves its limit, though not
// below the cold limit, when the target sheds load.
func NewSlowStartLimiter(svc config.Service, slots int, _ time.Time) Limiter {
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
