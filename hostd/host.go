package hostd

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/memory"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/outbox"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
	"github.com/gooseberryshed/gooseberryshed/supervise"
)

// Options configure a Host.
type Options struct {
	Settings *karpithaz.Settings
	// MetricsListen is the address of the metrics page. The page is disabled if
	// it is empty.
	MetricsListen string
	// GateBind and DatagramBind are the addresses to listen on for other
	// daemons. They differ from the advertised addresses in the settings where
	// a relay forwards the traffic. If empty, the addresses in the settings are
	// used.
	GateBind, DatagramBind string
	// Output receives the log.
	Output io.Writer
}

// Host is the daemon of one host.
type Host struct {
	// settings are the settings at start-up. Listen addresses are taken from
	// them.
	settings *karpithaz.Settings
	// current are the settings in force, which a reload replaces.
	current atomic.Pointer[karpithaz.Settings]
	log     *decisions.Log
	metrics *metrics.Registry
	store   *karpithaz.Store
	control *Control
	gate    *Gate
	// runs are the attempts of other hosts at the gate.
	runs    *runs
	client  *gateClient
	ingress *Ingress
	limiter *fleetLimiter
	crashes *crashTracker
	// departures holds those of other hosts' targets, and departuresAsked is closed once
	// this host knows whether others hold that of its own.
	departures      *departures
	departuresAsked chan struct{}
	// news is what other hosts are told until they have answered.
	news *outbox.Outbox[news]
	load *hostLoad
	// withdrawals withdraws attempts at the gates of all hosts.
	withdrawals *withdrawals
	rollouts    *rollouts
	datagrams   *datagramConn
	servers     servers
	stopCh      chan struct{}
}

// servers are the HTTP servers of a host.
type servers struct {
	callers, gates, announcements, ready, metrics *h1.Server
	listeners                                     []net.Listener
	children                                      []supervise.Child
	// traffic are the listeners of callers and gates.
	traffic []net.Listener
}

// memoryLimitShare is the soft limit of the Go runtime as a share of the
// platform's memory limit. The rest is reserved for memory outside the heap.
const memoryLimitShare = 0.7

