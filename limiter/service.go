package limiter

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// Decision is the result of Take.
type Decision struct {
	Allowed bool
	// RetryAfter is the advised delay before a retry if the request is denied.
	RetryAfter time.Duration
}

// Service enforces the limits of workspaces. Its methods are safe for
// concurrent use.
type Service struct {
	opts   Options
	policy limit.Policy
	// startedAt is when Run was called.
	startedAt time.Time
	counters  counters
	router    *router
	history   configHistory
	index     shardIndex

	mu      sync.RWMutex
	owners  map[rowID]*owner
	watches map[rowID]*rowWatch
	// handovers holds the bucket levels received from former owners.
	handovers map[rowID]handoverRequest
	// yieldedEpochs holds, for each row, the highest epoch in which this daemon
	// has promised to grant nothing.
	yieldedEpochs map[rowID]uint64
	// stopping is set by Release. No row is acquired after that.
	stopping bool

	writeSeq  atomic.Uint64
	scheduled chan rowID
	// maxConcurrentRows is the maximum number of rows processed concurrently.
	maxConcurrentRows int
	// maxPullWait bounds how long token requests wait for a pull.
	maxPullWait time.Duration

	batchersMu sync.Mutex
	batchers   map[rowID]*takeBatcher
}

// New returns a service. It owns no rows before Run is called.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts:              opts,
		policy:            opts.policy(),
		owners:            map[rowID]*owner{},
		watches:           map[rowID]*rowWatch{},
		handovers:         map[rowID]handoverRequest{},
		yieldedEpochs:     map[rowID]uint64{},
		maxConcurrentRows: maxConcurrentRows,

		maxPullWait: maxPullWait,
		scheduled:   make(chan rowID, maxScheduledRows),
		batchers:    map[rowID]*takeBatcher{},
	}
	s.router = newRouter(opts)
	return s
}

// Take requests one token of the workspace. The error is an *Error or wraps
// ctx.Err(). It never means that the rate was exceeded.
func (s *Service) Take(ctx context.Context, workspace string) (Decision, error) {
	s.counters.asks.Add(1)
	limits, err := s.workspaceLimits(workspace)
	if err != nil {
		return Decision{}, err
	}
	if limits.total.Rate <= 0 || limits.total.Capacity < 1 {
		return s.decide(takeGrant{RetryAfter: time.Minute}), nil
	}
	shard := limit.Shard(workspace, s.opts.Shards)
	var lastErr error
	for _, h := range s.holderOrder(limits, workspace) {
		g, err := s.takeFrom(ctx, rowID{Holder: h, Shard: shard}, workspace)
		if ctx.Err() != nil {
			return Decision{}, errors.Wrap(ctx.Err(), "waiting for the owner of the workspace's rate limit")
		}
		if err == nil && !g.NoShare {
			return s.decide(g), nil
		}
		if err != nil {
			lastErr = err
		}
	}
	s.counters.noOwner.Add(1)
	return Decision{}, &Error{Kind: KindNoOwner, Workspace: workspace, Err: lastErr}
}

// configs returns the configurations that this daemon has used, the current one
// last, or nil if there is none.
func (s *Service) configs() []Config {
	cfg := s.opts.Config()
	if cfg == nil {
		return nil
	}
	return s.history.add(cfg)
}

func (s *Service) workspaceLimits(workspace string) (workspaceLimits, error) {
	configs := s.configs()
	if len(configs) == 0 {
		return workspaceLimits{}, &Error{Kind: KindNoConfig, Workspace: workspace}
	}
	limits, ok := newWorkspaceLimits(configs, workspace)
	if !ok {
		return workspaceLimits{}, &Error{Kind: KindUnknownWorkspace, Workspace: workspace}
	}
	return limits, nil
}

func newWorkspaceLimits(configs []Config, workspace string) (workspaceLimits, bool) {
	cfg := configs[len(configs)-1]
	w, ok := cfg.Workspace(workspace)
	if !ok {
		return workspaceLimits{}, false
	}
	return workspaceLimits{
		configs: configs,
		total:   limit.Params{Rate: w.Rate, Capacity: float64(w.Burst)},
		layout:  limit.NewLayout(cfg.DataCentres(), workspace, w.Burst),
	}, true
}

// holderOrder lists the holders in the order in which their owners are called:
// those with a share, the local ones first, and then those that may still have
// a share under an earlier configuration.
func (s *Service) holderOrder(limits workspaceLimits, workspace string) []limit.Holder {
	order := limits.layout.Order(s.opts.Self.DataCentre, workspace)
	for _, h := range limit.Holders(dataCentres(limits.configs)) {
		if !slices.Contains(order, h) {
			order = append(order, h)
		}
	}
	return order
}

func (s *Service) decide(g takeGrant) Decision {
	if g.Granted > 0 {
		s.counters.allowed.Add(1)
		return Decision{Allowed: true}
	}
	s.counters.denied.Add(1)
	return Decision{RetryAfter: g.RetryAfter}
}

// takeFrom requests one token from the owner of a row.
func (s *Service) takeFrom(ctx context.Context, row rowID, workspace string) (takeGrant, error) {
	if o := s.ownerOf(row); o != nil {
		start := s.opts.Clock()
		grants, ok := s.grantAll(ctx, o, []takeItem{{Workspace: workspace, N: 1}})
		if age := s.opts.Clock().Sub(start); age >= s.opts.MaxReplyAge {
			s.counters.lateReplies.Add(1)
			return takeGrant{}, errors.Errorf("local grant dropped because it took %s", age.Round(time.Millisecond))
		}
		if ok {
			return grants[0], nil
		}
	}
	return s.batcherOf(row).take(ctx, workspace)
}

func (s *Service) ownerOf(row rowID) *owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.owners[row]
}

func (s *Service) owned() []*owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	owners := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		owners = append(owners, o)
	}
	return owners
}

func (s *Service) batcherOf(row rowID) *takeBatcher {
	s.batchersMu.Lock()
	defer s.batchersMu.Unlock()
	b, ok := s.batchers[row]
	if !ok {
		b = &takeBatcher{service: s, row: row}
		s.batchers[row] = b
	}
	return b
}
