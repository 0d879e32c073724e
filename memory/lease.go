package memory

import "time"

// Lease is a claim on an account: the memory of one request, body or answer. It may have
// several users, and returns its bytes when the last one releases it.
type Lease struct {
	a     *Account
	p     *Peer
	bytes int64
	users int
}

// Lease returns an empty lease with one user that belongs to no connection.
func (a *Account) Lease() *Lease { return &Lease{a: a, users: 1} }

// Lease returns an empty lease with one user. Closing the connection returns its bytes.
func (p *Peer) Lease() *Lease { return &Lease{a: p.a, p: p, users: 1} }

// Grow takes n further bytes. victims are to be closed in any case.
func (l *Lease) Grow(now time.Time, n int64) (victims []*Peer, err error) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	victims, err = l.a.take(now, n, l.bytes+n, l.p)
	if err == nil {
		l.count(n)
	}
	return victims, err
}

// Shrink returns n bytes.
func (l *Lease) Shrink(n int64) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	l.a.used -= n
	l.count(-n)
}

// count adds n to the bytes of the lease and of its connection. a.mu must be held.
func (l *Lease) count(n int64) {
	l.bytes += n
	if l.p == nil {
		return
	}
	l.p.held += n
	if l.p.closing {
		l.a.leaving += n
	}
}

// Attach moves the lease to a connection, whose closing returns its bytes from then on.
func (l *Lease) Attach(p *Peer) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	n := l.bytes
	l.count(-n)
	l.p = p
	l.count(n)
}

// Retain adds a user.
func (l *Lease) Retain() {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	l.users++
}

// Release removes a user.
func (l *Lease) Release() {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if l.users--; l.users > 0 || l.bytes == 0 {
		return
	}
	l.a.used -= l.bytes
	l.count(-l.bytes)
}

// Bytes returns the bytes of the lease.
func (l *Lease) Bytes() int64 {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	return l.bytes
}
