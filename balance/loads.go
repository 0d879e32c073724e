package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// reportHalfLife is the age at which the reported number of other ingresses'
// requests in flight counts half.
const reportHalfLife = 500 * time.Millisecond

// LoadTracker tracks the load of all targets as seen by one ingress. The zero
// value is ready to use. It is safe for concurrent use.
type LoadTracker struct {
	byID sync.Map // target ID -> *TargetLoad
}

// TargetLoad is the tracked load of one target.
type TargetLoad struct {
	ownInFlight    atomic.Int64
	othersInFlight atomic.Int64
	limit          atomic.Int64
	reportedAt     atomic.Int64 // Unix nanoseconds, 0 before the first report
	lastTrial      atomic.Int64 // Unix nanoseconds
}

// Get returns the load of a target and creates it if necessary.
func (l *LoadTracker) Get(id string) *TargetLoad {
	if v, ok := l.byID.Load(id); ok {
		return v.(*TargetLoad)
	}
	v, _ := l.byID.LoadOrStore(id, &TargetLoad{})
	return v.(*TargetLoad)
}

// Begin counts an attempt that this ingress sends to the target.
func (l *LoadTracker) Begin(id string) { l.Get(id).ownInFlight.Add(1) }

// End ends an attempt counted by Begin.
func (l *LoadTracker) End(id string) { l.Get(id).ownInFlight.Add(-1) }

// RecordReport records the load that a gate reported with a response or refusal.
// It must be called before End, because the reported count includes the attempt.
func (l *LoadTracker) RecordReport(now time.Time, id string, rep wire.Load) {
	ld := l.Get(id)
	ld.othersInFlight.Store(max(0, int64(rep.InFlight)-ld.ownInFlight.Load()))
	ld.limit.Store(int64(rep.Limit))
	ld.reportedAt.Store(now.UnixNano())
}

// RecordRefusal records a refusal for lack of capacity that carried no load
// report. The target counts as full until the assumed load has decayed.
func (l *LoadTracker) RecordRefusal(now time.Time, id string, limit int) {
	ld := l.Get(id)
	limit = max(limit, int(ld.limit.Load()), 1)
	ld.othersInFlight.Store(max(0, int64(limit)-ld.ownInFlight.Load()+1))
	ld.limit.Store(int64(limit))
	ld.reportedAt.Store(now.UnixNano())
}

// Prune deletes the loads of targets that are not in the view and have no
// attempt in flight.
func (l *LoadTracker) Prune(v *View) {
	l.byID.Range(func(key, value any) bool {
		id := key.(string)
		if !v.HasTarget(id) && value.(*TargetLoad).ownInFlight.Load() == 0 {
			l.byID.Delete(id)
		}
		return true
	})
}

// inFlight estimates the number of requests in flight at the target: the exact
// count of this ingress plus the decayed report on the others.
func (ld *TargetLoad) inFlight(now time.Time) float64 {
	own := float64(ld.ownInFlight.Load())
	at := ld.reportedAt.Load()
	others := float64(ld.othersInFlight.Load())
	if at == 0 || others == 0 {
		return own
	}
	age := max(0, float64(now.UnixNano()-at))
	return own + others*math.Exp2(-age/float64(reportHalfLife))
}

// effectiveLimit returns the reported limit if it is recent, else the gossiped
// one.
func (ld *TargetLoad) effectiveLimit(now time.Time, gossiped int) int {
	at := ld.reportedAt.Load()
	limit := int(ld.limit.Load())
	if at == 0 || limit <= 0 || now.UnixNano()-at > int64(limitReportMaxAge) {
		return gossiped
	}
	return limit
}

// limitReportMaxAge is how long a reported limit takes precedence over the
// gossiped one.
const limitReportMaxAge = 2 * time.Second

// claimTrial reports whether a trial request may be sent to the target now,
// which is the case once interval has passed since the last one, and records it.
func (ld *TargetLoad) claimTrial(now time.Time, interval time.Duration) bool {
	last := ld.lastTrial.Load()
	if now.UnixNano()-last < int64(interval) {
		return false
	}
	return ld.lastTrial.CompareAndSwap(last, now.UnixNano())
}
