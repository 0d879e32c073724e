package limit

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MinSplitBurst is the minimum burst per data centre for splitting a workspace.
// Below it the whole workspace is kept in one data centre, because each bucket
// holds up to one token as a fraction that cannot be granted.
const MinSplitBurst = 4.0

// MinDividedTokens is the minimum part of a share, in tokens, for dividing the
// share between a former owner and a new one. At one token, a small workspace
// whose owner's host is lost for good continues to be served, at the cost of
// some refusals during a table outage.
const MinDividedTokens = 1.0

// Shard returns the shard of a workspace.
func Shard(workspace string, shards int) int {
	return int(xxhash.Sum64String(workspace) % uint64(shards))
}

// Layout lists the data centres that hold a workspace's tokens. All of them
// have equal shares.
type Layout struct {
	DataCentres []string
}

// NewLayout returns the layout of a workspace over the given data centres.
func NewLayout(dataCentres []string, workspace string, burst int) Layout {
	n := len(dataCentres)
	if n == 0 {
		return Layout{}
	}
	if float64(burst)/float64(n) >= MinSplitBurst {
		return Layout{DataCentres: dataCentres}
	}
	home := slices.MaxFunc(dataCentres, func(a, b string) int {
		return compareRank(a, b, workspace)
	})
	return Layout{DataCentres: []string{home}}
}

// Share returns the share of a data centre.
func (l Layout) Share(dataCentre string) float64 {
	if !slices.Contains(l.DataCentres, dataCentre) {
		return 0
	}
	return 1 / float64(len(l.DataCentres))
}

// Divisible reports whether a former owner and a new one can both serve with
// their part of a share. If one part is smaller than MinDividedTokens, the
// owner that holds the row undivided keeps all of it.
func (p Policy) Divisible(shareOfBurst float64) bool {
	return shareOfBurst*min(p.GraceFraction, 1-p.GraceFraction) >= MinDividedTokens
}

// Order returns the data centres of the layout with the given one first, if it
// is included, and the others in an order that differs between workspaces.
func (l Layout) Order(first, workspace string) []string {
	order := slices.Clone(l.DataCentres)
	slices.SortFunc(order, func(a, b string) int {
		if (a == first) != (b == first) {
			if a == first {
				return -1
			}
			return 1
		}
		return compareRank(b, a, workspace)
	})
	return order
}

// Candidates orders hosts for the ownership of a row by rendezvous hashing.
func Candidates(hosts []string, row string) []string {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b string) int {
		return compareRank(b, a, row)
	})
	return order
}

// compareRank compares the rendezvous ranks of two nodes for a key.
func compareRank(a, b, key string) int {
	ra, rb := rank(a, key), rank(b, key)
	switch {
	case ra < rb:
		return -1
	case ra > rb:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func rank(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(node) //nolint:errcheck // xxhash never fails
	d.WriteString("\x00")
	d.WriteString(key)
	return d.Sum64()
}
