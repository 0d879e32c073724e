package report

import (
	"sort"
	"time"
)

// Thresholds of the two pairs of windows. They are those in common use: a fast
// burn spends 2% of a month's allowance in an hour, a slow one 5% in six hours.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
)

// Windows over which burn is computed.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
)

// Limit is the configured rate of a workspace.
type Limit struct {
	Workspace string
	// Rate is in requests per second.
	Rate  float64
	Burst int
}

// Options of a report.
type Options struct {
	// Objective is the share of requests to be served, for example 0.999.
	Objective float64
	// Limits allow the detection of wrongful refusals.
	Limits []Limit
}

// Row is the burn of one route or workspace.
type Row struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
	// Total sums the six hours.
	Total Slot `json:"total"`
	// ServedShare is served over offered, 1 when nothing was offered.
	ServedShare float64 `json:"served_share"`
	Burn5m      float64 `json:"burn_5m"`
	Burn30m     float64 `json:"burn_30m"`
	Burn1h      float64 `json:"burn_1h"`
	Burn6h      float64 `json:"burn_6h"`
	// Wrongful counts refusals for exceeding the rate in slots whose offered
	// load was within rate and burst.
	Wrongful uint32 `json:"wrongful"`
	// Alert is "fast", "slow" or empty.
	Alert string `json:"alert,omitempty"`
}

// Report is the burn of the fleet.
type Report struct {
	Objective float64 `json:"objective"`
	Rows      []Row   `json:"rows"`
	// Worst is the workspace with the lowest served share, if any.
	Worst string `json:"worst_workspace,omitempty"`
	// Daemons counts the daemons that answered, Missing names the others.
	Daemons int      `json:"daemons"`
	Missing []string `json:"missing,omitempty"`
}

// Alerting reports whether any row is over a threshold.
func (r Report) Alerting() bool {
	for _, row := range r.Rows {
		if row.Alert != "" {
			return true
		}
	}
	return false
}

type merged map[int64]Slot

// Compute sums the exports and computes the burn at now.
func Compute(now time.Time, exports []Export, o Options) Report {
	sums := sum(exports)
	limits := make(map[string]Limit, len(o.Limits))
	for _, l := range o.Limits {
		limits[l.Workspace] = l
	}
	rep := Report{Objective: o.Objective, Daemons: len(exports)}
	for k, slots := range sums {
		row := burnRow(now, k, slots, o.Objective)
		if l, ok := limits[k.name]; ok && k.scope == ScopeWorkspace {
			row.Wrongful = wrongful(slots, l)
		}
		rep.Rows = append(rep.Rows, row)
	}
	sort.Slice(rep.Rows, func(i, j int) bool { return rowBefore(rep.Rows[i], rep.Rows[j]) })
	rep.Worst = worst(rep.Rows)
	return rep
}

func sum(exports []Export) map[seriesKey]merged {
	sums := make(map[seriesKey]merged)
	for _, e := range exports {
		for _, s := range e.Series {
			k := seriesKey{s.Scope, s.Name}
			if sums[k] == nil {
				sums[k] = make(merged)
			}
			for _, slot := range s.Slots {
				sums[k][slot.Number] = sums[k][slot.Number].Add(slot.Slot)
			}
		}
	}
	return sums
}

func burnRow(now time.Time, k seriesKey, slots merged, objective float64) Row {
	row := Row{Scope: k.scope, Name: k.name}
	row.Total = window(now, slots, Window6h)
	row.ServedShare = servedShare(row.Total)
	row.Burn5m = burn(window(now, slots, Window5m), objective)
	row.Burn30m = burn(window(now, slots, Window30m), objective)
	row.Burn1h = burn(window(now, slots, Window1h), objective)
	row.Burn6h = burn(row.Total, objective)
	row.Alert = alert(row)
	return row
}

// window sums the slots of the window that ends now. The newest slot is still
// filling, so a window takes one more slot than its length holds.
func window(now time.Time, slots merged, length time.Duration) Slot {
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

func burn(s Slot, objective float64) float64 {
	judged := s.Served + s.Bad
	allowed := 1 - objective
	if judged == 0 || allowed <= 0 {
		return 0
	}
	return float64(s.Bad) / float64(judged) / allowed
}

func alert(r Row) string {
	switch {
	case r.Burn5m >= FastBurn && r.Burn1h >= FastBurn:
		return "fast"
	case r.Burn30m >= SlowBurn && r.Burn6h >= SlowBurn:
		return "slow"
	default:
		return ""
	}
}

func wrongful(slots merged, l Limit) uint32 {
	var n uint32
	for _, s := range slots {
		allowed := l.Rate*SlotLength.Seconds() + float64(l.Burst)
		if float64(s.Offered()) <= allowed {
			n += s.Limited
		}
	}
	return n
}

func rowBefore(a, b Row) bool {
	if a.Scope != b.Scope {
		return a.Scope < b.Scope
	}
	if a.Burn1h != b.Burn1h {
		return a.Burn1h > b.Burn1h
	}
	return a.Name < b.Name
}

func worst(rows []Row) string {
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
