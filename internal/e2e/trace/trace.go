// Package trace checks the records of callers and targets against the
// guarantees of the fleet. Its functions have no side effects: they take records
// and return violations.
//
// All processes run on one machine, so timestamps of different processes are
// comparable.
package trace

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

// Call is one request as recorded by its caller.
type Call struct {
	ID        string
	Workspace string
	// KeyID identifies the API key that was sent.
	KeyID      string
	DataCentre string
	Sent, Done time.Time
	// Idempotent calls are allowed to run more than once.
	Idempotent bool
	// OperationID is shared by calls with the same workspace and
	// Idempotency-Key. If empty, the call is an operation of its own.
	OperationID string
	// Status is the HTTP status, or 0 if no response was received.
	Status int
	// RunState is the run state stated in a refusal: "not-run", "unknown" or "".
	RunState string
	// Reason is the reason given in a refusal.
	Reason string
	// Complete reports whether the response body of a target arrived in full.
	// ResponseID is the request ID that the body was generated for.
	Complete   bool
	ResponseID string
	// Err is the transport error, if any.
	Err string
}

// Succeeded reports whether the call received status 200.
func (c Call) Succeeded() bool { return c.Status == http.StatusOK }

// Violation is one observed breach of a guarantee.
type Violation struct {
	Rule   string
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

func newViolation(rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// executed reports whether the target executed the request. A shed request was
// not executed.
func executed(r record.Run) bool { return r.Outcome != record.OutcomeShed }

func countRuns(runs []record.Run) map[string]int {
	n := make(map[string]int)
	for _, r := range runs {
		if executed(r) {
			n[r.RequestID]++
		}
	}
	return n
}

// CheckAtMostOnce reports non-idempotent operations that ran more than once.
func CheckAtMostOnce(calls []Call, runs []record.Run) []Violation {
	count := countRuns(runs)
	runsByOperation := make(map[string]int)
	requestIDs := make(map[string][]string)
	for _, c := range calls {
		if c.Idempotent {
			continue
		}
		operation := c.OperationID
		if operation == "" {
			operation = "id " + c.ID
		}
		runsByOperation[operation] += count[c.ID]
		requestIDs[operation] = append(requestIDs[operation], c.ID)
	}
	var out []Violation
	for _, order := range sortedKeys(runsByOperation) {
		if runsByOperation[order] > 1 {
			out = append(out, newViolation("at-most-once execution", "operation %s ran %d times (requests %v)", order, runsByOperation[order], requestIDs[order]))
		}
	}
	return out
}

// CheckNotRun reports calls that were refused as not run although they ran.
func CheckNotRun(calls []Call, runs []record.Run) []Violation {
	count := countRuns(runs)
	var out []Violation
	for _, c := range calls {
		if c.RunState == "not-run" && count[c.ID] > 0 {
			out = append(out, newViolation("refusal as not run", "request %s was refused (%s) as not run but ran", c.ID, c.Reason))
		}
	}
	return out
}

// CheckNoKeyExposed reports runs whose request contained a secret.
func CheckNoKeyExposed(runs []record.Run) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.KeySeen {
			out = append(out, newViolation("key exposed to target", "request %s at %s, headers %v", r.RequestID, r.Target, r.Headers))
		}
	}
	return out
}

// CheckWorkspace reports runs for a workspace other than that of the call's key.
func CheckWorkspace(calls []Call, runs []record.Run) []Violation {
	want := make(map[string]string)
	for _, c := range calls {
		want[c.ID] = c.Workspace
	}
	var out []Violation
	for _, r := range runs {
		if ws, known := want[r.RequestID]; !known || ws != r.Workspace {
			out = append(out, newViolation("workspace isolation", "request %s of %q ran for %q at %s: %s %s, headers %v", r.RequestID, ws, r.Workspace, r.Target, r.Method, r.Path, r.Headers))
		}
	}
	return out
}

