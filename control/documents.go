package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/configstore"
)

// methodSince fetches the changes after a revision from a peer.
const methodSince = "config.since"

// maxDeltas bounds the changes in one message.
const maxDeltas = 200

// sinceRequest asks for what follows a revision.
type sinceRequest struct {
	Revision uint64 `json:"revision"`
}

// sinceReply is the peer's whole state: a peer keeps no log.
type sinceReply struct {
	State configstore.State `json:"state"`
}

func (c *Control) onSince(ctx context.Context, req sinceRequest) (sinceReply, error) {
	var reply sinceReply
	err := c.do(ctx, func(_ time.Time, s *state) {
		if s.doc.Revision > req.Revision {
			reply.State = s.doc
		}
	})
	return reply, err
}

// RunConfig keeps the configuration up to date.
func (c *Control) RunConfig(ctx context.Context) error {
	c.readTable(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-c.behind:
			c.catchUp(ctx, a)
		case <-after(ctx, headInterval):
			c.readTable(ctx)
		}
	}
}

func after(ctx context.Context, d time.Duration) <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		defer close(ch)
		sleep(ctx, d)
	}()
	return ch
}

// readTable reads the head and what follows the own revision.
func (c *Control) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	started := time.Now()
	c.stats.HeadReads.Add(1)
	head, err := c.opts.Store.Head(ctx)
	if err != nil {
		c.stats.HeadFailures.Add(1)
		return
	}
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // a stopped loop needs no news
		s.touch.read(started)
		s.noteAhead(now, head)
	})
	if head > c.revision() {
		c.fetchTable(ctx)
	}
}

func (c *Control) revision() uint64 {
	snap := c.current.Load()
	if snap.Config == nil {
		return 0
	}
	return snap.Config.Revision()
}

// fetchTable brings the document up to the table's head.
func (c *Control) fetchTable(ctx context.Context) {
	doc, err := c.document(ctx)
	if err != nil {
		return
	}
	deltas, err := c.opts.Store.Since(ctx, doc.Revision, maxDeltas)
	next, advanceErr := doc.Advance(deltas)
	if doc.Revision == 0 || err != nil || advanceErr != nil {
		next, err = c.loadWhole(ctx)
	}
	if err != nil {
		c.opts.Logger.Warn("cannot load the document; serving goes on with the present one", "err", err)
		return
	}
	c.stats.FromTable.Add(1)
	c.adopt(ctx, next)
}

// loadWhole prefers the saved snapshot and the changes since, which spare the
// table when many daemons start.
func (c *Control) loadWhole(ctx context.Context) (configstore.State, error) {
	saved, err := c.opts.Store.LoadSnapshot(ctx, 0)
	if err != nil {
		return c.opts.Store.Load(ctx)
	}
	deltas, err := c.opts.Store.Since(ctx, saved.Revision, maxDeltas)
	if err != nil {
		return c.opts.Store.Load(ctx)
	}
	next, err := saved.Advance(deltas)
	if err != nil {
		return c.opts.Store.Load(ctx)
	}
	return next, nil
}

func (c *Control) document(ctx context.Context) (configstore.State, error) {
	var doc configstore.State
	err := c.do(ctx, func(_ time.Time, s *state) { doc = s.doc })
	return doc, err
}

// catchUp fetches from the peer that is ahead, or else from the table.
func (c *Control) catchUp(ctx context.Context, a ahead) {
	if a.revision <= c.revision() {
		return
	}
	c.do(ctx, func(now time.Time, s *state) { s.noteAhead(now, a.revision) }) //nolint:errcheck // a stopped loop needs no news
	if err := c.fetchPeer(ctx, a.host); err == nil && c.revision() >= a.revision {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.fetchTable(tctx)
}

// errNoAddress reports a peer whose address is not known yet.
var errNoAddress = errors.New("no address of that host is known yet; membership will bring it")

func (c *Control) fetchPeer(ctx context.Context, host string) error {
	d, ok := c.current.Load().Find(host)
	if !ok {
		return errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply sinceReply
	if err := c.opts.RPC.Call(ctx, d.RPCAddr, methodSince, sinceRequest{c.revision()}, &reply); err != nil {
		return err
	}
	if reply.State.Revision <= c.revision() {
		return nil
	}
	c.stats.FromPeers.Add(1)
	return c.adopt(ctx, reply.State)
}

// adopt puts a document in force if it is newer. Building happens outside the
// loop.
func (c *Control) adopt(ctx context.Context, doc configstore.State) error {
	next, err := doc.Snapshot()
	if err != nil {
		c.opts.Logger.Error("a document that was accepted cannot be built; upgrade this daemon", "revision", doc.Revision, "err", err)
		return err
	}
	return c.do(ctx, func(now time.Time, s *state) {
		if doc.Revision <= s.doc.Revision && s.config != nil {
			return
		}
		noteReturns(now, s, next)
		s.doc = doc
		s.config = next
		s.noteAhead(now, doc.Revision)
		c.stats.Adopted.Add(1)
		c.opts.Logger.Info("configuration in force", "revision", doc.Revision)
	})
}

// noteAhead keeps track of the highest revision heard of.
func (s *state) noteAhead(now time.Time, revision uint64) {
	s.ahead = max(s.ahead, revision)
	switch {
	case s.config != nil && s.doc.Revision >= s.ahead:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = now
	}
}
