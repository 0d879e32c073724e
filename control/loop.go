package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// eventQueueSize is the capacity of the loop's event queue.
const eventQueueSize = 1024

// ErrStopped is returned for events that arrive after the loop has ended.
var ErrStopped = errors.New("control loop stopped: the daemon is shutting down")

// Control is the control plane of a daemon.
type Control struct {
	opts    Options
	events  chan func(now time.Time, s *state)
	done    chan struct{}
	current atomic.Pointer[Snapshot]
	// catchUpRequests holds the peer to fetch configuration from next. While it
	// is full, further notices are dropped: gossip repeats them.
	catchUpRequests chan peerRevision
	// superseded is closed when a newer daemon claims this host.
	superseded chan struct{}
	stats      Stats
}

// peerRevision is a configuration revision and a peer that has it.
type peerRevision struct {
	host     string
	revision uint64
}

// state is owned by the loop goroutine.
type state struct {
	gossip *member.Gossip
	view   configstore.View
	table  tableState
	// restoredAt maps data centres to the time of their last change from out to
	// in.
	restoredAt map[string]time.Time
	leaving    bool
	superseded bool
	// highestRevision is the highest revision that a peer has reported, and
	// behindSince when it first exceeded the one in force here.
	highestRevision uint64
	behindSince     time.Time
	// joined is set once the membership has been received from a peer, or once
	// the table shows no other member.
	joined bool
	// published identifies the inputs of the current view, and publishedAt is
	// when it was built.
	published   viewKey
	publishedAt time.Time
}

// New returns a Control with an empty snapshot.
func New(o Options) *Control {
	c := &Control{
		opts:            o,
		events:          make(chan func(time.Time, *state), eventQueueSize),
		done:            make(chan struct{}),
		catchUpRequests: make(chan peerRevision, 1),
		superseded:      make(chan struct{}),
	}
	c.current.Store(&Snapshot{Self: o.Self, UpToDate: false})
	return c
}

func (c *Control) Snapshot() *Snapshot { return c.current.Load() }

// Superseded returns a channel that is closed when a newer daemon claims this
// host.
func (c *Control) Superseded() <-chan struct{} { return c.superseded }

// RunLoop runs the loop until ctx ends. It must be called only once.
func (c *Control) RunLoop(ctx context.Context) error {
	defer close(c.done)
	s := &state{
		gossip:     member.New(time.Now(), c.opts.Self, member.Options{}),
		restoredAt: make(map[string]time.Time),
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event(time.Now(), s)
		case <-ticker.C:
			c.advance(time.Now(), s)
		}
		c.publish(time.Now(), s)
	}
}

// advance runs the periodic work: it expires gossip state, updates the daemon's
// own record and checks whether another daemon has claimed this host.
func (c *Control) advance(now time.Time, s *state) {
	s.gossip.Tick(now)
	targets := c.opts.Targets()
	s.gossip.Update(now, func(d *member.Daemon) {
		d.Targets = targets
		d.Revision = s.revision()
		d.TableOK = s.table.readsTable(now)
		if s.leaving && d.State == member.StateServing {
			d.State = member.StateLeaving
		}
	})
	if conflicting, ok := s.gossip.ConflictingIncarnation(); ok && !s.superseded {
		s.superseded = true
		c.opts.Logger.Error("another daemon has taken over this host; stopping", "incarnation", conflicting)
		close(c.superseded)
	}
}

// do queues an event for the loop and waits until it has run.
func (c *Control) do(ctx context.Context, event func(now time.Time, s *state)) error {
	ran := make(chan struct{})
	wrapped := func(now time.Time, s *state) {
		defer close(ran)
		event(now, s)
	}
	select {
	case c.events <- wrapped:
	case <-c.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return ErrStopped
	}
}

// MarkLeaving marks the daemon's record as leaving at a planned stop.
func (c *Control) MarkLeaving(ctx context.Context) error {
	return c.do(ctx, func(now time.Time, s *state) {
		s.leaving = true
		c.advance(now, s)
	})
}

// MarkLeft marks the daemon's record as left and removes its targets.
func (c *Control) MarkLeft(ctx context.Context) error {
	return c.do(ctx, func(now time.Time, s *state) {
		s.gossip.Update(now, func(d *member.Daemon) {
			d.State = member.StateLeft
			d.Targets = nil
		})
	})
}

// ReportRevision reports the revision of a peer and requests a fetch from that
// peer if it is ahead. It never blocks.
func (c *Control) ReportRevision(host string, revision uint64) {
	snap := c.current.Load()
	if snap.Config != nil && revision <= snap.Config.Revision() || revision == 0 {
		return
	}
	select {
	case c.catchUpRequests <- peerRevision{host, revision}:
	default:
	}
}

// sleep waits for d with jitter. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	jitter := 1 + jitterShare*(rand.Float64()-0.5)
	return pause.For(ctx, time.Duration(float64(d)*jitter))
}
