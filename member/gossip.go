package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Options tune a Gossip. Zero fields take the defaults given.
type Options struct {
	// Neighbours is how many peers a daemon exchanges with. Default 4.
	Neighbours int
	// SuspectFor is how long a suspicion waits for its refutation. Default
	// 4 s and 1 s more for each doubling of the fleet.
	SuspectFor time.Duration
	// KeepLeft is how long the record of a daemon that left is kept, and
	// KeepUnreachable that of one that no longer answers; while kept it counts
	// for the floor and for majorities. Defaults 2 h and 24 h.
	KeepLeft        time.Duration
	KeepUnreachable time.Duration
	// MaxNews bounds the records listed in a message. Default 1,024.
	MaxNews int
	// MaxChangeBytes bounds the records carried in a message, approximately.
	// Default 64 KiB.
	MaxChangeBytes int
}

const (
	defaultNeighbours      = 4
	defaultKeepLeft        = 2 * time.Hour
	defaultKeepUnreachable = 24 * time.Hour
	defaultMaxNews         = 1024
	defaultMaxChangeBytes  = 64 << 10

	suspicionTimeoutBase        = 4 * time.Second
	suspicionTimeoutPerDoubling = time.Second
	// cutLinkBackoff is how long a peer is not tried after its owner has refuted a
	// suspicion of ours: the link is cut, not the peer.
	cutLinkBackoff = time.Minute
)

// Stats counts what happened.
type Stats struct {
	Exchanges   int `json:"exchanges"`
	Failures    int `json:"failures"`
	Received    int `json:"records_received"`
	Redundant   int `json:"records_redundant"`
	Unfitting   int `json:"records_unfitting"`
	Suspected   int `json:"suspected"`
	Refuted     int `json:"refuted"`
	Unreachable int `json:"became_unreachable"`
	Forgotten   int `json:"forgotten"`
}

// entry is the local copy of a record.
type entry struct {
	record   Daemon
	key Key
	// seq numbers the change by which the copy got its present version.
	seq uint64
	// source is the peer that it came source.
	source string
	// suspicionSeq numbers the suspicion; 0 when there is none. It holds for
	// the record's version suspected and older ones.
	suspicionSeq   uint64
	suspicion    Suspicion
	suspicionStart time.Time
	unreachable  bool
	// changed is when the copy last changed or became unreachable.
	changed    time.Time
	backoffUntil time.Time
	// suspectedLocally tells that the suspicion is our own.
	suspectedLocally bool
}

// watermarks is how far the exchange with a peer has come.
type watermarks struct {
	incarnation uint64
	// seen is the highest of the peer's numbers processed here.
	seen uint64
	// acked is the highest of our numbers that the peer has processed.
	acked uint64
}

// Gossip is the membership as one daemon knows it. It is not safe for
// concurrent use.
type Gossip struct {
	opt     Options
	self    string
	entries map[string]*entry
	byKey   map[Key]string
	peerMarks   map[string]*watermarks
	seq     uint64
	stats   Stats
	conflictingIncarnation   uint64
	predecessor  Daemon // the record of our earlier incarnation

	cachedNeighbours  []string // neighbours; rebuilt when the set of live members changes
	neighboursStale bool
}

// New returns the membership of a daemon that knows only itself.
func New(now time.Time, self Daemon, opt Options) *Gossip {
	g := &Gossip{
		opt:     withDefaults(opt),
		self:    self.Host,
		entries: map[string]*entry{},
		byKey:   map[Key]string{},
		peerMarks:   map[string]*watermarks{},
		neighboursStale:   true,
	}
	self.Version = max(self.Version, 1)
	self.HeadVersion = self.Version
	self.FullVersion = self.Version
	for i := range self.Targets {
		self.Targets[i].Version = self.Version
	}
	g.store(now, self, self.Host)
	return g
}

func withDefaults(opt Options) Options {
	opt.Neighbours = cmp.Or(opt.Neighbours, defaultNeighbours)
	opt.KeepLeft = cmp.Or(opt.KeepLeft, defaultKeepLeft)
	opt.KeepUnreachable = cmp.Or(opt.KeepUnreachable, defaultKeepUnreachable)
	opt.MaxNews = cmp.Or(opt.MaxNews, defaultMaxNews)
	opt.MaxChangeBytes = cmp.Or(opt.MaxChangeBytes, defaultMaxChangeBytes)
	return opt
}

// Self returns a copy of the daemon's own record.
func (g *Gossip) Self() Daemon { return cloneDaemon(g.entries[g.self].record) }

// Update changes the own record by f, which gets a copy. The versions are set
// here; a change of Revision or TableOK alone is not gossiped.
func (g *Gossip) Update(now time.Time, f func(*Daemon)) {
	e := g.entries[g.self]
	next := cloneDaemon(e.record)
	f(&next)
	if !setVersions(e.record, &next) {
		e.record = next
		return
	}
	g.store(now, next, g.self)
}

