package limit

import (
	"slices"
	"strconv"
	"strings"

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

// Replicas is the number of rows, and so of owners on different hosts, among
// which the share of a data centre is divided if it is large enough. The loss
// of one host then leaves an owner of the share's other part.
const Replicas = 2

// MinReplicatedBurst is the minimum burst per holder for dividing the share of a
// data centre. It is above MinSplitBurst because each holder keeps up to one
// token as a fraction, and so a workspace of six holders up to six.
const MinReplicatedBurst = 16.0

// Holder is one of the parts into which the tokens of a workspace are split.
type Holder struct {
	DataCentre string `json:"dc"`
	// Replica is below Replicas.
	Replica int `json:"replica,omitempty"`
}

// String returns the name of the holder in keys. That of replica 0 is the data
// centre.
func (h Holder) String() string {
	if h.Replica == 0 {
		return h.DataCentre
	}
	return h.DataCentre + "/" + strconv.Itoa(h.Replica)
}

// ParseHolder returns the holder with the given name.
func ParseHolder(name string) Holder {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		if r, err := strconv.Atoi(name[i+1:]); err == nil && r > 0 && r < Replicas {
			return Holder{DataCentre: name[:i], Replica: r}
		}
	}
	return Holder{DataCentre: name}
}

// Holders lists all holders in the given data centres.
func Holders(dataCentres []string) []Holder {
	holders := make([]Holder, 0, len(dataCentres)*Replicas)
	for _, dc := range dataCentres {
		for r := range Replicas {
			holders = append(holders, Holder{DataCentre: dc, Replica: r})
		}
	}
	return holders
}

// Layout lists the holders of a workspace's tokens. All of them have equal
// shares.
type Layout struct {
	Holders []Holder
}

// NewLayout returns the layout of a workspace over the given data centres.
func NewLayout(dataCentres []string, workspace string, burst int) Layout {
	n := len(dataCentres)
	if n == 0 {
		return Layout{}
	}
	if float64(burst)/float64(n*Replicas) >= MinReplicatedBurst {
		return Layout{Holders: Holders(dataCentres)}
	}
	first := make([]Holder, 0, n)
	for _, dc := range dataCentres {
		first = append(first, Holder{DataCentre: dc})
	}
	if float64(burst)/float64(n) >= MinSplitBurst {
		return Layout{Holders: first}
	}
	home := slices.MaxFunc(first, func(a, b Holder) int {
		return compareRank(a.String(), b.String(), workspace)
	})
	return Layout{Holders: []Holder{home}}
}

// Share returns the share of a holder.
func (l Layout) Share(h Holder) float64 {
	if !slices.Contains(l.Holders, h) {
		return 0
	}
	return 1 / float64(len(l.Holders))
}

// Divisible reports whether a former owner and a new one can both serve with
// their part of a share. If one part is smaller than MinDividedTokens, the
// owner that holds the row undivided keeps all of it.
func (p Policy) Divisible(shareOfBurst float64) bool {
	return shareOfBurst*min(p.GraceFraction, 1-p.GraceFraction) >= MinDividedTokens
}

// Order returns the holders of the layout, those in the given data centre first
// and the others in an order that differs between workspaces.
func (l Layout) Order(first, workspace string) []Holder {
	order := slices.Clone(l.Holders)
	slices.SortFunc(order, func(a, b Holder) int {
		if (a.DataCentre == first) != (b.DataCentre == first) {
			if a.DataCentre == first {
				return -1
			}
			return 1
		}
		return compareRank(b.String(), a.String(), workspace)
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
