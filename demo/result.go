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
func (r Result) OK() bool { return r.Lost == 0 && r.Duplicated == 0 && len(r.Violations) == 0 }

// Evaluate checks the recorded requests against the recorded executions.
func Evaluate(calls []trace.Call, runs []record.Run) Result {
	result := Result{Reasons: map[string]int{}, Violations: trace.CheckInvariants(calls, runs)}
	var latencies []time.Duration
	for _, c := range calls {
		result.countCall(c)
		if c.Succeeded() {
			latencies = append(latencies, c.Done.Sub(c.Sent))
		}
	}
	result.P50, result.P99 = percentile(latencies, 0.5), percentile(latencies, 0.99)
	result.countOrders(calls, runs)
	return result
}

func (r *Result) countCall(c trace.Call) {
	switch {
	case c.Err != "":
		r.ConnectionErrors++
	case c.RunState == "not-run":
		r.NotRun++
		r.Reasons[c.Reason]++
	case c.RunState != "":
		r.Unknown++
		r.Reasons[c.Reason]++
	case c.Succeeded():
		r.Succeeded++
	default:
		r.TargetErrors++
	}
}

// orderState is the recorded state of one order.
type orderState struct {
	confirmed, responded bool
	runs                 int
}

func (r *Result) countOrders(calls []trace.Call, runs []record.Run) {
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
		o.responded = o.responded || c.Err == "" && c.RunState == ""
	}
	for _, run := range runs {
		if o, ok := orderByCallID[run.RequestID]; ok && run.Outcome != record.OutcomeShed {
			o.runs++
		}
	}
	for _, o := range orders {
		r.countOrder(o)
	}
}

func (r *Result) countOrder(o *orderState) {
	r.Orders++
	if o.confirmed {
		r.Confirmed++
	}
	if !o.responded {
		r.Unresolved++
	}
	if o.confirmed && o.runs == 0 {
		r.Lost++
	}
	if o.runs > 1 {
		r.Duplicated++
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
func (r Result) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "requests\tsucceeded\t%d\t\n", r.Succeeded)
	fmt.Fprintf(tw, "\trefused, not run\t%d\t\n", r.NotRun)
	fmt.Fprintf(tw, "\trefused, outcome unknown\t%d\t\n", r.Unknown)
	fmt.Fprintf(tw, "\ttarget error\t%d\t\n", r.TargetErrors)
	fmt.Fprintf(tw, "\tconnection error\t%d\t\n", r.ConnectionErrors)
	fmt.Fprintf(tw, "latency\tp50, p99\t%s, %s\t\n", r.P50.Round(time.Millisecond/10), r.P99.Round(time.Millisecond/10))
	fmt.Fprintf(tw, "orders\tsent\t%d\t\n", r.Orders)
	fmt.Fprintf(tw, "\tconfirmed\t%d\t\n", r.Confirmed)
	fmt.Fprintf(tw, "\tunresolved, reported to caller\t%d\t\n", r.Unresolved)
	fmt.Fprintf(tw, "\tlost\t%d\t\n", r.Lost)
	fmt.Fprintf(tw, "\tduplicated\t%d\t\n", r.Duplicated)
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(r.Reasons) > 0 {
		fmt.Fprintf(w, "refusals by reason: %v\n", r.Reasons)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "invariant violated: %s\n", violation)
	}
	return nil
}
