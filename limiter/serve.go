package limiter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// Register registers the RPC methods that other limiters call.
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
			return nil, errors.Wrap(err, "decode limiter request")
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

// grantAll grants tokens as the owner of the row. Items that are short of
// tokens wait together for pulls from other owners. The wait is limited to
// maxPullWait, so that neither a workspace above its rate nor an unreachable
// data centre delays the others.
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

// grant takes available tokens from the bucket. It returns a channel if a pull
// is in progress that may supply the rest. ok is false if the lease allows no
// grant.
func (s *Service) grant(o *owner, item takeItem, out *takeGrant) (pullDone <-chan struct{}, ok bool) {
	limits, err := s.workspaceLimits(item.Workspace)
	if err != nil {
		out.NoShare = true
		return nil, true
	}
	g, ok := o.take(s.opts.Clock(), limits, item.Workspace, item.N)
	if !ok {
		return nil, false
	}
	*out = takeGrant{Granted: g.n, NoShare: g.noShare, RetryAfter: g.retryAfter}
	if g.n == item.N || g.noShare || len(limits.layout.Holders) < 2 {
		return nil, true
	}
	if g.canPull {
		return s.pull(o, limits, item.Workspace, item.N-g.n), true
	}
	return g.pullDone, true
}

// grantPulled takes further tokens after a pull.
func (s *Service) grantPulled(o *owner, item takeItem, out *takeGrant) {
	limits, err := s.workspaceLimits(item.Workspace)
	if err != nil {
		return
	}
	if g, ok := o.take(s.opts.Clock(), limits, item.Workspace, item.N); ok {
		out.Granted += g.n
		out.RetryAfter = g.retryAfter
	}
}

// waitAll waits until all channels are closed or the timeout has elapsed.
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

// give deducts tokens for another owner. ok is false if this daemon does not
// own the row or its lease allows no grant.
func (s *Service) give(req giveRequest) (n int, ok bool) {
	o := s.ownerOf(req.Row)
	if o == nil {
		return 0, false
	}
	limits, err := s.workspaceLimits(req.Workspace)
	if err != nil {
		return 0, true
	}
	n, ok = o.give(s.opts.Clock(), limits, req.Workspace, req.Want)
	s.counters.givenTokens.Add(int64(n))
	return n, ok
}

// serveYield handles the request of a candidate that wants to acquire a row.
func (s *Service) serveYield(_ context.Context, req yieldRequest) (yieldReply, error) {
	return yieldReply{
		Incarnation: s.opts.Self.Incarnation,
		MayGrant:    !s.yield(req.Row, req.Epoch),
	}, nil
}

// yield reports whether this daemon will grant nothing more in an epoch of a
// row. It steps down if the lease has expired and prevents an epoch that has
// not started yet.
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

// serveHandover stores the bucket levels of an owner that is stopping until
// this daemon acquires the row.
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

// ownerHint returns the owner that this daemon last read from the row.
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
