package gate

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
)

const (
	// maxReplayBody is the largest response body that is retained.
	maxReplayBody = 32 << 10 // bytes
	// replayEntryOverhead is the size counted for a retained response besides
	// its body.
	replayEntryOverhead = 2 << 10 // bytes
	// maxBufferTime bounds reading a slowly arriving body into memory; after
	// that it is streamed instead of retained.
	maxBufferTime = 1 * time.Second

	// DefaultReplayTTL and DefaultReplayMaxBytes bound the retained responses.
	DefaultReplayTTL      = 15 * time.Second
	DefaultReplayMaxBytes = 4 << 20
)

// replayEntry is a non-idempotent attempt and, once finished, its result. All
// fields except done are guarded by the gate's lock.
type replayEntry struct {
	id    wire.ID
	epoch wire.Epoch
	// queueCtx governs the wait for a slot; cancelQueue cancels it.
	queueCtx    context.Context
	cancelQueue context.CancelFunc
	waiters     int
	// done is closed once the fields below are set.
	done       chan struct{}
	finishedAt time.Time
	refusal    *wire.Refusal
	response   *wire.Response // its body is in the field body
	body       []byte
	stream     *wire.Response // too large to retain; passed to the first caller
}

func newReplayEntry(att wire.Attempt) *replayEntry {
	entry := &replayEntry{id: att.ID, epoch: att.Epoch, done: make(chan struct{})}
	entry.queueCtx, entry.cancelQueue = context.WithCancel(context.Background())
	return entry
}

func (e *replayEntry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *replayEntry) size() int { return len(e.body) + replayEntryOverhead }

// result returns the result for one caller.
func (e *replayEntry) result() (*wire.Response, *wire.Refusal) {
	switch {
	case e.refusal != nil:
		return nil, e.refusal
	case e.stream != nil:
		answer := e.stream
		e.stream = nil
		return answer, nil
	case e.response == nil:
		return nil, wire.RefuseUnknown(wire.ReasonDuplicateAttempt, "%s", errNotRetained)
	}
	answer := *e.response
	answer.Header = &fasthttp.ResponseHeader{}
	e.response.Header.CopyTo(answer.Header)
	answer.Body = io.NopCloser(bytes.NewReader(e.body))
	return &answer, nil
}

// replayCache holds attempts in progress and retained results, bounded by age
// and size.
type replayCache struct {
	maxAge   time.Duration
	maxBytes int
	byID     map[wire.ID]*replayEntry
	finished []*replayEntry // oldest first
	bytes    int
}

// find returns the entry of an attempt, or nil.
func (c *replayCache) find(att wire.Attempt) *replayEntry {
	entry := c.byID[att.ID]
	if entry == nil || entry.epoch != att.Epoch {
		return nil
	}
	return entry
}

func (c *replayCache) add(entry *replayEntry) { c.byID[entry.id] = entry }

// finish retains the result of an attempt and wakes the callers waiting for it.
func (c *replayCache) finish(entry *replayEntry, now time.Time) {
	entry.finishedAt = now
	close(entry.done)
	c.finished = append(c.finished, entry)
	c.bytes += entry.size()
	c.expire(now)
}

// expire drops results that are too old or exceed the size bound, oldest first.
func (c *replayCache) expire(now time.Time) {
	expired := 0
	for _, entry := range c.finished {
		if c.bytes <= c.maxBytes && now.Sub(entry.finishedAt) <= c.maxAge {
			break
		}
		c.bytes -= entry.size()
		if c.byID[entry.id] == entry {
			delete(c.byID, entry.id)
		}
		expired++
	}
	clear(c.finished[:expired])
	c.finished = c.finished[expired:]
}
