package limiter

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// shardIndex lists the workspaces of each shard in the newest configuration.
type shardIndex struct {
	mu       sync.Mutex
	revision uint64
	names    [][]string
}

// workspaces returns the workspaces of a shard.
func (x *shardIndex) workspaces(cfg Config, shard, shards int) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.names == nil || x.revision != cfg.Revision() {
		x.names = make([][]string, shards)
		for name := range cfg.Workspaces() {
			i := limit.Shard(name, shards)
			x.names[i] = append(x.names[i], name)
		}
		x.revision = cfg.Revision()
	}
	return x.names[shard]
}

// refillBuckets updates the buckets of all workspaces of the shard. This
// creates missing buckets, so that each one fills from the start of the
// ownership on, even if no tokens have been requested from it. Buckets of
// workspaces that are no longer configured are dropped.
func (s *Service) refillBuckets(o *owner) {
	configs := s.configs()
	if len(configs) == 0 {
		return
	}
	names := s.index.workspaces(configs[len(configs)-1], o.row.Shard, s.opts.Shards)
	o.refillBuckets(s.opts.Clock(), configs, names)
}

func (o *owner) refillBuckets(now time.Time, configs []Config, names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		limits, ok := newWorkspaceLimits(configs, name)
		if !ok {
			continue
		}
		b, params, ok := o.bucket(now, limits, name)
		if !ok {
			return
		}
		b.Update(now, params)
	}
	if len(o.buckets) > len(names) {
		o.dropUnconfigured(configs[len(configs)-1])
	}
}

// dropUnconfigured drops the buckets of workspaces that are not configured,
// except those with a pull in progress.
func (o *owner) dropUnconfigured(cfg Config) {
	for name, b := range o.buckets {
		if _, ok := cfg.Workspace(name); !ok && b.pullDone == nil {
			delete(o.buckets, name)
		}
	}
}
