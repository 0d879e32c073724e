package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// RPC methods that return a daemon's configuration.
const (
	methodSince = "config.since"
	methodPage  = "config.page"
)

// maxDeltas limits the changes read from the table in one call.
const maxDeltas = 200

// maxConfigBytes limits the configuration data in one message.
const maxConfigBytes = 1 << 20

// maxPages limits the pages fetched of one configuration document.
const maxPages = 1024

// sinceRequest requests the changes after a revision.
type sinceRequest struct {
	Revision uint64 `json:"revision"`
}

// sinceReply holds the next changes. Truncated is set if the peer no longer
// retains them; the full document must then be fetched in pages.
type sinceReply struct {
	Deltas    []configstore.Delta `json:"deltas,omitempty"`
	Truncated bool                `json:"whole,omitempty"`
	Revision  uint64              `json:"revision"`
}

// pageRequest requests the page of sections that follow After.
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

// RunConfig polls the head revision in the table about every two seconds and
// fetches the changes after the current revision.
func (c *Control) RunConfig(ctx context.Context) error {
	c.pollTable(ctx)
	for sleep(ctx, headInterval) {
		c.pollTable(ctx)
	}
	return nil
}

// RunCatchUp fetches configuration from peers that are ahead, without waiting
// for the next poll of the table.
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

// pollTable reads the head revision. Once that revision is in force here, the
// start of the read is recorded as the time of the last read.
func (c *Control) pollTable(ctx context.Context) {
	start := time.Now()
	c.stats.HeadReads.Add(1)
	head, err := c.head(ctx)
	if err != nil {
		c.stats.HeadFailures.Add(1)
		return
	}
	if head > c.revision() {
		c.fetchFromTable(ctx)
	}
	c.do(ctx, func(_ time.Time, s *state) { //nolint:errcheck // fails only during shutdown
		if s.revision() >= head {
			s.table.recordRead(start)
		}
	})
}

func (c *Control) head(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return c.opts.Store.Head(ctx)
}

func (c *Control) revision() uint64 {
	snap := c.current.Load()
	if snap.Config == nil {
		return 0
	}
	return snap.Config.Revision()
}

// tableLimits bound the silence of the table while a configuration is read from it, not the
// time that its bytes take.
var tableLimits = transfer.Limits{Silence: tableTimeout / 2, GiveUp: tableTimeout, Running: 1}

// fetchFromTable updates the configuration to the head revision in the table.
func (c *Control) fetchFromTable(ctx context.Context) {
	view, err := c.currentView(ctx)
	if err != nil {
		return
	}
	next, err := transfer.First(ctx, tableLimits, transfer.Only(func(ctx context.Context) (configstore.View, error) {
		return c.viewFromTable(ctx, view)
	}))
	if err != nil {
		c.opts.Logger.Debug("loading the configuration from the table failed", "err", err)
		return
	}
	c.stats.FromTable.Add(1)
	c.adopt(ctx, next) //nolint:errcheck // fails only during shutdown
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

// loadFull loads the saved snapshot and the changes after it, which reduces the
// load on the table when many daemons start. It falls back to the sections in the
// table.
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

// catchUp fetches the configuration from the peer that is ahead, or else from
// the table.
func (c *Control) catchUp(ctx context.Context, target peerRevision) {
	if target.revision <= c.revision() {
		return
	}
	if err := c.fetchFromPeer(ctx, target.host); err == nil && c.revision() >= target.revision {
		return
	}
	c.fetchFromTable(ctx)
}

var errNoAddress = errors.New("peer address not known: gossip has not delivered its record yet")

var errTooManyPages = errors.Errorf("peer configuration has more than %d pages; upgrade the daemons", maxPages)

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

// loadPages assembles a peer's configuration from its pages and from the changes
// that the peer adopted in the meantime.
func (c *Control) loadPages(ctx context.Context, addr string) (configstore.State, error) {
	var assembly configstore.StateAssembler
	after := ""
	for range maxPages {
		var page configstore.Page
		if err := c.call(ctx, addr, methodPage, pageRequest{after}, &page); err != nil {
			return configstore.State{}, err
		}
		assembly.AddPage(page)
		if page.Next == "" {
			return c.completeAssembly(ctx, addr, &assembly)
		}
		after = page.Next
	}
	return configstore.State{}, errTooManyPages
}

func (c *Control) completeAssembly(ctx context.Context, addr string, assembly *configstore.StateAssembler) (configstore.State, error) {
	from, to := assembly.MissingRange()
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

// adopt puts a configuration in force if it is newer than the current one. Views
// are built outside the loop, so that a large configuration does not block it.
func (c *Control) adopt(ctx context.Context, next configstore.View) error {
	return c.do(ctx, func(now time.Time, s *state) {
		if next.Snapshot == nil || next.State.Revision <= s.revision() {
			return
		}
		recordRestored(now, s, next.Snapshot)
		former := s.view.Snapshot
		s.view = next
		c.stats.Adopted.Add(1)
		c.opts.Logger.Info("configuration in force", "revision", next.State.Revision)
		c.reportOpened(next.State.Revision, next.Snapshot.OpenedSince(former))
	})
}

// maxRoutesLogged bounds the routes that a log line names.
const maxRoutesLogged = 8

// reportOpened reports the routes that a configuration has opened to requests without a
// key.
func (c *Control) reportOpened(revision uint64, opened []string) {
	if len(opened) == 0 {
		return
	}
	c.stats.RoutesOpened.Add(int64(len(opened)))
	c.stats.RoutesOpenedRevision.Store(int64(revision))
	c.opts.Logger.Info("routes opened", "revision", revision, "count", len(opened), "routes", opened[:min(len(opened), maxRoutesLogged)])
}

// revision returns the configuration revision in force, or 0 if there is none.
func (s *state) revision() uint64 { return s.view.State.Revision }
