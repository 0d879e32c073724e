package hostd

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

// The limiter must know which owners and data centres are cut off from this host,
// as these grant tokens of their own meanwhile (quota.Reach).

// contactTimeout is the time without contact after which a data centre is probed. It is
// also the pause between probes.
const contactTimeout = 700 * time.Millisecond

// dataCentreContacts records which other data centres can be reached, from the
// queries about limits and from probes.
type dataCentreContacts struct {
	mu     sync.Mutex
	byName map[string]*dataCentreContact
}

type dataCentreContact struct {
	// contactAt is the time of the last contact with a host of the data centre, and
	// probedAt that of the last decision to probe it.
	contactAt, probedAt time.Time
	cut                 bool
}

func (c *dataCentreContacts) get(dc string) *dataCentreContact {
	if c.byName[dc] == nil {
		c.byName[dc] = &dataCentreContact{}
	}
	return c.byName[dc]
}

// state reports whether a data centre is cut off, and whether the caller must
// probe it now.
func (c *dataCentreContacts) state(dc string, now time.Time) (cut, probe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.get(dc)
	if now.Sub(contact.contactAt) > contactTimeout && now.Sub(contact.probedAt) > contactTimeout {
		contact.probedAt = now
		probe = true
	}
	return contact.cut, probe
}

// recordContact records a message from a host of a data centre.
func (c *dataCentreContacts) recordContact(dc string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.get(dc)
	contact.contactAt, contact.cut = now, false
}

// lost records that no host of a data centre has answered a probe, and reports
// whether that is new.
func (c *dataCentreContacts) lost(dc string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.get(dc)
	if contact.cut || now.Sub(contact.contactAt) < contactTimeout {
		return false
	}
	contact.cut = true
	return true
}

// reach returns what this host knows of a partition as regards the owners of a
// limit. It probes data centres without recent contact.
func (l *fleetLimiter) reach(owners []string) quota.Reach {
	view, now := l.view(), time.Now()
	own, _ := view.TargetOf(l.host)
	r := quota.Reach{Hosts: len(owners), Isolated: l.isolated()}
	var first Target
	if len(owners) > 0 {
		first, _ = view.TargetOf(owners[0])
		r.OwnerMissing = l.lost.missing(owners[0], now)
	}
	for dc, hosts := range view.hostsByDataCentre {
		cut := false
		if dc != own.DataCentre {
			var probe bool
			if cut, probe = l.contacts.state(dc, now); probe {
				go l.probe(dc)
			}
		}
		if !cut {
			r.Reached += len(hosts)
		} else if dc == first.DataCentre {
			r.OwnerCut = true
		}
	}
	return r
}

// probedHosts is the number of hosts of a data centre that must not answer for it
// to be considered cut off.
const probedHosts = 3

// probe asks a few hosts of a data centre whether it can be reached.
func (l *fleetLimiter) probe(dc string) {
	view := l.view()
	hosts := view.hostsByDataCentre[dc]
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), probedHosts)] {
		t, _ := view.TargetOf(hosts[i])
		if _, err := l.query(context.Background(), t.Control, datagram{Kind: queryVersions, Host: l.host, To: t.Host}); err == nil {
			l.contacts.recordContact(dc, time.Now())
			return
		}
	}
	if l.contacts.lost(dc, time.Now()) {
		l.log.Decide("data-centre-cut", "name", dc, "probed", min(len(hosts), probedHosts))
	}
}

// lostOwners records since when owners have not been reached.
type lostOwners struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// found records that an owner has been reached. It returns for how long it had not
// been, and whether it was missing at all.
func (l *lostOwners) found(owner string, now time.Time) (missing time.Duration, was bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, was := l.since[owner]
	delete(l.since, owner)
	return now.Sub(since), was
}

// missed records that an owner has not been reached, and returns whether it was
// not missing before.
func (l *lostOwners) missed(owner string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.since[owner]
	if !known {
		l.since[owner] = now
	}
	return !known
}

// missing returns how long an owner has not been reached.
func (l *lostOwners) missing(owner string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, known := l.since[owner]; known {
		return now.Sub(since)
	}
	return 0
}

// prune forgets the owners for which keep returns false.
func (l *lostOwners) prune(keep func(owner string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.since, func(owner string, _ time.Time) bool { return !keep(owner) })
}
