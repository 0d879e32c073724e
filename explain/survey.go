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

// Survey counts the causes for which requests were not served as they should.
type Survey struct {
	// Requests had an end or an attempt in the logs; calls count as well.
	Requests int
	// Causes are those of requests that were refused, failed or late.
	Causes []CauseCount
	// Unexplained are ids of requests whose cause the logs do not tell.
	Unexplained []string
	// Omitted is how many lines the hosts say that they left out.
	Omitted int
}

// CauseCount is a cause and how many requests it ended.
type CauseCount struct {
	Cause   string
	Count   int
	Example string
}

// Decisions and fields that a survey reads besides those of a request.
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

// NewSurvey surveys the decisions of many hosts.
func NewSurvey(lines []Line) Survey {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	stories := map[string][]Line{}
	p := processes{starts: map[string][]time.Time{}, ends: map[string]time.Time{}}
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
			own, _, _ := strings.Cut(id, ".")
			stories[own] = append(stories[own], l)
		}
	}
	counts := map[string]*CauseCount{}
	for _, own := range slices.Sorted(maps.Keys(stories)) {
		for _, id := range ids(stories[own]) {
			s.Requests++
			s.count(counts, id, stories[own], p)
		}
	}
	for _, c := range counts {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Cause, b.Cause))
	})
	return s
}

// ids lists the request and the calls that a story tells of.
func ids(story []Line) []string {
	seen := map[string]bool{}
	for _, l := range story {
		if id, _ := l.Fields[keyID].(string); id != "" {
			seen[id] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func (s *Survey) count(counts map[string]*CauseCount, id string, story []Line, p processes) {
	cause, ok := shortCause(story, id, p)
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

// shortCause names the kind of a request's cause; it is empty for a request that
// was served in time, and not ok for one whose cause is not in the logs.
func shortCause(story []Line, id string, p processes) (cause string, ok bool) {
	end := last(story, id, ends...)
	if end == nil {
		return ingressDied(story, id, p)
	}
	status, _ := end.Fields["status"].(float64)
	switch {
	case end.Decision == "caller-left":
		return "the caller left", true
	case end.Decision != "answered":
		return fmt.Sprintf("%s: %v%s", end.Decision, end.Fields["reason"], callBehind(story, id)), true
	case status >= 500:
		return fmt.Sprintf("the target answered %v%s", status, callBehind(story, id)), true
	case end.Fields["late"] == true:
		from, to, _ := longestStep(story, id)
		if from == nil {
			return "", false
		}
		return fmt.Sprintf("late: most time between %s and %s", from.Decision, to.Decision), true
	}
	return "", true
}

// processes are the lives of the hosts' daemons, as their logs show them.
type processes struct {
	// starts are the times at which processes of a log started.
	starts map[string][]time.Time
	// ends are the times of the last lines.
	ends map[string]time.Time
}

// ingressDied reports whether the process that made a request's attempts ended
// without writing the request's end: another was started afterwards, or its log
// ends while the request was under way.
func ingressDied(story []Line, id string, p processes) (cause string, ok bool) {
	offered := last(story, id, "offered")
	if offered == nil {
		return "", false
	}
	for _, start := range p.starts[offered.Source] {
		if start.After(offered.At) {
			return "the ingress's process ended first", true
		}
	}
	if !p.ends[offered.Source].After(story[len(story)-1].At) {
		return "the ingress's log ends first", true
	}
	return "", false
}

// callBehind names the failed call that made a request fail.
func callBehind(story []Line, id string) string {
	call := failedCall(story, id)
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
		return errors.New("no decision about any request was found; pass the hosts' logs")
	}
	ended := 0
	for _, c := range s.Causes {
		ended += c.Count
		if _, err := fmt.Fprintf(w, "%6d  %-64s for example %s\n", c.Count, c.Cause, c.Example); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\n%d requests and calls, %d refused, failed, late or left, %d without a cause in the logs, %d lines left out by the hosts\n",
		s.Requests, ended+len(s.Unexplained), len(s.Unexplained), s.Omitted)
	for _, id := range s.Unexplained[:min(len(s.Unexplained), maxListed)] {
		if err == nil {
			_, err = fmt.Fprintf(w, "  without a cause: %s\n", id)
		}
	}
	return err
}

// maxListed is how many unexplained requests are named.
const maxListed = 20
