package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rand is the source of randomness. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	IntN(n int) int
}

// Peer is a daemon to exchange with.
type Peer struct {
	Host    string
	RPCAddr string
}

// reviveOneIn is how often the partner is an unreachable member, so that the
// sides of a healed partition find each other.
const reviveOneIn = 8

// Pick chooses the partner of the next exchange; false when nobody is known.
func (g *Gossip) Pick(now time.Time, rng Rand) (Peer, bool) {
	if rng.IntN(reviveOneIn) == 0 {
		if p, ok := g.pickLost(rng); ok {
			return p, true
		}
	}
	near := g.neighbours(now)
	if len(near) == 0 {
		return g.pickLost(rng)
	}
	return g.peer(near[rng.IntN(len(near))]), true
}

func (g *Gossip) peer(host string) Peer {
	return Peer{Host: host, RPCAddr: g.entries[host].d.RPCAddr}
}

func (g *Gossip) pickLost(rng Rand) (Peer, bool) {
	lost := g.Unreachable()
	if len(lost) == 0 {
		return Peer{}, false
	}
	return g.peer(lost[rng.IntN(len(lost))]), true
}

// neighbours returns the partners: the next on the ring and the highest by
// rendezvous rank.
func (g *Gossip) neighbours(now time.Time) []string {
	if !g.dirty && !g.muteEnded(now) {
		return g.ring
	}
	live := g.live(now)
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(g.distance(a), g.distance(b)) })
	var out []string
	if len(live) > 0 {
		out = append(out, live[0].d.Host)
		live = live[1:]
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(g.rank(b), g.rank(a)) })
	for _, e := range live {
		if len(out) >= g.opt.Neighbours {
			break
		}
		out = append(out, e.d.Host)
	}
	g.ring = out
	g.dirty = false
	return out
}

func (g *Gossip) live(now time.Time) []*entry {
	var out []*entry
	for host, e := range g.entries {
		if host == g.self || e.unreachable || e.d.State == StateLeft || now.Before(e.mutedUntil) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// muteEnded reports whether a muted peer may be tried again.
func (g *Gossip) muteEnded(now time.Time) bool {
	ended := false
	for _, e := range g.entries {
		if e.mutedUntil.IsZero() || now.Before(e.mutedUntil) {
			continue
		}
		e.mutedUntil = time.Time{}
		ended = true
	}
	return ended
}

// distance is how far the member's key lies after our own on the ring.
func (g *Gossip) distance(e *entry) Key {
	const mask = Key(1<<(8*keyBytes) - 1)
	return (e.key - g.entries[g.self].key) & mask
}

func (g *Gossip) rank(e *entry) uint64 {
	return xxhash.Sum64String(g.self + "\x00" + e.d.Host)
}
