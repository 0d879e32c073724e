package limiter

import (
	"context"
	"time"
)

// Release releases all rows before a planned stop. The best other candidate of
// each row receives the bucket levels and acquires the row in its next step.
func (s *Service) Release(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for _, o := range s.owned() {
		s.releaseRow(ctx, o)
	}
}

func (s *Service) isStopping() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.stopping
}

func (s *Service) releaseRow(ctx context.Context, o *owner) {
	rec, version, _ := o.renewalState(s.opts.Clock())
	levels := s.drainLevels(o)
	s.endOwnership(o)
	successor := s.handOver(o.row, rec.Epoch, levels)
	s.writeRow(ctx, o.row, version, rec.Release(successor)) //nolint:errcheck // on failure the successor waits for the lease to expire
}

func (s *Service) drainLevels(o *owner) []handoverLevel {
	configs := s.configs()
	if len(configs) == 0 {
		o.end()
		return nil
	}
	return o.drainLevels(s.opts.Clock(), configs)
}

// handOver sends the bucket levels to the best reachable candidate and returns
// its host. If the message is lost, the tokens are lost with it.
func (s *Service) handOver(row rowID, epoch uint64, levels []handoverLevel) string {
	req := handoverRequest{Row: row, Epoch: epoch, Levels: levels}
	for _, d := range candidates(s.opts, row) {
		if d.Host == s.opts.Self.Host {
			continue
		}
		var reply handoverReply
		err := s.call(d.RPCAddr, methodHandover, req, &reply)
		if err == nil && reply.Accepted {
			s.counters.handedOver.Add(1)
			return d.Host
		}
	}
	return ""
}

// hasLevelsFrom reports whether the owner in the given epoch has sent its
// bucket levels to this daemon, which proves that it has stopped granting.
func (s *Service) hasLevelsFrom(row rowID, epoch uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.handovers[row]
	return ok && h.Epoch == epoch
}

// restoreLevels initializes the buckets with the levels received from the owner
// in the given epoch. Each level is capped at what this daemon may hold.
func (s *Service) restoreLevels(o *owner, epoch uint64, now time.Time) {
	s.mu.RLock()
	h, ok := s.handovers[o.row]
	s.mu.RUnlock()
	configs := s.configs()
	if !ok || h.Epoch != epoch || len(configs) == 0 {
		return
	}
	for _, l := range h.Levels {
		if limits, ok := newWorkspaceLimits(configs, l.Workspace); ok {
			o.restoreLevel(now, limits, l)
		}
	}
}
