package memory

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrShort is returned when a claim does not fit. Nothing has been taken then.
var ErrShort = errors.New("the requests in progress use the memory set aside for them; try again later")

const (
	// SmallBytes is the size up to which a claim may use the whole account: that of a
	// request with a body of 32 KiB.
	SmallBytes = 64 << 10
	// ConnectionBytes is counted for a connection besides its buffers, which an idle one has
	// none of: the stack of its goroutine and its state.
	ConnectionBytes = 12 << 10
	// RequestBytes is counted for a request besides its header and body: the buffers of its
	// connection to a target or gate, 20 KiB, and the stacks of its attempt.
	RequestBytes = 24 << 10
)

// Shares of a process's memory and descriptors.
const (
	// accountShare leaves room for garbage below the runtime's soft limit of 0.7, and for
	// what is not counted: the program itself and the tables.
	accountShare = 0.5
	// largeShare is the part of the account for claims above SmallBytes. On the smallest
	// host, 184 MB, a single body of 64 MiB in chunks fits.
	largeShare = 0.88
	// connectionShare is the part of the account for open connections.
	connectionShare = 0.35
	// reservedFds are kept for files and for the daemon's own connections to the store
	// and for datagrams.
	reservedFds = 200
	// fdsPerConnection counts a caller's connection and one to a target or gate.
	fdsPerConnection = 2
	// callerShare is the part of the connections that callers may have. Without the rest a
	// crowd of callers would cut the host off from other daemons.
	callerShare = 0.75
	// minConnections lets a process serve whatever its settings say.
	minConnections = 16
)

// Limits bound an account.
type Limits struct {
	// Bytes bounds all claims, and LargeBytes those above SmallBytes together with all
	// others.
	Bytes, LargeBytes int64
	// Connections bounds the number of open connections, and CallerConnections those of
	// callers among them.
	Connections, CallerConnections int
}

// defaultMemory and defaultFds replace limits that a process does not have.
const (
	defaultMemory = 256 << 20
	defaultFds    = 4100
)

// LimitsFor returns the limits for a process with the given memory and descriptors.
func LimitsFor(memoryBytes int64, fds int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	if fds <= 0 {
		fds = defaultFds
	}
	l := Limits{Bytes: int64(accountShare * float64(memoryBytes))}
	l.LargeBytes = int64(largeShare * float64(l.Bytes))
	byMemory := int(connectionShare * float64(l.Bytes) / ConnectionBytes)
	l.Connections = max(min((fds-reservedFds)/fdsPerConnection, byMemory), minConnections)
	l.CallerConnections = int(callerShare * float64(l.Connections))
	return l
}

// Account counts the memory of a process. It is safe for concurrent use.
type Account struct {
	limits Limits

	mu   sync.Mutex
	used int64
	// leaving is the part of used whose connections are being closed.
	leaving int64
	peers   map[*Peer]struct{}
	// all and callers count connections.
	all, callers count
	stats        Stats
}

// count is a number of connections, and of those among them that are being closed.
type count struct{ open, closing int }

// full reports whether a limit is reached by the connections that stay, or exceeded by
// much with those that are being closed.
func (c count) full(limit int) bool {
	return c.open-c.closing >= limit || c.open > limit+limit/leavingShare
}

// Stats are counters of an account since its start.
type Stats struct {
	// Used and Peak are the bytes in use now and at the most.
	Used, Peak int64
	// Connections is the number of open connections.
	Connections int
	// Refused counts claims and Unaccepted connections that did not fit. Closed counts
	// connections that were closed to make room.
	Refused, Unaccepted, Closed int64
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, peers: map[*Peer]struct{}{}}
}

// Stats returns the counters.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Used, s.Connections = a.used, len(a.peers)
	return s
}

// take takes n bytes for a claim that is then total bytes large. It returns the peers to
// close. a.mu must be held.
func (a *Account) take(now time.Time, n, total int64, claimant *Peer) ([]*Peer, error) {
	limit := a.limits.Bytes
	if total > SmallBytes {
		limit = a.limits.LargeBytes
	}
	var victims []*Peer
	if missing := a.used - a.leaving + n - limit; missing > 0 {
		victims = a.victims(now, missing, claimant)
		if victims == nil {
			a.stats.Refused++
			return nil, ErrShort
		}
	}
	// What is leaving is still there. It is gone within moments, and few claims must be
	// granted on the strength of it.
	if a.used+n > limit+limit/leavingShare {
		a.stats.Refused++
		return a.dismiss(now, victims), ErrShort
	}
	a.add(n)
	return a.dismiss(now, victims), nil
}

// leavingShare is the fraction of a limit by which memory that is about to be returned may
// be granted before it has been.
const leavingShare = 8

// add counts n bytes. a.mu must be held.
func (a *Account) add(n int64) {
	a.used += n
	a.stats.Peak = max(a.stats.Peak, a.used)
}

// counted changes the counts of which a peer is part. a.mu must be held.
func (a *Account) counted(p *Peer, change func(*count)) {
	change(&a.all)
	if p.origin == FromCaller {
		change(&a.callers)
	}
}

// dismiss marks peers as being closed. a.mu must be held.
func (a *Account) dismiss(now time.Time, peers []*Peer) []*Peer {
	for _, p := range peers {
		p.closedHeld, p.closedRate = p.held, p.rate(now)
		p.closing = true
		a.counted(p, func(c *count) { c.closing++ })
		a.leaving += p.held
		a.stats.Closed++
	}
	return peers
}
