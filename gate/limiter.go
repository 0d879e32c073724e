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

// ramp starts at the cold limit and rises by one for each limit's worth of
// successes, that is, once per round of requests.
type ramp struct {
	cold      int
	slots     int
	limit     int
	successes int
}

// NewRamp returns a limiter that starts at the service's cold limit, grows
// with successes up to slots, and falls back when the target sheds load.
func NewRamp(svc config.Service, slots int, _ time.Time) Limiter {
	cold := min(max(svc.ColdLimit, 1), slots)
	return &ramp{cold: cold, slots: slots, limit: cold}
}

func (r *ramp) Limit() int { return r.limit }

func (r *ramp) OnSuccess(time.Time, time.Duration) {
	r.successes++
	if r.successes >= r.limit && r.limit < r.slots {
		r.limit++
		r.successes = 0
	}
}

func (r *ramp) OnFailure(time.Time, time.Duration) { r.successes = 0 }

func (r *ramp) OnShed(time.Time, time.Duration) {
	r.successes = 0
	r.limit = max(r.cold, r.limit/2)
}
