package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// yield steps down if the lease in the given epoch has expired. It reports
// whether this daemon will grant nothing more in that epoch.
func (o *owner) yield(now time.Time, epoch uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease.Record.Epoch != epoch {
		return o.lease.Record.Epoch > epoch
	}
	if o.lease.Expired(now, o.policy) {
		o.lease.Ended = true
	}
	return o.lease.Ended
}

// renew renews the lease of a row, or drops the row if another daemon has
// acquired it.
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

// retire releases the row of a data centre that is no longer configured.
// Granting stops before the write, so if the write fails, the row is left with
// a lease that expires.
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
	s.writeRow(ctx, o.row, version, next) //nolint:errcheck // on failure the row is acquired and retired later
	return true
}

// resolveConflict determines after a conflict whether this daemon still owns
// the row.
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

// adoptRecord accepts a record of the same epoch that an earlier write with an
// uncertain outcome left in the table. It does not renew the lease.
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

// stoppedCheck returns a function that reports whether the holder of a
// reservation has stopped granting.
func (s *Service) stoppedCheck(ctx context.Context, row rowID) func(limit.Reservation) bool {
	return func(r limit.Reservation) bool {
		return s.hasStopped(ctx, row, r.Owner, r.Epoch)
	}
}

// hasStopped asks a former owner whether it still grants in an epoch. Only a
// reply is proof: either the daemon runs with a later incarnation, or it has
// stepped down.
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

// isSelf reports whether an owner is this daemon, in this or an earlier
// incarnation.
func (s *Service) isSelf(o limit.Owner) bool {
	return o.Host == s.opts.Self.Host && o.Addr == s.opts.Self.RPCAddr
}

// watchRow reads a row that another daemon owns and acquires it if that is
// allowed.
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

// observe records a read and returns how long the row has been unchanged.
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
	w.watch.Observe(version, s.opts.Clock())
	return w.watch.UnchangedFor(start)
}

func (s *Service) ownerStatus(ctx context.Context, row rowID, rec limit.Record, unchanged time.Duration) limit.OwnerStatus {
	if rec.Epoch == 0 || s.hasLevelsFrom(row, rec.Epoch) {
		return limit.OwnerStopped
	}
	early := unchanged < s.policy.LeaseDuration/renewalsPerLease
	if rec.Released && (rec.Successor == "" || !early) {
		return limit.OwnerStopped
	}
	if early && !s.isSelf(rec.Owner) {
		return limit.OwnerMayBeActive
	}
	if s.hasStopped(ctx, row, rec.Owner, rec.Epoch) {
		return limit.OwnerStopped
	}
	if unchanged >= s.policy.TakeoverDelay() {
		return limit.OwnerLeaseExpired
	}
	return limit.OwnerMayBeActive
}

// acquireRow writes the new record of a row and starts granting from it.
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
		lease:     limit.Lease{Record: next, RenewedAt: start},
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

// install registers the ownership of a row, unless the daemon is stopping or
// has meanwhile promised another daemon to grant nothing in this epoch.
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
