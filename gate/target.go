package gate

import (
	"sort"
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/fairqueue"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

const (
	// abortRetention is how long a broken exchange counts as in flight when its
	// target dies.
	abortRetention = 10 * time.Second
	// maxAborts bounds the broken exchanges recorded per target.
	maxAborts = 256
	// meanWeight is the weight of a new sample in an exponential moving
	// average.
	meanWeight = 0.1
)

// target is one instance (name and incarnation) of a target.
type target struct {
	id          string
	addr        string
	service     string
	incarnation uint64
	slots       int

	// The fields below are guarded by the gate's lock.
	svc      config.Service
	leaving  bool
	limiter  Limiter
	queue    *fairqueue.Queue[*waiter]
	inFlight int

	lastAnnounced time.Time
	servesFrom    time.Time
	// replaced is set when a newer incarnation has taken over the name.
	replaced bool

	aborts []abort
	// meanLatency, meanSlotTime and meanErrorRate are exponential moving
	// averages of the time to the response headers of good responses, the time
	// that a request holds its slot, and the share of failures.
	meanLatency   time.Duration
	meanSlotTime  time.Duration
	meanErrorRate float64
}

// abort is an exchange whose connection broke before the response was complete.
type abort struct {
	fingerprint uint64
	at          time.Time
}

// waiter is a queued attempt. grant receives nil when a slot is granted, or the
// refusal.
type waiter struct {
	tk    *ticket
	grant chan *wire.Refusal
}

func (g *Gate) newTarget(a announce.Announcement, svc config.Service, now time.Time) *target {
	t := &target{
		id:          g.opts.Host + "/" + a.Name,
		addr:        a.Address,
		service:     a.Service,
		incarnation: a.Incarnation,
		slots:       a.Slots,
		limiter:     g.opts.NewLimiter(svc, a.Slots, now.Add(-uptime(a))),
		queue:       fairqueue.New[*waiter](svc.Queue),
	}
	t.update(a, svc, now)
	return t
}

func uptime(a announce.Announcement) time.Duration {
	return time.Duration(a.UptimeMillis) * time.Millisecond
}

// update applies the fields that may change within an incarnation.
func (t *target) update(a announce.Announcement, svc config.Service, now time.Time) {
	t.svc = svc
	t.queue.SetCapacity(svc.Queue)
	t.leaving = a.State == announce.StateLeaving
	t.lastAnnounced = now
}

// matches reports whether a repeats the fields that must not change within an
// incarnation.
func (t *target) matches(a announce.Announcement) bool {
	return a.Address == t.addr && a.Service == t.service && a.Slots == t.slots
}

// refusal returns why the target gets no new requests now, or nil.
func (t *target) refusal(opts Options, now time.Time) *wire.Refusal {
	switch {
	case t.replaced:
		return wire.Refuse(wire.ReasonNoTarget, "target %s has restarted", t.id)
	case t.leaving:
		return wire.Refuse(wire.ReasonLeaving, "target %s is leaving", t.id)
	case now.Sub(t.lastAnnounced) > opts.AnnouncementTTL:
		return wire.Refuse(wire.ReasonNoTarget, "target %s has not announced itself for %s", t.id, opts.AnnouncementTTL)
	case now.Before(t.servesFrom):
		return wire.Refuse(wire.ReasonNoTarget, "target %s is new at this daemon; an earlier daemon may still be sending it requests", t.id)
	}
	return nil
}

func (t *target) state(opts Options, now time.Time) member.TargetState {
	switch {
	case t.leaving:
		return member.TargetLeaving
	case t.refusal(opts, now) != nil:
		return member.TargetGone
	}
	return member.TargetReady
}

func (t *target) record(opts Options, now time.Time) member.Target {
	return member.Target{
		ID:            t.id,
		Service:       t.service,
		Incarnation:   t.incarnation,
		State:         t.state(opts, now),
		Slots:         t.slots,
		Limit:         t.limiter.Limit(),
		ErrorPermille: roundPermille(t.meanErrorRate),
		LatencyMicros: roundMicros(t.meanLatency),
	}
}

func (t *target) load(revision uint64) wire.Load {
	return wire.Load{
		InFlight: t.inFlight + t.queue.Len(),
		Limit:    t.limiter.Limit(),
		Revision: revision,
	}
}

// observe updates the limiter and the averages with a completed exchange.
// slotTime is 0 if nothing was sent.
func (t *target) observe(kind Kind, now time.Time, latency, slotTime time.Duration) {
	failed := 1.0
	switch kind {
	case KindOK:
		failed = 0
		t.meanLatency = updateMean(t.meanLatency, latency)
		t.limiter.OnSuccess(now, latency)
	case KindShed:
		t.limiter.OnShed(now, latency)
	default:
		t.limiter.OnFailure(now, latency)
	}
	t.meanErrorRate += meanWeight * (failed - t.meanErrorRate)
	if slotTime > 0 {
		t.meanSlotTime = updateMean(t.meanSlotTime, slotTime)
	}
}

// updateMean returns the exponential moving average after a sample.
func updateMean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(meanWeight*float64(sample-old))
}

func (t *target) recordAbort(fingerprint uint64, now time.Time) {
	if len(t.aborts) < maxAborts {
		t.aborts = append(t.aborts, abort{fingerprint: fingerprint, at: now})
	}
}

// takeAborts returns the fingerprints that were in flight when the target died,
// and clears the recorded aborts.
func (t *target) takeAborts(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, a := range t.aborts {
		if now.Sub(a.at) <= abortRetention {
			fingerprints = append(fingerprints, a.fingerprint)
		}
	}
	t.aborts = nil
	return fingerprints
}

const (
	permilleStep    = 10
	permillePerUnit = 1000
)

// roundPermille converts a ratio to permille and rounds it down to a multiple of
// permilleStep, so that small changes cause no updates to other daemons.
func roundPermille(ratio float64) int {
	return int(ratio*permillePerUnit) / permilleStep * permilleStep
}

// roundMicros rounds down to a power of two, so that small changes cause no
// updates to other daemons.
func roundMicros(d time.Duration) int {
	micros := int(d / time.Microsecond)
	step := 1
	for step*2 <= micros {
		step *= 2
	}
	if micros == 0 {
		return 0
	}
	return step
}

func sortByID(records []member.Target) {
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
}
