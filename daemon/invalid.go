package daemon

import (
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// invalidLogInterval is the least time between two log lines about invalid answers of one kind
// of sender.
const invalidLogInterval = time.Second

// InvalidAnswers counts and logs the answers that were refused as invalid HTTP/1.1.
type InvalidAnswers struct {
	targets, hosts, store invalidFrom
}

// InvalidCounts are the counters of InvalidAnswers by sender.
type InvalidCounts struct {
	Targets int64 `json:"targets"`
	Hosts   int64 `json:"hosts"`
	Store   int64 `json:"store"`
}

// invalidFrom records the answers of one kind of sender.
type invalidFrom struct {
	name   string
	logger *log.Logger
	count  atomic.Int64
	line   rate.Sometimes
}

// NewInvalidAnswers returns an InvalidAnswers that logs to logger.
func NewInvalidAnswers(logger *log.Logger) *InvalidAnswers {
	a := &InvalidAnswers{}
	for name, from := range map[string]*invalidFrom{"target": &a.targets, "host": &a.hosts, "store": &a.store} {
		from.name, from.logger, from.line.Interval = name, logger, invalidLogInterval
	}
	return a
}

// Store records an answer of the platform's store at addr.
func (a *InvalidAnswers) Store(addr string, v *respsyntax.Violation) { a.store.record(addr, v) }

// Counts returns the current counters.
func (a *InvalidAnswers) Counts() InvalidCounts {
	return InvalidCounts{Targets: a.targets.count.Load(), Hosts: a.hosts.count.Load(), Store: a.store.count.Load()}
}

func (f *invalidFrom) record(addr string, v *respsyntax.Violation) {
	total := f.count.Add(1)
	f.line.Do(func() {
		f.logger.Warn("invalid answer refused", "from", f.name, "address", addr, "rule", v.Rule, "source", v.Rule.Source(),
			"bytes", v.Quoted(), "offset", v.Offset, "total", total)
	})
}
