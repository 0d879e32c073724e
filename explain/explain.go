// Package explain reconstructs the timeline of a request, and the cause of its
// failure or delay, from the decision logs of many hosts.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one decision of a log.
type Line struct {
	// Source is the name of the log, or the host that prefixes the line.
	Source string
	// At is the wall clock time of the host; clocks of hosts may differ slightly.
	At       time.Time
	Decision string
	// Fields are the inputs and the outcome of the decision, as logged.
	Fields map[string]any
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Keys of a log line that are not fields of the decision.
const (
	keyTime     = "time"
	keyLevel    = "level"
	keyDecision = "msg"
	keyID       = "id"
)

// Read returns the decisions of a log about the request id and about the calls made
// for it, whose ids have the prefix id and a dot. The last word before the first
// brace of a line is taken as its source. Lines without a decision are skipped.
func Read(source string, r io.Reader, id string) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		if !strings.Contains(text, id) {
			continue
		}
		if line, ok := parse(source, text); ok && concerns(line, id) {
			out = append(out, line)
		}
	}
	return out, errors.Wrapf(sc.Err(), "read %s", source)
}

func parse(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	stamp, _ := fields[keyTime].(string)
	decision, _ := fields[keyDecision].(string)
	at, err := time.Parse(time.RFC3339, stamp)
	if err != nil || decision == "" {
		return Line{}, false
	}
	for _, key := range []string{keyTime, keyLevel, keyDecision} {
		delete(fields, key)
	}
	return Line{Source: source, At: at, Decision: decision, Fields: fields}, true
}

func concerns(l Line, id string) bool {
	s, _ := l.Fields[keyID].(string)
	return s == id || strings.HasPrefix(s, id+".")
}

// WriteTimeline writes the decisions in chronological order, followed by the
// cause of the request's outcome as far as the decisions show it.
func WriteTimeline(w io.Writer, lines []Line, id string) error {
	if len(lines) == 0 {
		return errors.Errorf("no decision about %q found; search the logs of more hosts, and look for \"log lines omitted\" or \"log lines dropped\" in them", id)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first := lines[0].At
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%7.3f s  %-24s %-16s %s\n", l.At.Sub(first).Seconds(), l.Source, l.Decision, describe(l, id)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\n%s\n", Cause(lines, id))
	return err
}

func describe(l Line, id string) string {
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var parts []string
	for _, k := range keys {
		if k == keyID && l.Fields[k] == id {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", k, l.Fields[k]))
	}
	return strings.Join(parts, " ")
}

// endDecisions are the decisions that end a request.
var endDecisions = []string{"answered", "failed", "refused", "caller-left"}

// Cause describes why the request ended as it did.
func Cause(lines []Line, id string) string {
	end := lastDecision(lines, id, endDecisions...)
	if end == nil {
		return "cause: not in these logs; the ingress logged no outcome, so its log is missing or its host has died"
	}
	switch end.Decision {
	case "refused", "failed":
		return fmt.Sprintf("cause: %v, run state %v: %v%s", end.Fields["reason"], end.Fields["run"], end.Fields["detail"], failureDetail(lines, id))
	case "caller-left":
		return "cause: the caller left before the answer"
	}
	status, _ := end.Fields["status"].(float64)
	switch {
	case status >= 500:
		return fmt.Sprintf("cause: target %v answered %v%s", end.Fields["target"], status, failureDetail(lines, id))
	case end.Fields["late"] == true:
		return "cause of the delay" + slowestStep(lines, id)
	}
	return fmt.Sprintf("answered %v by target %v", status, end.Fields["target"])
}

func lastDecision(lines []Line, id string, decisions ...string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Fields[keyID] == id && slices.Contains(decisions, lines[i].Decision) {
			return &lines[i]
		}
	}
	return nil
}

// failureDetail describes what targets did with the request, or the call that
// failed.
func failureDetail(lines []Line, id string) string {
	if l := failedCall(lines, id); l != nil {
		call, _ := l.Fields[keyID].(string)
		return fmt.Sprintf("\n  because its call %s ended with %v: %v", call, l.Fields["status"], strings.TrimPrefix(Cause(lines, call), "cause: "))
	}
	var details []string
	for _, l := range lines {
		if l.Fields[keyID] == id && (l.Decision == "target-failed" || l.Decision == "target-answered") {
			details = append(details, fmt.Sprintf("\n  target %v had it for %v ms, gray with probability %.2f afterwards (%v)",
				l.Fields["target"], l.Fields["took_ms"], l.Fields["gray"], l.Decision))
		}
	}
	return strings.Join(details, "")
}

// failedCall returns the final decision of the first failed call of a request.
func failedCall(lines []Line, id string) *Line {
	for i, l := range lines {
		call, _ := l.Fields[keyID].(string)
		status, _ := l.Fields["status"].(float64)
		if strings.HasPrefix(call, id+".") && (l.Decision == "failed" || l.Decision == "refused" || l.Decision == "answered" && status >= 500) {
			return &lines[i]
		}
	}
	return nil
}

// slowestStep describes the longest step of a late request.
func slowestStep(lines []Line, id string) string {
	step := ""
	if from, to, d := longestStep(lines, id); from != nil {
		step = fmt.Sprintf(": %s passed between %s at %s and %s at %s", d, from.Decision, from.Source, to.Decision, to.Source)
	}
	return step + failureDetail(lines, id)
}

// longestStep returns the two consecutive decisions about a request with the most
// time between them, or nil if there are fewer than two decisions.
func longestStep(lines []Line, id string) (from, to *Line, took time.Duration) {
	var previous *Line
	for i := range lines {
		if lines[i].Fields[keyID] != id {
			continue
		}
		if previous != nil {
			if d := lines[i].At.Sub(previous.At); from == nil || d > took {
				from, to, took = previous, &lines[i], d
			}
		}
		previous = &lines[i]
	}
	return from, to, took
}
