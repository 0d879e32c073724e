package decisions

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestLinesAreJSONObjects(t *testing.T) {
	out := &syncBuffer{}
	l := New(out)
	l.Decide("offered", "id", "a1", "near", true, "gray", 0.25)
	l.Flush()
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out.text()), &line))
	assert.Equal(t, line["msg"], "offered")
	assert.Equal(t, line["id"], "a1")
	assert.Equal(t, line["near"], true)
}

// The process must not block when the reader of its standard output has stopped.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	l := New(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx) //nolint:errcheck // ends with ctx
	begun := time.Now()
	for range 3 * bufferSize {
		l.Logger().Warn("line")
	}
	assert.Assert(t, time.Since(begun) < 2*time.Second, "%s", time.Since(begun))
	assert.Assert(t, l.Dropped() >= bufferSize, "%d dropped", l.Dropped())
}

func TestEachKindIsRateLimited(t *testing.T) {
	out := &syncBuffer{}
	l := New(out)
	for range 2 * burstPerKind {
		l.Decide("often", "n", 1)
	}
	l.Decide("seldom", "n", 1)
	l.reportOmitted()
	l.Flush()
	often := strings.Count(out.text(), `"msg":"often"`)
	assert.Assert(t, often >= burstPerKind && often < burstPerKind+ratePerKind, "%d lines", often)
	assert.Equal(t, strings.Count(out.text(), `"msg":"seldom"`), 1)
	assert.Assert(t, strings.Contains(out.text(), "log lines omitted"))
}

func BenchmarkDecide(b *testing.B) {
	l := New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx) //nolint:errcheck // ends with ctx
	for b.Loop() {
		l.decisionLogger.Info("offered", "id", "9c41d07be2a35f68", "target", "i-7f3a91c2", "near", true, "gray", 0.12, "time_left_ms", 1200)
	}
}
