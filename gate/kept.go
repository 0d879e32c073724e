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
	// maxKeptBody is the largest body that is kept.
	maxKeptBody = 32 << 10 // bytes
	// keptOverhead is counted for an answer besides its body.
	keptOverhead = 2 << 10 // bytes
	// keepPatience is how long a body that trickles in is read before it is
	// streamed instead of kept.
	keepPatience = 1 * time.Second

	// DefaultKeepFor and DefaultKeepBytes bound the kept answers.
	DefaultKeepFor   = 15 * time.Second
	DefaultKeepBytes = 4 << 20
)

// kept is an attempt that may not be repeated, and its answer when it has one.
// Apart from done, it is guarded by the gate's lock.
type kept struct {
	id    wire.ID
	epoch wire.Epoch
	// waiting governs the wait for a slot; giveUp ends it.
	waiting context.Context
	giveUp  context.CancelFunc
	waiters int
	// done is closed once the fields below are set.
	done    chan struct{}
	doneAt  time.Time
	refusal *wire.Refusal
	answer  *wire.Answer // its body is in data
	data    []byte
	stream  *wire.Answer // too large to keep; the first taker gets it
}

func newKept(att wire.Attempt) *kept {
	k := &kept{id: att.ID, epoch: att.Epoch, done: make(chan struct{})}
	k.waiting, k.giveUp = context.WithCancel(context.Background())
	return k
}

func (k *kept) isDone() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

func (k *kept) size() int { return len(k.data) + keptOverhead }

// take returns the outcome to one caller.
func (k *kept) take() (*wire.Answer, *wire.Refusal) {
	switch {
	case k.refusal != nil:
		return nil, k.refusal
	case k.stream != nil:
		answer := k.stream
		k.stream = nil
		return answer, nil
	case k.answer == nil:
		return nil, wire.RefuseUnknown(wire.ReasonDuplicateOrder, "%s", errNotKept)
	}
	answer := *k.answer
	answer.Header = &fasthttp.ResponseHeader{}
	k.answer.Header.CopyTo(answer.Header)
	answer.Body = io.NopCloser(bytes.NewReader(k.data))
	return &answer, nil
}

// keeper holds the kept answers, bounded by age and bytes.
type keeper struct {
	maxAge   time.Duration
	maxBytes int
	byID     map[wire.ID]*kept
	finished []*kept // oldest first
	bytes    int
}

// find returns what is kept of an attempt, or nil.
func (s *keeper) find(att wire.Attempt) *kept {
	k := s.byID[att.ID]
	if k == nil || k.epoch != att.Epoch {
		return nil
	}
	return k
}

func (s *keeper) add(k *kept) { s.byID[k.id] = k }

// finish ends the wait for an attempt and keeps what came of it.
func (s *keeper) finish(k *kept, now time.Time) {
	k.doneAt = now
	close(k.done)
	s.finished = append(s.finished, k)
	s.bytes += k.size()
	s.expire(now)
}

// expire drops what is too old or too much.
func (s *keeper) expire(now time.Time) {
	drop := 0
	for _, k := range s.finished {
		if s.bytes <= s.maxBytes && now.Sub(k.doneAt) <= s.maxAge {
			break
		}
		s.bytes -= k.size()
		if s.byID[k.id] == k {
			delete(s.byID, k.id)
		}
		drop++
	}
	clear(s.finished[:drop])
	s.finished = s.finished[drop:]
}
