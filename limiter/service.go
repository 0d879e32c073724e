package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// Decision is the answer to Take.
type Decision struct {
	Allowed bool
	// RetryAfter is when to try again if not allowed.
	RetryAfter time.Duration
}

// Service limits workspaces. Its methods may be called concurrently.
type Service struct {
	opts     Options
	policy   limit.Policy
	counters counters
	router   *router

	mu      sync.RWMutex
	owners  map[rowID]*owner
	watches map[rowID]*watched
	// handed holds levels that former owners passed to this daemon.
	handed map[rowID]handoverRequest
	// barred holds the highest epoch of a row in which this daemon has told
	// others that it will grant nothing.
	barred map[rowID]uint64
	// stopping is set by Release; no row is taken any more.
	stopping bool

	beats atomic.Uint64
	kicks chan rowID

	askersMu sync.Mutex
	askers   map[rowID]*asker
}

// New returns a service. It owns nothing until Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts:    opts,
		policy:  opts.policy(),
		owners:  map[rowID]*owner{},
		watches: map[rowID]*watched{},
		handed:  map[rowID]handoverRequest{},
		barred:  map[rowID]uint64{},
		kicks:   make(chan rowID, maxKicks),
		askers:  map[rowID]*asker{},
	}
	s.router = newRouter(opts)
	return s
}

// Take asks for one token of the workspace. The error is an *Error or that of
// ctx; it never means that the rate was exceeded.
func (s *Service) Take(ctx context.Context, workspace string) (Decision, error) {
	s.counters.asks.Add(1)
	cfg := s.opts.Config()
	if cfg == nil {
		return Decision{}, &Error{Kind: KindNoConfig, Workspace: workspace}
	}
	w, ok := cfg.Workspace(workspace)
	if !ok {
		return Decision{}, &Error{Kind: KindUnknownWorkspace, Workspace: workspace}
	}
	layout := limit.NewLayout(cfg.DataCentres(), workspace, w.Burst)
	shard := limit.Shard(workspace, s.opts.Shards)
	var last error
	for _, dc := range layout.Order(s.opts.Self.DataCentre, workspace) {
		g, err := s.ask(ctx, rowID{DataCentre: dc, Shard: shard}, workspace)
		if ctx.Err() != nil {
			return Decision{}, errors.Wrap(ctx.Err(), "waiting for the owner of the rate")
		}
		if err != nil {
			last = err
			continue
		}
		return s.decide(g), nil
	}
	s.counters.noOwner.Add(1)
	return Decision{}, &Error{Kind: KindNoOwner, Workspace: workspace, Err: last}
}

func (s *Service) decide(g takeGrant) Decision {
	if g.Granted > 0 {
		s.counters.allowed.Add(1)
		return Decision{Allowed: true}
	}
	s.counters.denied.Add(1)
	return Decision{RetryAfter: g.Wait}
}

// ask asks the owner of a row for one token.
func (s *Service) ask(ctx context.Context, row rowID, workspace string) (takeGrant, error) {
	if o := s.ownerOf(row); o != nil {
		g, ok := s.grant(ctx, o, takeItem{Workspace: workspace, N: 1})
		if ok {
			return g, nil
		}
	}
	return s.askerOf(row).ask(ctx, workspace)
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

func (s *Service) askerOf(row rowID) *asker {
	s.askersMu.Lock()
	defer s.askersMu.Unlock()
	a, ok := s.askers[row]
	if !ok {
		a = &asker{service: s, row: row}
		s.askers[row] = a
	}
	return a
}
