package hostd

import (
	"cmp"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/supervise"
)

// Options are what a Host is made from.
type Options struct {
	Settings *karpithaz.Settings
	// MetricsListen is the address of the metrics page; empty has none.
	MetricsListen string
	// GateBind and DatagramBind are the addresses to listen on for other
	// daemons, where they are not those of the settings, which the others use:
	// something in between passes their traffic on. Empty takes the settings'.
	GateBind, DatagramBind string
	// Output takes the log lines.
	Output io.Writer
}

// Host is the daemon of one host.
type Host struct {
	// set are the settings at the start; addresses are taken from them.
	set *karpithaz.Settings
	// present are the settings in force, which a reload replaces.
	present atomic.Pointer[karpithaz.Settings]
	log     *decisions.Log
	metrics *metrics.Registry
	store   *karpithaz.Store
	control *Control
	gate    *Gate
	client  *gateClient
	ingress *Ingress
	rates   *fleetRates
	crashes *crashes
	// withdrawals take back attempts at the gates of all hosts.
	withdrawals *withdrawals
	asks        *datagrams
	servers     servers
	stopped     chan struct{}
	// stopBegun is when the last signal to stop came, in Unix nanoseconds.
	stopBegun atomic.Int64
}

// servers are the doors of a host.
type servers struct {
	callers, gates, announcements, ready, metrics *h1.Server
	listeners                                     []net.Listener
	children                                      []supervise.Child
}

// memoryShare of the platform's limit is where the collector starts to work
// harder; the rest is for what is outside the heap.
const memoryShare = 0.7

// New opens the addresses and builds the parts. Nothing runs until Run.
func New(o Options) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(o.Settings.MemoryBytes)))
	h := &Host{
		set:     o.Settings,
		log:     decisions.New(o.Output),
		metrics: metrics.New(),
		store:   karpithaz.NewStore(o.Settings.StoreAddress, o.Settings.IP),
		client:  newGateClient(o.Settings.IP),
		stopped: make(chan struct{}),
	}
	h.present.Store(o.Settings)
	asks, err := newDatagrams(cmp.Or(o.DatagramBind, o.Settings.DatagramListen), h.metrics, h.answer)
	if err != nil {
		return nil, err
	}
	h.asks = asks
	h.control = NewControl(o.Settings.Host, o.Settings.DataCentre, h.store, hostPeers{asks, h.client}, h.log, h.metrics)
	h.gate = NewGate(h.present.Load, h.control.View, h.control.Announce, h.log, h.metrics)
	h.rates = newFleetRates(o.Settings.Host, h.bounds, h.control.View, asks.ask)
	h.withdrawals = &withdrawals{host: o.Settings.Host, gate: h.gate, view: h.control.View, ask: asks.ask}
	h.ingress = NewIngress(h.present.Load, h.control, h, h.rates, h.gate.CallFailed, h.log, h.metrics)
	h.crashes = newCrashes(o.Settings.Host, h.control.View, asks.ask, h.log)
	h.gate.died = h.crashes.died
	h.ingress.quarantined = h.crashes.quarantined
	if err := h.open(o); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

// open builds the servers and opens their listeners.
func (h *Host) open(o Options) error {
	s := &h.servers
	s.callers = h1.New(h1.Options{Handle: h.ingress.Handle, Reject: h.rejectCaller, Limits: h.callerLimits, Stopping: h.stopping})
	s.gates = h1.New(h1.Options{Handle: h.handleForward, Stopping: h.stopping})
	s.announcements = h1.New(h1.Options{Handle: h.gate.handleAnnouncement})
	s.ready = h1.New(h1.Options{Handle: h.handleReady})
	s.metrics = h1.New(h1.Options{Handle: h.handleMetrics})
	doors := []struct {
		name, addr string
		server     *h1.Server
	}{
		{"announcements", h.set.AnnounceListen, s.announcements},
		{"ready", h.set.ReadyListen, s.ready},
		{"metrics", o.MetricsListen, s.metrics},
		{"gates", cmp.Or(o.GateBind, h.set.GateListen), s.gates},
		{"callers", h.set.CallerListen, s.callers},
	}
	for _, d := range doors {
		if d.addr == "" {
			continue
		}
		l, err := h1.Listen(d.addr)
		if err != nil {
			return errors.Wrap(err, d.name)
		}
		s.listeners = append(s.listeners, l)
		s.children = append(s.children, supervise.Child{Name: d.name, Run: serveUntil(d.server, l)})
	}
	return nil
}

// serveUntil runs a server until ctx ends.
func serveUntil(s *h1.Server, l net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { l.Close() })
		defer stop()
		err := s.Serve(l)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
}

func (h *Host) close() {
	for _, l := range h.servers.listeners {
		l.Close()
	}
	h.asks.close()
	h.gate.Close()
	h.client.links.Close()
	h.store.Close()
}

