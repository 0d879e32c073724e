package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the messages to one owner.
const (
	// maxFlights is how many messages may be under way to one owner.
	maxFlights = 4
	// maxBatch is how many asks share a message at most.
	maxBatch = 256
	// maxPending is how many asks may wait for a message.
	maxPending = 8192
	// maxTries is how many daemons are asked for one message.
	maxTries = 3
)

// errAskerFull is returned when too many asks wait for an owner.
var errAskerFull = errors.New("too many asks are waiting for the owner; try again shortly")

// pendingAsk is one caller waiting for one token.
type pendingAsk struct {
	workspace string
	done      chan askResult
}

type askResult struct {
	grant takeGrant
	err   error
}

// asker sends the asks for one row. While messages are under way, new asks
// gather and share the next one.
type asker struct {
	service *Service
	row     rowID

	mu      sync.Mutex
	pending []pendingAsk
	flights int
}

// ask waits for the owner's answer.
func (a *asker) ask(ctx context.Context, workspace string) (takeGrant, error) {
	p := pendingAsk{workspace: workspace, done: make(chan askResult, 1)}
	if !a.add(p) {
		return takeGrant{}, errAskerFull
	}
	select {
	case r := <-p.done:
		return r.grant, r.err
	case <-ctx.Done():
		return takeGrant{}, ctx.Err()
	}
}

// add queues an ask and starts a flight if one is free.
func (a *asker) add(p pendingAsk) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) >= maxPending {
		return false
	}
	a.pending = append(a.pending, p)
	if a.flights < maxFlights {
		a.flights++
		go a.fly()
	}
	return true
}

// fly sends messages until no ask is pending.
func (a *asker) fly() {
	for {
		batch := a.next()
		if len(batch) == 0 {
			return
		}
		a.send(batch)
	}
}

func (a *asker) next() []pendingAsk {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatch)
	if n == 0 {
		a.flights--
		a.pending = nil
		return nil
	}
	batch := a.pending[:n:n]
	a.pending = a.pending[n:]
	return batch
}

// send sends one message and deals its grants out in the order of the asks.
func (a *asker) send(batch []pendingAsk) {
	items, index := gather(batch)
	grants, err := a.service.askOwner(a.row, items)
	for _, p := range batch {
		if err != nil {
			p.done <- askResult{err: err}
			continue
		}
		g := &grants[index[p.workspace]]
		one := takeGrant{Wait: g.Wait, NotHolder: g.NotHolder}
		if g.Granted > 0 {
			g.Granted--
			one = takeGrant{Granted: 1}
		}
		p.done <- askResult{grant: one}
	}
}

// gather sums the asks of each workspace.
func gather(batch []pendingAsk) ([]takeItem, map[string]int) {
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

// askOwner finds the owner of the row and asks it.
func (s *Service) askOwner(row rowID, items []takeItem) ([]takeGrant, error) {
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
func (s *Service) callOwner(row rowID, method string, req any, fresh func() ownerReply) error {
	var last error = errors.Errorf("no daemon is known that may own %s", row.key())
	tried := map[string]bool{}
	for range maxTries {
		addr, ok := s.router.route(row, tried, s.opts.Clock())
		if !ok {
			return last
		}
		tried[addr] = true
		reply := fresh()
		err := s.callTimely(addr, method, req, reply)
		if err != nil {
			s.router.failed(addr, s.opts.Clock())
			last = err
			continue
		}
		notOwner, hint := reply.redirect()
		if !notOwner {
			s.router.found(row, addr)
			return nil
		}
		s.counters.redirects.Add(1)
		last = errors.Errorf("%s does not own %s", addr, row.key())
		s.router.redirected(row, addr, hint)
	}
	return last
}

// callTimely calls a daemon and drops a reply older than the bound.
func (s *Service) callTimely(addr, method string, req, reply any) error {
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
