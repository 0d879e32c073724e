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

// Durations of a graceful shutdown.
const (
	// leaveGracePeriod lets peers learn that the host is leaving while its gate
	// still accepts attempts.
	leaveGracePeriod = 2 * time.Second
	// callerDrainTimeout is how long callers' connections may stay open until a
	// response that asks the caller to reconnect.
	callerDrainTimeout = 6 * time.Second
	// drainTimeout bounds the shutdown steps until requests in flight are done.
	drainTimeout = 60 * time.Second
	// leftTimeout bounds the last messages to peers and to the table.
	leftTimeout = 2 * time.Second
	// propagateExchanges is the number of gossip exchanges that propagate a state
	// change.
	propagateExchanges = 4
)

// readyTimeout bounds how long the first callers wait while the daemon starts.
const readyTimeout = 2500 * time.Millisecond

const (
	gateTickInterval = 200 * time.Millisecond
	sweepInterval    = time.Second
	pollInterval     = 50 * time.Millisecond
)

// newTree returns the supervisor tree; children start in the order listed.
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
		supervise.Child{Name: "crashes", Run: d.suspects.run},
		supervise.Child{Name: "ticks", Run: d.runTicks},
		supervise.Child{Name: "announce", Run: serveUntil(d.listen.announce, announcements.Serve)},
		supervise.Child{Name: "forward", Run: serveUntil(d.listen.forward, forwarded.Serve)},
		supervise.Child{Name: "callers", Run: serveUntil(d.listen.caller, d.serveCallers)},
	)
}

// serveCallers delays the first callers until the daemon is ready, at most for
// readyTimeout.
func (d *Daemon) serveCallers(l net.Listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for !d.control.Snapshot().Ready() && ctx.Err() == nil {
		pause.For(ctx, pollInterval)
	}
	return d.ingress.Serve(l)
}

// serveUntil runs a server on a listener until ctx ends. It tolerates a listener
// that is closed earlier, as a graceful shutdown does with the callers' listener.
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

// runTicks drives the periodic work of components without their own goroutines.
func (d *Daemon) runTicks(ctx context.Context) error {
	fast := time.NewTicker(gateTickInterval)
	defer fast.Stop()
	slow := time.NewTicker(sweepInterval)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-fast.C:
			d.gate.Tick(now)
		case now := <-slow.C:
			d.client.CloseExpired(now)
			d.rpcClient.CloseIdle(now)
		}
	}
}

// Run serves until ctx ends, then shuts down in the steps listed in the package
// comment. It returns when all components have stopped.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	var group errgroup.Group
	treeDone := make(chan struct{})
	group.Go(func() error {
		defer close(treeDone)
		return d.tree.Run(treeCtx)
	})
	d.logListening()
	select {
	case <-treeDone:
	case <-ctx.Done():
		d.stop(leaveGracePeriod)
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

// stop shuts down gracefully. grace is the time for peers to learn that the host
// is leaving.
func (d *Daemon) stop(grace time.Duration) {
	start := time.Now()
	d.logger.Info("leaving", "in_flight", d.ingress.Stats().InFlight.Load())
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	d.warnOnError("announce leaving", d.control.MarkLeaving(ctx))
	d.control.Propagate(ctx, propagateExchanges)
	d.limiter.Release(ctx)
	pause.For(ctx, grace-time.Since(start))
	d.warnOnError("drain the gate", d.gate.Drain(ctx))
	d.drainCallers(ctx)
	d.warnOnError("close callers' connections", d.ingress.Shutdown(ctx))
	d.announceLeft()
	d.logger.Info("left", "took", time.Since(start).Round(time.Millisecond))
}

func (d *Daemon) warnOnError(step string, err error) {
	if err != nil {
		d.logger.Warn("a step of the planned stop failed; going on", "step", step, "err", err)
	}
}

// drainCallers waits until callers' connections have ended with a response that
// asked them to reconnect, at most for callerDrainTimeout.
func (d *Daemon) drainCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerDrainTimeout)
	defer cancel()
	for d.ingress.OpenConnections() > 0 && ctx.Err() == nil {
		pause.For(ctx, pollInterval)
	}
}

// announceLeft tells peers and the table that the host has left.
func (d *Daemon) announceLeft() {
	ctx, cancel := context.WithTimeout(context.Background(), leftTimeout)
	defer cancel()
	d.claims.RetryDeferred(ctx)
	d.warnOnError("mark as left", d.control.MarkLeft(ctx))
	d.control.Propagate(ctx, propagateExchanges)
	d.warnOnError("remove the member row", d.control.RemoveRow(ctx))
}

func (d *Daemon) close() {
	d.listen.close()
	d.gate.Close()
	d.client.Close()
	d.rpcClient.Close()
}
