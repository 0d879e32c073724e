package config

import (
	"fmt"
	"slices"
	"strings"
)

// position is a place in a parsed file; the zero value is unknown.
type position struct{ line, column int32 }

// source is where a section was read.
type source struct {
	file string
	pos  position
}

// Problem is one fault of the document.
type Problem struct {
	// File, Line and Column are the place, counted from 1. They are zero when
	// the section was not read from a file.
	File   string
	Line   int
	Column int
	// Section names the section, when known.
	Section string
	// Message says what is wrong.
	Message string
	// Remedy says what to do.
	Remedy string
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" && p.Line > 0 {
		fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	} else if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "section %s: ", p.Section)
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		b.WriteString("; " + p.Remedy)
	}
	return b.String()
}

// Problems lists all faults of a document. A document with any is not applied.
type Problems []Problem

// Error implements error with a line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the problems in order of place as an error, or nil.
func (ps Problems) orNil() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return ps
}

// reporter collects problems of one section.
type reporter struct {
	file     string
	section  string
	problems *Problems
}

func (r reporter) report(pos position, remedy, format string, args ...any) {
	*r.problems = append(*r.problems, Problem{
		File:    r.file,
		Line:    int(pos.line),
		Column:  int(pos.column),
		Section: r.section,
		Message: fmt.Sprintf(format, args...),
		Remedy:  remedy,
	})
}
