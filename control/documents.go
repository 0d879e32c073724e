package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/configstore"
)

// Methods that fetch configuration from a peer.
const (
	methodSince = "config.since"
	methodPage  = "config.page"
)

// maxDeltas bounds the changes read from the table at once.
const maxDeltas = 200

// maxConfigBytes bounds the configuration in one message.
const maxConfigBytes = 1 << 20

// maxPages bounds the pages of one document.
const maxPages = 1024

// sinceRequest asks for what follows a revision.
type sinceRequest struct {
	Revision uint64 `json:"revision"`
}

// sinceReply holds the next changes. Whole tells that the peer does not keep
// them any more, so that pages of the whole document are to be asked for.
type sinceReply struct {
	Deltas    []configstore.Delta `json:"deltas,omitempty"`
	Truncated bool                `json:"whole,omitempty"`
	Revision  uint64              `json:"revision"`
}

// pageRequest asks for the sections after one.
type pageRequest struct {
	After string `json:"after"`
}

func (c *Control) handleSince(ctx context.Context, req sinceRequest) (sinceReply, error) {
	var reply sinceReply
	err := c.do(ctx, func(_ time.Time, s *state) {
		deltas, ok := s.view.Since(req.Revision, maxConfigBytes)
		reply = sinceReply{Deltas: deltas, Truncated: !ok, Revision: s.revision()}
	})
	return reply, err
}

func (c *Control) handlePage(ctx context.Context, req pageRequest) (configstore.Page, error) {
	var st configstore.State
	if err := c.do(ctx, func(_ time.Time, s *state) { st = s.view.State }); err != nil {
		return configstore.Page{}, err
	}
	return st.Page(req.After, maxConfigBytes), nil
}

// RunConfig reads the table's head about every two seconds and what follows the
// own revision.
func (c *Control) RunConfig(ctx context.Context) error {
	c.pollTable(ctx)
	for sleep(ctx, headInterval) {
		c.pollTable(ctx)
	}
	return nil
}

// RunCatchUp fetches from peers that are ahead, without waiting for the table.
func (c *Control) RunCatchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-c.catchUpRequests:
			c.catchUp(ctx, a)
		}
	}
}

// pollTable reads the head. The daemon's knowledge is as old as the start of a
// read whose head is in force here.
func (c *Control) pollTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	begun := time.Now()
	c.stats.HeadReads.Add(1)
	head, err := c.opts.Store.Head(ctx)
	if err != nil {
		c.stats.HeadFailures.Add(1)
		return
	}
	if head > c.revision() {
		c.fetchFromTable(ctx)
	}
	c.do(ctx, func(_ time.Time, s *state) { //nolint:errcheck // a stopped loop needs no news
		if s.revision() >= head {
			s.table.recordRead(begun)
		}
	})
}

func (c *Control) revision() uint64 {
	snap := c.current.Load()
	if snap.Config == nil {
		return 0
	}
	return snap.Config.Revision()
}

// fetchFromTable brings the document up to the table's head.
func (c *Control) fetchFromTable(ctx context.Context) {
	view, err := c.currentView(ctx)
	if err != nil {
		return
	}
	next, err := c.viewFromTable(ctx, view)
	if err != nil {
		c.opts.Logger.Debug("cannot load the document from the table", "err", err)
		return
	}
	c.stats.FromTable.Add(1)
	c.adopt(ctx, next) //nolint:errcheck // a stopped loop needs no news
}

func (c *Control) viewFromTable(ctx context.Context, view configstore.View) (configstore.View, error) {
	if view.Snapshot == nil {
		st, err := c.loadFull(ctx)
		return configstore.NewView(st), err
	}
	deltas, err := c.opts.Store.Since(ctx, view.State.Revision, maxDeltas)
	if err == nil {
		if next, err := view.Advance(deltas); err == nil {
			return next, nil
		}
	}
	st, err := c.opts.Store.Load(ctx)
	if err != nil {
		return view, err
	}
	return view.Replace(st), nil
}

