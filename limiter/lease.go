package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// yield ends a lapsed session of the epoch. It reports whether this daemon
// grants nothing in that epoch any more.
func (o *owner) yield(now time.Time, epoch uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease.Record.Epoch != epoch {
		return o.lease.Record.Epoch > epoch
	}
	if o.lease.Lapsed(now, o.policy) {
		o.lease.Ended = true
	}
	return o.lease.Ended
}

// renew renews the lease of a row, or gives the row up when another daemon has
// taken it.
func (s *Service) renew(ctx context.Context, o *owner) {
	start := s.opts.Clock()
	if o.hasEnded() {
		s.endOwnership(o)
		return
	}
	if s.retire(ctx, o) {
		return
	}
	rec, version, elapsed := o.renewalState(start)
	next := rec.Renew(elapsed, s.stoppedCheck(ctx, o.row), s.revision())
	newVersion, err := s.writeRow(ctx, o.row, version, next)
	if err == nil {
		s.counters.renewals.Add(1)
		o.recordRenewal(start, s.opts.Clock(), next, newVersion)
		return
	}
	s.counters.renewFailures.Add(1)
	if platform.IsKind(err, platform.KindConflict) {
		s.resolveConflict(ctx, o)
	}
}

// retire gives up the row of a data centre that is no longer configured. The
// session ends first, so that a lost reply leaves a row that lapses.
func (s *Service) retire(ctx context.Context, o *owner) bool {
	cfg := s.opts.Config()
	if cfg == nil || slices.Contains(cfg.DataCentres(), o.row.DataCentre) {
		return false
	}
	rec, version, _ := o.renewalState(s.opts.Clock())
	next, ok := rec.Retire(s.revision())
	if !ok {
		return false
	}
	s.endOwnership(o)
	s.writeRow(ctx, o.row, version, next) //nolint:errcheck // taken and retired later
	return true
}

// resolveConflict finds out whether this daemon still owns a row after a conflict.
func (s *Service) resolveConflict(ctx context.Context, o *owner) {
	found, version, err := s.readRow(ctx, o.row)
	if err != nil {
		return
	}
	if found.Owner == s.opts.owner() && o.adoptRecord(found, version, s.opts.Clock()) {
		return
	}
	s.endOwnership(o)
	s.counters.lost.Add(1)
	s.opts.Logger.Warn("limit row lost", "row", o.row.key(), "owner", found.Owner.Host)
}

func (s *Service) endOwnership(o *owner) {
	o.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[o.row] == o {
		delete(s.owners, o.row)
	}
}

func (o *owner) hasEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Ended
}

func (o *owner) renewalState(now time.Time) (limit.Record, uint64, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Record, o.version, now.Sub(o.writtenAt)
}

func (o *owner) recordRenewal(start, now time.Time, rec limit.Record, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Record = rec
	o.lease.RenewedAt = start
	o.version = version
	o.writtenAt = now
}

// adoptRecord takes a record of the same epoch that an earlier, uncertain write left
// in the table. It does not renew the lease.
func (o *owner) adoptRecord(rec limit.Record, version uint64, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if rec.Epoch != o.lease.Record.Epoch || rec.Released {
		return false
	}
	o.lease.Record = rec
	o.version = version
	o.writtenAt = now
	return true
}

func (s *Service) revision() uint64 {
	configs := s.configs()
	if len(configs) == 0 {
		return 0
	}
	return configs[len(configs)-1].Revision()
}

// stoppedCheck returns a check of whether the holder of a reservation has stopped
// granting.
func (s *Service) stoppedCheck(ctx context.Context, row rowID) func(limit.Reservation) bool {
	return func(r limit.Reservation) bool {
		return s.hasStopped(ctx, row, r.Owner, r.Epoch)
	}
}

// hasStopped asks a former owner whether it still grants in an epoch. Only an
// answer proves anything: of a later incarnation, or that it has stepped down.
func (s *Service) hasStopped(ctx context.Context, row rowID, former limit.Owner, epoch uint64) bool {
	if s.isSelf(former) {
		return former.Incarnation < s.opts.Self.Incarnation || s.yield(row, epoch)
	}
	var reply yieldReply
	if s.call(former.Addr, methodYield, yieldRequest{Row: row, Epoch: epoch}, &reply) != nil {
		return false
	}
	return reply.Incarnation > former.Incarnation || (reply.Incarnation == former.Incarnation && !reply.MayGrant)
}

// isSelf reports whether an owner is a run of this daemon, this one or earlier.
func (s *Service) isSelf(o limit.Owner) bool {
	return o.Host == s.opts.Self.Host && o.Addr == s.opts.Self.RPCAddr
}

// watchRow reads a row that another daemon owns and takes it over when it may.
func (s *Service) watchRow(ctx context.Context, row rowID) {
	start := s.opts.Clock()
	rec, version, err := s.readRow(ctx, row)
	if err != nil {
		return
	}
	unchanged := s.observe(row, rec, version, start)
	status := s.ownerStatus(ctx, row, rec, unchanged)
	next, ok := rec.TakeOver(s.opts.owner(), s.policy, status, s.revision())
	if !ok || !s.startupDelayPassed(row) {
		return
	}
	s.acquireRow(ctx, row, rec, version, next)
}

// observe notes a read and returns for how long the row has not changed.
func (s *Service) observe(row rowID, rec limit.Record, version uint64, start time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.watches[row]
	if !ok {
		w = &rowWatch{}
		s.watches[row] = w
	}
	w.record = rec
	if h, ok := s.handovers[row]; ok && h.Epoch < rec.Epoch {
		delete(s.handovers, row)
	}
	w.watch.See(version, s.opts.Clock())
	return w.watch.Unchanged(start)
}

func (s *Service) ownerStatus(ctx context.Context, row rowID, rec limit.Record, unchanged time.Duration) limit.Evidence {
	if rec.Epoch == 0 || s.hasLevelsFrom(row, rec.Epoch) {
		return limit.EvidenceGone
	}
	early := unchanged < s.policy.Lease/renewalsPerLease
	if rec.Released && (rec.Heir == "" || !early) {
		return limit.EvidenceGone
	}
	if early && !s.isSelf(rec.Owner) {
		return limit.EvidenceNone
	}
	if s.hasStopped(ctx, row, rec.Owner, rec.Epoch) {
		return limit.EvidenceGone
	}
	if unchanged >= s.policy.WatchTime() {
		return limit.EvidenceLapsed
	}
	return limit.EvidenceNone
}

// acquireRow claims a row and starts its session.
func (s *Service) acquireRow(ctx context.Context, row rowID, former limit.Record, version uint64, next limit.Record) {
	if s.isStopping() {
		return
	}
	start := s.opts.Clock()
	newVersion, err := s.writeRow(ctx, row, version, next)
	if err != nil {
		return
	}
	now := s.opts.Clock()
	o := &owner{
		row:       row,
		policy:    s.policy,
		lease:   limit.Session{Record: next, RenewedAt: start},
		version:   newVersion,
		writtenAt: now,
		buckets:   map[string]*bucket{},
	}
	s.restoreLevels(o, former.Epoch, now)
	if !s.install(o) {
		return
	}
	s.counters.takeovers.Add(1)
	s.opts.Logger.Info("limit row taken", "row", row.key(), "epoch", next.Epoch, "fraction", next.Fraction)
}

// install starts a session, unless this daemon has meanwhile told others that
// it will grant nothing in the session's epoch.
func (s *Service) install(o *owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handovers, o.row)
	if s.stopping || o.lease.Record.Epoch <= s.yieldedEpochs[o.row] {
		return false
	}
	s.owners[o.row] = o
	return true
}
