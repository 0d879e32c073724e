package report

import (
	"sync"
	"time"
)

// Dimensions of a series.
const (
	// SlotLength is the duration of one slot.
	SlotLength = 5 * time.Minute
	// SlotCount is the number of slots retained, which is six hours.
	SlotCount = 72
)

// Outcome classifies a completed request.
type Outcome int

const (
	// OutcomeServed is a complete response of a target.
	OutcomeServed Outcome = iota
	// OutcomeBad is a refusal or failure caused by the fleet.
	OutcomeBad
	// OutcomeLimited is a refusal because the workspace exceeded its rate limit.
	OutcomeLimited
	// OutcomeCallerError is a refusal caused by the caller.
	OutcomeCallerError
)

// Slot contains the outcome counts of one time slot.
type Slot struct {
	Served       uint32 `json:"s,omitempty"`
	Bad          uint32 `json:"b,omitempty"`
	Limited      uint32 `json:"l,omitempty"`
	CallerErrors uint32 `json:"c,omitempty"`
	// Slow counts served requests that exceeded the recorder's latency threshold.
	Slow uint32 `json:"w,omitempty"`
}

func (s *Slot) count(o Outcome, slow bool) {
	switch o {
	case OutcomeServed:
		s.Served++
	case OutcomeBad:
		s.Bad++
	case OutcomeLimited:
		s.Limited++
	case OutcomeCallerError:
		s.CallerErrors++
	}
	if slow && o == OutcomeServed {
		s.Slow++
	}
}

// Add returns the sum of two slots.
func (s Slot) Add(o Slot) Slot {
	return Slot{
		Served:       s.Served + o.Served,
		Bad:          s.Bad + o.Bad,
		Limited:      s.Limited + o.Limited,
		CallerErrors: s.CallerErrors + o.CallerErrors,
		Slow:         s.Slow + o.Slow,
	}
}

// Offered is the number of requests excluding those refused because of the caller.
func (s Slot) Offered() uint32 { return s.Served + s.Bad + s.Limited }

// series is a ring buffer of slots. The counts at an index belong to the slot whose
// number is stored at the same index.
type series struct {
	slots   [SlotCount]Slot
	numbers [SlotCount]int64
	newest  int64
}

// slotNumber returns the number of the slot at now, counted from the Unix epoch.
func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(SlotLength) }

func (s *series) slot(number int64) *Slot {
	i := number % SlotCount
	if s.numbers[i] != number {
		s.numbers[i] = number
		s.slots[i] = Slot{}
	}
	s.newest = max(s.newest, number)
	return &s.slots[i]
}

// Scope is the kind of entity that a series describes.
type Scope string

const (
	// ScopeRoute is a series of one route.
	ScopeRoute Scope = "route"
	// ScopeWorkspace is a series of one workspace.
	ScopeWorkspace Scope = "workspace"
)

type seriesKey struct {
	scope Scope
	name  string
}

// maxSeries is the maximum number of series of a recorder. When it is reached, the
// least recently updated series is evicted.
const maxSeries = 4096

// Recorder counts the request outcomes of one daemon.
type Recorder struct {
	slowThreshold time.Duration

	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewRecorder returns a recorder. Served requests slower than slowThreshold
// count as slow.
func NewRecorder(slowThreshold time.Duration) *Recorder {
	return &Recorder{slowThreshold: slowThreshold, series: make(map[seriesKey]*series)}
}

// Record counts a completed request under its route and workspace. An empty route
// or workspace is skipped.
func (r *Recorder) Record(now time.Time, route, workspace string, o Outcome, latency time.Duration) {
	slow := latency > r.slowThreshold
	number := slotNumber(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if route != "" {
		r.getOrCreate(seriesKey{ScopeRoute, route}).slot(number).count(o, slow)
	}
	if workspace != "" {
		r.getOrCreate(seriesKey{ScopeWorkspace, workspace}).slot(number).count(o, slow)
	}
}

func (r *Recorder) getOrCreate(k seriesKey) *series {
	s, ok := r.series[k]
	if ok {
		return s
	}
	if len(r.series) >= maxSeries {
		r.evictOldest()
	}
	s = &series{}
	r.series[k] = s
	return s
}

func (r *Recorder) evictOldest() {
	var oldest seriesKey
	found := false
	for k, s := range r.series {
		if !found || s.newest < r.series[oldest].newest {
			oldest = k
			found = true
		}
	}
	delete(r.series, oldest)
}

// Export contains the counts of one recorder.
type Export struct {
	Series []ExportedSeries `json:"series"`
}

// ExportedSeries is one series with its non-empty slots.
type ExportedSeries struct {
	Scope Scope          `json:"scope"`
	Name  string         `json:"name"`
	Slots []ExportedSlot `json:"slots"`
}

// ExportedSlot is a slot with its number, counted from the Unix epoch.
type ExportedSlot struct {
	Number int64 `json:"n"`
	Slot
}

// Export copies the slots that are within the retention period at now.
func (r *Recorder) Export(now time.Time) Export {
	newest := slotNumber(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Export{Series: make([]ExportedSeries, 0, len(r.series))}
	for k, s := range r.series {
		es := ExportedSeries{Scope: k.scope, Name: k.name}
		for i, number := range s.numbers {
			if number > newest-SlotCount && s.slots[i] != (Slot{}) {
				es.Slots = append(es.Slots, ExportedSlot{Number: number, Slot: s.slots[i]})
			}
		}
		if len(es.Slots) > 0 {
			out.Series = append(out.Series, es)
		}
	}
	return out
}
