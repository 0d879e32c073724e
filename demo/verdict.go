package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

// Verdict is what calls and runs say about the fleet.
type Verdict struct {
	// Answered calls got a target's good answer, TargetFailed its error.
	Answered, TargetFailed int
	// NotRun and Unknown count refusals, Broken connections without an answer.
	NotRun, Unknown, Broken int
	// Reasons counts refusals by reason.
	Reasons map[string]int
	// Orders counts orders, Booked those with a good answer, Unresolved those
	// without any answer of a target, of which the caller was told so.
	Orders, Booked, Unresolved int
	// Lost orders have a good answer and no run, Doubled ones several runs.
	Lost, Doubled int
	// Violations are broken promises.
	Violations []trace.Violation
	// P50 and P99 are latencies of answered calls.
	P50, P99 time.Duration
}

// OK reports that every promise was kept.
func (v Verdict) OK() bool { return v.Lost == 0 && v.Doubled == 0 && len(v.Violations) == 0 }

// Judge judges calls and runs.
func Judge(calls []trace.Call, runs []record.Run) Verdict {
	v := Verdict{Reasons: map[string]int{}, Violations: trace.CheckInvariants(calls, runs)}
	var took []time.Duration
	for _, c := range calls {
		v.count(c)
		if c.Succeeded() {
			took = append(took, c.Done.Sub(c.Sent))
		}
	}
	v.P50, v.P99 = percentile(took, 0.5), percentile(took, 0.99)
	v.countOrders(calls, runs)
	return v
}

func (v *Verdict) count(c trace.Call) {
	switch {
	case c.Err != "":
		v.Broken++
	case c.RunState == "not-run":
		v.NotRun++
		v.Reasons[c.Reason]++
	case c.RunState != "":
		v.Unknown++
		v.Reasons[c.Reason]++
	case c.Succeeded():
		v.Answered++
	default:
		v.TargetFailed++
	}
}

// order is what is known of one order.
type order struct {
	booked, answered bool
	runs             int
}

func (v *Verdict) countOrders(calls []trace.Call, runs []record.Run) {
	orders := map[string]*order{}
	ofCall := map[string]*order{}
	for _, c := range calls {
		if c.OperationID == "" {
			continue
		}
		o, ok := orders[c.OperationID]
		if !ok {
			o = &order{}
			orders[c.OperationID] = o
		}
		ofCall[c.ID] = o
		o.booked = o.booked || c.Succeeded()
		o.answered = o.answered || c.Err == "" && c.RunState == ""
	}
	for _, r := range runs {
		if o, ok := ofCall[r.RequestID]; ok && r.Outcome != record.OutcomeShed {
			o.runs++
		}
	}
	for _, o := range orders {
		v.countOrder(o)
	}
}

func (v *Verdict) countOrder(o *order) {
	v.Orders++
	if o.booked {
		v.Booked++
	}
	if !o.answered {
		v.Unresolved++
	}
	if o.booked && o.runs == 0 {
		v.Lost++
	}
	if o.runs > 1 {
		v.Doubled++
	}
}

func percentile(took []time.Duration, share float64) time.Duration {
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[int(share*float64(len(took)-1))]
}

// Write prints the verdict.
func (v Verdict) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "requests\tanswered\t%d\t\n", v.Answered)
	fmt.Fprintf(tw, "\trefused, not run\t%d\t\n", v.NotRun)
	fmt.Fprintf(tw, "\trefused, outcome unknown\t%d\t\n", v.Unknown)
	fmt.Fprintf(tw, "\terror of the target\t%d\t\n", v.TargetFailed)
	fmt.Fprintf(tw, "\tconnection broken\t%d\t\n", v.Broken)
	fmt.Fprintf(tw, "latency\tp50, p99\t%s, %s\t\n", v.P50.Round(time.Millisecond/10), v.P99.Round(time.Millisecond/10))
	fmt.Fprintf(tw, "orders\tsent\t%d\t\n", v.Orders)
	fmt.Fprintf(tw, "\tbooked\t%d\t\n", v.Booked)
	fmt.Fprintf(tw, "\tunresolved, caller knows\t%d\t\n", v.Unresolved)
	fmt.Fprintf(tw, "\tlost\t%d\t\n", v.Lost)
	fmt.Fprintf(tw, "\tdoubled\t%d\t\n", v.Doubled)
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(v.Reasons) > 0 {
		fmt.Fprintf(w, "reasons of refusals: %v\n", v.Reasons)
	}
	for _, x := range v.Violations {
		fmt.Fprintf(w, "broken promise: %s\n", x)
	}
	return nil
}
