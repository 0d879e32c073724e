package hostd

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// Hosts that die leave their rows behind, and others would go on choosing their
// targets and asking them for tokens. The readers of a data centre hear of each
// of its hosts every second or two and drop the rows of those that have fallen
// silent. A host whose row was dropped wrongly writes it again.

const (
	// silentAfter is how long a host is not heard of before its row is dropped:
	// several of its questions, and longer than a restart takes.
	silentAfter = 5 * time.Second
	// heardShare of the data centre's hosts must have been heard of lately;
	// otherwise the reader itself is the one that is cut off.
	heardShare = 0.5
)

// heardOf remembers when hosts asked for news.
type heardOf struct {
	mu sync.Mutex
	at map[string]time.Time
	// since is when this host began to listen as a reader.
	since time.Time
}

func (h *heardOf) note(host string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[string]time.Time{}
	}
	h.at[host] = now
}

// silent lists the hosts that have not been heard of for long, or none while
// too few have been heard of to tell.
func (h *heardOf) silent(hosts []string, self string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	var silent []string
	heard, others := 0, 0
	for _, host := range hosts {
		if host == self {
			continue
		}
		others++
		at, known := h.at[host]
		if !known {
			// Its silence counts from when it was first listed.
			at = now
			h.at[host] = now
		}
		if now.Sub(at) > silentAfter {
			silent = append(silent, host)
		} else {
			heard++
		}
	}
	if now.Sub(h.since) < silentAfter || float64(heard) < heardShare*float64(others) {
		return nil
	}
	return silent
}

// dropSilent drops the rows of the data centre's hosts that have fallen silent.
func (c *Control) dropSilent(ctx context.Context, now time.Time) {
	view := c.View()
	c.heard.note(c.host, now)
	for _, host := range c.heard.silent(view.inDataCentre(c.dataCentre), c.host, now) {
		row := karpithaz.Row{Table: hostsTable, Key: host, Version: view.hostVersions[host]}
		tx := karpithaz.Tx{Expect: []karpithaz.Row{row}, Remove: []karpithaz.Row{row}}
		_, err := c.store.Commit(ctx, tx, storeTimeout)
		c.log.Decide("host-silent", "host", host, "row_version", row.Version, "err", err)
		c.heard.note(host, now) // not again at once
	}
}
