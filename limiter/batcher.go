package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits on the RPCs to one owner.
const (
	// maxInFlight is the maximum number of concurrent RPCs to one owner.
	maxInFlight = 4
	// maxBatch is the maximum number of requests in one RPC.
	maxBatch = 256
	// maxPending is the maximum number of requests queued for one owner.
	maxPending = 8192
	// maxOwnerAttempts is the maximum number of daemons called to reach an
	// owner.
	maxOwnerAttempts = 3
)

// errQueueFull is returned when maxPending requests are queued for an owner.
var errQueueFull = errors.New("too many requests are queued for the owner; retry shortly")

// pendingTake is a caller waiting for one token.
type pendingTake struct {
	workspace string
	done      chan takeResult
}

type takeResult struct {
	grant takeGrant
	err   error
}

// takeBatcher sends token requests to the owner of one row. Requests that
// arrive while maxInFlight RPCs are outstanding are queued and share the next
// one.
type takeBatcher struct {
	service *Service
	row     rowID

	mu       sync.Mutex
	pending  []pendingTake
	inFlight int
}

// take requests one token and waits for the reply.
func (b *takeBatcher) take(ctx context.Context, workspace string) (takeGrant, error) {
	p := pendingTake{workspace: workspace, done: make(chan takeResult, 1)}
	if !b.enqueue(p) {
		return takeGrant{}, errQueueFull
	}
	select {
	case r := <-p.done:
		return r.grant, r.err
	case <-ctx.Done():
		return takeGrant{}, ctx.Err()
	}
}

// enqueue queues a request and starts a send loop if the limit on concurrent
// RPCs allows it. It returns false if the queue is full.
func (b *takeBatcher) enqueue(p pendingTake) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return false
	}
	b.pending = append(b.pending, p)
	if b.inFlight < maxInFlight {
		b.inFlight++
		go b.sendLoop()
	}
	return true
}

// sendLoop sends batches until the queue is empty.
func (b *takeBatcher) sendLoop() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.send(batch)
	}
}

func (b *takeBatcher) nextBatch() []pendingTake {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatch)
	if n == 0 {
		b.inFlight--
		b.pending = nil
		return nil
	}
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// send sends one batch and assigns the granted tokens in the order of the
// requests.
func (b *takeBatcher) send(batch []pendingTake) {
	items, index := groupByWorkspace(batch)
	grants, err := b.service.takeFromOwner(b.row, items)
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

// groupByWorkspace sums the requests of each workspace.
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

// takeFromOwner locates the owner of the row and requests tokens from it.
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
		return nil, errors.Errorf("owner of %s replied to %d of %d items", row.key(), len(reply.Grants), len(items))
	}
	return reply.Grants, nil
}

// callOwner calls a method of the owner of a row, following redirects. newReply
// returns an empty reply for each attempt.
func (s *Service) callOwner(row rowID, method string, req any, newReply func() ownerReply) error {
	var lastErr error = errors.Errorf("no reachable candidate for the owner of %s", row.key())
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

// call calls a daemon and drops a reply older than Options.MaxReplyAge.
func (s *Service) call(addr, method string, req, reply any) error {
	s.counters.messages.Add(1)
	start := s.opts.Clock()
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.MaxReplyAge)
	defer cancel()
	err := s.opts.RPC.Call(ctx, addr, method, req, reply)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", method, addr)
	}
	if age := s.opts.Clock().Sub(start); age >= s.opts.MaxReplyAge {
		s.counters.lateReplies.Add(1)
		return errors.Errorf("%s at %s: reply dropped because it took %s", method, addr, age.Round(time.Millisecond))
	}
	return nil
}