// New opens the listeners and builds the components. Nothing runs until Run.
func New(o Options) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(o.Settings.MemoryBytes)))
	h := &Host{
		settings: o.Settings,
		log:      decisions.New(o.Output),
		metrics:  metrics.New(),
		store:    karpithaz.NewStore(o.Settings.StoreAddress, o.Settings.IP),
		client:   newGateClient(o.Settings.IP, newAccount(o.Settings)),
		stopCh:   make(chan struct{}),

		departuresAsked: make(chan struct{}),
	}
	h.store.SetOnInvalid(recordInvalid(fromStore, h.log, h.metrics))
	h.client.links.SetOnInvalid(recordInvalid(fromHost, h.log, h.metrics))
	h.current.Store(o.Settings)
	conn, err := newDatagramConn(o.Settings.Host, cmp.Or(o.DatagramBind, o.Settings.DatagramListen), h.metrics, h.answerQuery)
	if err != nil {
		return nil, err
	}
	h.datagrams = conn
	h.control = NewControl(o.Settings.Host, o.Settings.DataCentre, h.store, hostPeers{conn, h.client}, h.log, h.metrics)
	h.client.host, h.client.known = o.Settings.Host, h.control.knownConfig
	h.control.tableWrites = o.Settings.TableWritesPerSecond
	h.control.firstReadDelay = storepoll.FirstReadDelay(o.Settings.FleetStart, rand.Float64())
	h.gate = NewGate(h.current.Load, h.control.View, h.control.PublishTarget, h.log, h.metrics)
	h.gate.memory = h.client.memory
	h.showMemory()
	h.rollouts = newRollouts(o.Settings.Host, h.current.Load, h.control.View, h.store, h.gate, conn.query, h.log, h.metrics)
	h.rollouts.replying = func() int { return h.servers.gates.ActiveRequests() }
	h.runs = newRuns(func(attempt string) bool { return h.gate.Withdraw(attempt, h.gate.incarnation) })
	h.runs.onDropped = h.recordDroppedReply
	h.metrics.Gauge("replies_held_bytes", h.runs.heldBytes)
	h.control.registerGauges()
	h.limiter = newFleetLimiter(o.Settings.Host, h.bounds, h.control.View, conn.query, h.control.Isolated, h.log, h.metrics)
	h.withdrawals = &withdrawals{host: o.Settings.Host, gate: h.gate, view: h.control.View, query: conn.query}
	h.ingress = NewIngress(h.current.Load, h.control, h, h.limiter, h.gate.RecordCallFailure, h.log, h.metrics)
	h.news = newOutbox(h.control.View, conn.query, h.metrics)
	h.crashes = newCrashTracker(o.Settings.Host, h.control.View, h.tell, h.log, h.metrics)
	h.departures = &departures{host: o.Settings.Host, view: h.control.View, query: conn.query, tell: h.tell, log: h.log, metrics: h.metrics}
	h.gate.holdDeparture, h.gate.departuresAsked = h.departures.hold, h.departuresAsked
	conn.onQuery = h.departures.seen.put
	h.gate.onDeath = h.crashes.reportDeath
	h.gate.onServed = h.crashes.recordServed
	h.load = &hostLoad{log: h.log, metrics: h.metrics}
	h.gate.shortage = h.load.shortage
	h.ingress.quarantined = h.crashes.quarantined
	h.ingress.servedRank = h.gate.servedRank
	h.ingress.repeatShare = h.gate.repeatShare
	if err := h.open(o); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func (h *Host) open(o Options) error {
	s := &h.servers
	account := h.client.memory
	s.callers = h1.New(h1.Options{Handler: h.ingress.Handle, ErrorHandler: h.rejectCaller, Limits: h.callerLimits, Stopping: h.stopping, Memory: account, Evicted: h.logEvicted})
	s.gates = h1.New(h1.Options{Handler: h.handleForward, ErrorHandler: h.rejectForward, Limits: h.gateLimits, Stopping: h.stopping, Memory: account, Origin: memory.FromDaemon, Evicted: h.logEvicted, OnSent: h.load.sent})
	s.announcements = h1.New(h1.Options{Handler: h.gate.handleAnnouncement})
	s.ready = h1.New(h1.Options{Handler: h.handleReady})
	s.metrics = h1.New(h1.Options{Handler: h.handleMetrics})
	endpoints := []struct {
		name, addr string
		server     *h1.Server
	}{
		{"announcements", h.settings.AnnounceListen, s.announcements},
		{"ready", h.settings.ReadinessListen, s.ready},
		{"metrics", o.MetricsListen, s.metrics},
		{"gates", cmp.Or(o.GateBind, h.settings.GateListen), s.gates},
		{"callers", h.settings.CallerListen, s.callers},
	}
	for _, d := range endpoints {
		if d.addr == "" {
			continue
		}
		l, err := h1.Listen(d.addr)
		if err != nil {
			return errors.Wrap(err, d.name)
		}
		s.listeners = append(s.listeners, l)
		if d.server == s.callers || d.server == s.gates {
			s.traffic = append(s.traffic, l)
		}
		s.children = append(s.children, supervise.Child{Name: d.name, Run: serveUntil(d.server, l)})
	}
	return nil
}

// serveUntil returns a function that serves on l until ctx ends.
func serveUntil(s *h1.Server, l net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { l.Close() })
		defer stop()
		err := s.Serve(l)
		if errors.Is(err, net.ErrClosed) {
			// The listener has been closed by a planned stop; the connections
			// accepted before live on.
			<-ctx.Done()
		}
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
	h.news.Close()
	h.datagrams.close()
	h.gate.Close()
	h.client.links.Close()
	h.store.Close()
}

