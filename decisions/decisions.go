// Package decisions writes a structured line for each decision that touches a
// request or changes what the process believes.
//
// Lines are JSON objects with the keys time, level and msg (the decision) and
// then those of the decision; docs/OPERATIONS.md lists them. Writing never
// waits: lines go through a bounded buffer to one goroutine, each kind of
// decision has a rate, and what is left out is counted and reported.
package decisions

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// bufferedLines bounds the lines that wait for a slow reader; at a few
	// hundred bytes each they take about a megabyte.
	bufferedLines = 4096
	// ratePerKind is how many lines a second each kind of decision may write:
	// twice the requests a second of a host at the design size.
	ratePerKind = 250
	// burstPerKind is how many may come at once above the rate.
	burstPerKind = 500
	// reportEvery is how often left-out lines are reported.
	reportEvery = 5 * time.Second
)

// Log writes decisions. Use New and Run.
type Log struct {
	lines  chan []byte
	out    io.Writer
	logger *log.Logger
	// decided writes decisions, of which there are many; its encoder takes a
	// fraction of the other's time.
	decided *slog.Logger
	dropped atomic.Int64

	mu    sync.Mutex
	kinds map[string]*pace
}

// pace bounds one kind of decision.
type pace struct {
	tokens  float64
	at      time.Time
	omitted int64
}

// New returns a log that writes to out.
func New(out io.Writer) *Log {
	l := &Log{lines: make(chan []byte, bufferedLines), out: out, kinds: map[string]*pace{}}
	l.logger = log.NewWithOptions(buffer{l}, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Level:           log.InfoLevel,
	})
	l.decided = slog.New(slog.NewJSONHandler(buffer{l}, nil))
	return l
}

// buffer takes lines without waiting.
type buffer struct{ l *Log }

// Write implements io.Writer. It never fails: a line without room is counted.
func (b buffer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.l.lines <- line:
	default:
		b.l.dropped.Add(1)
	}
	return len(p), nil
}

// Logger is the underlying logger, for lines without a rate: start, stop,
// dependencies lost and regained.
func (l *Log) Logger() *log.Logger { return l.logger }

// Decide writes a line for a decision, unless its kind is over its rate.
func (l *Log) Decide(kind string, keyvals ...any) {
	if l.admit(kind, time.Now()) {
		l.decided.Info(kind, keyvals...)
	}
}

func (l *Log) admit(kind string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.kinds[kind]
	if p == nil {
		p = &pace{tokens: burstPerKind, at: now}
		l.kinds[kind] = p
	}
	p.tokens = min(p.tokens+ratePerKind*now.Sub(p.at).Seconds(), burstPerKind)
	p.at = now
	if p.tokens < 1 {
		p.omitted++
		return false
	}
	p.tokens--
	return true
}

// Dropped is the number of lines that found no room.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends, then what is left in the buffer.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-report.C:
			l.reportOmitted()
		case <-ctx.Done():
			l.Flush()
			return nil
		}
	}
}

// Flush writes what is in the buffer.
func (l *Log) Flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Log) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1) // nobody is left to be told
	}
}

func (l *Log) reportOmitted() {
	if n := l.dropped.Swap(0); n > 0 {
		l.logger.Warn("log lines dropped", "count", n, "why", "the reader of standard output is slow")
	}
	l.mu.Lock()
	omitted := map[string]int64{}
	for kind, p := range l.kinds {
		if p.omitted > 0 {
			omitted[kind] = p.omitted
			p.omitted = 0
		}
	}
	l.mu.Unlock()
	for kind, n := range omitted {
		l.logger.Warn("log lines omitted", "kind", kind, "count", n, "why", "over the rate of their kind")
	}
}
