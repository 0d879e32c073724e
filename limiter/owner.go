package limiter

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// owner is this daemon's ownership of one row: the lease and the buckets.
type owner struct {
	row    rowID
	policy limit.Policy

	mu      sync.Mutex
	shard   shardState
	lease   limit.Lease
	version uint64
	// writtenAt is when the last write of the row was confirmed.
	writtenAt time.Time
	buckets   map[string]*bucket
	// outrankedSteps counts consecutive steps in which another daemon was the
	// preferred candidate.
	outrankedSteps int
}

// bucket is a workspace's token bucket with the state of its pulls.
type bucket struct {
	limit.Bucket
	// pullDone is closed when the current pull ends. It is nil if there is
	// none.
	pullDone chan struct{}
	// noPullUntil is when the next pull may start.
	noPullUntil time.Time
}

// workspaceLimits holds what the configuration grants a workspace.
type workspaceLimits struct {
	configs []Config
	total   limit.Params
	layout  limit.Layout
}

// grant is the result of taking tokens from a bucket.
type grant struct {
	n          int
	retryAfter time.Duration
	// noShare reports that this owner has no share of the workspace.
	noShare bool
	// canPull reports that a pull from other owners may be started now.
	canPull bool
	// pullDone is closed when the current pull ends. It is nil if there is
	// none.
	pullDone <-chan struct{}
}

// take grants up to n tokens. ok is false if the lease allows no grant.
func (o *owner) take(now time.Time, limits workspaceLimits, workspace string, n int) (g grant, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, params, ok := o.bucket(now, limits, workspace)
	if !ok {
		return grant{}, false
	}
	if params.Capacity <= 0 {
		return grant{noShare: true}, true
	}
	g.n = b.Take(now, params, n)
	if g.n < n {
		g.retryAfter = max(b.RetryAfter(limits.total.Rate), b.noPullUntil.Sub(now))
		g.pullDone = b.pullDone
		g.canPull = b.pullDone == nil && !now.Before(b.noPullUntil)
	}
	return g, true
}

// give deducts up to want tokens for the owner in another data centre.
func (o *owner) give(now time.Time, limits workspaceLimits, workspace string, want int) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, params, ok := o.bucket(now, limits, workspace)
	if !ok {
		return 0, false
	}
	return b.TransferOut(now, params, want), true
}

// startPull reserves room for up to want tokens. It returns 0 if there is no
// room or a pull is in progress. The channel is closed when the pull ends.
func (o *owner) startPull(now time.Time, limits workspaceLimits, workspace string, want int) (int, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, params, ok := o.bucket(now, limits, workspace)
	if !ok || b.pullDone != nil {
		return 0, nil
	}
	reserved := b.Reserve(now, params, want)
	if reserved > 0 {
		b.pullDone = make(chan struct{})
	}
	return reserved, b.pullDone
}

// endPull ends a pull that received got tokens. No further pull starts before
// noPullUntil. The tokens are discarded if the lease has ended; endPull returns
// their number.
func (o *owner) endPull(now time.Time, limits workspaceLimits, workspace string, reserved, got int, noPullUntil time.Time) (lost int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.buckets[workspace]
	if !ok || b.pullDone == nil {
		return got
	}
	if _, params, ok := o.bucket(now, limits, workspace); ok {
		b.Deposit(now, params, reserved, got)
	} else {
		b.Release(reserved)
		lost = got
	}
	b.noPullUntil = noPullUntil
	close(b.pullDone)
	b.pullDone = nil
	return lost
}

// bucket returns the workspace's bucket and its current parameters.
func (o *owner) bucket(now time.Time, limits workspaceLimits, workspace string) (*bucket, limit.Params, bool) {
	if !o.lease.CanGrant(now, o.policy) {
		return nil, limit.Params{}, false
	}
	params := limits.total.Scale(safeShare(limits.configs, o.shard, workspace, func(cfg Config) (float64, bool) {
		return o.share(now, cfg, workspace)
	}))
	b, ok := o.buckets[workspace]
	if !ok {
		b = &bucket{Bucket: limit.NewBucket(now, params, 0)}
		o.buckets[workspace] = b
	}
	return b, params, true
}

// share returns the share of a workspace that this owner may use under the
// given configuration.
func (o *owner) share(now time.Time, cfg Config, workspace string) (float64, bool) {
	w, ok := cfg.Workspace(workspace)
	if !ok {
		return 0, false
	}
	share := limit.NewLayout(cfg.DataCentres(), workspace, w.Burst).Share(o.row.Holder)
	return share * o.lease.Fraction(now, o.policy, share*float64(w.Burst)), true
}

// restoreLevel initializes a bucket with a level received from the former
// owner.
func (o *owner) restoreLevel(now time.Time, limits workspaceLimits, l handoverLevel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, params, ok := o.bucket(now, limits, l.Workspace); ok {
		b.Bucket = limit.NewBucket(now, params, l.Level)
	}
}

// end stops granting permanently.
func (o *owner) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endLocked()
}

func (o *owner) endLocked() {
	o.lease.Ended = true
	for _, b := range o.buckets {
		if b.pullDone != nil {
			close(b.pullDone)
			b.pullDone = nil
		}
	}
	o.buckets = map[string]*bucket{}
}

// drainLevels stops granting permanently and returns the remaining levels.
func (o *owner) drainLevels(now time.Time, configs []Config) []handoverLevel {
	o.mu.Lock()
	defer o.mu.Unlock()
	var levels []handoverLevel
	for w := range o.buckets {
		limits, ok := newWorkspaceLimits(configs, w)
		if !ok {
			continue
		}
		b, params, ok := o.bucket(now, limits, w)
		if !ok {
			break
		}
		b.Update(now, params)
		if b.Level() > 0 {
			levels = append(levels, handoverLevel{Workspace: w, Level: b.Level()})
		}
	}
	o.endLocked()
	return levels
}

func (o *owner) stats(now time.Time) (owned, expired, buckets int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease.Ended {
		return 0, 0, 0
	}
	if o.lease.Expired(now, o.policy) {
		expired = 1
	}
	return 1, expired, int64(len(o.buckets))
}
