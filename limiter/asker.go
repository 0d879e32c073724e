package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the messages to one owner.
const (
	// maxInFlight is how many messages may be under way to one owner.
	maxInFlight = 4
	// maxBatch is how many asks share a message at most.
	maxBatch = 256
	// maxPending is how many asks may wait for a message.
	maxPending = 8192
	// maxOwnerAttempts is how many daemons are asked for one message.
	maxOwnerAttempts = 3
)

// errQueueFull is returned when too many asks wait for an owner.
var errQueueFull = errors.New("too many asks are waiting for the owner; try again shortly")

// pendingTake is one caller waiting for one token.
type pendingTake struct {
	workspace string
	done      chan takeResult
}

type takeResult struct {
	grant takeGrant
	err   error
}

// takeBatcher sends the asks for one row. While messages are under way, new asks
// gather and share the next one.
type takeBatcher struct {
	service *Service
	row     rowID

	mu      sync.Mutex
	pending []pendingTake
	inFlight int
}

// take waits for the owner's answer.
func (a *takeBatcher) take(ctx context.Context, workspace string) (takeGrant, error) {
	p := pendingTake{workspace: workspace, done: make(chan takeResult, 1)}
	if !a.enqueue(p) {
		return takeGrant{}, errQueueFull
	}
	select {
	case r := <-p.done:
		return r.grant, r.err
	case <-ctx.Done():
		return takeGrant{}, ctx.Err()
	}
}

// enqueue queues an ask and starts a flight if one is free.
func (a *takeBatcher) enqueue(p pendingTake) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) >= maxPending {
		return false
	}
	a.pending = append(a.pending, p)
	if a.inFlight < maxInFlight {
		a.inFlight++
		go a.sendLoop()
	}
	return true
}

// sendLoop sends messages until no ask is pending.
func (a *takeBatcher) sendLoop() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		a.send(batch)
	}
}

func (a *takeBatcher) nextBatch() []pendingTake {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatch)
	if n == 0 {
		a.inFlight--
		a.pending = nil
		return nil
	}
	batch := a.pending[:n:n]
	a.pending = a.pending[n:]
	return batch
}

// send sends one message and deals its grants out in the order of the asks.
func (a *takeBatcher) send(batch []pendingTake) {
	items, index := groupByWorkspace(batch)
	grants, err := a.service.takeFromOwner(a.row, items)
	for _, p := range batch {
		if err != nil {
			p.done <- takeResult{err: err}
			continue
		}
		g := &grants[index[p.workspace]]
		one := takeGrant{RetryAfter: g.RetryAfter, NoShare: g.NoShare}
		if g.Granted > 0 {
			g.Granted--
			one = takeGrant{Granted: 1}
		}
		p.done <- takeResult{grant: one}
	}
}

// groupByWorkspace sums the asks of each workspace.
func groupByWorkspace(batch []pendingTake) ([]takeItem, map[string]int) {
	index := make(map[string]int, len(batch))
	var items []takeItem
	for _, p := range batch {
		i, ok := index[p.workspace]
		if !ok {
			i = len(items)
			index[p.workspace] = i
			items = append(items, takeItem{Workspace: p.workspace})
		}
		items[i].N++
	}
	return items, index
}

// takeFromOwner finds the owner of the row and asks it.
func (s *Service) takeFromOwner(row rowID, items []takeItem) ([]takeGrant, error) {
	var reply takeReply
	err := s.callOwner(row, methodTake, takeRequest{Row: row, Items: items}, func() ownerReply {
		reply = takeReply{}
		return &reply
	})
	if err != nil {
		return nil, err
	}
	if len(reply.Grants) != len(items) {
		return nil, errors.Errorf("owner of %s answered %d of %d asks", row.key(), len(reply.Grants), len(items))
	}
	return reply.Grants, nil
}

// callOwner calls a method of the owner of a row, following redirects. fresh
// returns an empty reply for each try.
func (s *Service) callOwner(row rowID, method string, req any, newReply func() ownerReply) error {
	var lastErr error = errors.Errorf("no daemon is known that may own %s", row.key())
	tried := map[string]bool{}
	for range maxOwnerAttempts {
		addr, ok := s.router.route(row, tried, s.opts.Clock())
		if !ok {
			return lastErr
		}
		tried[addr] = true
		reply := newReply()
		err := s.call(addr, method, req, reply)
		if err != nil {
			s.router.recordFailure(addr, s.opts.Clock())
			lastErr = err
			continue
		}
		notOwner, hint := reply.redirect()
		if !notOwner {
			s.router.recordOwner(row, addr)
			return nil
		}
		s.counters.redirects.Add(1)
		lastErr = errors.Errorf("%s does not own %s", addr, row.key())
		s.router.recordRedirect(row, addr, hint)
	}
	return lastErr
}

// call calls a daemon and drops a reply older than the bound.
func (s *Service) call(addr, method string, req, reply any) error {
	s.counters.messages.Add(1)
	start := s.opts.Clock()
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.ReplyBound)
	defer cancel()
	err := s.opts.RPC.Call(ctx, addr, method, req, reply)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", method, addr)
	}
	if age := s.opts.Clock().Sub(start); age >= s.opts.ReplyBound {
		s.counters.lateReplies.Add(1)
		return errors.Errorf("%s at %s: reply dropped after %s", method, addr, age.Round(time.Millisecond))
	}
	return nil
}
