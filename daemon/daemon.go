package daemon

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/claim"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/ingress"
	"github.com/gooseberryshed/gooseberryshed/limiter"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/peertls"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/report"
	"github.com/gooseberryshed/gooseberryshed/rpc"
	"github.com/gooseberryshed/gooseberryshed/settings"
	"github.com/gooseberryshed/gooseberryshed/supervise"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// slowResponse is the latency above which a served request counts as slow in the
// error budget burn report.
const slowResponse = time.Second

// Options configures a Daemon.
type Options struct {
	// Settings must have been validated.
	Settings settings.Settings
	Table    platform.Table
	Objects  platform.Objects
	Logger   *log.Logger
	// Invalid records the invalid answers of targets and other daemons. If nil, New makes
	// one; Table and Objects may record theirs with the same.
	Invalid *InvalidAnswers
}

// Daemon is one instance of gooseberryshedd.
type Daemon struct {
	set    settings.Settings
	logger *log.Logger
	listen *listeners

	rpcServer *rpc.Server
	rpcClient *rpc.Client
	control   *control.Control
	gate      *gate.Gate
	gates     *gateClient
	forward   *forward.Server
	client    *forward.Client
	limiter   *limiter.Service
	limits    limiterConfigCache
	claims    *claim.Store
	ingress   *ingress.Ingress
	outcomes  *outcomeObserver
	registry  *suspect.Registry
	suspects  *suspectGossip
	recorder  *report.Recorder
	loads     *balance.LoadTracker
	invalid   *InvalidAnswers
	tree      *supervise.Tree
}

// New opens the listeners and builds the components. Nothing is served until Run.
func New(o Options) (*Daemon, error) {
	identity, err := peertls.New(o.Settings.Secrets())
	if err != nil {
		return nil, err
	}
	ls, err := listen(&o.Settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		set:       o.Settings,
		logger:    o.Logger,
		listen:    ls,
		rpcServer: rpc.NewServer(identity.Server()),
		rpcClient: rpc.NewClient(identity.Client(), o.Settings.Source()),
		registry:  suspect.NewRegistry(suspect.Options{}),
		recorder:  report.NewRecorder(slowResponse),
		loads:     &balance.LoadTracker{},
		invalid:   o.Invalid,
	}
	if d.invalid == nil {
		d.invalid = NewInvalidAnswers(o.Logger)
	}
	d.outcomes = newOutcomeObserver(d.registry)
	self := d.selfRecord()
	d.control = d.newControl(self, o)
	d.suspects = &suspectGossip{registry: d.registry, snapshot: d.control.Snapshot, rpc: d.rpcClient, table: o.Table}
	d.gate = d.newGate(self)
	d.newForwarding()
	d.limiter = d.newLimiter(self, o)
	d.claims = claim.New(o.Table, claim.Options{})
	d.ingress = d.newIngress()
	d.register()
	d.tree = d.newTree()
	publish("gooseberryshed."+self.Host, d.Counters)
	return d, nil
}

func (d *Daemon) selfRecord() member.Daemon {
	return member.Daemon{
		Host:        d.set.Host,
		DataCentre:  d.set.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
		State:       member.StateServing,
		ForwardAddr: advertisedAddress(d.set.ForwardAdvertise, d.listen.forward),
		RPCAddr:     advertisedAddress(d.set.RPCAdvertise, d.listen.rpc),
		CallerAddr:  advertisedAddress(d.set.CallerAdvertise, d.listen.caller),
		AdminAddr:   advertisedAddress("", d.listen.admin),
	}
}

func (d *Daemon) newControl(self member.Daemon, o Options) *control.Control {
	return control.New(control.Options{
		Self:    self,
		Table:   o.Table,
		Objects: o.Objects,
		Store:   configstore.New(o.Table, o.Objects),
		RPC:     d.rpcClient,
		Peers:   o.Settings.Peers,
		Targets: d.targets,
		Loads:   d.loads,
		Logger:  o.Logger,
	})
}

// targets returns the records of the host's targets with their health. It is
// called by the control loop.
func (d *Daemon) targets() []member.Target {
	return d.outcomes.evaluate(time.Now(), d.gate.Targets(), d.control.Snapshot())
}

