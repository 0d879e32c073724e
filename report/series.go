package report

import (
	"sync"
	"time"
)

// Layout of a series.
const (
	// SlotLength is the time that one slot covers.
	SlotLength = 5 * time.Minute
	// Slots is the number of slots kept: six hours.
	Slots = 72
)

// Outcome is the kind of a finished request.
type Outcome int

const (
	// OutcomeServed is a whole answer of a target.
	OutcomeServed Outcome = iota
	// OutcomeBad is a refusal or failure that the fleet is to blame for.
	OutcomeBad
	// OutcomeLimited is a refusal for exceeding the workspace's rate.
	OutcomeLimited
	// OutcomeCaller is a refusal that the caller is to blame for.
	OutcomeCaller
)

// Slot holds the counts of one slot.
type Slot struct {
	Served  uint32 `json:"s,omitempty"`
	Bad     uint32 `json:"b,omitempty"`
	Limited uint32 `json:"l,omitempty"`
	Caller  uint32 `json:"c,omitempty"`
	// Slow counts served requests over the latency objective.
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
	case OutcomeCaller:
		s.Caller++
	}
	if slow && o == OutcomeServed {
		s.Slow++
	}
}

// Add sums two slots.
func (s Slot) Add(o Slot) Slot {
	return Slot{
		Served:  s.Served + o.Served,
		Bad:     s.Bad + o.Bad,
		Limited: s.Limited + o.Limited,
		Caller:  s.Caller + o.Caller,
		Slow:    s.Slow + o.Slow,
	}
}

// Offered is the number of requests that were the fleet's to answer.
func (s Slot) Offered() uint32 { return s.Served + s.Bad + s.Limited }

// series is a ring of slots; a slot is valid only for its number.
type series struct {
	slots   [Slots]Slot
	numbers [Slots]int64
	last    int64
}

// slotNumber counts slots since the epoch.
func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(SlotLength) }

func (s *series) at(number int64) *Slot {
	i := number % Slots
	if s.numbers[i] != number {
		s.numbers[i] = number
		s.slots[i] = Slot{}
	}
	s.last = max(s.last, number)
	return &s.slots[i]
}

// Scope says what a series is about.
type Scope string

const (
	// ScopeRoute is the requests of one route.
	ScopeRoute Scope = "route"
	// ScopeWorkspace is the requests of one workspace.
	ScopeWorkspace Scope = "workspace"
)

type seriesKey struct {
	scope Scope
	name  string
}

// maxSeries bounds the series of a recorder; beyond it the stalest is replaced.
const maxSeries = 4096

// Recorder counts the outcomes of one daemon.
type Recorder struct {
	slowOver time.Duration

	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewRecorder returns a recorder. Served requests slower than slowOver count
// as slow.
func NewRecorder(slowOver time.Duration) *Recorder {
	return &Recorder{slowOver: slowOver, series: make(map[seriesKey]*series)}
}

// Record counts a finished request. An empty route or workspace is not counted.
func (r *Recorder) Record(now time.Time, route, workspace string, o Outcome, took time.Duration) {
	slow := took > r.slowOver
	number := slotNumber(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if route != "" {
		r.get(seriesKey{ScopeRoute, route}).at(number).count(o, slow)
	}
	if workspace != "" {
		r.get(seriesKey{ScopeWorkspace, workspace}).at(number).count(o, slow)
	}
}

func (r *Recorder) get(k seriesKey) *series {
	s, ok := r.series[k]
	if ok {
		return s
	}
	if len(r.series) >= maxSeries {
		r.dropStalest()
	}
	s = &series{}
	r.series[k] = s
	return s
}

func (r *Recorder) dropStalest() {
	var stalest seriesKey
	found := false
	for k, s := range r.series {
		if !found || s.last < r.series[stalest].last {
			stalest = k
			found = true
		}
	}
	delete(r.series, stalest)
}

// Export is the content of one recorder.
type Export struct {
	Series []ExportedSeries `json:"series"`
}

// ExportedSeries is one series with the slots that hold counts.
type ExportedSeries struct {
	Scope Scope          `json:"scope"`
	Name  string         `json:"name"`
	Slots []ExportedSlot `json:"slots"`
}

// ExportedSlot is a slot with its number since the epoch.
type ExportedSlot struct {
	Number int64 `json:"n"`
	Slot
}

// Export copies the counts that are not older than the ring.
func (r *Recorder) Export(now time.Time) Export {
	newest := slotNumber(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Export{Series: make([]ExportedSeries, 0, len(r.series))}
	for k, s := range r.series {
		es := ExportedSeries{Scope: k.scope, Name: k.name}
		for i, number := range s.numbers {
			if number > newest-Slots && s.slots[i] != (Slot{}) {
				es.Slots = append(es.Slots, ExportedSlot{Number: number, Slot: s.slots[i]})
			}
		}
		if len(es.Slots) > 0 {
			out.Series = append(out.Series, es)
		}
	}
	return out
}
