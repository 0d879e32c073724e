// Package quota enforces the rate limit of each workspace across all hosts.
//
// Problem: the callers of a workspace are spread over all hosts, and some
// workspaces send at many times their rate for seconds.
//
// Algorithm: each workspace is owned by one host, which is chosen by rendezvous
// hashing of the names of host and workspace and keeps the workspace's token
// bucket. The other hosts ask the owner for a token for each request. The token
// is taken before the request proceeds, so a lost reply costs only a token. The
// bucket of a new owner starts partly filled, because the previous owner's
// bucket may have been emptied just before.
//
// Partitions: a host that cannot reach the owner asks the second one, which relays
// the request to the first, through another host if necessary, preferably in a third
// data centre. Only if that fails do others than the first owner grant tokens: at
// first as many as the platform tolerates beyond the rate, and later the share of the
// hosts that they stand for. By then the first owner knows which data centres it has
// lost, and leaves them their share (Reach).
//
// Trade-offs: for up to 3 s after the loss of an owner a workspace gets a tenth of
// its rate, since the owner may live on in a part of the network that cannot be
// reached. The share of a data centre that has lost its power is left unused until
// its hosts are dropped.
//
// Alternatives: a static share per host refuses callers that use a single host.
// Shares under leases need a store call for each renewal, and after the loss of
// an owner its share is unavailable until the lease expires. A store transaction
// per request costs more than the request itself.
package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// initialFill is the share of the burst with which a new bucket is filled.
	initialFill = 0.5
	// initialTime bounds the fill of a workspace's new bucket, as the tokens of this time:
	// its previous owner may have granted the whole burst just before, and beyond
	// rate and burst the platform tolerates a tenth.
	initialTime = 500 * time.Millisecond
)

// InitialFill returns the tokens of a new bucket for which half a burst beyond the limit
// is tolerated when the owner changes.
func InitialFill(burst float64) float64 { return initialFill * burst }

// BoundedFill returns the tokens of a new bucket for which it is not, as the burst may be
// many times the rate.
func BoundedFill(rate, burst float64) float64 {
	return min(InitialFill(burst), rate*initialTime.Seconds())
}

// Shares of a rate that owners grant.
const (
	// overlapShare is the share of the second owner when it has just lost the
	// first. The platform tolerates a tenth more than a rate, and the first owner
	// may only have lost this host.
	overlapShare = 0.1
	// partitionShare is the share of each of two owners between which the network
	// is probably partitioned.
	partitionShare = 0.5
	// cutDelay is the time after which an owner knows which data centres are cut
	// off from it, and partitionDelay the one after which an owner that has lost
	// most hosts knows that. Both follow from how package hostd finds out.
	cutDelay       = 1500 * time.Millisecond
	partitionDelay = 3 * time.Second
)

// Reach is what a host knows of a partition when it grants a share of a rate.
type Reach struct {
	// Hosts is the number of hosts, and Reached that of those in data centres that
	// are not cut off from this host.
	Hosts, Reached int
	// Isolated is set if the host has probably lost most other hosts.
	Isolated bool
	// OwnerMissing is how long the first owner has not been reached, and OwnerCut is
	// set if its whole data centre is cut off.
	OwnerMissing time.Duration
	OwnerCut     bool
}

// OwnerShare returns the share of a rate that its first owner grants. It leaves the
// hosts of data centres that are cut off to grant their own shares.
func (r Reach) OwnerShare() float64 {
	if r.Isolated {
		return min(partitionShare, r.reachedShare())
	}
	return r.reachedShare()
}

// FailoverShare returns the share that the second owner grants when neither it nor
// a host of another data centre reaches the first.
func (r Reach) FailoverShare() float64 {
	switch {
	case r.OwnerCut && r.OwnerMissing >= cutDelay:
		return r.reachedShare()
	case r.OwnerMissing < partitionDelay:
		return overlapShare
	}
	return partitionShare
}

// OwnShare returns the shares of the rate and of the burst that each host grants
// that reaches no owner. The first owner may just have granted the burst.
func (r Reach) OwnShare() (rate, burst float64) {
	rate = 1 / float64(max(r.Hosts, 1))
	return rate, overlapShare * rate
}

func (r Reach) reachedShare() float64 {
	if r.Hosts == 0 {
		return 1
	}
	return float64(r.Reached) / float64(r.Hosts)
}

// Bucket is the token bucket of one workspace. It is not safe for concurrent
// use.
type Bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns the bucket of an owner whose ownership began at since, with some
// tokens at that time and at least one.
func NewBucket(since time.Time, initial float64) *Bucket {
	return &Bucket{tokens: max(initial, 1), updatedAt: since}
}

// TakeOver bounds the tokens of a host that has become the owner at since, as the
// previous owner may have granted all of them just before, to some initial ones and those
// of the time since.
func (b *Bucket) TakeOver(since, now time.Time, rate, initial float64) {
	b.tokens = min(b.tokens, max(initial, 1)+rate*max(now.Sub(since).Seconds(), 0))
	b.updatedAt = now
}

// Take takes a token. If there is none, it returns the time until the next one
// is available.
func (b *Bucket) Take(now time.Time, rate, burst float64) (ok bool, after time.Duration) {
	return b.TakeAbove(now, rate, burst, 0)
}

// TakeAbove is Take if a share of the burst must remain after it. A full bucket always
// grants a token.
func (b *Bucket) TakeAbove(now time.Time, rate, burst, remain float64) (ok bool, after time.Duration) {
	burst = max(burst, 1)
	b.tokens = min(b.tokens+rate*max(now.Sub(b.updatedAt).Seconds(), 0), burst)
	b.updatedAt = now
	need := min(1+remain*burst, burst)
	if b.tokens >= need-tokenTolerance {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((need - b.tokens) / rate * float64(time.Second))
}

// Idle reports whether the bucket has been unused for so long that it can be
// assumed to be full, whatever its rate.
func (b *Bucket) Idle(now time.Time) bool { return now.Sub(b.updatedAt) > idleTimeout }

const idleTimeout = time.Minute

// tokenTolerance bounds the rounding error of the fill level after many small
// refills, in tokens.
const tokenTolerance = 1e-9

// RankOwners ranks hosts by rendezvous hashing for a workspace. The first one is
// the owner.
func RankOwners(workspace string, hosts []string) []string {
	type ranked struct {
		host   string
		weight uint64
	}
	ranking := make([]ranked, len(hosts))
	for i, h := range hosts {
		ranking[i] = ranked{h, rendezvousWeight(workspace, h)}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	out := make([]string, len(ranking))
	for i, r := range ranking {
		out[i] = r.host
	}
	return out
}

func rendezvousWeight(workspace, host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(workspace)) //nolint:errcheck // hash.Hash.Write never returns an error
	h.Write([]byte{0})         //nolint:errcheck // hash.Hash.Write never returns an error
	h.Write([]byte(host))      //nolint:errcheck // hash.Hash.Write never returns an error
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. FNV-1a alone gives similar hashes
// to names that differ little.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
