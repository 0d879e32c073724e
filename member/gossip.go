package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Options configures a Gossip. Zero fields take the documented defaults.
type Options struct {
	// Neighbours is the number of peers that a daemon runs exchanges with.
	// Default 4.
	Neighbours int
	// SuspicionTimeout is the time within which a suspicion must be refuted.
	// Default 4 s plus 1 s for each doubling of the fleet.
	SuspicionTimeout time.Duration
	// LeftRetention is how long the record of a daemon that left is retained,
	// and UnreachableRetention that of an unreachable one. Retained records
	// count towards the ejection floor and majorities. Defaults 2 h and 24 h.
	LeftRetention        time.Duration
	UnreachableRetention time.Duration
	// MaxDigestEntries limits the records listed in one digest. Default 1,024.
	MaxDigestEntries int
	// MaxChangeBytes limits the estimated size of the records in one message.
	// Default 64 KiB.
	MaxChangeBytes int
}

const (
	defaultNeighbours           = 4
	defaultLeftRetention        = 2 * time.Hour
	defaultUnreachableRetention = 24 * time.Hour
	defaultMaxDigestEntries     = 1024
	defaultMaxChangeBytes       = 64 << 10

	suspicionTimeoutBase        = 4 * time.Second
	suspicionTimeoutPerDoubling = time.Second
	// cutLinkBackoff is how long no exchange is started with a peer that has
	// refuted a local suspicion: the peer is alive but the link to it is cut.
	cutLinkBackoff = time.Minute
)

// Stats holds cumulative counters of the protocol.
type Stats struct {
	Exchanges    int `json:"exchanges"`
	Failures     int `json:"failures"`
	Received     int `json:"records_received"`
	Redundant    int `json:"records_redundant"`
	Inapplicable int `json:"records_unfitting"`
	Suspected    int `json:"suspected"`
	Refuted      int `json:"refuted"`
	Unreachable  int `json:"became_unreachable"`
	Removed      int `json:"forgotten"`
}

// entry is the local copy of a record.
type entry struct {
	record Daemon
	key    Key
	// seq is the local sequence number of the last change of the record.
	seq uint64
	// source is the peer that sent the record, empty if unknown.
	source string
	// suspicionSeq is the local sequence number of the suspicion; 0 means none.
	// The suspicion applies to the suspected version and older ones.
	suspicionSeq   uint64
	suspicion      Suspicion
	suspicionStart time.Time
	unreachable    bool
	// changed is when the record last changed or became unreachable.
	changed time.Time
	// backoffUntil is the time before which no exchange with the member starts.
	backoffUntil time.Time
	// suspectedLocally is set if this daemon raised the suspicion.
	suspectedLocally bool
}

// watermarks records the progress of replication with one peer.
type watermarks struct {
	incarnation uint64
	// seen is the highest sequence number of the peer that is processed here.
	seen uint64
	// acked is the highest local sequence number that the peer has processed.
	acked uint64
}

// Gossip holds the membership as known to one daemon. It is not safe for
// concurrent use.
type Gossip struct {
	opt                    Options
	self                   string
	entries                map[string]*entry
	byKey                  map[Key]string
	peerWatermarks         map[string]*watermarks
	seq                    uint64
	stats                  Stats
	conflictingIncarnation uint64
	predecessor            Daemon // the record of the previous incarnation of this host

	cachedNeighbours []string // valid unless neighboursStale is set
	neighboursStale  bool
}

// New returns a membership that contains only self.
func New(now time.Time, self Daemon, opt Options) *Gossip {
	g := &Gossip{
		opt:             withDefaults(opt),
		self:            self.Host,
		entries:         map[string]*entry{},
		byKey:           map[Key]string{},
		peerWatermarks:  map[string]*watermarks{},
		neighboursStale: true,
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
	opt.LeftRetention = cmp.Or(opt.LeftRetention, defaultLeftRetention)
	opt.UnreachableRetention = cmp.Or(opt.UnreachableRetention, defaultUnreachableRetention)
	opt.MaxDigestEntries = cmp.Or(opt.MaxDigestEntries, defaultMaxDigestEntries)
	opt.MaxChangeBytes = cmp.Or(opt.MaxChangeBytes, defaultMaxChangeBytes)
	return opt
}

// Self returns a copy of the daemon's own record.
func (g *Gossip) Self() Daemon { return cloneDaemon(g.entries[g.self].record) }

// Update calls f on a copy of the daemon's own record, assigns its versions and
// stores it. A change of Revision or TableOK alone is not gossiped.
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

// List returns all records sorted by host, including those of members that are
// unreachable or have left. The records are shared and must not be modified.
func (g *Gossip) List() []Daemon {
	out := make([]Daemon, 0, len(g.entries))
	for _, e := range g.entries {
		out = append(out, e.record)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Unreachable returns the sorted hosts whose suspicion timeout has expired.
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

// ConflictingIncarnation returns the highest incarnation that another daemon has
// published for this host, and whether it supersedes this daemon. That happens
// when two daemons claim the host, or when its clock was set back. The older
// daemon must stop, or restart with a higher incarnation.
func (g *Gossip) ConflictingIncarnation() (uint64, bool) {
	return g.conflictingIncarnation, g.conflictingIncarnation > g.entries[g.self].record.Incarnation
}

// MergeRecords merges full records from a source other than gossip, such as the
// rows of the table.
func (g *Gossip) MergeRecords(now time.Time, records []Daemon) {
	for _, d := range records {
		g.merge(now, Change{Daemon: d}, "")
	}
}

// merge applies a change received from a peer and reports whether the local
// record is now at least as new.
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
		g.stats.Inapplicable++
		return false
	}
	g.stats.Received++
	g.store(now, next, from)
	if c.SuspicionAge > 0 {
		g.suspect(now.Add(-c.SuspicionAge), g.entries[c.Host], suspicionOf(next))
	}
	return true
}

// Predecessor returns the record of the previous incarnation of this host, if a
// peer or the table has supplied it. It shows how warm the targets were.
func (g *Gossip) Predecessor() (Daemon, bool) {
	return g.predecessor, g.predecessor.Host != ""
}

// mergeSelf handles a record of this host that another member holds. The owner
// alone writes its record, so this only detects conflicting and previous
// incarnations.
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

// store replaces the local copy of a record and gives it a new sequence number.
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

// Tick marks members unreachable whose suspicion timeout has expired and removes
// records past their retention.
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
	if hasLeft && age >= g.opt.LeftRetention || e.unreachable && age >= g.opt.UnreachableRetention {
		delete(g.entries, host)
		delete(g.byKey, e.key)
		delete(g.peerWatermarks, host)
		g.stats.Removed++
		g.neighboursStale = true
	}
}

func (g *Gossip) suspicionTimeout() time.Duration {
	if g.opt.SuspicionTimeout > 0 {
		return g.opt.SuspicionTimeout
	}
	doublings := bits.Len(uint(len(g.entries) - 1))
	return suspicionTimeoutBase + time.Duration(doublings)*suspicionTimeoutPerDoubling
}

func cloneDaemon(d Daemon) Daemon {
	d.Targets = slices.Clone(d.Targets)
	return d
}
