package hostd

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/storecopy"
)

// keptCheckInterval is how often knowledge that outweighs a restored store is checked for
// its expiry.
const keptCheckInterval = 500 * time.Millisecond

// keptHost is a host of which the former knowledge outweighs a restored store.
type keptHost struct {
	until time.Time
	// known is the host's row as it was known, if it was listed.
	known    Target
	wasKnown bool
	// version is the row's in the store, or that of the table if it is not listed. A later
	// one has been written since.
	version uint64
	// copied is the host's row in the store, if it is listed there. Other hosts are told
	// this one: they keep what they know themselves.
	copied Target
	listed bool
}

// restored reports whether an update is the first one of a table since the store has come
// back from an older copy. at is the version up to which the table is known.
func restored(n tableUpdate, at uint64) bool {
	return n.full && karpithaz.EraOf(n.version) > karpithaz.EraOf(at)
}

// keepHosts keeps the rows of which the knowledge before an update of a restored store
// outweighs it. This host's own row is not kept, so that it is written again.
func (c *Control) keepHosts(former map[string]Target, n tableUpdate, now time.Time) {
	clear(c.keptHosts)
	describe := func(hosts map[string]Target, host string) storecopy.Host {
		t, listed := hosts[host]
		return storecopy.Host{Listed: listed, Departed: t.Departed, Target: t.ID}
	}
	names := slices.Collect(maps.Keys(c.hosts))
	for host := range former {
		if _, listed := c.hosts[host]; !listed {
			names = append(names, host)
		}
	}
	for _, host := range names {
		if host == c.host || !storecopy.KeepsHost(describe(former, host), describe(c.hosts, host)) {
			continue
		}
		k := keptHost{until: now.Add(storecopy.HostsRetention), version: cmp.Or(c.hostVersions[host], n.version)}
		k.copied, k.listed = c.hosts[host]
		k.known, k.wasKnown = former[host]
		c.keptHosts[host] = k
	}
	c.metrics.Add("store_restored", 1)
	c.log.Logger().Warn("the store was restored from an older copy; rows that it has lost are written again", "era", karpithaz.EraOf(n.version),
		"from", cmp.Or(n.from, "store"), "hosts", len(c.hosts), "hosts_kept", len(c.keptHosts))
	select {
	case c.storeRestored <- struct{}{}:
	default:
	}
}

// applyKept replaces what a full update says by what outweighs it.
func (c *Control) applyKept() {
	for host, k := range c.keptHosts {
		c.hostVersions[host] = k.version
		if k.wasKnown {
			c.hosts[host] = k.known
		} else {
			delete(c.hosts, host)
		}
	}
	for dc := range c.keptEvacuations {
		c.evacuated[dc] = true
	}
}

// keepEvacuations keeps the evacuations that a restored store lacks.
func (c *Control) keepEvacuations(former map[string]bool, now time.Time) {
	clear(c.keptEvacuations)
	for dc := range former {
		if storecopy.KeepsEvacuation(former[dc], c.evacuated[dc]) {
			c.keptEvacuations[dc] = now.Add(storecopy.EvacuationRetention)
			c.log.Decide("evacuation-kept", "name", dc, "for_ms", storecopy.EvacuationRetention.Milliseconds())
		}
	}
}

// dropExpired ends the former knowledge that has outweighed a restored store for long
// enough.
func (c *Control) dropExpired(now time.Time) {
	changed := false
	for host, k := range c.keptHosts {
		if now.Before(k.until) {
			continue
		}
		delete(c.keptHosts, host)
		changed = true
		if k.listed {
			c.hosts[host] = k.copied
		} else {
			delete(c.hosts, host)
			delete(c.hostVersions, host)
		}
		c.log.Decide("host-kept-until", "host", host, "listed", k.listed)
	}
	for dc, until := range c.keptEvacuations {
		if now.Before(until) {
			continue
		}
		delete(c.keptEvacuations, dc)
		delete(c.evacuated, dc)
		changed = true
		c.log.Decide("data-centre", "name", dc, "out", false, "why", "the restored store has no evacuation")
	}
	if changed {
		c.publish()
	}
}

// republishRow writes the target's row again if the view of the hosts table, which the
// store has lost in part, does not have it.
func (g *Gate) republishRow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return
	}
	want := g.hostRow(g.target)
	if row, _ := g.view().row(want.Host); !row.sameRow(want) {
		g.log.Decide("own-row-lost", "target", want.ID, "departed", want.Departed)
		g.publish(want)
	}
}
