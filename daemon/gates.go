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

// Methods of the gate that other daemons call.
const (
	methodSettle = "gate.settle"
	methodRelay  = "gate.relay-settle"
	methodEpoch  = "gate.epoch"
)

// Bounds of settling. The first call may find a connection gone silent, the
// second dials anew, and the relays go round a path that is cut.
const (
	settleTimeout = 400 * time.Millisecond
	settleCalls   = 2
	relayTimeout  = time.Second
	relays        = 3
	epochTimeout  = 500 * time.Millisecond
)

// errUnsettled reports that no path to the gate could be found.
var errUnsettled = errors.New("the gate cannot be reached, directly or through other hosts; its word is needed to tell what became of the attempt")

// errUnknownHost reports a host that membership does not know.
var errUnknownHost = errors.New("the host is not a known member; wait for membership to learn of it")

// gates reaches the gates of all hosts. It implements ingress.Gates.
type gates struct {
	host     string
	own      *gate.Gate
	client   *forward.Client
	rpc      rpc.Caller
	snapshot func() *control.Snapshot
}

// settleRequest names an attempt at the gate of a host.
type settleRequest struct {
	Host  string     `json:"host"`
	ID    wire.ID    `json:"id"`
	Epoch wire.Epoch `json:"epoch"`
}

// settleReply is the gate's word.
type settleReply struct {
	Run wire.RunState `json:"run"`
}

// Forward implements ingress.Gates.
func (g *gates) Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	if host == g.host {
		return g.own.Forward(ctx, att, req)
	}
	return g.client.Forward(ctx, host, att, req)
}

// Settle implements ingress.Gates.
func (g *gates) Settle(ctx context.Context, host string, id wire.ID, epoch wire.Epoch) (wire.RunState, error) {
	if host == g.host {
		return g.own.Settle(ctx, id, epoch)
	}
	req := settleRequest{Host: host, ID: id, Epoch: epoch}
	if run, err := g.settleDirectly(ctx, req); err == nil {
		return run, nil
	}
	for _, relay := range g.relays(host) {
		var reply settleReply
		if err := g.call(ctx, relay.RPCAddr, methodRelay, relayTimeout, req, &reply); err == nil {
			return reply.Run, nil
		}
	}
	return wire.Unknown, errUnsettled
}

func (g *gates) settleDirectly(ctx context.Context, req settleRequest) (wire.RunState, error) {
	d, ok := g.snapshot().Find(req.Host)
	if !ok {
		return wire.Unknown, errUnknownHost
	}
	var reply settleReply
	var err error
	for range settleCalls {
		if err = g.call(ctx, d.RPCAddr, methodSettle, settleTimeout, req, &reply); err == nil {
			return reply.Run, nil
		}
	}
	return wire.Unknown, err
}

func (g *gates) call(ctx context.Context, addr, method string, timeout time.Duration, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.rpc.Call(ctx, addr, method, params, result)
}

// relays chooses other daemons that may reach the host.
func (g *gates) relays(host string) []member.Daemon {
	var out []member.Daemon
	for _, d := range g.snapshot().Daemons {
		if d.Host != host && d.Host != g.host && d.State == member.StateServing {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(relays, len(out))]
}

// Epoch implements ingress.Gates.
func (g *gates) Epoch(ctx context.Context, host string) (wire.Epoch, error) {
	if host == g.host {
		return g.own.Epoch(), nil
	}
	d, ok := g.snapshot().Find(host)
	if !ok {
		return wire.Epoch{}, errUnknownHost
	}
	var epoch wire.Epoch
	err := g.call(ctx, d.RPCAddr, methodEpoch, epochTimeout, struct{}{}, &epoch)
	return epoch, err
}

// register adds the methods that other daemons call.
func (g *gates) register(r rpc.Registrar) {
	r.Handle(methodSettle, rpc.Typed(g.onSettle))
	r.Handle(methodRelay, rpc.Typed(g.onRelay))
	r.Handle(methodEpoch, rpc.Typed(func(context.Context, struct{}) (wire.Epoch, error) {
		return g.own.Epoch(), nil
	}))
}

// onSettle answers for the own gate only: an address may have passed to another
// host since the caller learnt it.
func (g *gates) onSettle(ctx context.Context, req settleRequest) (settleReply, error) {
	if req.Host != g.host {
		return settleReply{}, errUnknownHost
	}
	run, err := g.own.Settle(ctx, req.ID, req.Epoch)
	return settleReply{run}, err
}

// onRelay settles for a daemon whose path to the host is cut.
func (g *gates) onRelay(ctx context.Context, req settleRequest) (settleReply, error) {
	if req.Host == g.host {
		return g.onSettle(ctx, req)
	}
	run, err := g.settleDirectly(ctx, req)
	return settleReply{run}, err
}
