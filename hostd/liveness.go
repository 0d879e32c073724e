package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// A host that dies leaves its row behind, and others would continue to choose
// its target and to query it for tokens. The readers of a data centre are
// polled by each of its hosts every second or two, and they remove the rows of
// hosts that have stopped polling. A live host whose row was removed by mistake
// writes it again.

const (
	// silenceTimeout is how long a host must be silent before its row is
	// removed: several poll intervals, and longer than a restart takes.
	silenceTimeout = 5 * time.Second
	// minContactShare is the share of the data centre's hosts that must have polled
	// this reader within contactWindow, which is longer than the time between two
	// polls of a host. If fewer have, the reader itself is or was probably
	// partitioned.
	minContactShare = 0.5
	contactWindow   = 3 * time.Second
)

// livenessTracker records when hosts last polled this reader.
type livenessTracker struct {
	mu          sync.Mutex
	lastContact map[string]time.Time
	// inContactSince is since when most hosts have polled this reader at each check,
	// and checkedAt is the time of the last check.
	inContactSince, checkedAt time.Time
	// departedSince is when this host first saw a departed target, by host.
	departedSince map[string]seenDeparture
}

// seenDeparture is a departed target and when it was first seen to be one.
type seenDeparture struct {
	target Target
	since  time.Time
}

// departureRetention is how long the row of a departed target stays: longer than
// any target runs on after its departure.
const departureRetention = 2 * time.Minute

// expiredDepartures returns the hosts whose targets departed more than
// departureRetention ago and have not been replaced.
func (h *livenessTracker) expiredDepartures(departed map[string]Target, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := map[string]seenDeparture{}
	var expired []string
	for host, t := range departed {
		d, known := h.departedSince[host]
		if !known || d.target != t {
			d = seenDeparture{t, now}
		}
		if now.Sub(d.since) > departureRetention {
			expired = append(expired, host)
			d.since = now // do not retry immediately
		}
		kept[host] = d
	}
	h.departedSince = kept
	return expired
}

func (h *livenessTracker) recordContact(host string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastContact == nil {
		h.lastContact = map[string]time.Time{}
	}
	h.lastContact[host] = now
}

// silentHosts returns the hosts that have exceeded silenceTimeout. It returns none unless
// most hosts have polled this reader throughout that time: after a partition or a pause
// of this process, the hosts that have not polled it yet are not silent.
func (h *livenessTracker) silentHosts(hosts []string, self string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var silent []string
	inContact, others := 0, 0
	for _, host := range hosts {
		if host == self {
			continue
		}
		others++
		at, known := h.lastContact[host]
		if !known {
			// The time-out starts when the host is first listed.
			at = now
			h.lastContact[host] = now
		}
		if now.Sub(at) > silenceTimeout {
			silent = append(silent, host)
		}
		if now.Sub(at) <= contactWindow {
			inContact++
		}
	}
	if now.Sub(h.checkedAt) > contactWindow || float64(inContact) < minContactShare*float64(others) {
		h.inContactSince = now
	}
	h.checkedAt = now
	if now.Sub(h.inContactSince) < silenceTimeout {
		return nil
	}
	return silent
}

// removeSilentHosts removes the rows of silent hosts in the data centre, and
// those of targets there that departed long ago.
func (c *Control) removeSilentHosts(ctx context.Context, now time.Time) {
	view := c.View()
	c.liveness.recordContact(c.host, now)
	for _, host := range c.liveness.silentHosts(view.hostsIn(c.dataCentre), c.host, now) {
		version, err := c.removeRow(ctx, view, host)
		c.log.Decide("host-silent", "host", host, "row_version", version, "err", err)
		c.liveness.recordContact(host, now) // do not retry immediately
	}
	for _, host := range c.liveness.expiredDepartures(view.departedIn(c.dataCentre), now) {
		version, err := c.removeRow(ctx, view, host)
		c.log.Decide("departure-expired", "host", host, "row_version", version, "err", err)
	}
}

// removeRow removes a host's row unless it has changed since the view.
func (c *Control) removeRow(ctx context.Context, view *View, host string) (version uint64, err error) {
	row := karpithaz.Row{Table: hostsTable, Key: host, Version: view.hostVersions[host]}
	_, err = c.store.Commit(ctx, karpithaz.Tx{Expect: []karpithaz.Row{row}, Remove: []karpithaz.Row{row}}, storeTimeout)
	return row.Version, err
}
