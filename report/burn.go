package report

import (
	"sort"
	"time"
)

// Burn-rate thresholds of the two pairs of windows. These are the commonly used
// values: at the fast threshold 2% of a month's error budget is consumed in one
// hour, at the slow threshold 5% in six hours.
const (
	FastBurnThreshold = 14.4
	SlowBurnThreshold = 6.0
)

// Windows over which burn rates are computed.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
)

// Limit is the configured rate limit of a workspace.
type Limit struct {
	Workspace string
	// Rate is in requests per second.
	Rate  float64
	Burst int
}

// Options of a report.
type Options struct {
	// Objective is the fraction of requests to be served, for example 0.999.
	Objective float64
	// Limits are needed to detect wrongful refusals.
	Limits []Limit
}

// Row contains the counts and burn rates of one route or workspace.
type Row struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
	// Total is the sum over six hours.
	Total Slot `json:"total"`
	// ServedShare is the ratio of served to offered requests, or 1 if there were
	// none.
	ServedShare float64 `json:"served_share"`
	Burn5m      float64 `json:"burn_5m"`
	Burn30m     float64 `json:"burn_30m"`
	Burn1h      float64 `json:"burn_1h"`
	Burn6h      float64 `json:"burn_6h"`
	// Wrongful counts rate-limit refusals in slots whose offered load was within
	// the rate and burst.
	Wrongful uint32 `json:"wrongful"`
	// Alert is "fast", "slow" or empty.
	Alert string `json:"alert,omitempty"`
}

// Report contains the burn rates of the fleet.
type Report struct {
	Objective float64 `json:"objective"`
	Rows      []Row   `json:"rows"`
	// WorstWorkspace is the workspace with the lowest served share, if any.
	WorstWorkspace string `json:"worst_workspace,omitempty"`
	// Daemons is the number of daemons that responded, Missing lists the others.
	Daemons int      `json:"daemons"`
	Missing []string `json:"missing,omitempty"`
}

// Alerting reports whether any row has an alert.
func (r Report) Alerting() bool {
	for _, row := range r.Rows {
		if row.Alert != "" {
			return true
		}
	}
	return false
}

type slotsByNumber map[int64]Slot

// Compute sums the exports of all daemons and computes the burn rates at now.
func Compute(now time.Time, exports []Export, o Options) Report {
	sums := sumSlots(exports)
	limits := make(map[string]Limit, len(o.Limits))
	for _, l := range o.Limits {
		limits[l.Workspace] = l
	}
	rep := Report{Objective: o.Objective, Daemons: len(exports)}
	for k, slots := range sums {
		row := burnRow(now, k, slots, o.Objective)
		if l, ok := limits[k.name]; ok && k.scope == ScopeWorkspace {
			row.Wrongful = countWrongful(slots, l)
		}
		rep.Rows = append(rep.Rows, row)
	}
	sort.Slice(rep.Rows, func(i, j int) bool { return rowLess(rep.Rows[i], rep.Rows[j]) })
	rep.WorstWorkspace = worstWorkspace(rep.Rows)
	return rep
}

func sumSlots(exports []Export) map[seriesKey]slotsByNumber {
	sums := make(map[seriesKey]slotsByNumber)
	for _, e := range exports {
		for _, s := range e.Series {
			k := seriesKey{s.Scope, s.Name}
			if sums[k] == nil {
				sums[k] = make(slotsByNumber)
			}
			for _, slot := range s.Slots {
				sums[k][slot.Number] = sums[k][slot.Number].Add(slot.Slot)
			}
		}
	}
	return sums
}

func burnRow(now time.Time, k seriesKey, slots slotsByNumber, objective float64) Row {
	row := Row{Scope: k.scope, Name: k.name}
	row.Total = sumWindow(now, slots, Window6h)
	row.ServedShare = servedShare(row.Total)
	row.Burn5m = burnRate(sumWindow(now, slots, Window5m), objective)
	row.Burn30m = burnRate(sumWindow(now, slots, Window30m), objective)
	row.Burn1h = burnRate(sumWindow(now, slots, Window1h), objective)
	row.Burn6h = burnRate(row.Total, objective)
	row.Alert = alertLevel(row)
	return row
}

// sumWindow sums the slots of the window that ends now. The current slot is
// incomplete, so a window includes one additional slot.
func sumWindow(now time.Time, slots slotsByNumber, length time.Duration) Slot {
	newest := slotNumber(now)
	count := int64(length / SlotLength)
	var out Slot
	for number := newest - count; number <= newest; number++ {
		out = out.Add(slots[number])
	}
	return out
}

func servedShare(s Slot) float64 {
	if s.Offered() == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Offered())
}

func burnRate(s Slot, objective float64) float64 {
	total := s.Served + s.Bad
	allowed := 1 - objective
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(s.Bad) / float64(total) / allowed
}

func alertLevel(r Row) string {
	switch {
	case r.Burn5m >= FastBurnThreshold && r.Burn1h >= FastBurnThreshold:
		return "fast"
	case r.Burn30m >= SlowBurnThreshold && r.Burn6h >= SlowBurnThreshold:
		return "slow"
	default:
		return ""
	}
}

func countWrongful(slots slotsByNumber, l Limit) uint32 {
	var n uint32
	for _, s := range slots {
		allowed := l.Rate*SlotLength.Seconds() + float64(l.Burst)
		if float64(s.Offered()) <= allowed {
			n += s.Limited
		}
	}
	return n
}

func rowLess(a, b Row) bool {
	if a.Scope != b.Scope {
		return a.Scope < b.Scope
	}
	if a.Burn1h != b.Burn1h {
		return a.Burn1h > b.Burn1h
	}
	return a.Name < b.Name
}

func worstWorkspace(rows []Row) string {
	name := ""
	share := 2.0
	for _, r := range rows {
		if r.Scope == ScopeWorkspace && r.ServedShare < share {
			name = r.Name
			share = r.ServedShare
		}
	}
	return name
}
