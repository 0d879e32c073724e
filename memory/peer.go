package memory

import (
	"slices"
	"time"
)

const (
	// MinAge is how long a body or an answer must have been moving before its rate counts:
	// longer than several retransmissions on a slow link.
	MinAge = time.Second
	// SlowRate is the rate, in bytes a second, above which a connection is not closed to
	// make room: a twentieth of the slowest link of a host, 10 Mbit/s.
	SlowRate = 64 << 10
	// rateWindow is the time over which a rate is measured. A client that has moved much
	// and then stops counts as slow after two of them.
	rateWindow = time.Second
)

// Origin tells where a connection comes from.
type Origin int

const (
	FromCaller Origin = iota
	FromDaemon
)

// Peer is a connection from a client.
type Peer struct {
	// Close closes the connection. It is called by the user of the package.
	Close func()

	a      *Account
	origin Origin
	// held are the bytes that closing the connection would return.
	held int64
	// moving counts the bodies and answers that are being read or written, since is when
	// the first of them began.
	moving int
	since  time.Time
	// current and previous are the bytes moved in the present window and the one before.
	current, previous         int64
	currentSince, previousFor time.Time
	// served is set when the first request has been read.
	served  bool
	opened  time.Time
	closing bool
	// closedHeld and closedRate are the held bytes and the rate when it was chosen to be
	// closed.
	closedHeld int64
	closedRate float64
}

// Closed returns the bytes that a peer held and its rate in bytes a second when it was
// chosen to be closed.
func (p *Peer) Closed() (held int64, rate float64) {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	return p.closedHeld, p.closedRate
}

// Connect opens a connection. If it returns an error, the connection must be closed.
// victims are to be closed in any case; for a caller they are callers.
func (a *Account) Connect(now time.Time, from Origin, closeConn func()) (p *Peer, victims []*Peer, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	full := func() bool {
		return a.all.full(a.limits.Connections) || from == FromCaller && a.callers.full(a.limits.CallerConnections)
	}
	if full() {
		if v := a.slowest(now, from); v != nil {
			victims = a.dismiss(now, []*Peer{v})
		}
	}
	if full() {
		a.stats.Unaccepted++
		return nil, victims, ErrShort
	}
	more, err := a.take(now, ConnectionBytes, ConnectionBytes, nil)
	if err != nil {
		a.stats.Unaccepted++
		return nil, append(victims, more...), err
	}
	p = &Peer{a: a, origin: from, Close: closeConn, held: ConnectionBytes, opened: now}
	a.peers[p] = struct{}{}
	a.counted(p, func(c *count) { c.open++ })
	return p, append(victims, more...), nil
}

// Disconnect returns the memory of the connection itself. Leases are released apart from
// it.
func (p *Peer) Disconnect() {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	delete(p.a.peers, p)
	p.a.used -= ConnectionBytes
	p.held -= ConnectionBytes
	p.a.counted(p, func(c *count) { c.open-- })
	if p.closing {
		p.a.counted(p, func(c *count) { c.closing-- })
		p.a.leaving -= ConnectionBytes
	}
}

// Served records that a request has been read.
func (p *Peer) Served() {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.served = true
}

// Begin records that a body or an answer begins to move.
func (p *Peer) Begin(now time.Time) {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	if p.moving++; p.moving == 1 {
		p.since, p.currentSince, p.previousFor = now, now, now
		p.current, p.previous = 0, 0
	}
}

// End records that a body or an answer has been moved.
func (p *Peer) End() {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.moving--
}

// Moved records n bytes of bodies or answers.
func (p *Peer) Moved(now time.Time, n int64) {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.turn(now)
	p.current += n
}

// turn begins a new window if the present one is over.
func (p *Peer) turn(now time.Time) {
	if now.Sub(p.currentSince) >= rateWindow {
		p.previous, p.previousFor = p.current, p.currentSince
		p.current, p.currentSince = 0, now
	}
}

// rate returns the bytes a second that the peer has moved recently.
func (p *Peer) rate(now time.Time) float64 {
	p.turn(now)
	return float64(p.current+p.previous) / max(now.Sub(p.previousFor), rateWindow).Seconds()
}

// slow reports whether the peer may be closed to make room for bytes.
func (p *Peer) slow(now time.Time) bool {
	return !p.closing && p.moving > 0 && now.Sub(p.since) >= MinAge && p.rate(now) < SlowRate
}

// silent reports whether the peer has connected and not sent a request.
func (p *Peer) silent(now time.Time) bool {
	return !p.closing && !p.served && p.moving == 0 && now.Sub(p.opened) >= MinAge
}

// slowest returns the slowest peer that may be closed for a connection, or else the one
// that has been silent longest, or nil. A caller takes no place of a daemon. a.mu must be
// held.
func (a *Account) slowest(now time.Time, from Origin) *Peer {
	var slowest, silent *Peer
	for p := range a.peers {
		if from == FromCaller && p.origin != FromCaller {
			continue
		}
		if p.slow(now) && (slowest == nil || p.rate(now) < slowest.rate(now)) {
			slowest = p
		}
		if p.silent(now) && (silent == nil || p.opened.Before(silent.opened)) {
			silent = p
		}
	}
	if slowest == nil {
		return silent
	}
	return slowest
}

// victims returns the slowest peers, other than the claimant, that hold at least the
// missing bytes together, or nil if there are too few. a.mu must be held.
func (a *Account) victims(now time.Time, missing int64, claimant *Peer) []*Peer {
	var slow []*Peer
	for p := range a.peers {
		if p != claimant && p.slow(now) {
			slow = append(slow, p)
		}
	}
	slices.SortFunc(slow, func(x, y *Peer) int {
		switch rx, ry := x.rate(now), y.rate(now); {
		case rx < ry:
			return -1
		case rx > ry:
			return 1
		}
		return int(max(min(y.held-x.held, 1), -1)) // the larger one first
	})
	for i, p := range slow {
		if missing -= p.held; missing <= 0 {
			return slow[:i+1]
		}
	}
	return nil
}

// CloseAll closes peers.
func CloseAll(peers []*Peer) {
	for _, p := range peers {
		p.Close()
	}
}
