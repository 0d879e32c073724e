// Package decisions writes a structured log line for each decision that affects a
// request or changes the process's view of the fleet.
//
// Lines are JSON objects with the keys time, level and msg (the decision), followed
// by the fields of the decision, which docs/OPERATIONS.md lists. Logging never
// blocks: lines pass through a bounded buffer to one goroutine, each kind of
// decision is rate limited, and omitted lines are counted and reported.
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
	// bufferSize bounds the lines buffered for a slow reader; at a few hundred
	// bytes per line they take about one megabyte.
	bufferSize = 4096
	// ratePerKind is the rate limit of each kind of decision in lines per
	// second: twice the request rate of a host at the design capacity.
	ratePerKind = 250
	// burstPerKind is the burst allowed above the rate.
	burstPerKind = 500
	// reportInterval is the interval between reports of omitted lines.
	reportInterval = 5 * time.Second
)

// Log is an asynchronous log of decisions. Use New to create one and Run to write it.
type Log struct {
	lines  chan []byte
	out    io.Writer
	logger *log.Logger
	// decisionLogger writes the frequent decision lines; its encoder takes a
	// fraction of the time that logger's takes.
	decisionLogger *slog.Logger
	dropped        atomic.Int64

	mu    sync.Mutex
	kinds map[string]*kindLimiter
}

// kindLimiter is the token bucket of one kind of decision.
type kindLimiter struct {
	tokens    float64
	updatedAt time.Time
	omitted   int64
}

// New returns a log that writes to out.
func New(out io.Writer) *Log {
	l := &Log{lines: make(chan []byte, bufferSize), out: out, kinds: map[string]*kindLimiter{}}
	l.logger = log.NewWithOptions(bufferedWriter{l}, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Level:           log.InfoLevel,
	})
	l.decisionLogger = slog.New(slog.NewJSONHandler(bufferedWriter{l}, nil))
	return l
}

// bufferedWriter queues lines without blocking.
type bufferedWriter struct{ l *Log }

// Write implements io.Writer. It never fails: a line that does not fit into the
// buffer is dropped and counted.
func (b bufferedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.l.lines <- line:
	default:
		b.l.dropped.Add(1)
	}
	return len(p), nil
}

// Logger returns the underlying logger, for lines without a rate limit: start, stop,
// and the loss and recovery of dependencies.
func (l *Log) Logger() *log.Logger { return l.logger }

// Decide logs a decision, unless its kind exceeds its rate limit.
func (l *Log) Decide(kind string, keyvals ...any) {
	if l.allow(kind, time.Now()) {
		l.decisionLogger.Info(kind, keyvals...)
	}
}

func (l *Log) allow(kind string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.kinds[kind]
	if p == nil {
		p = &kindLimiter{tokens: burstPerKind, updatedAt: now}
		l.kinds[kind] = p
	}
	p.tokens = min(p.tokens+ratePerKind*now.Sub(p.updatedAt).Seconds(), burstPerKind)
	p.updatedAt = now
	if p.tokens < 1 {
		p.omitted++
		return false
	}
	p.tokens--
	return true
}

// Dropped returns the number of lines dropped since the last report.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends and then flushes the buffer.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
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

// Flush writes the buffered lines.
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
		l.dropped.Add(1) // the error itself cannot be logged
	}
}

func (l *Log) reportOmitted() {
	if n := l.dropped.Swap(0); n > 0 {
		l.logger.Warn("log lines dropped", "count", n, "why", "standard output is not read fast enough")
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
		l.logger.Warn("log lines omitted", "kind", kind, "count", n, "why", "rate limit of this kind exceeded")
	}
}
