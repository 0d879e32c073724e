package member

import (
	"cmp"
	"slices"
	"time"
)

// ExchangeFailed records a failed exchange with a peer. It raises a suspicion
// unless the link to the peer is known to be cut.
func (g *Gossip) ExchangeFailed(now time.Time, host string) {
	g.stats.Failures++
	e, ok := g.entries[host]
	if !ok || host == g.self || now.Before(e.backoffUntil) {
		return
	}
	e.suspectedLocally = true
	g.suspect(now, e, suspicionOf(e.record))
}

func suspicionOf(d Daemon) Suspicion {
	return Suspicion{d.Host, d.Incarnation, d.Version}
}

// refutedBy reports whether record d is newer than the suspected version.
func (x Suspicion) refutedBy(d Daemon) bool {
	return Newer(d, Daemon{Incarnation: x.Incarnation, Version: x.Version})
}

// suspicionAge returns the age of the suspicion, or 0 if there is none.
func (e *entry) suspicionAge(now time.Time) time.Duration {
	if e.suspicionSeq == 0 {
		return 0
	}
	return max(1, now.Sub(e.suspicionStart))
}

func (g *Gossip) suspect(since time.Time, e *entry, x Suspicion) {
	if e.suspicionSeq > 0 || e.record.State == StateLeft {
		return
	}
	g.stats.Suspected++
	g.seq++
	e.suspicionSeq = g.seq
	e.suspicion = x
	e.suspicionStart = since
}

// clearSuspicion removes a refuted suspicion. If this daemon had raised it, the
// member is alive but the link to it is cut, so exchanges back off.
func (g *Gossip) clearSuspicion(now time.Time, e *entry) {
	if e.suspectedLocally && e.suspicion.Incarnation == e.record.Incarnation {
		e.backoffUntil = now.Add(cutLinkBackoff)
	}
	g.neighboursStale = true
	e.suspicionSeq = 0
	e.unreachable = false
	e.suspectedLocally = false
}

// markReachable records that a message of a peer has arrived: the peer is alive
// and can reach this daemon. The suspicion remains, with its timeout restarted.
func (g *Gossip) markReachable(now time.Time, host string) {
	e, ok := g.entries[host]
	if !ok || e.suspicionSeq == 0 {
		return
	}
	if e.unreachable {
		g.neighboursStale = true
	}
	e.unreachable = false
	e.suspectedLocally = false
	e.suspicionStart = now
}

// suspicions lists the suspicions raised after sequence number since, and any
// against the peer itself so that it can refute it.
func (g *Gossip) suspicions(peer string, since uint64) []Suspicion {
	var out []Suspicion
	for host, e := range g.entries {
		if e.suspicionSeq == 0 || e.suspicionSeq <= since && host != peer {
			continue
		}
		out = append(out, e.suspicion)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (g *Gossip) mergeSuspicions(now time.Time, list []Suspicion) {
	for _, x := range list {
		if x.Host == g.self {
			g.refute(now, x)
			continue
		}
		e, ok := g.entries[x.Host]
		if !ok || x.refutedBy(e.record) {
			continue
		}
		g.suspect(now, e, x)
	}
}

// refute raises the version of this daemon's record above the suspected one,
// which clears the suspicion wherever the record arrives.
func (g *Gossip) refute(now time.Time, x Suspicion) {
	d := g.entries[g.self].record
	if x.Incarnation != d.Incarnation || x.Version < d.Version {
		return
	}
	d.Version = x.Version + 1
	g.stats.Refuted++
	g.store(now, d, g.self)
}
