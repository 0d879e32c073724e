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
	DefaultPermission = 2 * time.Second
	DefaultWait       = 2500 * time.Millisecond
	DefaultLinger     = 2 * time.Second
	DefaultGone       = 5 * time.Second
	DefaultForget     = 60 * time.Second
)

// Policy checks an attempt by the configuration in force at the gate: the key
// is still valid for the workspace and route, and the data centre takes work.
type Policy interface {
	// Check returns nil or a refusal that says "not run".
	Check(att wire.Attempt) *wire.Refusal
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	// Check reports whether requests of this fingerprint must not run.
	Check(fingerprint uint64) bool
}

// Options configures a Gate. Zero fields take the documented defaults.
type Options struct {
	// Host is the name of the gate's host, the first part of target ids.
	Host string
	// Incarnation is that of the daemon.
	Incarnation uint64
	// Policy is consulted for each attempt. Nil admits all.
	Policy Policy
	// Service looks up a service's section. It must be set.
	Service func(name string) (config.Service, bool)
	// Weight is a workspace's share in queues. Nil gives all the same.
	Weight func(workspace string) int
	// Revision is the configuration in force at the gate. Nil reports 0.
	Revision func() uint64
	// Clock is the source of time. Default time.Now.
	Clock func() time.Time
	// Observer is told the outcomes. Nil tells nobody.
	Observer Observer
	// Quarantine is consulted for each attempt. Nil refuses none.
	Quarantine Quarantine
	// NewLimiter makes the limiter of a target that started at the given time.
	// Default NewRamp.
	NewLimiter func(svc config.Service, slots int, started time.Time) Limiter
	// Links configures the connections to targets.
	Links link.Options
	// Ledger configures the record of attempts; its Incarnation is set here.
	Ledger ledger.Options
	// Permission is how long after its last announcement a target is fed.
	// Default 2 s.
	Permission time.Duration
	// Wait is how long a new target must announce itself before it is fed.
	// It must exceed Permission. Default 2.5 s.
	Wait time.Duration
	// Alone reports that no other daemon feeds targets of this host, so that
	// new targets are fed at once. Nil waits always.
	Alone func() bool
	// Linger is how long an exchange that was given up keeps its slot unless
	// the target closes its end before. Default 2 s.
	Linger time.Duration
	// KeepFor and KeepBytes bound the answers that are kept for copies of
	// attempts that may not be repeated. Default 15 s and 4 MiB.
	KeepFor   time.Duration
	KeepBytes int
	// Gone is the silence after which a target counts as gone. Default 5 s.
	Gone time.Duration
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
	if o.Alone == nil {
		o.Alone = func() bool { return false }
	}
	if o.NewLimiter == nil {
		o.NewLimiter = NewRamp
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	if o.Permission <= 0 {
		o.Permission = DefaultPermission
	}
	if o.Wait <= o.Permission {
		o.Wait = o.Permission + DefaultWait - DefaultPermission
	}
	if o.Linger <= 0 {
		o.Linger = DefaultLinger
	}
	if o.KeepFor <= 0 {
		o.KeepFor = DefaultKeepFor
	}
	if o.KeepBytes <= 0 {
		o.KeepBytes = DefaultKeepBytes
	}
	if o.Gone <= 0 {
		o.Gone = DefaultGone
	}
	o.Ledger.Incarnation = o.Incarnation
	return o
}

// Stats counts what the gate did.
type Stats struct {
	Attempts    int64 // arrived
	Dispatched  int64 // entered in the ledger and sent
	Answered    int64 // answer header received
	Queued      int64 // had to wait
	Refused     int64 // refused as not run
	Uncertain   int64 // failed with unknown outcome
	Stale       int64 // refused for their epoch
	Duplicates  int64
	Replayed    int64 // copies of attempts that got the first one's outcome
	KeptBytes   int64 // of answers kept now
	Settled     int64 // settle calls
	Tombstones  int64 // settled as not run
	Busy        int64 // refused for lack of room or time
	Evicted     int64 // lost their place in the queue
	ReuseFailed int64 // reused connections that proved broken
	Truncated   int64 // answers cut short by the target
	Canceled    int64 // given up by the caller
	Deaths      int64 // deaths of targets
	InFlight    int64 // at targets now
	Waiting     int64 // in queues now
	LedgerSize  int64 // entries
	Connections link.Stats
}

// Gate forwards attempts to the targets of its host. It is safe for
// concurrent use.
type Gate struct {
	opts  Options
	links *link.Pool

	mu       sync.Mutex
	ledger   *ledger.Ledger
	targets  map[string]*target // by name; the current instance of each
	replays     replayCache
	draining bool
	active   int           // attempts admitted and not yet ended
	drained     chan struct{} // closed when draining and none is active
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
		replays:    replayCache{maxAge: opts.KeepFor, maxBytes: opts.KeepBytes, byID: map[wire.ID]*replayEntry{}},
		drained:    make(chan struct{}),
	}
}

// Epoch returns the epoch that attempts must carry.
func (g *Gate) Epoch() wire.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Epoch()
}

// Stats returns the counts so far.
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

// Tick does the work of passing time; call it a few times a second.
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
	g.links.Sweep(now)
}

// Close closes the idle connections to targets.
func (g *Gate) Close() { g.links.Close() }
