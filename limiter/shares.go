package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// maxConfigHistory is the number of configurations kept for computing shares
// while a change propagates.
const maxConfigHistory = 16

// configHistory holds the configurations that this daemon has used, oldest
// first.
type configHistory struct {
	mu      sync.Mutex
	configs []Config
}

// add appends a configuration unless its revision is already known.
func (h *configHistory) add(cfg Config) []Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.configs)
	if n > 0 && h.configs[n-1].Revision() >= cfg.Revision() {
		return h.configs
	}
	// Build a new slice, because readers may hold the old one.
	keep := h.configs[max(0, n-maxConfigHistory+1):]
	h.configs = append(slices.Clone(keep), cfg)
	return h.configs
}

// dataCentres returns the data centres of all given configurations.
func dataCentres(configs []Config) []string {
	var all []string
	for _, cfg := range configs {
		for _, dc := range cfg.DataCentres() {
			if !slices.Contains(all, dc) {
				all = append(all, dc)
			}
		}
	}
	return all
}

// shardState summarizes which configurations the owners of a shard use to
// compute their shares, according to the rows of the shard.
type shardState struct {
	// minOwnerRevision is the lowest revision in all rows, 0 if one is missing.
	minOwnerRevision uint64
	// minRevision is the lowest revision in all rows and reservations.
	minRevision uint64
	// maxRevision is the highest revision in all rows.
	maxRevision uint64
	// removedHolders lists the holders in data centres that are no longer
	// configured whose rows have not been retired.
	removedHolders []limit.Holder
	// reservedFraction is the sum of all reserved fractions.
	reservedFraction float64
}

// shareFunc returns the share of a workspace's rate and burst that an owner may
// use under a configuration, or false if the workspace is not configured there.
type shareFunc func(cfg Config) (float64, bool)

// safeShare returns the share that an owner may use. Once all owners of the
// shard use the configuration that last changed the workspace's limits, this is
// the share under the newest one. Until then it is the minimum over all
// configurations that some owner may still use, so that the shares never sum to
// more than 1.
func safeShare(configs []Config, state shardState, workspace string, share shareFunc) float64 {
	cfg := configs[len(configs)-1]
	w, _ := cfg.Workspace(workspace)
	p, ok := share(cfg)
	lastChanged := max(w.LastChanged, cfg.DataCentresLastChanged())
	switch {
	case !ok:
		return 0
	case lastChanged <= state.minRevision:
		return p
	case configs[0].Revision() <= state.minRevision:
		return minShare(configs, state.minRevision, share)
	case lastChanged <= state.minOwnerRevision:
		return p * max(0, 1-state.reservedFraction)
	}
	return 0
}

// minShare returns the minimum share under the configuration in force at the
// given revision and all later ones. Configurations without the workspace are
// ignored, since no owner grants anything under them.
func minShare(configs []Config, from uint64, share shareFunc) float64 {
	least := 1.0
	for i, cfg := range configs {
		if i+1 < len(configs) && configs[i+1].Revision() <= from {
			continue
		}
		if p, ok := share(cfg); ok {
			least = min(least, p)
		}
	}
	return least
}

// shardPrefix is the common key prefix of the rows of a shard.
func shardPrefix(shard int) string { return fmt.Sprintf("limit/%d/", shard) }

// maxShardRows bounds the number of rows read of one shard.
const maxShardRows = 256

// readShardState reads the rows of a shard.
func (s *Service) readShardState(ctx context.Context, shard int, configs []Config) (shardState, error) {
	s.counters.tableReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(ctx, shardPrefix(shard), "", maxShardRows)
	if err != nil {
		return shardState{}, err
	}
	return newShardState(rows, shard, configs), nil
}

// newShardState computes the state from the rows of a shard: those of the data
// centres known to this daemon, and all others that have not been retired.
func newShardState(rows []platform.Row, shard int, configs []Config) shardState {
	lastChanged := configs[len(configs)-1].DataCentresLastChanged()
	present := limit.Holders(configs[len(configs)-1].DataCentres())
	found := map[limit.Holder]limit.Record{}
	for _, row := range rows {
		var rec limit.Record
		if json.Unmarshal(row.Value, &rec) == nil {
			found[limit.ParseHolder(strings.TrimPrefix(row.Key, shardPrefix(shard)))] = rec
		}
	}
	for _, h := range present {
		if _, ok := found[h]; !ok {
			return shardState{}
		}
	}
	state := shardState{minOwnerRevision: math.MaxUint64, minRevision: math.MaxUint64}
	for h, rec := range found {
		removed := !slices.Contains(present, h)
		if removed && rec.Retired && rec.Revision >= lastChanged {
			continue
		}
		if removed {
			state.removedHolders = append(state.removedHolders, h)
		}
		state.add(rec)
	}
	return state
}

func (s *shardState) add(rec limit.Record) {
	s.maxRevision = max(s.maxRevision, rec.Revision)
	s.minOwnerRevision = min(s.minOwnerRevision, rec.Revision)
	s.minRevision = min(s.minRevision, rec.Revision)
	for _, r := range rec.Reservations {
		s.reservedFraction += r.Fraction
		s.minRevision = min(s.minRevision, r.Revision)
	}
}

// refreshShardState reads the shard's rows while some owner may not use the
// newest configuration yet. If another owner uses a newer configuration than
// this daemon knows, the rows reveal nothing about the layouts in between, so
// the previous state is kept.
func (s *Service) refreshShardState(ctx context.Context, o *owner) {
	configs := s.configs()
	if len(configs) == 0 {
		return
	}
	newest := configs[len(configs)-1].Revision()
	if o.shardState().minRevision >= newest {
		return
	}
	state, err := s.readShardState(ctx, o.row.Shard, configs)
	if err == nil && state.maxRevision <= newest {
		o.setShardState(state)
	}
}

func (o *owner) shardState() shardState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard
}

func (o *owner) setShardState(state shardState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard = state
}
