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

// maxConfigHistory is how many configurations a daemon remembers for computing
// shares while a change spreads.
const maxConfigHistory = 16

// configHistory is the configurations that this daemon has served by, oldest first.
type configHistory struct {
	mu      sync.Mutex
	configs []Config
}

// add adds a configuration unless it is the newest already.
func (h *configHistory) add(cfg Config) []Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.configs)
	if n > 0 && h.configs[n-1].Revision() >= cfg.Revision() {
		return h.configs
	}
	// The slice is replaced, not changed, since readers hold the former one.
	keep := h.configs[max(0, n-maxConfigHistory+1):]
	h.configs = append(slices.Clone(keep), cfg)
	return h.configs
}

// dataCentres lists those of all remembered configurations.
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

// shardState is what the rows of a shard say about the configurations by which
// its owners compute their shares.
type shardState struct {
	// minOwnerRevision is the lowest revision of all minOwnerRevision, 0 if one is missing.
	minOwnerRevision uint64
	// minRevision is the lowest revision of minRevision rows and reservations.
	minRevision uint64
	// maxRevision is the highest revision of all rows.
	maxRevision uint64
	// removedDataCentres lists the data centres that are no longer configured but whose
	// rows have not been retired.
	removedDataCentres []string
	// reservedFraction is the sum of all reserved fractions.
	reservedFraction float64
}

// shareFunc returns which part of a workspace's rate and burst an owner may use by
// one configuration, or false if that has no such workspace.
type shareFunc func(cfg Config) (float64, bool)

// safeShare returns the part that an owner may use. When all owners of the
// shard serve by the configuration that last changed the workspace's limits, it
// is that of the newest. Until then it is the least by all configurations that
// some owner may still serve by, so that the parts never sum to more than 1.
func safeShare(configs []Config, state shardState, workspace string, share shareFunc) float64 {
	cfg := configs[len(configs)-1]
	w, _ := cfg.Workspace(workspace)
	p, ok := share(cfg)
	lastChanged := max(w.Since, cfg.DataCentresSince())
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

// minShare returns the least part by the configuration in force at the given
// revision and all later ones. Those without the workspace grant nothing to
// anybody and don't count.
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

// shardPrefix starts the keys of the rows of a shard.
func shardPrefix(shard int) string { return fmt.Sprintf("limit/%d/", shard) }

// maxShardRows bounds the rows read of one shard.
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

// newShardState derives the agreement from the rows of a shard: those of the data
// centres known to this daemon, and all others that have not been retired.
func newShardState(rows []platform.Row, shard int, configs []Config) shardState {
	since := configs[len(configs)-1].DataCentresSince()
	present := configs[len(configs)-1].DataCentres()
	found := map[string]limit.Record{}
	for _, row := range rows {
		var rec limit.Record
		if json.Unmarshal(row.Value, &rec) == nil {
			found[strings.TrimPrefix(row.Key, shardPrefix(shard))] = rec
		}
	}
	for _, dc := range present {
		if _, ok := found[dc]; !ok {
			return shardState{}
		}
	}
	a := shardState{minOwnerRevision: math.MaxUint64, minRevision: math.MaxUint64}
	for dc, rec := range found {
		removed := !slices.Contains(present, dc)
		if removed && rec.Retired && rec.Revision >= since {
			continue
		}
		if removed {
			a.removedDataCentres = append(a.removedDataCentres, dc)
		}
		a.add(rec)
	}
	return a
}

func (a *shardState) add(rec limit.Record) {
	a.maxRevision = max(a.maxRevision, rec.Revision)
	a.minOwnerRevision = min(a.minOwnerRevision, rec.Revision)
	a.minRevision = min(a.minRevision, rec.Revision)
	for _, r := range rec.Standing {
		a.reservedFraction += r.Fraction
		a.minRevision = min(a.minRevision, r.Revision)
	}
}

// refreshShardState reads the shard's rows while some owner may not yet serve by
// the newest configuration. While another owner serves by a newer one than this
// daemon knows, its rows say nothing about the layouts in between, and the
// former agreement stays.
func (s *Service) refreshShardState(ctx context.Context, o *owner) {
	configs := s.configs()
	if len(configs) == 0 {
		return
	}
	newest := configs[len(configs)-1].Revision()
	if o.shardState().minRevision >= newest {
		return
	}
	a, err := s.readShardState(ctx, o.row.Shard, configs)
	if err == nil && a.maxRevision <= newest {
		o.setShardState(a)
	}
}

func (o *owner) shardState() shardState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard
}

func (o *owner) setShardState(a shardState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shard = a
}