// Run serves until ctx ends, then performs a planned stop.
func (h *Host) Run(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	children := append([]supervise.Child{
		{Name: "log", Run: h.log.Run},
		{Name: "control", Critical: true, Run: h.control.Run},
		{Name: "config", Run: h.control.RunConfig},
		{Name: "hosts", Run: h.control.RunHosts},
		{Name: "news", Run: h.control.RunReaderPolls},
		{Name: "notifications", Run: h.control.RunNotifications},
		{Name: "notices", Run: h.control.RunNotices},
		{Name: "own-row", Run: h.control.RunOwnRow},
		{Name: "datagrams", Run: h.datagrams.run},
		{Name: "sweep", Run: h.runSweep},
		{Name: "host-load", Run: h.load.run},
		{Name: "own-row-watch", Run: h.runOwnRowWatch},
		{Name: "rollouts", Run: h.rollouts.run},
		{Name: "rollout-reports", Run: h.rollouts.runReports},
	}, h.servers.children...)
	failed := make(chan error, 1)
	go func() { failed <- supervise.New(supervise.Options{Logger: h.log.Logger()}, children...).Run(treeCtx) }()
	go h.departures.askAtStart(treeCtx, h.gate.learnDeparture, func() {
		close(h.departuresAsked)
		h.gate.applyDeferred()
	})
	go h.gate.Discover(treeCtx)
	go h.crashes.run(treeCtx, h.client.crashReports)
	h.log.Logger().Info("started", "host", h.settings.Host, "data_centre", h.settings.DataCentre, "service", h.settings.Service,
		"callers", h.settings.CallerListen, "gates", h.settings.GateListen)
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

// Reload reads the settings again. Invalid settings are ignored. Listen
// addresses do not change until a restart.
func (h *Host) Reload() {
	set, err := karpithaz.LoadSettings()
	if err != nil {
		h.log.Logger().Error("invalid settings ignored; the previous ones stay in force", "err", err)
		return
	}
	h.current.Store(set)
	h.log.Logger().Info("settings reloaded", "service", set.Service)
}

// sweepInterval is how often idle connections and expired state are dropped.
const sweepInterval = 5 * time.Second

func (h *Host) runSweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		h.client.links.CloseExpired(now)
		h.gate.links.CloseExpired(now)
		h.limiter.sweep(now)
		h.crashes.sweep(now)
		h.departures.held.Sweep(now)
		h.runs.sweep(now)
		view := h.control.View()
		h.ingress.states.prune(func(target string) bool { return view.hasTarget(target) })
	}
	return nil
}

// Withdraw implements gateForwarder.
func (h *Host) Withdraw(ctx context.Context, host, attempt string, incarnation int64) (bool, error) {
	return h.withdrawals.withdraw(ctx, host, attempt, incarnation)
}

// ownRowCheckInterval is how often the host checks its own row. It is longer
// than a written row takes to come back through the readers.
const ownRowCheckInterval = 3 * time.Second

// runOwnRowWatch rewrites the host's own row if it is missing or out of date. A row that
// another host has removed, after a partition, is rewritten at once.
func (h *Host) runOwnRowWatch(ctx context.Context) error {
	ticker := time.NewTicker(ownRowCheckInterval)
	defer ticker.Stop()
	for {
		lost := false
		select {
		case <-ctx.Done():
			return nil
		case <-h.control.ownRowLost:
			lost = true
		case <-h.control.storeRestored:
			h.gate.republishRow()
			continue
		case <-ticker.C:
		}
		if view := h.control.View(); view.Ready() && !h.stopping() {
			row, listed := view.TargetOf(h.settings.Host)
			h.gate.refreshRow(row, listed && !h.control.ownRowReplaced(view), lost)
		}
	}
}

// Answers implements gateForwarder.
func (h *Host) Answers(ctx context.Context, t Target) bool {
	_, err := h.datagrams.query(ctx, t.Control, datagram{Kind: queryAlive, Host: h.settings.Host, To: t.Host})
	return err == nil
}

// Forward implements gateForwarder.
func (h *Host) Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply {
	if t.Host == h.settings.Host {
		return h.gate.Forward(ctx, f, req, ev.sent)
	}
	return h.client.Forward(ctx, t, f, req, ev)
}

// OfferAgain implements gateForwarder.
func (h *Host) OfferAgain(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply {
	return h.client.OfferAgain(ctx, t, f, req, ev)
}

// DistrustIdle implements gateForwarder.
func (h *Host) DistrustIdle(t time.Time) { h.client.links.CloseIdleSince(t) }

func (h *Host) bounds() karpithaz.Bounds { return h.current.Load().Bounds }

// answerQuery answers a query from another daemon.
func (h *Host) answerQuery(ctx context.Context, q datagram) datagram {
	switch q.Kind {
	case queryRate, queryRetry:
		return h.limiter.answer(ctx, q)
	case queryVersions:
		return h.control.reportVersions(q.Host)
	case queryAlive:
		return datagram{Result: true}
	case queryChanged:
		return h.control.recordNotice(q)
	case queryHeld:
		return h.control.line.confirm(q.Host)
	case queryCrash:
		return h.crashes.answer(q)
	case queryDeparted, queryDepartedOf:
		return h.departures.answer(ctx, q)
	case queryRollout:
		return h.rollouts.answer(q)
	case queryWithdraw:
		return h.withdrawals.answer(ctx, q)
	}
	h.metrics.Add("datagrams_unknown", 1)
	return datagram{}
}

// hostPeers reaches other hosts by datagrams and through their gates.
type hostPeers struct {
	*datagramConn
	*gateClient
}

func (h *Host) stopping() bool {
	select {
	case <-h.stopCh:
		return true
	default:
		return false
	}
}
