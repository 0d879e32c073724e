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

// Loads tracks the load of all targets as seen by one ingress. The zero value is
// ready to use. It is safe for concurrent use.
type Loads struct {
	byID sync.Map // target ID -> *Load
}

// Load is the tracked load of one target.
type Load struct {
	ownInFlight    atomic.Int64
	othersInFlight atomic.Int64
	limit          atomic.Int64
	reportedAt     atomic.Int64 // Unix nanoseconds, 0 before the first report
	lastTrial      atomic.Int64 // Unix nanoseconds
}

// Of returns the load of a target and creates it if necessary.
func (l *Loads) Of(id string) *Load {
	if v, ok := l.byID.Load(id); ok {
		return v.(*Load)
	}
	v, _ := l.byID.LoadOrStore(id, &Load{})
	return v.(*Load)
}

// Begin counts an attempt that this ingress sends to the target.
func (l *Loads) Begin(id string) { l.Of(id).ownInFlight.Add(1) }

// End ends an attempt counted by Begin.
func (l *Loads) End(id string) { l.Of(id).ownInFlight.Add(-1) }

// Report records the load that a gate reported with a response or refusal. It
// must be called before End, because the reported count includes the attempt.
func (l *Loads) Report(now time.Time, id string, rep wire.Load) {
	ld := l.Of(id)
	ld.othersInFlight.Store(max(0, int64(rep.InFlight)-ld.ownInFlight.Load()))
	ld.limit.Store(int64(rep.Limit))
	ld.reportedAt.Store(now.UnixNano())
}

// Refused records a refusal for lack of capacity that carried no load report. The
// target counts as full until the assumed load has decayed.
func (l *Loads) Refused(now time.Time, id string, limit int) {
	ld := l.Of(id)
	limit = max(limit, int(ld.limit.Load()), 1)
	ld.othersInFlight.Store(max(0, int64(limit)-ld.ownInFlight.Load()+1))
	ld.limit.Store(int64(limit))
	ld.reportedAt.Store(now.UnixNano())
}

// Retain deletes the loads of targets that are not in the view and have no
// attempt in flight.
func (l *Loads) Retain(v *View) {
	l.byID.Range(func(key, value any) bool {
		id := key.(string)
		if !v.Has(id) && value.(*Load).ownInFlight.Load() == 0 {
			l.byID.Delete(id)
		}
		return true
	})
}

// inFlight estimates the number of requests in flight at the target: the exact
// count of this ingress plus the decayed report on the others.
func (ld *Load) inFlight(now time.Time) float64 {
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
func (ld *Load) effectiveLimit(now time.Time, gossiped int) int {
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

// claimTrial reports whether a trial request may be sent to the target now, which
// is the case once interval has passed since the last one, and records it.
func (ld *Load) claimTrial(now time.Time, interval time.Duration) bool {
	last := ld.lastTrial.Load()
	if now.UnixNano()-last < int64(interval) {
		return false
	}
	return ld.lastTrial.CompareAndSwap(last, now.UnixNano())
}