// CheckResponses reports successful responses that are truncated or belong to
// another request. The response to an operation may be replayed when the same
// operation is sent again.
func CheckResponses(calls []Call) []Violation {
	operations := make(map[string]string)
	for _, c := range calls {
		operations[c.ID] = c.OperationID
	}
	var out []Violation
	for _, c := range calls {
		if !c.Succeeded() || c.Err != "" {
			continue // the caller saw a failure, not a wrong response
		}
		own := c.ResponseID == c.ID || c.OperationID != "" && operations[c.ResponseID] == c.OperationID
		if !c.Complete || !own {
			out = append(out, newViolation("response integrity", "request %s received the response to %q, complete: %v", c.ID, c.ResponseID, c.Complete))
		}
	}
	return out
}

// CheckRateLimit reports the first time at which more calls of workspace had
// been admitted in some window than rate times its length plus burst. A call
// counts at the start of its first run; maxDelay is the greatest delay between
// admission and run.
func CheckRateLimit(workspace string, rate float64, burst int, maxDelay time.Duration, runs []record.Run) []Violation {
	starts := firstRunStarts(workspace, runs)
	// A token bucket that starts full and from which each run takes one token
	// covers all windows [i, j] in one pass.
	level := float64(burst) + rate*maxDelay.Seconds()
	full := level
	for i, at := range starts {
		if i > 0 {
			level = min(full, level+rate*at.Sub(starts[i-1]).Seconds())
		}
		level--
		if level < 0 {
			return []Violation{newViolation("rate limit", "workspace %s exceeded %g/s + %d at run %d of %d at %s",
				workspace, rate, burst, i+1, len(starts), at.Format(time.StampMilli))}
		}
	}
	return nil
}

func firstRunStarts(workspace string, runs []record.Run) []time.Time {
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

// CheckColdLimit reports runs at target that started later than after and
// exceeded its concurrency limit while it was cold.
func CheckColdLimit(target string, after time.Time, runs []record.Run) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.Target == target && r.ConcurrencyLimit > 0 && r.Concurrent > r.ConcurrencyLimit && r.Start.After(after) {
			out = append(out, newViolation("cold limit", "%s had %d concurrent requests with a limit of %d at %s",
				target, r.Concurrent, r.ConcurrencyLimit, r.Start.Format(time.StampMilli)))
		}
	}
	return out
}

// CheckNoRuns reports runs that match and started within (from, to).
func CheckNoRuns(rule string, from, to time.Time, runs []record.Run, match func(record.Run) bool) []Violation {
	var out []Violation
	for _, r := range runs {
		if r.Start.After(from) && r.Start.Before(to) && match(r) {
			out = append(out, newViolation(rule, "request %s of %q started at %s, %v too late",
				r.RequestID, r.Workspace, r.Target, r.Start.Sub(from).Round(time.Millisecond)))
		}
	}
	return out
}

// Counts holds how many calls of a workspace were sent and succeeded.
type Counts struct {
	Sent, Succeeded int
}

// SuccessRatio returns the fraction of calls that succeeded, or 1 if none was
// sent.
func (s Counts) SuccessRatio() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.Succeeded) / float64(s.Sent)
}

// CountByWorkspace counts the calls of each workspace.
func CountByWorkspace(calls []Call) map[string]Counts {
	out := make(map[string]Counts)
	for _, c := range calls {
		s := out[c.Workspace]
		s.Sent++
		if c.Succeeded() {
			s.Succeeded++
		}
		out[c.Workspace] = s
	}
	return out
}

// CheckInvariants checks the guarantees that hold under every fault.
func CheckInvariants(calls []Call, runs []record.Run) []Violation {
	var out []Violation
	out = append(out, CheckAtMostOnce(calls, runs)...)
	out = append(out, CheckNotRun(calls, runs)...)
	out = append(out, CheckNoKeyExposed(runs)...)
	out = append(out, CheckWorkspace(calls, runs)...)
	out = append(out, CheckResponses(calls)...)
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
