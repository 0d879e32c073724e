package config

import (
	"fmt"
	"slices"
	"strings"
)

// position is a line and column in a parsed file; the zero value means unknown.
type position struct{ line, column int32 }

// source is the file and position that a section was parsed from.
type source struct {
	file string
	pos  position
}

// Problem is one syntax or validation error in the document.
type Problem struct {
	// File, Line and Column locate the error; lines and columns count from 1.
	// They are zero if the section was not parsed from a file.
	File   string
	Line   int
	Column int
	// Section is the name of the section, if known.
	Section string
	// Message describes the error.
	Message string
	// Remedy says how to correct the error.
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

// Problems lists all errors in a document. A document with errors is not applied.
type Problems []Problem

// Error implements error and returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil sorts the problems by file, line and column and returns them as an
// error, or nil if there are none.
func (ps Problems) errorOrNil() error {
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

// reporter collects the problems of one section.
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
