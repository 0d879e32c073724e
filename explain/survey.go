package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Survey counts the causes of requests that were refused, failed, late or cancelled
// by the caller.
type Survey struct {
	// Requests is the number of requests and calls found in the logs.
	Requests int
	// Causes are the causes found, the most frequent first.
	Causes []CauseCount
	// Routes are the outcomes by route, sorted by the routes' names.
	Routes []RouteOutcomes
	// Unexplained are the ids of requests whose cause is not in the logs.
	Unexplained []string
	// Omitted is the number of lines that hosts reported as omitted or dropped.
	Omitted int
}

// CauseCount is a cause with the number of requests and the id of one of them.
type CauseCount struct {
	Cause   string
	Count   int
	Example string
}

// Decisions and fields that a survey reads in addition to those of requests.
const (
	decisionStarted = "started"
	decisionDropped = "log lines dropped"
	decisionOmitted = "log lines omitted"
	keyCount        = "count"
)

// ReadAll returns all decisions of a log.
func ReadAll(source string, r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if line, ok := parse(source, sc.Text()); ok {
			out = append(out, line)
		}
	}
	return out, errors.Wrapf(sc.Err(), "read %s", source)
}

// NewSurvey groups the decisions of many hosts by request and counts the causes.
func NewSurvey(lines []Line) Survey {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	byRequest := map[string][]Line{}
	p := processLifetimes{starts: map[string][]time.Time{}, ends: map[string]time.Time{}}
	s := Survey{}
	for _, l := range lines {
		p.ends[l.Source] = l.At
		switch l.Decision {
		case decisionStarted:
			p.starts[l.Source] = append(p.starts[l.Source], l.At)
		case decisionDropped, decisionOmitted:
			n, _ := l.Fields[keyCount].(float64)
			s.Omitted += int(n)
		}
		if id, _ := l.Fields[keyID].(string); id != "" {
			root, _, _ := strings.Cut(id, ".")
			byRequest[root] = append(byRequest[root], l)
		}
	}
	counts := map[string]*CauseCount{}
	routes := map[string]*RouteOutcomes{}
	for _, root := range slices.Sorted(maps.Keys(byRequest)) {
		for _, id := range requestIDs(byRequest[root]) {
			s.Requests++
			s.addRequest(counts, id, byRequest[root], p)
			addOutcome(routes, byRequest[root], id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		s.Routes = append(s.Routes, *routes[name])
	}
	for _, c := range counts {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Cause, b.Cause))
	})
	return s
}

// requestIDs returns the ids of the request and of its calls.
func requestIDs(decisions []Line) []string {
	seen := map[string]bool{}
	for _, l := range decisions {
		if id, _ := l.Fields[keyID].(string); id != "" {
			seen[id] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func (s *Survey) addRequest(counts map[string]*CauseCount, id string, decisions []Line, p processLifetimes) {
	cause, ok := causeCategory(decisions, id, p)
	if !ok {
		s.Unexplained = append(s.Unexplained, id)
		return
	}
	if cause == "" {
		return
	}
	c := counts[cause]
	if c == nil {
		c = &CauseCount{Cause: cause, Example: id}
		counts[cause] = c
	}
	c.Count++
}

// causeCategory returns the category of a request's cause. It is empty for a request
// that was served in time; ok is false if the cause is not in the logs.
func causeCategory(decisions []Line, id string, p processLifetimes) (cause string, ok bool) {
	end := lastDecision(decisions, id, endDecisions...)
	if end == nil {
		return ingressDied(decisions, id, p)
	}
	status, _ := end.Fields["status"].(float64)
	switch {
	case end.Decision == "caller-left":
		return "the caller left", true
	case end.Decision != "answered":
		return fmt.Sprintf("%s: %v%s", end.Decision, end.Fields["reason"], failedCallDetail(decisions, id)), true
	case status >= 500:
		return fmt.Sprintf("the target answered %v%s", status, failedCallDetail(decisions, id)), true
	case end.Fields["late"] == true:
		from, to, _ := longestStep(decisions, id)
		if from == nil {
			return "", false
		}
		return fmt.Sprintf("late: most time between %s and %s", from.Decision, to.Decision), true
	}
	return "", true
}

// processLifetimes holds the lifetimes of the hosts' daemons, as shown by their logs.
type processLifetimes struct {
	// starts holds the times at which processes started, by log.
	starts map[string][]time.Time
	// ends holds the time of the last line, by log.
	ends map[string]time.Time
}

// ingressDied reports whether the process that made a request's attempts ended
// without logging the request's outcome: a later process has started, or the log
// ends while the request was in progress.
func ingressDied(decisions []Line, id string, p processLifetimes) (cause string, ok bool) {
	offered := lastDecision(decisions, id, "offered")
	if offered == nil {
		return "", false
	}
	for _, start := range p.starts[offered.Source] {
		if start.After(offered.At) {
			return "the ingress's process ended first", true
		}
	}
	if !p.ends[offered.Source].After(decisions[len(decisions)-1].At) {
		return "the ingress's log ends first", true
	}
	return "", false
}

// failedCallDetail describes the failed call that made a request fail.
func failedCallDetail(decisions []Line, id string) string {
	call := failedCall(decisions, id)
	if call == nil {
		return ""
	}
	if call.Decision == "answered" {
		return fmt.Sprintf(", as its call was answered %v", call.Fields["status"])
	}
	return fmt.Sprintf(", as its call %s: %v", call.Decision, call.Fields["reason"])
}

// Write prints the survey.
func (s Survey) Write(w io.Writer) error {
	if s.Requests == 0 {
		return errors.New("no decision about any request found; pass the hosts' logs")
	}
	ended := 0
	for _, c := range s.Causes {
		ended += c.Count
		if _, err := fmt.Fprintf(w, "%6d  %-64s for example %s\n", c.Count, c.Cause, c.Example); err != nil {
			return err
		}
	}
	if err := writeRoutes(w, s.Routes); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%d requests and calls, %d refused, failed, late or left, %d without a cause in the logs, %d lines left out by the hosts\n",
		s.Requests, ended+len(s.Unexplained), len(s.Unexplained), s.Omitted)
	for _, id := range s.Unexplained[:min(len(s.Unexplained), maxListedIDs)] {
		if err == nil {
			_, err = fmt.Fprintf(w, "  without a cause: %s\n", id)
		}
	}
	return err
}

// maxListedIDs is the maximum number of unexplained requests that Write lists.
const maxListedIDs = 20
