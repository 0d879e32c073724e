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

// maxHistory is how many configurations a daemon remembers for computing
// shares while a change spreads.
const maxHistory = 16

// history is the configurations that this daemon has served by, oldest first.
type history struct {
	mu      sync.Mutex
	configs []Config
}

// note adds a configuration unless it is the newest already.
func (h *history) note(cfg Config) []Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.configs)
	if n > 0 && h.configs[n-1].Revision() >= cfg.Revision() {
		return h.configs
	}
	// The slice is replaced, not changed, since readers hold the former one.
	keep := h.configs[max(0, n-maxHistory+1):]
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

// agreement is what the rows of a shard say about the configurations by which
// its owners compute their shares.
type agreement struct {
	// rows is the lowest revision of all rows, 0 if one is missing.
	rows uint64
	// all is the lowest revision of all rows and reservations.
	all uint64
	// newest is the highest revision of all rows.
	newest uint64
	// removed lists the data centres that are no longer configured but whose
	// rows have not been retired.
	removed []string
	// stale is the sum of all reserved fractions.
	stale float64
}

// partOf returns which part of a workspace's rate and burst an owner may use by
// one configuration, or false if that has no such workspace.
type partOf func(cfg Config) (float64, bool)

// agreedPart returns the part that an owner may use. When all owners of the
// shard serve by the configuration that last changed the workspace's limits, it
// is that of the newest. Until then it is the least by all configurations that
// some owner may still serve by, so that the parts never sum to more than 1.
func agreedPart(configs []Config, agreed agreement, workspace string, part partOf) float64 {
	cfg := configs[len(configs)-1]
	w, _ := cfg.Workspace(workspace)
	p, ok := part(cfg)
	since := max(w.Since, cfg.DataCentresSince())
	switch {
	case !ok:
		return 0
	case since <= agreed.all:
		return p
	case configs[0].Revision() <= agreed.all:
		return leastPart(configs, agreed.all, part)
	case since <= agreed.rows:
		return p * max(0, 1-agreed.stale)
	}
	return 0
}

// leastPart returns the least part by the configuration in force at the given
// revision and all later ones. Those without the workspace grant nothing to
// anybody and don't count.
func leastPart(configs []Config, from uint64, part partOf) float64 {
	least := 1.0
	for i, cfg := range configs {
		if i+1 < len(configs) && configs[i+1].Revision() <= from {
			continue
		}
		if p, ok := part(cfg); ok {
			least = min(least, p)
		}
	}
	return least
}

// shardPrefix starts the keys of the rows of a shard.
func shardPrefix(shard int) string { return fmt.Sprintf("limit/%d/", shard) }

// maxShardRows bounds the rows read of one shard.
const maxShardRows = 256

// readAgreement reads the rows of a shard.
func (s *Service) readAgreement(ctx context.Context, shard int, configs []Config) (agreement, error) {
	s.counters.tableReads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(ctx, shardPrefix(shard), "", maxShardRows)
	if err != nil {
		return agreement{}, err
	}
	return agree(rows, shard, configs), nil
}

// agree derives the agreement from the rows of a shard: those of the data
// centres known to this daemon, and all others that have not been retired.
func agree(rows []platform.Row, shard int, configs []Config) agreement {
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
			return agreement{}
		}
	}
	a := agreement{rows: math.MaxUint64, all: math.MaxUint64}
	for dc, rec := range found {
		removed := !slices.Contains(present, dc)
		if removed && rec.Retired && rec.Revision >= since {
			continue
		}
		if removed {
			a.removed = append(a.removed, dc)
		}
		a.count(rec)
	}
	return a
}

func (a *agreement) count(rec limit.Record) {
	a.newest = max(a.newest, rec.Revision)
	a.rows = min(a.rows, rec.Revision)
	a.all = min(a.all, rec.Revision)
	for _, r := range rec.Standing {
		a.stale += r.Fraction
		a.all = min(a.all, r.Revision)
	}
}

// refreshAgreement reads the shard's rows while some owner may not yet serve by
// the newest configuration. While another owner serves by a newer one than this
// daemon knows, its rows say nothing about the layouts in between, and the
// former agreement stays.
func (s *Service) refreshAgreement(ctx context.Context, o *owner) {
	configs := s.configs()
	if len(configs) == 0 {
		return
	}
	newest := configs[len(configs)-1].Revision()
	if o.agreement().all >= newest {
		return
	}
	a, err := s.readAgreement(ctx, o.row.Shard, configs)
	if err == nil && a.newest <= newest {
		o.setAgreement(a)
	}
}

func (o *owner) agreement() agreement {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agreed
}

func (o *owner) setAgreement(a agreement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.agreed = a
}
