package limiter

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// maxConcurrentRows is the maximum number of rows processed concurrently.
const maxConcurrentRows = 32

// maxScheduledRows bounds the queue of rows to be processed before the next
// step.
const maxScheduledRows = 64

// startupInterval is the time between steps while some row has not been read
// yet.
const startupInterval = 200 * time.Millisecond

// rowWatch is a candidate's view of a row that another daemon owns.
type rowWatch struct {
	watch  limit.VersionWatch
	record limit.Record
}

// Run renews this daemon's rows and acquires those of failed owners until ctx
// is cancelled.
func (s *Service) Run(ctx context.Context) error {
	s.startedAt = s.opts.Clock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case row := <-s.scheduled:
			s.stepRow(ctx, row)
		case <-timer.C:
			start := time.Now()
			s.Step(ctx)
			timer.Reset(max(0, s.interval()-time.Since(start)))
		}
	}
}

// interval is the time between two steps.
func (s *Service) interval() time.Duration {
	if s.opts.Config() == nil {
		return startupInterval
	}
	for _, row := range s.assignedRows() {
		if !s.hasRead(row) {
			return startupInterval
		}
	}
	return s.opts.LeaseDuration / renewalsPerLease
}

// hasRead reports whether this daemon has read a row that it watches, or all
// rows of the shard of a row that it owns.
func (s *Service) hasRead(row rowID) bool {
	if o := s.ownerOf(row); o != nil {
		return o.shardState().minOwnerRevision > 0
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.watches[row] != nil
}

// schedule makes Run process a row immediately. If the queue is full, the row
// waits for the next step.
func (s *Service) schedule(row rowID) {
	select {
	case s.scheduled <- row:
	default:
	}
}

// Step processes each assigned row once: it renews the lease of an owned row
// and checks whether another one can be acquired.
func (s *Service) Step(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(s.maxConcurrentRows)
	for _, row := range s.assignedRows() {
		g.Go(func() error {
			s.stepRow(ctx, row)
			return nil
		})
	}
	g.Wait() //nolint:errcheck // no step returns an error
}

// assignedRows lists the rows that this daemon owns or may acquire.
func (s *Service) assignedRows() []rowID {
	configs := s.configs()
	if len(configs) == 0 {
		return nil
	}
	rows := s.removedRows()
	for _, h := range limit.Holders(configs[len(configs)-1].DataCentres()) {
		for shard := range s.opts.Shards {
			row := rowID{Holder: h, Shard: shard}
			if s.ownerOf(row) != nil || s.isCandidate(row) {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// removedRows lists the rows of removed data centres that this daemon owns, or
// that still reduce the shares in a shard of which it owns a row. The latter
// are included because the daemons of a removed data centre may not know of its
// rows any more.
func (s *Service) removedRows() []rowID {
	present := s.opts.Config().DataCentres()
	rows := map[rowID]bool{}
	for _, o := range s.owned() {
		if !slices.Contains(present, o.row.DataCentre) {
			rows[o.row] = true
		}
		for _, h := range o.shardState().removedHolders {
			if !slices.Contains(present, h.DataCentre) {
				rows[rowID{Holder: h, Shard: o.row.Shard}] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(rows), compareRows)
}

func compareRows(a, b rowID) int { return strings.Compare(a.key(), b.key()) }

func (s *Service) isCandidate(row rowID) bool {
	for _, d := range candidates(s.opts, row) {
		if d.Host == s.opts.Self.Host {
			return true
		}
	}
	return false
}

func (s *Service) stepRow(ctx context.Context, row rowID) {
	o := s.ownerOf(row)
	if o == nil {
		s.watchRow(ctx, row)
		o = s.ownerOf(row)
	} else {
		s.renew(ctx, o)
	}
	if o != nil && s.rebalance(ctx, o) {
		return
	}
	if o != nil {
		s.refreshShardState(ctx, o)
		s.refillBuckets(o)
	}
}

// readRow reads a row. A missing row has version 0 and an empty record.
func (s *Service) readRow(ctx context.Context, row rowID) (limit.Record, uint64, error) {
	s.counters.tableReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	r, err := s.opts.Table.Get(ctx, row.key())
	if platform.IsKind(err, platform.KindNotFound) {
		return limit.Record{}, 0, nil
	}
	if err != nil {
		return limit.Record{}, 0, err
	}
	var rec limit.Record
	err = json.Unmarshal(r.Value, &rec)
	return rec, r.Version, errors.Wrapf(err, "row %s", row.key())
}

// writeRow replaces the row if it has the given version and returns the new
// version. It reads the row back, which also resolves a commit with an
// uncertain outcome.
func (s *Service) writeRow(ctx context.Context, row rowID, version uint64, rec limit.Record) (uint64, error) {
	rec.WriteID = s.writeSeq.Add(1)
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrapf(err, "row %s", row.key())
	}
	s.counters.tableWrites.Add(1)
	err = s.commit(ctx, row, version, value)
	if err != nil && !platform.IsKind(err, platform.KindUncertain) {
		return 0, err
	}
	found, now, rerr := s.readRow(ctx, row)
	if rerr != nil {
		return 0, rerr
	}
	if found.Owner != rec.Owner || found.Epoch != rec.Epoch || found.WriteID != rec.WriteID {
		return 0, &platform.Error{Kind: platform.KindConflict, Op: "commit " + row.key()}
	}
	return now, nil
}

func (s *Service) commit(ctx context.Context, row rowID, version uint64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	return s.opts.Table.Commit(ctx, platform.Txn{
		Require: []platform.Precondition{{Key: row.key(), Version: version}},
		Writes:  []platform.Write{{Key: row.key(), Value: value}},
	})
}
