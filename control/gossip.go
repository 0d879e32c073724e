package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/rpc"
)

// maxExchangeRounds limits consecutive exchanges with a peer that has further
// records to send.
const maxExchangeRounds = 16

// randomSource adapts the global generator of math/rand/v2.
type randomSource struct{}

// IntN implements member.Rand.
func (randomSource) IntN(n int) int { return rand.IntN(n) }

// Register registers the RPC methods that other daemons call.
func (c *Control) Register(r rpc.Registrar) {
	r.Handle(member.MethodExchange, rpc.Typed(c.handleExchange))
	r.Handle(member.MethodFinish, rpc.Typed(c.handleFinish))
	r.Handle(methodStatus, rpc.Typed(c.handleStatus))
	r.Handle(methodSince, rpc.Typed(c.handleSince))
	r.Handle(methodPage, rpc.Typed(c.handlePage))
}

func (c *Control) handleExchange(ctx context.Context, message member.ExchangeMessage) (member.ExchangeResponse, error) {
	var response member.ExchangeResponse
	err := c.do(ctx, func(now time.Time, s *state) {
		c.observeRevision(now, s, message.Host, message.Status.Revision)
		response = s.gossip.HandleExchange(now, message)
		response.Status = s.localStatus(now)
	})
	return response, err
}

func (c *Control) handleFinish(ctx context.Context, request member.FinishRequest) (member.FinishResponse, error) {
	var response member.FinishResponse
	err := c.do(ctx, func(now time.Time, s *state) { response = s.gossip.HandleFinish(now, request) })
	return response, err
}

// RunGossip runs an exchange with a neighbour about once a second.
func (c *Control) RunGossip(ctx context.Context) error {
	for sleep(ctx, c.gossipDelay()) {
		peer, ok := c.pickPeer(ctx)
		if !ok {
			c.contactSeeds(ctx)
			continue
		}
		c.exchange(ctx, peer)
	}
	return nil
}

// gossipDelay returns the mean time until the next exchange, which is shorter
// until the daemon has joined.
func (c *Control) gossipDelay() time.Duration {
	if c.current.Load().Joined {
		return gossipInterval
	}
	return joinInterval
}

func (c *Control) pickPeer(ctx context.Context) (member.Peer, bool) {
	var peer member.Peer
	var ok bool
	err := c.do(ctx, func(now time.Time, s *state) { peer, ok = s.gossip.Pick(now, randomSource{}) })
	return peer, ok && err == nil
}

// contactSeeds runs an exchange with each configured peer address.
func (c *Control) contactSeeds(ctx context.Context) {
	for _, addr := range c.opts.Peers {
		if addr != c.opts.Self.RPCAddr {
			c.exchange(ctx, member.Peer{RPCAddr: addr})
		}
	}
}

// Propagate runs the given number of exchanges immediately, to propagate a change
// without waiting for the gossip interval.
func (c *Control) Propagate(ctx context.Context, rounds int) {
	for range rounds {
		if peer, ok := c.pickPeer(ctx); ok {
			c.exchange(ctx, peer)
		}
	}
}

func (c *Control) exchange(ctx context.Context, peer member.Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for range maxExchangeRounds {
		c.stats.Exchanges.Add(1)
		more, err := c.exchangeOnce(ctx, peer)
		if err != nil {
			c.recordFailure(peer)
			return
		}
		if !more {
			return
		}
	}
}

func (c *Control) recordFailure(peer member.Peer) {
	c.stats.ExchangeFailures.Add(1)
	if peer.Host == "" {
		return
	}
	// The context of the exchange may have expired.
	c.do(context.Background(), func(now time.Time, s *state) { //nolint:errcheck // fails only during shutdown
		s.gossip.ExchangeFailed(now, peer.Host)
	})
}

func (c *Control) exchangeOnce(ctx context.Context, peer member.Peer) (more bool, err error) {
	var message member.ExchangeMessage
	start := time.Now()
	if err := c.do(ctx, func(now time.Time, s *state) {
		message = s.gossip.BeginExchange(peer.Host)
		message.Status = s.localStatus(now)
	}); err != nil {
		return false, err
	}
	var response member.ExchangeResponse
	if err := c.opts.RPC.Call(ctx, peer.RPCAddr, member.MethodExchange, message, &response); err != nil {
		return false, err
	}
	var finishRequest member.FinishRequest
	var needed bool
	if err := c.do(ctx, func(now time.Time, s *state) {
		c.observeStatus(start, now, s, response.Host, response.Status)
		finishRequest, needed = s.gossip.FinishExchange(now, message, response)
		s.joined = s.joined || !needed
	}); err != nil || !needed {
		return false, err
	}
	var finishResponse member.FinishResponse
	if err := c.opts.RPC.Call(ctx, peer.RPCAddr, member.MethodFinish, finishRequest, &finishResponse); err != nil {
		return false, err
	}
	err = c.do(ctx, func(now time.Time, s *state) {
		more = s.gossip.CompleteExchange(now, response, finishResponse)
		s.joined = s.joined || !more
	})
	return more, err
}
