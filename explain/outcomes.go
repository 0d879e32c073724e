package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Outcome is the category of how a request ended.
type Outcome int

// Outcomes of requests, from the best to the worst.
const (
	InTime       Outcome = iota // answered within the route's objective
	Late                        // answered after it
	Refused                     // refused before it was offered to a target, or by all of them
	CallFailed                  // answered with 5xx by the target because a call that it made failed
	TargetFailed                // answered with 5xx by the target for another reason
	Failed                      // no answer of a target: an error of the system's own
	Left                        // the caller left first
	Unknown                     // the logs show no outcome
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in time", "late", "refused", "call failed", "target failed", "failed", "left", "unknown"}

func (o Outcome) String() string { return outcomeNames[o] }

// RouteOutcomes counts the outcomes of the requests of one route.
type RouteOutcomes struct {
	// Route is the route's name; it is empty for requests that match no route, and
	// for those whose outcome is unknown.
	Route  string
	Counts [outcomeCount]int
}

func addOutcome(routes map[string]*RouteOutcomes, decisions []Line, id string) {
	route, outcome := outcomeOf(decisions, id)
	r := routes[route]
	if r == nil {
		r = &RouteOutcomes{Route: route}
		routes[route] = r
	}
	r.Counts[outcome]++
}

// outcomeOf returns the route of a request and how it ended.
func outcomeOf(decisions []Line, id string) (route string, o Outcome) {
	end := lastDecision(decisions, id, endDecisions...)
	if end == nil {
		return "", Unknown
	}
	route, _ = end.Fields["route"].(string)
	status, _ := end.Fields["status"].(float64)
	switch {
	case end.Decision == "caller-left":
		return route, Left
	case end.Decision == "refused", end.Decision == "failed" && end.Fields["run"] == runStateNotRun:
		return route, Refused
	case end.Decision == "failed":
		return route, Failed
	case status >= 500 && failedCall(decisions, id) != nil:
		return route, CallFailed
	case status >= 500:
		return route, TargetFailed
	case end.Fields["late"] == true:
		return route, Late
	}
	return route, InTime
}

// runStateNotRun is the value of the field "run" of a request that no target ran.
const runStateNotRun = "not-run"

func writeRoutes(w io.Writer, routes []RouteOutcomes) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nroute\ttotal\t") //nolint:errcheck // Flush returns the error
	for o := range outcomeCount {
		fmt.Fprintf(t, "%s\t", o) //nolint:errcheck // Flush returns the error
	}
	for _, r := range routes {
		total := 0
		for _, n := range r.Counts {
			total += n
		}
		fmt.Fprintf(t, "\n%s\t%d\t", max(r.Route, "-"), total) //nolint:errcheck // Flush returns the error
		for _, n := range r.Counts {
			fmt.Fprintf(t, "%d\t", n) //nolint:errcheck // Flush returns the error
		}
	}
	fmt.Fprintln(t) //nolint:errcheck // Flush returns the error
	return t.Flush()
}
