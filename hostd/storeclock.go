package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/boottime"
)

// storeClock maps the store's clock to the host's clock, so that a reply that the
// store held back counts from later than its request.
//
// The store stamps a reply after the request was sent, so the difference between
// the host's clock at the request and the stamp is a lower bound of the difference
// between the clocks. The bound does not depend on when the reply is processed:
// the process may be suspended, or the reply delayed, for any time.
type storeClock struct {
	// offset is the best lower bound so far, as of renewedAt.
	offset    boottime.Instant
	renewedAt boottime.Instant
	known     bool
}

// maxClockDrift bounds the difference in speed between the two clocks. Clocks are
// slewed by at most 500 ppm.
const maxClockDrift = 1e-3

// answeredAt returns a time before which the store cannot have sent a reply that
// it stamped with storeMillis: the time of the request or later.
func (s *storeClock) answeredAt(asked, received boottime.Instant, storeMillis int64) boottime.Instant {
	stamp := boottime.Instant(time.Duration(storeMillis) * time.Millisecond)
	drift := time.Duration(maxClockDrift * float64(received.Sub(s.renewedAt)))
	if bound := asked - stamp; !s.known || bound > s.offset.Add(-drift) {
		s.offset, s.renewedAt, s.known = bound, received, true
		return asked
	}
	return min(max(asked, (stamp+s.offset).Add(-drift)), received)
}
