package daemon

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/supervise"
)

// Times of a planned stop.
const (
	// leaveGrace lets peers learn that the host leaves while its gate still
	// takes attempts.
	leaveGrace = 2 * time.Second
	// callerGrace is how long callers' connections may stay open to end with
	// an answer.
	callerGrace = 6 * time.Second
	// drainBound bounds the finishing of requests.
	drainBound = 60 * time.Second
	// farewellBound bounds the last messages.
	farewellBound = 2 * time.Second
	// spreadRounds is how many neighbours are told at once.
	spreadRounds = 4
)

// readyBound is how long the first callers wait for a daemon that starts.
const readyBound = 2500 * time.Millisecond

const (
	gateTick   = 200 * time.Millisecond
	sweepEvery = time.Second
	pollEvery  = 50 * time.Millisecond
)

// newTree lists the children in the order of their start.
func (d *Daemon) newTree() *supervise.Tree {
	a := &admin{snapshot: d.control.Snapshot, recorder: d.recorder, counts: d.Counters}
	announcements := announce.NewServer(d.gate)
	forwarded := d.forward.HTTP()
	return supervise.New(supervise.Options{Logger: d.logger},
		supervise.Child{Name: "loop", Critical: true, Run: d.control.RunLoop},
		supervise.Child{Name: "rpc", Run: func(ctx context.Context) error { return d.rpcServer.Serve(ctx, d.listen.rpc) }},
		supervise.Child{Name: "admin", Run: serveUntil(d.listen.admin, a.serve)},
		supervise.Child{Name: "config", Run: d.control.RunConfig},
		supervise.Child{Name: "catch-up", Run: d.control.RunCatchUp},
		supervise.Child{Name: "gossip", Run: d.control.RunGossip},
		supervise.Child{Name: "sampling", Run: d.control.RunSampling},
		supervise.Child{Name: "rows", Run: d.control.RunRows},
		supervise.Child{Name: "limiter", Run: d.limiter.Run},
		supervise.Child{Name: "claims", Run: d.claims.Run},
		supervise.Child{Name: "crashes", Run: d.crashes.run},
		supervise.Child{Name: "ticks", Run: d.runTicks},
		supervise.Child{Name: "announce", Run: serveUntil(d.listen.announce, announcements.Serve)},
		supervise.Child{Name: "forward", Run: serveUntil(d.listen.forward, forwarded.Serve)},
		supervise.Child{Name: "callers", Run: serveUntil(d.listen.caller, d.serveCallers)},
	)
}

// serveCallers lets the first callers wait until the daemon knows enough to
// serve them, for a bounded time.
func (d *Daemon) serveCallers(l net.Listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyBound)
	defer cancel()
	for !d.control.Snapshot().Ready() && ctx.Err() == nil {
		pause.For(ctx, pollEvery)
	}
	return d.ingress.Serve(l)
}

// serveUntil runs a server on a listener until ctx ends. A planned stop has
// closed the callers' listener before.
func serveUntil(l net.Listener, serve func(net.Listener) error) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { l.Close() })
		defer stop()
		err := serve(l)
		if ctx.Err() == nil && err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

// runTicks does the periodic work of the parts without goroutines of their own.
func (d *Daemon) runTicks(ctx context.Context) error {
	fast := time.NewTicker(gateTick)
	defer fast.Stop()
	slow := time.NewTicker(sweepEvery)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-fast.C:
			d.gate.Tick(now)
		case now := <-slow.C:
			d.client.CloseExpired(now)
			d.rpcClient.Sweep(now)
		}
	}
}

// Run serves until ctx ends, then stops in the steps that the package comment
// lists. It returns when everything has stopped.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	var group errgroup.Group
	failed := make(chan struct{})
	group.Go(func() error {
		defer close(failed)
		return d.tree.Run(treeCtx)
	})
	d.logListening()
	select {
	case <-failed:
	case <-ctx.Done():
		d.stop(leaveGrace)
	case <-d.control.Superseded():
		d.stop(0)
	}
	stopTree()
	err := group.Wait()
	d.close()
	return err
}

func (d *Daemon) logListening() {
	d.logger.Info("listening",
		"caller", d.listen.caller.Addr().String(),
		"forward", d.listen.forward.Addr().String(),
		"rpc", d.listen.rpc.Addr().String(),
		"announce", d.listen.announce.Addr().String(),
		"admin", d.listen.admin.Addr().String())
}

// stop is the planned stop. grace is the time for peers to learn of it.
func (d *Daemon) stop(grace time.Duration) {
	started := time.Now()
	d.logger.Info("leaving", "in_flight", d.ingress.Stats().InFlight.Load())
	ctx, cancel := context.WithTimeout(context.Background(), drainBound)
	defer cancel()
	d.note("announce leaving", d.control.MarkLeaving(ctx))
	d.control.Propagate(ctx, spreadRounds)
	d.limiter.Release(ctx)
	pause.For(ctx, grace-time.Since(started))
	d.note("drain the gate", d.gate.Drain(ctx))
	d.emptyCallers(ctx)
	d.note("close callers' connections", d.ingress.Shutdown(ctx))
	d.farewell()
	d.logger.Info("left", "took", time.Since(started).Round(time.Millisecond))
}

func (d *Daemon) note(step string, err error) {
	if err != nil {
		d.logger.Warn("a step of the planned stop failed; going on", "step", step, "err", err)
	}
}

// emptyCallers waits until callers' connections have ended with an answer that
// asked them to reconnect.
func (d *Daemon) emptyCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerGrace)
	defer cancel()
	for d.ingress.OpenConnections() > 0 && ctx.Err() == nil {
		pause.For(ctx, pollEvery)
	}
}

// farewell tells the fleet that the host has left.
func (d *Daemon) farewell() {
	ctx, cancel := context.WithTimeout(context.Background(), farewellBound)
	defer cancel()
	d.claims.RetryDeferred(ctx)
	d.note("mark as left", d.control.MarkLeft(ctx))
	d.control.Propagate(ctx, spreadRounds)
	d.note("remove the member row", d.control.RemoveRow(ctx))
}

func (d *Daemon) close() {
	d.listen.close()
	d.gate.Close()
	d.client.Close()
	d.rpcClient.Close()
}
