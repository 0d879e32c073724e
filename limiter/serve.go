package limiter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// Register adds the methods that other limiters call.
func (s *Service) Register(r rpc.Registrar) {
	r.Handle(methodTake, handler(s.serveTake))
	r.Handle(methodGive, handler(s.serveGive))
	r.Handle(methodYield, handler(s.serveYield))
	r.Handle(methodHandover, handler(s.serveHandover))
}

func handler[Q, A any](serve func(context.Context, Q) (A, error)) rpc.HandlerFunc {
	return func(ctx context.Context, params []byte) (any, error) {
		var req Q
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "malformed message to the limiter")
		}
		return serve(ctx, req)
	}
}

func (s *Service) serveTake(ctx context.Context, req takeRequest) (takeReply, error) {
	o := s.ownerOf(req.Row)
	if o == nil {
		return takeReply{NotOwner: true, Owner: s.ownerHint(req.Row)}, nil
	}
	grants, ok := s.grantAll(ctx, o, req.Items)
	if !ok {
		return takeReply{NotOwner: true, Owner: s.ownerHint(req.Row)}, nil
	}
	return takeReply{Grants: grants}, nil
}

// grantAll takes tokens as their owner. Items that are short wait together for
// tokens of other owners, and no longer than a short while, so that neither a
// workspace beyond its rate nor a data centre out of reach holds up the others.
func (s *Service) grantAll(ctx context.Context, o *owner, items []takeItem) ([]takeGrant, bool) {
	grants := make([]takeGrant, len(items))
	var pulls []<-chan struct{}
	for i, item := range items {
		pullDone, ok := s.grant(o, item, &grants[i])
		if !ok {
			return nil, false
		}
		if pullDone != nil {
			pulls = append(pulls, pullDone)
		}
	}
	if len(pulls) == 0 {
		return grants, true
	}
	waitAll(ctx, pulls, s.maxPullWait)
	for i, item := range items {
		item.N -= grants[i].Granted
		if item.N > 0 && !grants[i].NoShare {
			s.grantPulled(o, item, &grants[i])
		}
	}
	return grants, true
}

// grant takes what the bucket has. It returns a channel when a pull is under
// way that is worth waiting for. ok is false if the lease allows no grant.
func (s *Service) grant(o *owner, item takeItem, out *takeGrant) (pullDone <-chan struct{}, ok bool) {
	a, err := s.workspaceLimits(item.Workspace)
	if err != nil {
		out.NoShare = true
		return nil, true
	}
	g, ok := o.take(s.opts.Clock(), a, item.Workspace, item.N)
	if !ok {
		return nil, false
	}
	*out = takeGrant{Granted: g.n, NoShare: g.noShare, RetryAfter: g.retryAfter}
	if g.n == item.N || g.noShare || len(a.layout.Holders) < 2 {
		return nil, true
	}
	if g.canPull {
		return s.pull(o, a, item.Workspace, item.N-g.n), true
	}
	return g.pullDone, true
}

// grantPulled takes what a pull has brought.
func (s *Service) grantPulled(o *owner, item takeItem, out *takeGrant) {
	a, err := s.workspaceLimits(item.Workspace)
	if err != nil {
		return
	}
	if g, ok := o.take(s.opts.Clock(), a, item.Workspace, item.N); ok {
		out.Granted += g.n
		out.RetryAfter = g.retryAfter
	}
}

// waitAll waits until all channels are closed, but not longer than bound.
func waitAll(ctx context.Context, channels []<-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, c := range channels {
		select {
		case <-c:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) serveGive(_ context.Context, req giveRequest) (giveReply, error) {
	n, ok := s.give(req)
	if !ok {
		return giveReply{NotOwner: true, Owner: s.ownerHint(req.Row)}, nil
	}
	return giveReply{Granted: n}, nil
}

// give deducts tokens for another owner; ok is false if this daemon may not.
func (s *Service) give(req giveRequest) (n int, ok bool) {
	o := s.ownerOf(req.Row)
	if o == nil {
		return 0, false
	}
	a, err := s.workspaceLimits(req.Workspace)
	if err != nil {
		return 0, true
	}
	n, ok = o.give(s.opts.Clock(), a, req.Workspace, req.Want)
	s.counters.givenTokens.Add(int64(n))
	return n, ok
}

// serveYield ends a lapsed session when a taker asks for it.
func (s *Service) serveYield(_ context.Context, req yieldRequest) (yieldReply, error) {
	return yieldReply{
		Incarnation: s.opts.Self.Incarnation,
		MayGrant:     !s.yield(req.Row, req.Epoch),
	}, nil
}

// yield reports whether this daemon grants nothing in an epoch of a row and
// never will. It ends a lapsed session, and bars one that has not begun yet.
func (s *Service) yield(row rowID, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[row]
	if ok && !o.yield(s.opts.Clock(), epoch) {
		return false
	}
	s.yieldedEpochs[row] = max(s.yieldedEpochs[row], epoch)
	return true
}

// serveHandover keeps the levels of an owner that is stopping until this
// daemon takes the row.
func (s *Service) serveHandover(_ context.Context, req handoverRequest) (handoverReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.owners[req.Row] != nil {
		return handoverReply{}, nil
	}
	s.handovers[req.Row] = req
	s.schedule(req.Row)
	return handoverReply{Accepted: true}, nil
}

// ownerHint returns the owner that this daemon last saw in the row.
func (s *Service) ownerHint(row rowID) *limit.Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.watches[row]
	if !ok || w.record.Owner.Addr == s.opts.Self.RPCAddr {
		return nil
	}
	owner := w.record.Owner
	return &owner
}
