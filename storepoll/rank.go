package storepoll

import (
	"cmp"
	"slices"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

// Candidate is a host that may read the store for its data centre.
type Candidate struct {
	Host string
	// LinkMbps is the bandwidth of its link in Mbit/s, or 0 if it is not known.
	LinkMbps int
}

// Rank returns hosts in the order in which they read the store: those with faster links first,
// as a large document arrives there sooner and can be given to others sooner, and equal ones by
// rendezvous hashing.
func Rank(list []Candidate) []string {
	links := make(map[string]int, len(list))
	names := make([]string, len(list))
	for i, c := range list {
		links[c.Host], names[i] = c.LinkMbps, c.Host
	}
	ranked := quota.RankOwners("reader", names)
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(links[b], links[a]) })
	return ranked
}
