// Package record stores a record of each request that a fake target received.
// Records are appended to a JSON Lines file before the target processes the
// request, so that they survive a crash of the target.
package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Outcome is how a run ended.
type Outcome string

const (
	// OutcomeUnfinished means that the run has not ended.
	OutcomeUnfinished Outcome = ""
	// OutcomeAnswered means that the complete response was sent.
	OutcomeAnswered Outcome = "answered"
	// OutcomeError means that an error status was sent after the work was done.
	OutcomeError Outcome = "error"
	// OutcomeShed means that the request was rejected before any work was done.
	OutcomeShed Outcome = "shed"
	// OutcomeTruncated means that the response was truncated.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeCancelled means that the connection ended before the response was
	// sent.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeCrashed means that the request crashed the target.
	OutcomeCrashed Outcome = "crashed"
)

// Run is one request received by one target.
type Run struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"inc"`
	// Seq numbers the runs of an incarnation, starting at 0.
	Seq       int    `json:"seq"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Headers holds the names of all header fields, sorted.
	Headers []string `json:"headers"`
	// KeySeen reports whether the request contained a known secret.
	KeySeen bool      `json:"key_seen"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	// Concurrent is the number of requests in progress at the target, including
	// this one.
	Concurrent int `json:"concurrent"`
	// ConcurrencyLimit is the concurrency limit of the target at the time; 0 means
	// none.
	ConcurrencyLimit int     `json:"bears"`
	Outcome          Outcome `json:"outcome"`
}

// Log is an append-only file of runs. A run is written when it starts and again
// when it ends.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the log at path and creates it if necessary.
func Open(path string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open run log; choose a writable path")
	}
	return &Log{file: f}, nil
}

// Write appends the current state of a run.
func (l *Log) Write(r Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "marshal run")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(line, '\n'))
	return errors.Wrap(err, "write run log")
}

func (l *Log) Close() error { return l.file.Close() }

type runKey struct {
	incarnation uint64
	seq         int
}

// Read returns the latest state of each run in the log at path, in start order.
// A missing file holds no runs; lines that are not valid JSON, such as an
// incomplete last line, are skipped.
func Read(path string) ([]Run, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read run log")
	}
	var runs []Run
	index := make(map[runKey]int)
	scan := bufio.NewScanner(bytes.NewReader(data))
	for scan.Scan() {
		var r Run
		if json.Unmarshal(scan.Bytes(), &r) != nil {
			continue
		}
		key := runKey{r.Incarnation, r.Seq}
		if i, ok := index[key]; ok {
			runs[i] = r
			continue
		}
		index[key] = len(runs)
		runs = append(runs, r)
	}
	return runs, errors.Wrap(scan.Err(), "scan run log")
}
