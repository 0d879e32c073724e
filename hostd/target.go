package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// local is the target of this host, as its gate knows it. The gate's lock
// guards it.
type local struct {
	id      string
	service string
	address string
	// born and sequence order what the target says of itself.
	born, sequence int64
	// known is when this life was first heard of.
	known time.Time
	// leaving targets get nothing more.
	leaving   bool
	coldUntil time.Time
	// downUntil keeps requests from a target that refused a connection.
	downUntil time.Time
	line      *admission.Queue
	filter    *gray.Filter
	pace      admission.SlidingWindow
	// triedAt is when a gray target was last tried.
	triedAt time.Time
	// broken are the fingerprints of requests whose connection broke a moment
	// ago; looking is set while the target is looked for.
	broken  []uint64
	looking bool
	// failedCalls are the times at which calls made by the target failed.
	failedCalls []time.Time
}

const (
	// tryEvery is how often a target that seems gray gets a request that can be
	// repeated, to find out whether it still is.
	tryEvery = time.Second
	// excuseFor is how long after a call has failed the target's failure of the
	// request that made it is expected.
	excuseFor = 500 * time.Millisecond
)

// mayTry reports whether a request may go to the target although it seems gray.
func (t *local) mayTry(now time.Time) bool { return now.Sub(t.triedAt) >= tryEvery }

// excused reports whether a failure follows from that of a call, each of which
// excuses one failure.
func (t *local) excused(now time.Time) bool {
	for len(t.failedCalls) > 0 {
		at := t.failedCalls[0]
		t.failedCalls = t.failedCalls[1:]
		if now.Sub(at) <= excuseFor {
			return true
		}
	}
	return false
}

func newLocal(h karpithaz.Heartbeat) *local {
	return &local{
		id:      h.Target,
		service: h.Service,
		address: h.Address,
		line:    admission.NewQueue(h.Slots),
		filter:  gray.NewFilter(gray.Options{}),
	}
}

// supersedes reports whether a heartbeat tells something newer than what is
// known. Heartbeats may arrive late, also those of an earlier life.
func (t *local) supersedes(h karpithaz.Heartbeat) bool {
	if h.Born != t.born {
		return h.Born > t.born
	}
	return h.Sequence > t.sequence
}

// sameLife reports whether a heartbeat comes from the life that is known. A
// target that a health check has found has no time of birth yet.
func (t *local) sameLife(h karpithaz.Heartbeat) bool {
	return h.Target == t.id && (h.Born == t.born || t.born == 0)
}

// hear takes what may change within a life.
func (t *local) hear(h karpithaz.Heartbeat, now time.Time) {
	t.born, t.sequence = h.Born, h.Sequence
	t.line.SetSlots(h.Slots)
	t.leaving = t.leaving || h.Leaving
	t.coldUntil = now.Add(h.ColdFor)
}

func (t *local) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// bearable is how many requests a second the target may get. Targets turn cold
// without notice, and one that is cold breaks down above its bound.
func (t *local) bearable(svc *routes.Service, b karpithaz.Bounds) int {
	if svc == nil || svc.ColdRate <= 0 {
		return 0
	}
	return max(int(svc.ColdRate*b.ColdOverage+b.ColdSlack)-coldMargin, 1)
}

// coldMargin keeps requests whose arrival falls into another second than their
// sending within the bound.
const coldMargin = 3

func (t *local) report(now time.Time) placing.Report {
	return placing.Report{
		ReceivedAt:      now,
		Running:         t.line.Running(),
		Waiting:         t.line.Waiting(),
		Slots:           t.line.Slots(),
		ExpectedWait:    t.line.ExpectedWait(),
		GrayProbability: t.filter.Probability(now),
		Cold:            t.cold(now),
	}
}
