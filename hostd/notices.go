package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// Polls of the readers alone bring a change late to a data centre whose readers
// the store refuses: the standbys take over only when the proofs have grown old.
// Therefore the hosts that learn a change notify the others, which fetch it from
// the sender. A lost notice is made up for by the next poll.

// queryChanged notifies a host of a change of the operators' table.
const queryChanged = "changed"

// operatorChange is a change of the operators' table that a host has applied.
type operatorChange struct {
	version uint64
	// fromStore is set if the host has read it from the store.
	fromStore bool
}

// changeNotice is a notice from a host that has applied a change.
type changeNotice struct {
	version uint64
	sender  string
}

// noticeInbox keeps the notice of the latest change that is known from notices.
type noticeInbox struct {
	latest  atomic.Pointer[changeNotice]
	arrived chan struct{}
}

// put keeps n if it is of a later change than the one kept.
func (in *noticeInbox) put(n changeNotice) {
	for {
		old := in.latest.Load()
		if old != nil && n.version <= old.version {
			return
		}
		if in.latest.CompareAndSwap(old, &n) {
			break
		}
	}
	select {
	case in.arrived <- struct{}{}:
	default:
	}
}

// applied passes a change on to RunNotifications without blocking. Only the
// goroutine that calls Run may call it.
func (c *Control) applied(change operatorChange) {
	select {
	case older := <-c.appliedChanges:
		change.fromStore = change.fromStore || older.fromStore
	default:
	}
	c.appliedChanges <- change
}

// RunNotifications notifies other hosts of changes until ctx ends.
func (c *Control) RunNotifications(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-c.appliedChanges:
			if rank, hosts := c.rank(); storepoll.Notifies(rank, hosts, change.fromStore) {
				c.notify(ctx, change.version)
			}
		}
	}
}

// notify sends notices to the hosts of the data centre and to the readers of the
// others, and waits until all have answered or failed to.
func (c *Control) notify(ctx context.Context, version uint64) {
	view := c.View()
	receivers := view.hostsIn(c.dataCentre)
	for _, dc := range view.otherDataCentres(c.dataCentre) {
		ranked := view.ranked(dc)
		receivers = append(receivers, ranked[:min(len(ranked), storepoll.Readers)]...)
	}
	var wg sync.WaitGroup
	for _, host := range receivers {
		t, ok := view.TargetOf(host)
		if !ok || host == c.host {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.metrics.Add("notices_sent", 1)
			if _, err := c.peers.query(ctx, t.Control, datagram{Kind: queryChanged, Host: c.host, ConfigVersion: version}); err != nil {
				c.metrics.Add("notices_unanswered", 1)
			}
		}()
	}
	wg.Wait()
}

// recordNotice handles a notice from another host.
func (c *Control) recordNotice(q datagram) datagram {
	if q.ConfigVersion > c.configAt.Load() {
		c.inbox.put(changeNotice{version: q.ConfigVersion, sender: q.Host})
	}
	return datagram{Result: true}
}

// RunNotices fetches the changes of which other hosts give notice until ctx ends.
func (c *Control) RunNotices(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.inbox.arrived:
		}
		rank, hosts := c.rank()
		if spread := storepoll.FetchSpread(rank, hosts); spread > 0 {
			pause.For(ctx, rand.N(spread))
		}
		n := c.inbox.latest.Load()
		if n.version <= c.configAt.Load() {
			continue
		}
		if c.proven() {
			if sender, ok := c.View().TargetOf(n.sender); ok {
				c.fetchOperatorRows(ctx, sender)
			}
			continue
		}
		// The change may be the first configuration, of no use without a proof.
		c.pollPeer(ctx, &peerPoll{}, n.sender, false)
	}
}

// otherDataCentres returns the data centres of the hosts except one, in the order
// of their first host.
func (v *View) otherDataCentres(except string) []string {
	var names []string
	for _, host := range v.names {
		if dc := v.byHost[host].DataCentre; dc != except && !slices.Contains(names, dc) {
			names = append(names, dc)
		}
	}
	return names
}
