package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/rpc"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// RPC methods of the gate for other daemons.
const (
	methodSettle = "gate.settle"
	methodRelay  = "gate.relay-settle"
	methodEpoch  = "gate.epoch"
)

// Limits of settling an attempt. The first call may time out on a dead connection,
// the second dials a new one, and relays bypass a broken network path.
const (
	settleTimeout  = 400 * time.Millisecond
	settleAttempts = 2
	relayTimeout   = time.Second
	maxRelays      = 3
	epochTimeout   = 500 * time.Millisecond
)

// errGateUnreachable reports that the gate could not be reached by any path.
var errGateUnreachable = errors.New("the gate is unreachable, directly and through other hosts; only the gate can tell whether the attempt ran")

// errUnknownHost reports a host without a member record.
var errUnknownHost = errors.New("the host is not a known member; wait for membership to learn of it")

// gateClient calls the gates of all hosts. It implements ingress.Gates.
type gateClient struct {
	host     string
	local    *gate.Gate
	client   *forward.Client
	rpc      rpc.Caller
	snapshot func() *control.Snapshot
}

// settleRequest identifies an attempt at a host's gate.
type settleRequest struct {
	Host  string     `json:"host"`
	ID    wire.ID    `json:"id"`
	Epoch wire.Epoch `json:"epoch"`
}

// settleReply is the run state that the gate reports.
type settleReply struct {
	Run wire.RunState `json:"run"`
}

// Forward implements ingress.Gates.
func (g *gateClient) Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	if host == g.host {
		return g.local.Forward(ctx, att, req)
	}
	return g.client.Forward(ctx, host, att, req)
}

// Settle implements ingress.Gates.
func (g *gateClient) Settle(ctx context.Context, host string, id wire.ID, epoch wire.Epoch) (wire.RunState, error) {
	if host == g.host {
		return g.local.Settle(ctx, id, epoch)
	}
	req := settleRequest{Host: host, ID: id, Epoch: epoch}
	if run, err := g.settleDirectly(ctx, req); err == nil {
		return run, nil
	}
	for _, relay := range g.chooseRelays(host) {
		var reply settleReply
		if err := g.call(ctx, relay.RPCAddr, methodRelay, relayTimeout, req, &reply); err == nil {
			return reply.Run, nil
		}
	}
	return wire.Unknown, errGateUnreachable
}

func (g *gateClient) settleDirectly(ctx context.Context, req settleRequest) (wire.RunState, error) {
	d, ok := g.snapshot().Find(req.Host)
	if !ok {
		return wire.Unknown, errUnknownHost
	}
	var reply settleReply
	var err error
	for range settleAttempts {
		if err = g.call(ctx, d.RPCAddr, methodSettle, settleTimeout, req, &reply); err == nil {
			return reply.Run, nil
		}
	}
	return wire.Unknown, err
}

func (g *gateClient) call(ctx context.Context, addr, method string, timeout time.Duration, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.rpc.Call(ctx, addr, method, params, result)
}

// chooseRelays picks random other daemons that may be able to reach the host.
func (g *gateClient) chooseRelays(host string) []member.Daemon {
	var out []member.Daemon
	for _, d := range g.snapshot().Daemons {
		if d.Host != host && d.Host != g.host && d.State == member.StateServing {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxRelays, len(out))]
}

// Epoch implements ingress.Gates.
func (g *gateClient) Epoch(ctx context.Context, host string) (wire.Epoch, error) {
	if host == g.host {
		return g.local.Epoch(), nil
	}
	d, ok := g.snapshot().Find(host)
	if !ok {
		return wire.Epoch{}, errUnknownHost
	}
	var epoch wire.Epoch
	err := g.call(ctx, d.RPCAddr, methodEpoch, epochTimeout, struct{}{}, &epoch)
	return epoch, err
}

// register adds the RPC methods for other daemons.
func (g *gateClient) register(r rpc.Registrar) {
	r.Handle(methodSettle, rpc.Typed(g.onSettle))
	r.Handle(methodRelay, rpc.Typed(g.onRelay))
	r.Handle(methodEpoch, rpc.Typed(func(context.Context, struct{}) (wire.Epoch, error) {
		return g.local.Epoch(), nil
	}))
}

// onSettle answers for the local gate only. The request may be meant for another
// host, because an address may have been reassigned since the caller learnt it.
func (g *gateClient) onSettle(ctx context.Context, req settleRequest) (settleReply, error) {
	if req.Host != g.host {
		return settleReply{}, errUnknownHost
	}
	run, err := g.local.Settle(ctx, req.ID, req.Epoch)
	return settleReply{run}, err
}

// onRelay forwards a settle request for a daemon that cannot reach the host.
func (g *gateClient) onRelay(ctx context.Context, req settleRequest) (settleReply, error) {
	if req.Host == g.host {
		return g.onSettle(ctx, req)
	}
	run, err := g.settleDirectly(ctx, req)
	return settleReply{run}, err
}
