// Package trace judges what callers and targets recorded against the promises
// of the fleet. It is pure: records in, violations out.
//
// All times come from one machine, so records of different processes compare.
package trace

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

// Call is one request as its caller saw it.
type Call struct {
	ID        string
	Workspace string
	// KeyID names the key that the call carried.
	KeyID      string
	DataCentre string
	Sent, Done time.Time
	// Idempotent calls may run more than once.
	Idempotent bool
	// Order groups calls that are the same order by its Idempotency-Key; empty
	// means that the call is an order of its own.
	Order string
	// Status is 0 when no answer came.
	Status int
	// Run is the run state of a refusal: "not-run", "unknown" or "".
	Run string
	// Reason is the reason of a refusal.
	Reason string
	// Whole and AnswerID describe the body of an answer of a target.
	Whole    bool
	AnswerID string
	// Err is the transport's error.
	Err string
}

// Answered reports whether the call was given a target's good answer.
func (c Call) Answered() bool { return c.Status == http.StatusOK }

// Violation is one broken promise.
type Violation struct {
	Rule   string
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

func violation(rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// ran reports whether a record counts as a run: a shed request did no work.
func ran(r record.Run) bool { return r.Outcome != record.OutcomeShed }

func runsByID(runs []record.Run) map[string]int {
	n := make(map[string]int)
	for _, r := range runs {
		if ran(r) {
			n[r.RequestID]++
		}
	}
	return n
}

// AtMostOnce finds non-idempotent orders that ran more than once.
func AtMostOnce(calls []Call, runs []record.Run) []Violation {
	count := runsByID(runs)
	orders := make(map[string]int)
	names := make(map[string][]string)
	for _, c := range calls {
		if c.Idempotent {
			continue
		}
		order := c.Order
		if order == "" {
			order = "id " + c.ID
		}
		orders[order] += count[c.ID]
		names[order] = append(names[order], c.ID)
	}
	var out []Violation
	for _, order := range sortedKeys(orders) {
		if orders[order] > 1 {
			out = append(out, violation("at most once", "order %s ran %d times (requests %v)", order, orders[order], names[order]))
		}
	}
	return out
}

// NotRunTrue finds calls refused as not run that ran.
func NotRunTrue(calls []Call, runs []record.Run) []Violation {
	count := runsByID(runs)
	var out []Violation
	for _, c := range calls {
		if c.Run == "not-run" && count[c.ID] > 0 {
			out = append(out, violation("not run is true", "request %s was refused (%s) as not run but ran", c.ID, c.Reason))
		}
	}
	return out
}

// NoKeySeen finds runs whose request held a secret.
func NoKeySeen(runs []record.Run) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.KeySeen {
			out = append(out, violation("no key at a target", "request %s at %s, headers %v", r.RequestID, r.Target, r.Headers))
		}
	}
	return out
}

// WorkspaceRight finds runs for a workspace other than that of the call's key.
func WorkspaceRight(calls []Call, runs []record.Run) []Violation {
	want := make(map[string]string)
	for _, c := range calls {
		want[c.ID] = c.Workspace
	}
	var out []Violation
	for _, r := range runs {
		if ws, known := want[r.RequestID]; !known || ws != r.Workspace {
			out = append(out, violation("workspace", "request %s of %q ran for %q", r.RequestID, ws, r.Workspace))
		}
	}
	return out
}

// OwnWholeAnswers finds good answers that are cut short or another's. The
// answer to an order may be replayed to the same order sent again.
func OwnWholeAnswers(calls []Call) []Violation {
	orders := make(map[string]string)
	for _, c := range calls {
		orders[c.ID] = c.Order
	}
	var out []Violation
	for _, c := range calls {
		if !c.Answered() || c.Err != "" {
			continue // a visible failure is no false answer
		}
		own := c.AnswerID == c.ID || c.Order != "" && orders[c.AnswerID] == c.Order
		if !c.Whole || !own {
			out = append(out, violation("whole own answer", "request %s got the answer of %q, whole %v", c.ID, c.AnswerID, c.Whole))
		}
	}
	return out
}

// RateKept finds a window in which more calls of workspace were admitted than
// rate times its length plus burst. A call counts at the start of its first
// run; spread is the greatest delay between admission and run.
func RateKept(workspace string, rate float64, burst int, spread time.Duration, runs []record.Run) []Violation {
	starts := firstStarts(workspace, runs)
	// The greatest excess over all windows [i, j] is found in one pass: the
	// level of a full bucket that each run draws from.
	level := float64(burst) + rate*spread.Seconds()
	full := level
	for i, at := range starts {
		if i > 0 {
			level = min(full, level+rate*at.Sub(starts[i-1]).Seconds())
		}
		level--
		if level < 0 {
			return []Violation{violation("rate", "workspace %s passed %g/s + %d by run %d of %d at %s",
				workspace, rate, burst, i+1, len(starts), at.Format(time.StampMilli))}
		}
	}
	return nil
}

func firstStarts(workspace string, runs []record.Run) []time.Time {
	first := make(map[string]time.Time)
	for _, r := range runs {
		at, known := first[r.RequestID]
		if r.Workspace == workspace && (!known || r.Start.Before(at)) {
			first[r.RequestID] = r.Start
		}
	}
	starts := make([]time.Time, 0, len(first))
	for _, at := range first {
		starts = append(starts, at)
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	return starts
}

// ColdKept finds requests beyond what a cold target bore, from the time after
// on.
func ColdKept(target string, after time.Time, runs []record.Run) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.Target == target && r.ConcurrencyLimit > 0 && r.Concurrent > r.ConcurrencyLimit && r.Start.After(after) {
			out = append(out, violation("cold limit", "%s had %d requests at once and bears %d at %s",
				target, r.Concurrent, r.ConcurrencyLimit, r.Start.Format(time.StampMilli)))
		}
	}
	return out
}

// Quiet finds runs that match and start within (from, to).
func Quiet(rule string, from, to time.Time, runs []record.Run, match func(record.Run) bool) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.Start.After(from) && r.Start.Before(to) && match(r) {
			out = append(out, violation(rule, "request %s of %q started at %s, %v too late",
				r.RequestID, r.Workspace, r.Target, r.Start.Sub(from).Round(time.Millisecond)))
		}
	}
	return out
}

// Share is how many calls of a workspace were sent and answered well.
type Share struct {
	Sent, Answered int
}

// Ratio is the share answered; 1 when nothing was sent.
func (s Share) Ratio() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.Answered) / float64(s.Sent)
}

// Shares counts the calls of each workspace.
func Shares(calls []Call) map[string]Share {
	out := make(map[string]Share)
	for _, c := range calls {
		s := out[c.Workspace]
		s.Sent++
		if c.Answered() {
			s.Answered++
		}
		out[c.Workspace] = s
	}
	return out
}

// Always judges the promises that hold under every fault.
func Always(calls []Call, runs []record.Run) []Violation {
	var out []Violation
	out = append(out, AtMostOnce(calls, runs)...)
	out = append(out, NotRunTrue(calls, runs)...)
	out = append(out, NoKeySeen(runs)...)
	out = append(out, WorkspaceRight(calls, runs)...)
	out = append(out, OwnWholeAnswers(calls)...)
	return out
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
