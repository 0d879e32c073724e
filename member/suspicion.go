package member

import (
	"cmp"
	"slices"
	"time"
)

// Failed takes an exchange with a peer that failed. It raises a suspicion,
// unless the link to the peer is known to be cut.
func (g *Gossip) Failed(now time.Time, host string) {
	g.stats.Failures++
	e, ok := g.entries[host]
	if !ok || host == g.self || now.Before(e.mutedUntil) {
		return
	}
	e.accused = true
	g.suspect(now, e, suspicionOf(e.d))
}

func suspicionOf(d Daemon) Suspicion {
	return Suspicion{d.Host, d.Incarnation, d.Version}
}

// refutedBy reports whether record d is newer than the suspected one.
func (x Suspicion) refutedBy(d Daemon) bool {
	return Newer(d, Daemon{Incarnation: x.Incarnation, Version: x.Version})
}

// suspectedFor is how long the member is under suspicion; 0 when it is not.
func (e *entry) suspectedFor(now time.Time) time.Duration {
	if e.suspectSeq == 0 {
		return 0
	}
	return max(1, now.Sub(e.suspectSince))
}

func (g *Gossip) suspect(since time.Time, e *entry, x Suspicion) {
	if e.suspectSeq > 0 || e.d.State == StateLeft {
		return
	}
	g.stats.Suspected++
	g.seq++
	e.suspectSeq = g.seq
	e.suspected = x
	e.suspectSince = since
}

// clearSuspicion ends a refuted suspicion. When it was our own, the link to the
// member is cut, not the member, and it is not tried for a while.
func (g *Gossip) clearSuspicion(now time.Time, e *entry) {
	if e.accused && e.suspected.Incarnation == e.d.Incarnation {
		e.mutedUntil = now.Add(muteFor)
	}
	g.dirty = true
	e.suspectSeq = 0
	e.unreachable = false
	e.accused = false
}

// heard takes a message of a peer: it is alive, and the link to us works.
func (g *Gossip) heard(now time.Time, host string) {
	e, ok := g.entries[host]
	if !ok || e.suspectSeq == 0 {
		return
	}
	if e.unreachable {
		g.dirty = true
	}
	e.unreachable = false
	e.accused = false
	e.suspectSince = now
}

// suspicions lists those raised after number since, and any of the peer
// itself, so that it can refute.
func (g *Gossip) suspicions(peer string, since uint64) []Suspicion {
	var out []Suspicion
	for host, e := range g.entries {
		if e.suspectSeq == 0 || e.suspectSeq <= since && host != peer {
			continue
		}
		out = append(out, e.suspected)
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (g *Gossip) takeSuspicions(now time.Time, list []Suspicion) {
	for _, x := range list {
		if x.Host == g.self {
			g.refute(now, x)
			continue
		}
		e, ok := g.entries[x.Host]
		if !ok || x.refutedBy(e.d) {
			continue
		}
		g.suspect(now, e, x)
	}
}

// refute raises the own version, which ends every suspicion of the older one.
func (g *Gossip) refute(now time.Time, x Suspicion) {
	d := g.entries[g.self].d
	if x.Incarnation != d.Incarnation || x.Version < d.Version {
		return
	}
	d.Version = x.Version + 1
	g.stats.Refuted++
	g.put(now, d, g.self)
}
