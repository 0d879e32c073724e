package hostd

import (
	"cmp"
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/bytelimit"
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/slowstart"
	"github.com/gooseberryshed/gooseberryshed/speed"
)

// localTarget is the state of this host's target at its gate. It is guarded by
// Gate.mu.
type localTarget struct {
	id      string
	service string
	address string
	// born and sequence order the target's heartbeats.
	born, sequence int64
	// version is the version that the target runs, or empty if that is not known yet.
	version string
	// firstSeen is when this incarnation was first seen.
	firstSeen time.Time
	// leaving is set when the target must not receive further requests.
	leaving bool
	// signedOffAt is when the target signed off.
	signedOffAt time.Time
	// departure is what the acknowledgement of the target's departure waits for.
	departure promise
	coldUntil time.Time
	// downUntil is when a target that refused a connection may receive requests
	// again.
	downUntil  time.Time
	queue      *admission.Queue
	filter     *gray.Filter
	startLimit *slowstart.Limiter
	speed      *speed.Estimator
	load       speed.Load
	// returningUntil is until when the gate counts as just started.
	returningUntil time.Time
	// bytes bounds the bodies in flight if the target has died of them, and heldAtBreak
	// are the bytes in flight when the first of the broken connections broke.
	bytes       *bytelimit.Limiter
	heldAtBreak int64
	// grantsScheduled is set while a timer is due to grant slots.
	grantsScheduled bool
	// grayProbedAt is when a request was last sent to the target although it
	// seemed gray.
	grayProbedAt time.Time
	// broken are the requests whose connections broke recently. probing is set while the
	// target is being probed.
	broken  []brokenRequest
	probing bool
	// failedCalls are the times at which calls made by the target failed.
	failedCalls []time.Time
	// running are the ranks of the requests sent to the target.
	running retry.Running
	// repeats is the number of them that are repeats.
	repeats int
}

const (
	// grayProbeInterval is how often a target that seems gray receives a
	// repeatable request to find out whether it has recovered.
	grayProbeInterval = time.Second
	// excuseWindow is how long after a failed call the target is expected to
	// fail the request that made the call.
	excuseWindow = 500 * time.Millisecond
)

// grayProbeDue reports whether a request may be sent to the target although it
// seems gray.
func (t *localTarget) grayProbeDue(now time.Time) bool {
	return now.Sub(t.grayProbedAt) >= grayProbeInterval
}

// takeExcuse reports whether a failure of the target is explained by a failed
// call. Each failed call excuses one failure.
func (t *localTarget) takeExcuse(now time.Time) bool {
	for len(t.failedCalls) > 0 {
		at := t.failedCalls[0]
		t.failedCalls = t.failedCalls[1:]
		if now.Sub(at) <= excuseWindow {
			return true
		}
	}
	return false
}

func newLocalTarget(h karpithaz.Heartbeat) *localTarget {
	return &localTarget{
		id:         h.Target,
		service:    h.Service,
		address:    h.Address,
		queue:      admission.NewQueue(h.Slots),
		startLimit: &slowstart.Limiter{},
		speed:      speed.NewEstimator(h.Slots),
		bytes:      &bytelimit.Limiter{},
		filter:     gray.NewFilter(gray.Options{}),
	}
}

// supersedes reports whether a heartbeat is newer than the last one applied.
// Heartbeats may arrive out of order, including those of an earlier
// incarnation.
func (t *localTarget) supersedes(h karpithaz.Heartbeat) bool {
	if h.StartedAtMillis != t.born {
		return h.StartedAtMillis > t.born
	}
	return h.Sequence > t.sequence
}

// sameIncarnation reports whether a heartbeat comes from the current
// incarnation. The birth time of a target found by a health check, or that signed off at
// a daemon that did not know it, is not known yet.
func (t *localTarget) sameIncarnation(h karpithaz.Heartbeat) bool {
	if h.Target != t.id {
		return false
	}
	if t.born == 0 {
		return t.signedOffAt.IsZero() || h.StartedAtMillis <= t.signedOffAt.UnixMilli()
	}
	return h.StartedAtMillis == t.born
}

// update applies the values that may change within an incarnation.
func (t *localTarget) update(h karpithaz.Heartbeat, now time.Time) {
	t.born, t.sequence = h.StartedAtMillis, h.Sequence
	t.speed.SetSlots(h.Slots)
	t.version = cmp.Or(h.Version, t.version)
	t.queue.SetSlots(h.Slots)
	t.queue.SetLimit(t.speed.Limit())
	t.leaving = t.leaving || h.Leaving
	t.coldUntil = now.Add(h.ColdRemaining)
	if h.ColdRemaining > 0 {
		t.startLimit.Restarted(now)
	} else if t.born != 0 {
		t.startLimit.Confirm(now)
	}
}

// slowdown returns the evidence that the target has been cold since a given time.
func (t *localTarget) slowdown(now time.Time) func(since time.Time) float64 {
	return func(since time.Time) float64 { return t.filter.Slowdown(now, since, slowstart.Slowdown) }
}

// updateRate passes the state of the rate limit on to the queue.
func (t *localTarget) updateRate(now time.Time, bound int) (room int, wait time.Duration) {
	room, wait = t.startLimit.Room(now, bound, t.slowdown(now))
	t.queue.SetRate(admission.Rate{Room: room, Wait: wait, Interval: time.Second / time.Duration(max(bound, 1))})
	return room, wait
}

// observeLoad records the present load.
func (t *localTarget) observeLoad(now time.Time) {
	t.load.Observe(now, float64(t.queue.Running()+t.queue.Waiting())/float64(t.queue.Limit()))
}

func (t *localTarget) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// coldLimit returns how many requests a second the target may receive while it
// is cold, or 0 for no limit.
func (t *localTarget) coldLimit(svc *routes.Service, b karpithaz.Bounds) int {
	if svc == nil || svc.ColdRate <= 0 {
		return 0
	}
	return max(int(svc.ColdRate*b.ColdRateFactor+b.ColdRateSlack)-coldMargin, 1)
}

// coldMargin is subtracted from the limit because a request may arrive in a
// different second than the one in which it was sent.
const coldMargin = 3

func (t *localTarget) report(now time.Time) placing.Report {
	return placing.Report{
		ReceivedAt:      now,
		Running:         t.queue.Running(),
		Waiting:         t.queue.Waiting(),
		Slots:           t.queue.Limit(),
		Slowness:        t.speed.Slowness(),
		MeanLoad:        t.load.Mean(now),
		ExpectedWait:    t.queue.ExpectedWait(),
		GrayProbability: t.filter.Probability(now),
		Cold:            t.cold(now),
	}
}

func (g *Gate) service(name string) *routes.Service {
	cfg := g.view().Config
	if cfg == nil {
		return nil
	}
	svc, _ := cfg.Service(name)
	return svc
}

// latency returns the latency distribution of a route. g.mu must be held.
func (g *Gate) latency(f Forward) *gray.DurationModel {
	w := g.latencies[f.Route]
	if w == nil {
		w = gray.NewDurationModel(time.Duration(f.ObjectiveMs) * time.Millisecond)
		g.latencies[f.Route] = w
	}
	return w
}
