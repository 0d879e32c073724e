package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a play: what was sent, answered and run, and what happened.
type record struct {
	mu    sync.Mutex
	begun time.Time
	f     *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// at returns a time as seconds since the beginning.
func (r *record) at(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

// line writes a line about a moment.
func (r *record) line(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

// note writes a line about now, also to standard output.
func (r *record) note(format string, args ...any) {
	now := time.Now()
	r.line(now, format, args...)
	fmt.Printf("%9.3f  %s\n", r.at(now), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

// answers writes what was sent and answered, and what was run.
func (r *record) answers(sent []*sentRequest, runs []run) {
	for _, s := range sent {
		r.line(s.sent, "sent %s to %s; answered at %.3f: status %d, signed %t, error %v", s.attempt, s.host, r.at(s.done), s.result.Status, s.result.Signed, s.err)
	}
	for _, x := range runs {
		r.line(x.At, "run %s by %s, tenant %q, caller %q", x.Attempt, x.worker, x.Workspace, x.Caller)
	}
}
