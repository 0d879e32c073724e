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

// Result summarizes the requests and executions of a demo.
type Result struct {
	// Succeeded counts successful responses of targets, TargetErrors their error
	// responses.
	Succeeded, TargetErrors int
	// NotRun and Unknown count refusals of the fleet by their declared outcome,
	// ConnectionErrors requests without a response.
	NotRun, Unknown, ConnectionErrors int
	// Reasons counts refusals by their reason.
	Reasons map[string]int
	// Orders counts orders, Confirmed those with a successful response, Unresolved
	// those without any response of a target. The callers of unresolved orders
	// know that the order is unresolved.
	Orders, Confirmed, Unresolved int
	// Lost counts orders with a successful response that were never executed,
	// Duplicated those executed more than once.
	Lost, Duplicated int
	// Violations are the violated invariants.
	Violations []trace.Violation
	// P50 and P99 are latency percentiles of successful requests.
	P50, P99 time.Duration
}

// OK reports whether no order was lost or duplicated and no invariant was violated.
func (v Result) OK() bool { return v.Lost == 0 && v.Duplicated == 0 && len(v.Violations) == 0 }

// Evaluate checks the recorded requests against the recorded executions.
func Evaluate(calls []trace.Call, runs []record.Run) Result {
	v := Result{Reasons: map[string]int{}, Violations: trace.CheckInvariants(calls, runs)}
	var latencies []time.Duration
	for _, c := range calls {
		v.countCall(c)
		if c.Succeeded() {
			latencies = append(latencies, c.Done.Sub(c.Sent))
		}
	}
	v.P50, v.P99 = percentile(latencies, 0.5), percentile(latencies, 0.99)
	v.countOrders(calls, runs)
	return v
}

func (v *Result) countCall(c trace.Call) {
	switch {
	case c.Err != "":
		v.ConnectionErrors++
	case c.RunState == "not-run":
		v.NotRun++
		v.Reasons[c.Reason]++
	case c.RunState != "":
		v.Unknown++
		v.Reasons[c.Reason]++
	case c.Succeeded():
		v.Succeeded++
	default:
		v.TargetErrors++
	}
}

// orderState is the recorded state of one order.
type orderState struct {
	confirmed, answered bool
	runs                int
}

func (v *Result) countOrders(calls []trace.Call, runs []record.Run) {
	orders := map[string]*orderState{}
	orderByCallID := map[string]*orderState{}
	for _, c := range calls {
		if c.OperationID == "" {
			continue
		}
		o, ok := orders[c.OperationID]
		if !ok {
			o = &orderState{}
			orders[c.OperationID] = o
		}
		orderByCallID[c.ID] = o
		o.confirmed = o.confirmed || c.Succeeded()
		o.answered = o.answered || c.Err == "" && c.RunState == ""
	}
	for _, r := range runs {
		if o, ok := orderByCallID[r.RequestID]; ok && r.Outcome != record.OutcomeShed {
			o.runs++
		}
	}
	for _, o := range orders {
		v.countOrder(o)
	}
}

func (v *Result) countOrder(o *orderState) {
	v.Orders++
	if o.confirmed {
		v.Confirmed++
	}
	if !o.answered {
		v.Unresolved++
	}
	if o.confirmed && o.runs == 0 {
		v.Lost++
	}
	if o.runs > 1 {
		v.Duplicated++
	}
}

func percentile(latencies []time.Duration, share float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(share*float64(len(latencies)-1))]
}

// Write prints the summary as a table, followed by refusal reasons and violations.
func (v Result) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "requests\tsucceeded\t%d\t\n", v.Succeeded)
	fmt.Fprintf(tw, "\trefused, not run\t%d\t\n", v.NotRun)
	fmt.Fprintf(tw, "\trefused, outcome unknown\t%d\t\n", v.Unknown)
	fmt.Fprintf(tw, "\ttarget error\t%d\t\n", v.TargetErrors)
	fmt.Fprintf(tw, "\tconnection error\t%d\t\n", v.ConnectionErrors)
	fmt.Fprintf(tw, "latency\tp50, p99\t%s, %s\t\n", v.P50.Round(time.Millisecond/10), v.P99.Round(time.Millisecond/10))
	fmt.Fprintf(tw, "orders\tsent\t%d\t\n", v.Orders)
	fmt.Fprintf(tw, "\tconfirmed\t%d\t\n", v.Confirmed)
	fmt.Fprintf(tw, "\tunresolved, caller knows\t%d\t\n", v.Unresolved)
	fmt.Fprintf(tw, "\tlost\t%d\t\n", v.Lost)
	fmt.Fprintf(tw, "\tduplicated\t%d\t\n", v.Duplicated)
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(v.Reasons) > 0 {
		fmt.Fprintf(w, "refusals by reason: %v\n", v.Reasons)
	}
	for _, violation := range v.Violations {
		fmt.Fprintf(w, "invariant violated: %s\n", violation)
	}
	return nil
}
