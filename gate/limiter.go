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

func (l *slowStartLimiter) Limit() int { return l.limit }

func (l *slowStartLimiter) OnSuccess(time.Time, time.Duration) {
	l.successes++
	if l.successes >= l.limit && l.limit < l.maxLimit {
		l.limit++
		l.successes = 0
	}
}

func (l *slowStartLimiter) OnFailure(time.Time, time.Duration) { l.successes = 0 }

func (l *slowStartLimiter) OnShed(time.Time, time.Duration) {
	l.successes = 0
	l.limit = max(l.coldLimit, l.limit/2)
}
