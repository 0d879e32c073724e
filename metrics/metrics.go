// Package metrics keeps counters, gauges and latency histograms and writes them as
// text, one "name value" pair per line.
package metrics

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 2
)

// quantiles are the percentiles reported for each histogram.
var quantiles = []float64{50, 90, 99, 99.9}

// Registry holds metrics by name. It is safe for concurrent use.
type Registry struct {
	counters   sync.Map // string to *atomic.Int64
	histograms sync.Map // string to *histogram
	mu         sync.Mutex
	gauges     map[string]func() int64
}

type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// New returns an empty registry.
func New() *Registry { return &Registry{gauges: map[string]func() int64{}} }

// Add adds n to a counter, which it creates on first use.
func (r *Registry) Add(name string, n int64) {
	v, ok := r.counters.Load(name)
	if !ok {
		v, _ = r.counters.LoadOrStore(name, new(atomic.Int64))
	}
	v.(*atomic.Int64).Add(n)
}

// Gauge registers a function that returns the value of a gauge when metrics are
// written.
func (r *Registry) Gauge(name string, value func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = value
}

// Observe records a latency in a histogram. Latencies above two minutes are recorded
// as two minutes.
func (r *Registry) Observe(name string, d time.Duration) {
	v, ok := r.histograms.Load(name)
	if !ok {
		v, _ = r.histograms.LoadOrStore(name, &histogram{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)})
	}
	h := v.(*histogram)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) //nolint:errcheck // the value is in range
}

// WriteText writes all metrics, sorted by name.
func (r *Registry) WriteText(w io.Writer) error {
	lines := r.lines()
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

func (r *Registry) lines() []string {
	var lines []string
	r.counters.Range(func(name, v any) bool {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, v.(*atomic.Int64).Load()))
		return true
	})
	r.mu.Lock()
	for name, value := range r.gauges {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, value()))
	}
	r.mu.Unlock()
	r.histograms.Range(func(name, v any) bool {
		h := v.(*histogram)
		h.mu.Lock()
		defer h.mu.Unlock()
		lines = append(lines, fmt.Sprintf("%s_count %d\n", name, h.h.TotalCount()))
		for _, q := range quantiles {
			lines = append(lines, fmt.Sprintf("%s_p%v_us %d\n", name, q, h.h.ValueAtQuantile(q)))
		}
		return true
	})
	return lines
}
