package limiter

import (
	"context"
	"encoding/json"

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
		return takeReply{NotOwner: true, Owner: s.hint(req.Row)}, nil
	}
	reply := takeReply{Grants: make([]takeGrant, len(req.Items))}
	for i, item := range req.Items {
		g, ok := s.grant(ctx, o, item)
		if !ok {
			return takeReply{NotOwner: true, Owner: s.hint(req.Row)}, nil
		}
		reply.Grants[i] = g
	}
	return reply, nil
}

// grant takes tokens as their owner and pulls from other owners when short.
func (s *Service) grant(ctx context.Context, o *owner, item takeItem) (takeGrant, bool) {
	a, err := s.allotment(item.Workspace)
	if err != nil {
		return takeGrant{NotHolder: true}, true
	}
	g, ok := o.take(s.opts.Clock(), a, item.Workspace, item.N)
	if !ok {
		return takeGrant{}, false
	}
	if g.n == item.N || g.notHolder || len(a.layout.Holders) < 2 {
		return takeGrant{Granted: g.n, NotHolder: g.notHolder, Wait: g.wait}, true
	}
	missing := item.N - g.n
	if !s.refill(ctx, o, a, item.Workspace, missing, g) {
		return takeGrant{Granted: g.n, Wait: g.wait}, true
	}
	more, ok := o.take(s.opts.Clock(), a, item.Workspace, missing)
	return takeGrant{Granted: g.n + more.n, Wait: more.wait}, ok || g.n > 0
}

// refill waits for the pull under way or makes one. It reports whether it is
// worth while to take again.
func (s *Service) refill(ctx context.Context, o *owner, a allotment, workspace string, missing int, g grant) bool {
	if g.mayPull {
		return s.pull(o, a, workspace, missing)
	}
	if g.pulling == nil {
		return false
	}
	select {
	case <-g.pulling:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) serveGive(_ context.Context, req giveRequest) (giveReply, error) {
	n, ok := s.give(req)
	if !ok {
		return giveReply{NotOwner: true, Owner: s.hint(req.Row)}, nil
	}
	return giveReply{Granted: n}, nil
}

// give deducts tokens for another owner; ok is false if this daemon may not.
func (s *Service) give(req giveRequest) (n int, ok bool) {
	o := s.ownerOf(req.Row)
	if o == nil {
		return 0, false
	}
	a, err := s.allotment(req.Workspace)
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
		Holding:     !s.yield(req.Row, req.Epoch),
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
	s.barred[row] = max(s.barred[row], epoch)
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
	s.handed[req.Row] = req
	s.kick(req.Row)
	return handoverReply{Kept: true}, nil
}

// hint returns the owner that this daemon last saw in the row.
func (s *Service) hint(row rowID) *limit.Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.watches[row]
	if !ok || w.record.Owner.Addr == s.opts.Self.RPCAddr {
		return nil
	}
	owner := w.record.Owner
	return &owner
}