// List returns all records, those of unreachable and departed members too, in
// the order of hosts. The records are shared and must not be changed.
func (g *Gossip) List() []Daemon {
	out := make([]Daemon, 0, len(g.entries))
	for _, e := range g.entries {
		out = append(out, e.record)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Unreachable returns the hosts that did not refute a suspicion, in order.
func (g *Gossip) Unreachable() []string {
	var out []string
	for host, e := range g.entries {
		if e.unreachable {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// Find returns the record of a host.
func (g *Gossip) Find(host string) (Daemon, bool) {
	e, ok := g.entries[host]
	if !ok {
		return Daemon{}, false
	}
	return e.record, true
}

// Stats returns the counters.
func (g *Gossip) Stats() Stats { return g.stats }

// Rival returns the highest incarnation that another daemon has published for
// our host, if it supersedes ours: two daemons claim the host, or its clock
// went back. The older one must stop or start anew above it.
func (g *Gossip) Rival() (uint64, bool) {
	return g.conflictingIncarnation, g.conflictingIncarnation > g.entries[g.self].record.Incarnation
}

// MergeRecords takes whole records from elsewhere: rows of the table.
func (g *Gossip) MergeRecords(now time.Time, records []Daemon) {
	for _, d := range records {
		g.merge(now, Change{Daemon: d}, "")
	}
}

// merge takes a change and reports whether the copy is now at least as new.
func (g *Gossip) merge(now time.Time, c Change, from string) bool {
	if c.Host == g.self {
		g.mergeSelf(c.Daemon)
		return true
	}
	var old Daemon
	if e, ok := g.entries[c.Host]; ok {
		old = e.record
		if !Newer(c.Daemon, old) {
			g.stats.Redundant++
			return true
		}
	}
	next, ok := c.apply(old)
	if !ok {
		g.stats.Unfitting++
		return false
	}
	g.stats.Received++
	g.store(now, next, from)
	if c.Suspected > 0 {
		g.suspect(now.Add(-c.Suspected), g.entries[c.Host], suspicionOf(next))
	}
	return true
}

// Predecessor returns the record of the host's earlier incarnation, as far as
// peers or the table have told it. It tells how warm the targets were.
func (g *Gossip) Predecessor() (Daemon, bool) {
	return g.predecessor, g.predecessor.Host != ""
}

// mergeSelf only notes rivals and predecessors: nobody else changes the own
// record.
func (g *Gossip) mergeSelf(d Daemon) {
	ownIncarnation := g.entries[g.self].record.Incarnation
	if d.Host != g.self {
		return
	}
	if d.Incarnation >= ownIncarnation {
		g.conflictingIncarnation = max(g.conflictingIncarnation, d.Incarnation)
		return
	}
	if g.predecessor.Host == "" || Newer(d, g.predecessor) {
		g.predecessor = d
	}
}

// store stores a record as a new change.
func (g *Gossip) store(now time.Time, d Daemon, from string) {
	e, ok := g.entries[d.Host]
	if !ok {
		e = &entry{key: KeyOf(d.Host)}
		g.entries[d.Host] = e
		g.byKey[e.key] = d.Host
	}
	if !ok || e.unreachable || e.record.State != d.State {
		g.neighboursStale = true
	}
	g.seq++
	e.record = d
	e.seq = g.seq
	e.source = from
	e.changed = now
	if e.suspicionSeq > 0 && e.suspicion.refutedBy(d) {
		g.clearSuspicion(now, e)
	}
}

// Tick expires suspicions and records.
func (g *Gossip) Tick(now time.Time) {
	suspicionTimeout := g.suspicionTimeout()
	for host, e := range g.entries {
		if host == g.self {
			continue
		}
		g.expire(now, host, e, suspicionTimeout)
	}
}

func (g *Gossip) expire(now time.Time, host string, e *entry, suspicionTimeout time.Duration) {
	hasLeft := e.record.State == StateLeft
	if e.suspicionSeq > 0 && !e.unreachable && !hasLeft && now.Sub(e.suspicionStart) >= suspicionTimeout {
		e.unreachable = true
		e.changed = now
		g.stats.Unreachable++
		g.neighboursStale = true
	}
	age := now.Sub(e.changed)
	if hasLeft && age >= g.opt.KeepLeft || e.unreachable && age >= g.opt.KeepUnreachable {
		delete(g.entries, host)
		delete(g.byKey, e.key)
		delete(g.peerMarks, host)
		g.stats.Forgotten++
		g.neighboursStale = true
	}
}

func (g *Gossip) suspicionTimeout() time.Duration {
	if g.opt.SuspectFor > 0 {
		return g.opt.SuspectFor
	}
	doublings := bits.Len(uint(len(g.entries) - 1))
	return suspicionTimeoutBase + time.Duration(doublings)*suspicionTimeoutPerDoubling
}

func cloneDaemon(d Daemon) Daemon {
	d.Targets = slices.Clone(d.Targets)
	return d
}
