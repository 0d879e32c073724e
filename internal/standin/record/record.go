// Package record keeps what a stand-in target saw of each request. Records go
// to an append-only file of JSON lines before the target acts on the request,
// so they outlive a target that crashes.
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

// Outcome says how a run ended.
type Outcome string

const (
	// OutcomeUnfinished is the outcome until the run ends.
	OutcomeUnfinished Outcome = ""
	// OutcomeAnswered sent a whole answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeError answered with an error status after doing the work.
	OutcomeError Outcome = "error"
	// OutcomeShed refused the request without doing any work.
	OutcomeShed Outcome = "shed"
	// OutcomeTruncated cut the answer short.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeCancelled saw the connection end before the answer.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeCrashed ended the target.
	OutcomeCrashed Outcome = "crashed"
)

// Run is one request at one target.
type Run struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"inc"`
	// Seq numbers the runs of an incarnation.
	Seq       int    `json:"seq"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Headers lists the names of all header fields.
	Headers []string `json:"headers"`
	// KeySeen reports that a known secret stood anywhere in the request.
	KeySeen bool      `json:"key_seen"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	// Concurrent counts the requests at the target, this one included.
	Concurrent int `json:"concurrent"`
	// Bears is how many the target could bear then; 0 means all slots.
	Bears   int     `json:"bears"`
	Outcome Outcome `json:"outcome"`
}

// Log is an append-only file of runs. Each run is written when it starts and
// again when it ends.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the log at path, creating it when missing.
func Open(path string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open run log; choose a writable path")
	}
	return &Log{file: f}, nil
}

// Write appends one state of a run.
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

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

type runKey struct {
	incarnation uint64
	seq         int
}

// Read returns the last state of each run in the log at path, in order of
// start. A missing file holds no runs; a last line cut short is left out.
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
