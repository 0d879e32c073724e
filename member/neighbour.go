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

// unreachablePickOdds makes one in this many exchanges go to an unreachable
// member, so that the sides of a healed partition find each other.
const unreachablePickOdds = 8

// Pick selects the peer for the next exchange. It returns false if no other
// member is known.
func (g *Gossip) Pick(now time.Time, rng Rand) (Peer, bool) {
	if rng.IntN(unreachablePickOdds) == 0 {
		if p, ok := g.pickUnreachable(rng); ok {
			return p, true
		}
	}
	hosts := g.neighbours(now)
	if len(hosts) == 0 {
		return g.pickUnreachable(rng)
	}
	return g.peer(hosts[rng.IntN(len(hosts))]), true
}

func (g *Gossip) peer(host string) Peer {
	return Peer{Host: host, RPCAddr: g.entries[host].record.RPCAddr}
}

func (g *Gossip) pickUnreachable(rng Rand) (Peer, bool) {
	hosts := g.Unreachable()
	if len(hosts) == 0 {
		return Peer{}, false
	}
	return g.peer(hosts[rng.IntN(len(hosts))]), true
}

// neighbours returns the peers to run exchanges with: the successor on the hash
// ring and the members with the highest rendezvous rank.
func (g *Gossip) neighbours(now time.Time) []string {
	if !g.neighboursStale && !g.endBackoffs(now) {
		return g.cachedNeighbours
	}
	candidates := g.reachableEntries(now)
	slices.SortFunc(candidates, func(a, b *entry) int { return cmp.Compare(g.ringDistance(a), g.ringDistance(b)) })
	var out []string
	if len(candidates) > 0 {
		out = append(out, candidates[0].record.Host)
		candidates = candidates[1:]
	}
	slices.SortFunc(candidates, func(a, b *entry) int { return cmp.Compare(g.rendezvousRank(b), g.rendezvousRank(a)) })
	for _, e := range candidates {
		if len(out) >= g.opt.Neighbours {
			break
		}
		out = append(out, e.record.Host)
	}
	g.cachedNeighbours = out
	g.neighboursStale = false
	return out
}

func (g *Gossip) reachableEntries(now time.Time) []*entry {
	var out []*entry
	for host, e := range g.entries {
		if host == g.self || e.unreachable || e.record.State == StateLeft || now.Before(e.backoffUntil) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// endBackoffs clears elapsed back-offs and reports whether there were any.
func (g *Gossip) endBackoffs(now time.Time) bool {
	anyEnded := false
	for _, e := range g.entries {
		if e.backoffUntil.IsZero() || now.Before(e.backoffUntil) {
			continue
		}
		e.backoffUntil = time.Time{}
		anyEnded = true
	}
	return anyEnded
}

// ringDistance returns the clockwise distance on the hash ring from this
// daemon's key to the member's.
func (g *Gossip) ringDistance(e *entry) Key {
	const mask = Key(1<<(8*keyBytes) - 1)
	return (e.key - g.entries[g.self].key) & mask
}

func (g *Gossip) rendezvousRank(e *entry) uint64 {
	return xxhash.Sum64String(g.self + "\x00" + e.record.Host)
}