// Run serves until ctx ends, then stops as planned.
func (h *Host) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	children := append([]supervise.Child{
		{Name: "log", Run: h.log.Run},
		{Name: "control", Critical: true, Run: h.control.Run},
		{Name: "config", Run: h.control.RunConfig},
		{Name: "hosts", Run: h.control.RunHosts},
		{Name: "news", Run: h.control.RunNews},
		{Name: "own-row", Run: h.control.RunOwnRow},
		{Name: "datagrams", Run: h.asks.run},
		{Name: "sweep", Run: h.runSweep},
		{Name: "own-row-watch", Run: h.runOwnRowWatch},
	}, h.servers.children...)
	failed := make(chan error, 1)
	go func() { failed <- supervise.New(supervise.Options{Logger: h.log.Logger()}, children...).Run(treeCtx) }()
	go h.gate.Look(treeCtx)
	h.log.Logger().Info("started", "host", h.set.Host, "data_centre", h.set.DataCentre, "service", h.set.Service,
		"callers", h.set.CallerListen, "gates", h.set.GateListen)
	select {
	case err := <-failed:
		h.close()
		return err
	case <-ctx.Done():
	}
	h.stop()
	stopTree()
	err := <-failed
	h.close()
	return err
}

// Reload reads the settings anew. Unusable ones change nothing. Addresses stay
// as they were at the start.
func (h *Host) Reload() {
	set, err := karpithaz.LoadSettings()
	if err != nil {
		h.log.Logger().Error("settings unusable; the last ones stay in force", "err", err)
		return
	}
	h.present.Store(set)
	h.log.Logger().Info("settings reloaded", "service", set.Service)
}

// sweepEvery is how often idle connections and old knowledge are dropped.
const sweepEvery = 5 * time.Second

func (h *Host) runSweep(ctx context.Context) error {
	for pause.For(ctx, sweepEvery) {
		now := time.Now()
		h.client.links.CloseExpired(now)
		h.gate.links.CloseExpired(now)
		h.rates.sweep(now)
		h.crashes.sweep(now)
		view := h.control.View()
		h.ingress.reports.keep(func(target string) bool { return view.knows(target) })
	}
	return nil
}

// Withdraw implements gates.
func (h *Host) Withdraw(ctx context.Context, host, attempt string, life int64) (bool, error) {
	return h.withdrawals.withdraw(ctx, host, attempt, life)
}

// ownRowEvery is how often the own row is looked for; it is longer than a row
// takes to come back through the readers.
const ownRowEvery = 3 * time.Second

// runOwnRowWatch writes the own row again when it is missing or out of date.
func (h *Host) runOwnRowWatch(ctx context.Context) error {
	for pause.For(ctx, ownRowEvery) {
		if view := h.control.View(); view.Ready() && !h.stopping() {
			row, listed := view.TargetOf(h.set.Host)
			h.gate.confirm(row, listed)
		}
	}
	return nil
}

// Forward implements gates.
func (h *Host) Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, onSend func()) Reply {
	if t.Host == h.set.Host {
		return h.gate.Forward(ctx, f, req, onSend)
	}
	return h.client.Forward(ctx, t, f, req, onSend)
}

func (h *Host) bounds() karpithaz.Bounds { return h.present.Load().Bounds }

// answer answers a datagram of another daemon.
func (h *Host) answer(ctx context.Context, q datagram) datagram {
	switch q.Kind {
	case questionRate, questionRepeat:
		return h.rates.answer(ctx, q)
	case questionNews:
		return h.control.tellNews(q.Host)
	case questionCrash, questionQuarantine:
		return h.crashes.answer(ctx, q)
	case questionWithdraw:
		return h.withdrawals.answer(ctx, q)
	}
	h.metrics.Add("datagrams_unknown", 1)
	return datagram{}
}

// hostPeers asks other hosts by datagrams and through their gates.
type hostPeers struct {
	*datagrams
	*gateClient
}

// handleForward answers another daemon's attempt, or its question for hosts.
func (h *Host) handleForward(ctx context.Context, x *h1.Exchange) {
	if h.control.serveHosts(&x.Request, &x.Response) {
		return
	}
	f, err := readForward(&x.Request.Header)
	if err != nil || f.Attempt == "" {
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	onSend := func() {
		if err := x.Interim(); err != nil {
			h.metrics.Add("interim_failed", 1) // the answer will fail as well
		}
	}
	writeReply(&x.Response, h.gate.Forward(ctx, f, &x.Request, onSend))
}

func (h *Host) callerLimits() h1.Limits {
	cfg := h.control.View().Config
	if cfg == nil {
		return h1.Limits{}
	}
	return h1.Limits{
		HeaderBytes:   cfg.Limits.HeaderBytes,
		BodyBytes:     cfg.Limits.BodyBytes,
		HeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:   cfg.Limits.IdleTimeout,
	}
}

// rejectCaller answers a request that could not be read.
func (h *Host) rejectCaller(x *h1.Exchange, status int, err error) {
	h.metrics.Add("malformed", 1)
	h.log.Decide("malformed", "status", status, "err", err)
	x.Response.SetStatusCode(status)
}

func (h *Host) handleReady(_ context.Context, x *h1.Exchange) {
	if !karpithaz.IsReadiness(string(x.Request.Header.RequestURI())) {
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if h.stopping() || !h.control.View().Ready() {
		x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (h *Host) handleMetrics(_ context.Context, x *h1.Exchange) {
	x.Response.Header.SetContentType("text/plain; charset=utf-8")
	h.metrics.WriteText(x.Response.BodyWriter()) //nolint:errcheck // a buffer takes all
}

func (h *Host) stopping() bool {
	select {
	case <-h.stopped:
		return true
	default:
		return false
	}
}
