package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/platform"
)

// deferredWrite is the last write of a claim that the table has not accepted.
type deferredWrite struct {
	claim  *Claim
	next   record
	remove bool
}

// deferredWrites queues the last writes of claims during a table outage.
type deferredWrites struct {
	mu      sync.Mutex
	writes  []deferredWrite
	dropped int64
}

func (d *deferredWrites) add(opts *Options, w deferredWrite) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.writes) >= opts.MaxDeferred {
		d.dropped++
		return
	}
	d.writes = append(d.writes, w)
}

func (d *deferredWrites) drain() []deferredWrite {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.writes
	d.writes = nil
	return all
}

func (d *deferredWrites) count() (waiting, dropped int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(len(d.writes)), d.dropped
}

// deferredRetryInterval is the time between two retries of deferred writes.
const deferredRetryInterval = time.Second

// Run retries deferred writes and removes expired rows until ctx is cancelled.
func (s *Store) Run(ctx context.Context) error {
	retry := time.NewTicker(deferredRetryInterval)
	defer retry.Stop()
	sweep := time.NewTicker(s.opts.SweepInterval)
	defer sweep.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
			s.RetryDeferred(ctx)
		case <-sweep.C:
			after = s.Sweep(ctx, after)
		}
	}
}

// RetryDeferred retries the deferred writes. Those that fail again are kept for
// the next retry.
func (s *Store) RetryDeferred(ctx context.Context) {
	for _, w := range s.deferred.drain() {
		w.claim.finalize(ctx, w.next, w.remove) //nolint:errcheck // failed writes are deferred again
	}
}

// Sweep removes the expired rows among the next SweepBatch rows after the given
// key. It returns the key to continue from, or an empty string at the end.
func (s *Store) Sweep(ctx context.Context, after string) string {
	rows, err := s.scan(ctx, after)
	if err != nil {
		return after
	}
	s.remove(ctx, s.expired(rows))
	if len(rows) < s.opts.SweepBatch {
		return ""
	}
	return rows[len(rows)-1].Key
}

func (s *Store) scan(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	return s.table.Scan(ctx, keyPrefix, after, s.opts.SweepBatch)
}

// expired returns the rows whose retention period has ended.
func (s *Store) expired(rows []platform.Row) []platform.Row {
	now := s.opts.Clock()
	var expired []platform.Row
	for _, row := range rows {
		var rec record
		if json.Unmarshal(row.Value, &rec) == nil && rec.expired(now) {
			expired = append(expired, row)
		}
	}
	return expired
}

// remove deletes the rows that have not changed since they were read.
func (s *Store) remove(ctx context.Context, rows []platform.Row) {
	var g errgroup.Group
	for _, row := range rows {
		g.Go(func() error {
			err := s.committer.commit(ctx, &change{key: row.Key, version: row.Version, remove: true})
			if err == nil {
				s.counters.swept.Add(1)
			}
			return nil
		})
	}
	g.Wait() //nolint:errcheck // no goroutine returns an error; the next sweep retries
}