// loadFull prefers the saved snapshot and the changes since, which spare the
// table when many daemons start.
func (c *Control) loadFull(ctx context.Context) (configstore.State, error) {
	saved, err := c.opts.Store.LoadSnapshot(ctx, 1)
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

func (c *Control) currentView(ctx context.Context) (configstore.View, error) {
	var view configstore.View
	err := c.do(ctx, func(_ time.Time, s *state) { view = s.view })
	return view, err
}

// catchUp fetches from the peer that is ahead, or else from the table.
func (c *Control) catchUp(ctx context.Context, target peerRevision) {
	if target.revision <= c.revision() {
		return
	}
	if err := c.fetchFromPeer(ctx, target.host); err == nil && c.revision() >= target.revision {
		return
	}
	tableCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.fetchFromTable(tableCtx)
}

// errNoAddress reports a peer whose address is not known yet.
var errNoAddress = errors.New("no address of that host is known yet; membership will bring it")

// errTooManyPages reports a peer whose document has too many pages.
var errTooManyPages = errors.Errorf("the peer's document has more than %d pages; upgrade the daemons", maxPages)

func (c *Control) fetchFromPeer(ctx context.Context, host string) error {
	d, ok := c.current.Load().Find(host)
	if !ok {
		return errNoAddress
	}
	view, err := c.currentView(ctx)
	if err != nil {
		return err
	}
	var reply sinceReply
	if err := c.call(ctx, d.RPCAddr, methodSince, sinceRequest{view.State.Revision}, &reply); err != nil {
		return err
	}
	next, err := c.viewFromPeer(ctx, d.RPCAddr, view, reply)
	if err != nil {
		return err
	}
	c.stats.FromPeers.Add(1)
	return c.adopt(ctx, next)
}

func (c *Control) viewFromPeer(ctx context.Context, addr string, view configstore.View, reply sinceReply) (configstore.View, error) {
	if !reply.Truncated && view.Snapshot != nil {
		if next, err := view.Advance(reply.Deltas); err == nil {
			return next, nil
		}
	}
	st, err := c.loadPages(ctx, addr)
	if err != nil {
		return view, err
	}
	if view.Snapshot == nil {
		return configstore.NewView(st), nil
	}
	return view.Replace(st), nil
}

// loadPages puts a peer's document together from pages and from the changes
// that it accepted meanwhile.
func (c *Control) loadPages(ctx context.Context, addr string) (configstore.State, error) {
	var assembly configstore.Assembly
	after := ""
	for range maxPages {
		var page configstore.Page
		if err := c.call(ctx, addr, methodPage, pageRequest{after}, &page); err != nil {
			return configstore.State{}, err
		}
		assembly.Add(page)
		if page.Next == "" {
			return c.completeAssembly(ctx, addr, &assembly)
		}
		after = page.Next
	}
	return configstore.State{}, errTooManyPages
}

func (c *Control) completeAssembly(ctx context.Context, addr string, assembly *configstore.Assembly) (configstore.State, error) {
	from, to := assembly.Missing()
	if from >= to {
		return assembly.Finish(nil)
	}
	var reply sinceReply
	if err := c.call(ctx, addr, methodSince, sinceRequest{from}, &reply); err != nil {
		return configstore.State{}, err
	}
	return assembly.Finish(reply.Deltas)
}

func (c *Control) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return c.opts.RPC.Call(ctx, addr, method, params, result)
}

// adopt puts a document in force if it is newer. It was prepared outside the
// loop.
func (c *Control) adopt(ctx context.Context, next configstore.View) error {
	return c.do(ctx, func(now time.Time, s *state) {
		if next.Snapshot == nil || next.State.Revision <= s.revision() {
			return
		}
		recordReadmissions(now, s, next.Snapshot)
		s.view = next
		c.stats.Adopted.Add(1)
		c.opts.Logger.Info("configuration in force", "revision", next.State.Revision)
	})
}

// revision is that of the document in force, 0 for none.
func (s *state) revision() uint64 { return s.view.State.Revision }
