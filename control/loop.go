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

// eventQueueSize is how many events may wait for the loop.
const eventQueueSize = 1024

// ErrStopped reports that the loop has ended.
var ErrStopped = errors.New("control has stopped; the daemon is shutting down")

// Control is the control side of a daemon.
type Control struct {
	opts    Options
	events  chan func(now time.Time, s *state)
	done    chan struct{}
	current atomic.Pointer[Snapshot]
	// catchUpRequests takes hosts that are ahead of the own revision.
	catchUpRequests chan peerRevision
	// superseded is closed when a newer daemon claims the own host.
	superseded chan struct{}
	stats      Stats
}

// peerRevision names a peer with a higher revision.
type peerRevision struct {
	host     string
	revision uint64
}

// state is owned by the loop's goroutine.
type state struct {
	gossip *member.Gossip
	view   configstore.View
	table  tableState
	// readmitted holds when data centres came back.
	readmitted map[string]time.Time
	leaving    bool
	superseded bool
	// highestRevision is the highest revision heard of, aheadSince when it rose above
	// the own one.
	highestRevision uint64
	behindSince     time.Time
	// joined is set once other members are known, or that there are none.
	joined bool
	// published identifies what the current view was built from, publishedAt
	// when.
	published   viewKey
	publishedAt time.Time
}

// New returns a control whose snapshot knows nothing yet.
func New(o Options) *Control {
	c := &Control{
		opts:            o,
		events:          make(chan func(time.Time, *state), eventQueueSize),
		done:            make(chan struct{}),
		catchUpRequests: make(chan peerRevision, 1),
		superseded:      make(chan struct{}),
	}
	c.current.Store(&Snapshot{Self: o.Self, InTouch: false})
	return c
}

// Snapshot returns the current snapshot.
func (c *Control) Snapshot() *Snapshot { return c.current.Load() }

// Superseded is closed when a newer daemon claims this daemon's host.
func (c *Control) Superseded() <-chan struct{} { return c.superseded }

// RunLoop runs the loop until ctx ends. It is run once.
func (c *Control) RunLoop(ctx context.Context) error {
	defer close(c.done)
	s := &state{
		gossip:     member.New(time.Now(), c.opts.Self, member.Options{}),
		readmitted: make(map[string]time.Time),
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

// advance does the work of passing time.
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
	if conflicting, ok := s.gossip.Rival(); ok && !s.superseded {
		s.superseded = true
		c.opts.Logger.Error("another daemon has taken over this host; stopping", "incarnation", conflicting)
		close(c.superseded)
	}
}

// do runs an event in the loop and waits for it.
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

// Leave announces the planned stop to the fleet.
func (c *Control) Leave(ctx context.Context) error {
	return c.do(ctx, func(now time.Time, s *state) {
		s.leaving = true
		c.advance(now, s)
	})
}

// Left marks the own record as stopped.
func (c *Control) Left(ctx context.Context) error {
	return c.do(ctx, func(now time.Time, s *state) {
		s.gossip.Update(now, func(d *member.Daemon) {
			d.State = member.StateLeft
			d.Targets = nil
		})
	})
}

// Behind tells that host has the given revision. It never blocks.
func (c *Control) Behind(host string, revision uint64) {
	snap := c.current.Load()
	if snap.Config != nil && revision <= snap.Config.Revision() || revision == 0 {
		return
	}
	select {
	case c.catchUpRequests <- peerRevision{host, revision}:
	default:
	}
}

// sleep waits for about d, or reports that ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	jitter := 1 + jitterShare*(rand.Float64()-0.5)
	return pause.For(ctx, time.Duration(float64(d)*jitter))
}
