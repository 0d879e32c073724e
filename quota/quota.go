// Package quota decides whether a workspace may send one more request across
// the whole fleet.
//
// Load it answers: workspaces whose callers are spread over all hosts, some of
// which send many times their rate for seconds.
//
// Algorithm: each workspace has one owner among the hosts, the first in an
// order drawn from the names of host and workspace (rendezvous hashing), and
// the owner keeps its token bucket. A host asks the owner for each request.
// Tokens are taken before the request goes on, so a lost answer only loses a
// token. An owner's bucket was partly filled when its claim began: the one
// before it may have been emptied a moment earlier.
//
// Weighed: a static share for each host refuses callers who keep to one host;
// shares under leases need a store call per renewal and starve for a lease
// after an owner is lost; a transaction a request costs more than the request.
package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// initialFill is the share of the burst that a new bucket holds.
const initialFill = 0.5

// Bucket is the token bucket of one workspace. It is not safe for concurrent
// use.
type Bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns the bucket of an owner who has had its claim since a time.
// It was partly filled then.
func NewBucket(since time.Time, burst float64) *Bucket {
	return &Bucket{tokens: max(initialFill*burst, 1), updatedAt: since}
}

// Take takes a token. Without one it returns when the next will be there.
func (b *Bucket) Take(now time.Time, rate, burst float64) (ok bool, after time.Duration) {
	b.tokens = min(b.tokens+rate*max(now.Sub(b.updatedAt).Seconds(), 0), max(burst, 1))
	b.updatedAt = now
	if b.tokens >= 1-tokenTolerance {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Idle reports whether the bucket has not been used for a time in which it
// fills up whatever its rate.
func (b *Bucket) Idle(now time.Time) bool { return now.Sub(b.updatedAt) > idleTimeout }

const idleTimeout = time.Minute

// tokenTolerance is how far a level may be off after many small refills, in tokens.
const tokenTolerance = 1e-9

// Owners orders hosts by their claim to a workspace, strongest first.
func Owners(workspace string, hosts []string) []string {
	type claim struct {
		host   string
		weight uint64
	}
	claims := make([]claim, len(hosts))
	for i, h := range hosts {
		claims[i] = claim{h, rendezvousWeight(workspace, h)}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	out := make([]string, len(claims))
	for i, c := range claims {
		out[i] = c.host
	}
	return out
}

func rendezvousWeight(workspace, host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(workspace)) //nolint:errcheck // a hash takes all
	h.Write([]byte{0})         //nolint:errcheck // a hash takes all
	h.Write([]byte(host))      //nolint:errcheck // a hash takes all
	return mix(h.Sum64())
}

// mix spreads the bits of names that differ little.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
