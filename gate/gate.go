package gate

import (
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/ledger"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Defaults of Options.
const (
	DefaultAnnouncementTTL = 2 * time.Second
	DefaultTakeoverDelay   = 2500 * time.Millisecond
	DefaultLinger          = 2 * time.Second
	DefaultSilenceTimeout  = 5 * time.Second

	// DefaultTargetRetention is how long after its last announcement a target
	// without requests in flight is forgotten. It has no option.
	DefaultTargetRetention = 60 * time.Second
)

// Policy checks an attempt against the configuration in force at the gate: the
// key must still be valid for the workspace and route, and the data centre must
// accept work.
type Policy interface {
	// Check returns nil, or a refusal with run state NotRun.
	Check(att wire.Attempt) *wire.Refusal
}

// Quarantine identifies requests that are known to crash targets.
type Quarantine interface {
	// Check reports whether requests with this fingerprint must not run.
	Check(fingerprint uint64) bool
}

// Options configures a Gate. Zero fields take the documented defaults.
type Options struct {
	// Host is the name of the gate's host and the first part of its target IDs.
	Host string
	// Incarnation is the incarnation of the daemon that runs the gate.
	Incarnation uint64
	// Policy is consulted for each attempt. Nil admits all attempts.
	Policy Policy
	// Service looks up the configuration of a service. Required.
	Service func(name string) (config.Service, bool)
	// Weight returns a workspace's weight in queues. Nil gives all workspaces
	// the same weight.
	Weight func(workspace string) int
	// Revision returns the configuration revision in force at the gate. Nil
	// reports 0.
	Revision func() uint64
	// Clock returns the current time. Default time.Now.
	Clock func() time.Time
	// Observer receives the outcomes of exchanges. Nil discards them.
	Observer Observer
	// Quarantine is consulted for each attempt. Nil refuses none.
	Quarantine Quarantine
	// NewLimiter creates the concurrency limiter of a target that started at
	// the given time. Default NewSlowStartLimiter.
	NewLimiter func(svc config.Service, slots int, started time.Time) Limiter
	// Links configures the connection pool to targets.
	Links link.Options
	// Ledger configures the ledger of attempts. New overwrites its Incarnation.
	Ledger ledger.Options
	// AnnouncementTTL is how long after its last announcement a target is sent
	// requests. Default 2 s.
	AnnouncementTTL time.Duration
	// TakeoverDelay is how long a new target must have announced itself without
	// interruption before it is sent requests. It must exceed AnnouncementTTL.
	// Default 2.5 s.
	TakeoverDelay time.Duration
	// SoleDaemon reports that no other daemon sends requests to targets of this
	// host, so new targets are served without TakeoverDelay. Nil always waits.
	SoleDaemon func() bool
	// Linger is how long an abandoned exchange keeps its slot, unless the
	// target closes its end of the connection earlier. Default 2 s.
	Linger time.Duration
	// ReplayTTL and ReplayMaxBytes bound the retained responses, which are
	// returned to duplicates of non-idempotent attempts. Default 15 s and 4
	// MiB.
	ReplayTTL      time.Duration
	ReplayMaxBytes int
	// SilenceTimeout is how long after its last announcement a target counts as
	// gone; its broken exchanges are then reported as a death. Default 5 s.
	SilenceTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Weight == nil {
		o.Weight = func(string) int { return 1 }
	}
	if o.Revision == nil {
		o.Revision = func() uint64 { return 0 }
	}
	if o.SoleDaemon == nil {
		o.SoleDaemon = func() bool { return false }
	}
	if o.NewLimiter == nil {
		o.NewLimiter = NewSlowStartLimiter
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	if o.AnnouncementTTL <= 0 {
		o.AnnouncementTTL = DefaultAnnouncementTTL
	}
	if o.TakeoverDelay <= o.AnnouncementTTL {
		o.TakeoverDelay = o.AnnouncementTTL + DefaultTakeoverDelay - DefaultAnnouncementTTL
	}
	if o.Linger <= 0 {
		o.Linger = DefaultLinger
	}
	if o.ReplayTTL <= 0 {
		o.ReplayTTL = DefaultReplayTTL
	}
	if o.ReplayMaxBytes <= 0 {
		o.ReplayMaxBytes = DefaultReplayMaxBytes
	}
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	o.Ledger.Incarnation = o.Incarnation
	return o
}

// Stats holds the gate's counters and gauges.
type Stats struct {
	Attempts    int64 // received
	Dispatched  int64 // recorded in the ledger and sent
	Answered    int64 // response headers received
	Queued      int64 // placed in a queue
	Refused     int64 // refused with run state NotRun
	Uncertain   int64 // failed with an unknown run state
	Stale       int64 // refused because of an outdated epoch
	Duplicates  int64
	Replayed    int64 // duplicates that received the original's outcome
	KeptBytes   int64 // size of the responses retained for replay
	Settled     int64 // calls of Settle
	Tombstones  int64 // attempts settled as not run
	Busy        int64 // refused for lack of capacity or time
	Evicted     int64 // evicted from a queue
	ReuseFailed int64 // exchanges repeated because a reused connection was broken
	Truncated   int64 // responses truncated by the target
	Canceled    int64 // canceled by the caller or refused at dispatch
	Deaths      int64 // target deaths with requests in flight
	InFlight    int64 // requests at targets
	Waiting     int64 // requests in queues
	LedgerSize  int64 // ledger entries
	Connections link.Stats
}

// Gate forwards attempts to the targets of its host. It is safe for concurrent
// use.
type Gate struct {
	opts  Options
	links *link.Pool

	mu       sync.Mutex
	ledger   *ledger.Ledger
	targets  map[string]*target // current instance of each target, by name
	replays  replayCache
	draining bool
	active   int           // admitted attempts that have not ended
	drained  chan struct{} // closed once draining and no attempt is active
	stats    Stats
}

// New returns a gate without targets.
func New(opts Options) *Gate {
	opts = opts.withDefaults()
	return &Gate{
		opts:    opts,
		links:   link.New(opts.Links),
		ledger:  ledger.New(opts.Ledger, opts.Clock()),
		targets: map[string]*target{},
		replays: replayCache{maxAge: opts.ReplayTTL, maxBytes: opts.ReplayMaxBytes, byID: map[wire.ID]*replayEntry{}},
		drained: make(chan struct{}),
	}
}

// Epoch returns the current epoch, which attempts must carry.
func (g *Gate) Epoch() wire.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Epoch()
}

// Stats returns a snapshot of the counters and gauges.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.LedgerSize = int64(g.ledger.Len())
	s.KeptBytes = int64(g.replays.bytes)
	for _, t := range g.targets {
		s.InFlight += int64(t.inFlight)
		s.Waiting += int64(t.queue.Len())
	}
	s.Connections = g.links.Stats()
	return s
}

// Targets returns the records of the host's targets, sorted by ID.
func (g *Gate) Targets() []member.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Clock()
	records := make([]member.Target, 0, len(g.targets))
	for _, t := range g.targets {
		records = append(records, t.record(g.opts, now))
	}
	sortByID(records)
	return records
}

// Tick performs periodic maintenance: it expires ledger generations, retained
// responses, silent targets and idle connections. It must be called a few times
// per second.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	g.ledger.Tick(now)
	g.replays.expire(now)
	var deaths []Outcome
	for name, t := range g.targets {
		if d, dead := g.expireTarget(name, t, now); dead {
			deaths = append(deaths, d)
		}
	}
	g.mu.Unlock()
	g.notifyOutcomes(deaths)
	g.links.CloseExpired(now)
}

// Close closes the idle connections to targets.
func (g *Gate) Close() { g.links.Close() }
