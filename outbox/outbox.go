// Package outbox passes messages to peers until each of them has answered.
//
// It answers the loss of single messages and of single receivers: a host that is cut off
// or restarts while it is told a fact learns it as soon as it can be reached again. Each
// peer has a queue of its own, which keeps the order of the messages; one that does not
// answer delays no other, and is asked again at intervals with the oldest message alone.
//
// Trade-offs: a message is delivered at least once, so that receivers must tolerate
// repeats. Queues are bounded in length and age and are lost with the process: a receiver
// that needs older facts asks for them when it starts, and a sender that must not lose a
// fact waits until enough peers have answered. Gossip would need fewer messages from the
// sender, and more in all; messages to every peer are few here, as they follow rare events.
package outbox

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
)

// Options configure an Outbox. Zero durations and lengths take the documented defaults.
type Options[M any] struct {
	// Send sends a message to a peer and returns nil once the peer has answered.
	Send func(ctx context.Context, peer string, m M) error
	// Listed reports whether a peer still exists. The queue of one that does not is dropped.
	Listed func(peer string) bool
	// OnDropped is called for each message that a peer has not received in time. It may be nil.
	OnDropped func(peer string, m M)
	// RetryInterval is the pause after a failure. Default 500 ms.
	RetryInterval time.Duration
	// Retention is how long a message is retried. Default 30 s, which is longer than hosts
	// are cut off or restarting.
	Retention time.Duration
	// MaxQueue bounds the messages for one peer. The oldest is dropped first. Default 256.
	MaxQueue int
}

const (
	defaultRetryInterval = 500 * time.Millisecond
	defaultRetention     = 30 * time.Second
	defaultMaxQueue      = 256
)

// Outbox holds the messages that peers have not answered. It is safe for concurrent use.
type Outbox[M any] struct {
	opts Options[M]
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	queues map[string][]*item[M]
}

type item[M any] struct {
	message  M
	expires  time.Time
	answered func(peer string)
}

// New returns an empty outbox.
func New[M any](opts Options[M]) *Outbox[M] {
	if opts.RetryInterval == 0 {
		opts.RetryInterval = defaultRetryInterval
	}
	if opts.Retention == 0 {
		opts.Retention = defaultRetention
	}
	if opts.MaxQueue == 0 {
		opts.MaxQueue = defaultMaxQueue
	}
	if opts.OnDropped == nil {
		opts.OnDropped = func(string, M) {}
	}
	o := &Outbox[M]{opts: opts, queues: map[string][]*item[M]{}}
	o.ctx, o.stop = context.WithCancel(context.Background())
	return o
}

// Close ends all attempts to send.
func (o *Outbox[M]) Close() { o.stop() }

// Put sends a message to peers. It does not block. answered, if not nil, is called for each
// peer that has answered.
func (o *Outbox[M]) Put(peers []string, m M, answered func(peer string)) {
	it := &item[M]{message: m, expires: time.Now().Add(o.opts.Retention), answered: answered}
	for _, peer := range peers {
		o.put(peer, it)
	}
}

func (o *Outbox[M]) put(peer string, it *item[M]) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, delivering := o.queues[peer]
	queue = append(queue, it)
	if excess := len(queue) - o.opts.MaxQueue; excess > 0 {
		o.drop(peer, queue[:excess])
		queue = queue[excess:]
	}
	o.queues[peer] = queue
	if !delivering {
		go o.deliver(peer)
	}
}

func (o *Outbox[M]) drop(peer string, items []*item[M]) {
	for _, it := range items {
		o.opts.OnDropped(peer, it.message)
	}
}

// deliver sends the messages for a peer until none is left.
func (o *Outbox[M]) deliver(peer string) {
	for {
		it := o.first(peer)
		if it == nil {
			return
		}
		if err := o.opts.Send(o.ctx, peer, it.message); err != nil {
			pause.For(o.ctx, o.opts.RetryInterval)
			continue
		}
		o.remove(peer, it)
		if it.answered != nil {
			it.answered(peer)
		}
	}
}

// first returns the oldest message for a peer that has not expired. If there is none, it
// removes the queue and returns nil.
func (o *Outbox[M]) first(peer string) *item[M] {
	listed := o.opts.Listed(peer)
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, now := o.queues[peer], time.Now()
	for len(queue) > 0 && (now.After(queue[0].expires) || !listed || o.ctx.Err() != nil) {
		o.drop(peer, queue[:1])
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(o.queues, peer)
		return nil
	}
	o.queues[peer] = queue
	return queue[0]
}

// remove removes a message, unless it has been dropped meanwhile.
func (o *Outbox[M]) remove(peer string, it *item[M]) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if queue := o.queues[peer]; len(queue) > 0 && queue[0] == it {
		o.queues[peer] = queue[1:]
	}
}
