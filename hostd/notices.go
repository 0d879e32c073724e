package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// Polls of the readers alone bring a change late to a data centre whose readers
// the store refuses or which are silent. Therefore the hosts that learn a change
// notify the others, which fetch it from the sender. A lost notice is made up for by
// the next poll.

// queryChanged notifies a host of a change of the operators' table.
const queryChanged = "changed"

// operatorChange is a change of the operators' table that a host has applied.
type operatorChange struct {
	version uint64
	// external is set if the host learned it from the store or from a host of another
	// data centre.
	external bool
}

// changeNotice is the notice of a change by one or more hosts that have applied it.
type changeNotice struct {
	version uint64
	// senders are in the order in which their notices arrived.
	senders []string
}

// maxNoticeSenders is the number of senders that are kept for a change.
const maxNoticeSenders = 4

// noticeInbox keeps the notice of the latest change that is known from notices.
type noticeInbox struct {
	mu      sync.Mutex
	latest  changeNotice
	arrived chan struct{}
}

// put records that a host gives notice of a change.
func (in *noticeInbox) put(version uint64, sender string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case version > in.latest.version:
		in.latest = changeNotice{version, []string{sender}}
	case version < in.latest.version || slices.Contains(in.latest.senders, sender) || len(in.latest.senders) == maxNoticeSenders:
		return
	default:
		in.latest.senders = append(slices.Clone(in.latest.senders), sender)
	}
	select {
	case in.arrived <- struct{}{}:
	default:
	}
}

func (in *noticeInbox) get() changeNotice {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.latest
}

// applied passes a change on to RunNotifications without blocking. Only the
// goroutine that calls Run may call it.
func (c *Control) applied(change operatorChange) {
	select {
	case older := <-c.appliedChanges:
		change.external = change.external || older.external
	default:
	}
	c.appliedChanges <- change
}

// RunNotifications notifies other hosts of changes until ctx ends. Notices of a change
// are not delayed by hosts that have not answered those of an earlier one.
func (c *Control) RunNotifications(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-c.appliedChanges:
			if rank, hosts := c.rank(); storepoll.Notifies(rank, hosts, change.external) {
				running.Go(func() { c.notify(ctx, change.version) })
			}
		}
	}
}

// notify sends notices to all hosts of the data centre and, in each other data centre, to
// candidates until storepoll.Readers of them have answered.
func (c *Control) notify(ctx context.Context, version uint64) {
	view := c.View()
	var wg sync.WaitGroup
	for _, host := range view.hostsIn(c.dataCentre) {
		wg.Go(func() { c.notifyHost(ctx, view, host, version) })
	}
	for _, dc := range view.otherDataCentres(c.dataCentre) {
		candidates := view.firstInRank(dc, storepoll.NoticeCandidates)
		next := make(chan string, len(candidates))
		for _, host := range candidates {
			next <- host
		}
		close(next)
		for range storepoll.Readers {
			wg.Go(func() {
				for host := range next {
					if c.notifyHost(ctx, view, host, version) {
						return
					}
				}
			})
		}
	}
	wg.Wait()
}

// notifyHost sends a notice to one host and reports whether it has answered.
func (c *Control) notifyHost(ctx context.Context, view *View, host string, version uint64) bool {
	t, ok := view.TargetOf(host)
	if !ok || host == c.host {
		return false
	}
	c.metrics.Add("notices_sent", 1)
	if _, err := c.peers.query(ctx, t.Control, datagram{Kind: queryChanged, Host: c.host, To: t.Host, ConfigVersion: version}); err != nil {
		c.metrics.Add("notices_unanswered", 1)
		return false
	}
	return true
}

// recordNotice handles a notice from another host.
func (c *Control) recordNotice(q datagram) datagram {
	if q.ConfigVersion > c.configAt.Load() {
		c.inbox.put(q.ConfigVersion, q.Host)
	}
	return datagram{Result: true}
}

// RunNotices fetches the changes of which other hosts give notice until ctx ends.
func (c *Control) RunNotices(ctx context.Context) error {
	var tried uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.inbox.arrived:
		}
		n := c.inbox.get()
		if n.version > tried {
			c.awaitFetch(ctx, n.senders[0])
			tried = c.inbox.get().version
		}
		if c.inbox.get().version > c.configAt.Load() {
			c.fetchNoticed(ctx)
		}
	}
}

// awaitFetch spreads the fetches of the hosts of a data centre from the sender of a
// notice, so that their requests do not reach it at the same moment. Only a few hosts receive a
// notice from another data centre, and these fetch at once.
func (c *Control) awaitFetch(ctx context.Context, sender string) {
	rank, hosts := c.rank()
	if spread := storepoll.FetchSpread(rank, hosts); spread > 0 && !c.isOutside(sender) {
		pause.For(ctx, rand.N(spread))
	}
}

// isOutside reports whether a host belongs to another data centre.
func (c *Control) isOutside(host string) bool {
	t, ok := c.View().TargetOf(host)
	return ok && t.DataCentre != c.dataCentre
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