func (d *Daemon) newGate(self member.Daemon) *gate.Gate {
	p := &policy{
		snapshot:       d.control.Snapshot,
		reportRevision: func(host string, revision uint64) { d.control.ReportRevision(host, revision) },
	}
	return gate.New(gate.Options{
		Host:        self.Host,
		Incarnation: self.Incarnation,
		Policy:      p,
		Service:     d.service,
		Weight:      d.weight,
		Revision:    d.revision,
		Observer:    d.outcomes,
		Quarantine:  d.suspects,
		NewLimiter:  d.outcomes.peerLatencies.newColdStart,
		Links:       link.Options{LocalAddr: d.set.SourceAddress, OnInvalid: d.invalid.targets.record},
	})
}

func (d *Daemon) service(name string) (config.Service, bool) {
	cfg := d.control.Snapshot().Config
	if cfg == nil {
		return config.Service{}, false
	}
	svc, ok := cfg.Service(name)
	if !ok {
		return config.Service{}, false
	}
	return *svc, true
}

func (d *Daemon) weight(workspace string) int {
	cfg := d.control.Snapshot().Config
	if cfg == nil {
		return 1
	}
	if w, ok := cfg.Workspace(workspace); ok {
		return w.Weight
	}
	return 1
}

func (d *Daemon) revision() uint64 {
	if cfg := d.control.Snapshot().Config; cfg != nil {
		return cfg.Revision()
	}
	return 0
}

func (d *Daemon) newForwarding() {
	secrets := d.set.Secrets()
	d.client = forward.NewClient(forward.ClientOptions{
		Address: func(host string) (string, bool) {
			m, ok := d.control.Snapshot().Find(host)
			return m.ForwardAddr, ok
		},
		Secrets: secrets,
		Pool:    link.Options{LocalAddr: d.set.SourceAddress, OnInvalid: d.invalid.hosts.record},
	})
	d.forward = forward.NewServer(forward.ServerOptions{Secrets: secrets, Forwarder: d.gate})
	d.gates = &gateClient{
		host:     d.set.Host,
		local:    d.gate,
		client:   d.client,
		rpc:      d.rpcClient,
		snapshot: d.control.Snapshot,
	}
}

func (d *Daemon) newLimiter(self member.Daemon, o Options) *limiter.Service {
	return limiter.New(limiter.Options{
		Self:   self,
		Table:  o.Table,
		RPC:    d.rpcClient,
		Config: func() limiter.Config { return d.limits.get(d.control.Snapshot()) },
		Peers:  d.reachable,
		Shards: d.set.RateShards,
		Logger: o.Logger,
	})
}

// reachable returns the members that are not considered unreachable.
func (d *Daemon) reachable() []member.Daemon {
	snap := d.control.Snapshot()
	if len(snap.Unreachable) == 0 {
		return snap.Daemons
	}
	out := make([]member.Daemon, 0, len(snap.Daemons))
	for _, m := range snap.Daemons {
		if !slices.Contains(snap.Unreachable, m.Host) {
			out = append(out, m)
		}
	}
	return out
}

func (d *Daemon) newIngress() *ingress.Ingress {
	return ingress.New(ingress.Options{
		Host:           d.set.Host,
		Snapshot:       d.control.Snapshot,
		Gates:          d.gates,
		Limiter:        d.limiter,
		Claims:         d.claims,
		Quarantine:     d.suspects,
		Loads:          d.loads,
		Backoff:        &balance.HostBackoff{},
		Recorder:       d.recorder,
		ReportRevision: d.control.ReportRevision,
		ObserveLatency: d.onResponse,
		MaxConns:       d.set.MaxConns,
	})
}

// onResponse records the time to the response header of a request that the
// ingress forwarded to another host.
func (d *Daemon) onResponse(service, host string, latency time.Duration) {
	if host != d.set.Host {
		d.outcomes.peerLatencies.forService(service).observe(time.Now(), latency)
	}
}

func (d *Daemon) register() {
	d.control.Register(d.rpcServer)
	d.gates.register(d.rpcServer)
	d.limiter.Register(d.rpcServer)
	d.suspects.register(d.rpcServer)
}
