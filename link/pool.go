package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/respsyntax"
)

// Defaults of Options.
const (
	DefaultDialTimeout      = 1 * time.Second
	DefaultMaxAge           = 60 * time.Second
	DefaultIdleTimeout      = 15 * time.Second
	DefaultFirstByteTimeout = 2 * time.Second
	DefaultTCPUserTimeout   = 5 * time.Second
	DefaultMaxHeaderBytes   = 16 << 10 // bytes
	DefaultMaxIdlePerAddr   = 32       // connections
	keepAliveIdle           = 5 * time.Second
	keepAliveInterval       = 2 * time.Second
	keepAliveProbes         = 2
	tcpUserTimeoutOption    = 18 // Linux TCP_USER_TIMEOUT, in milliseconds
)

// Options configures a Pool. Zero fields take the documented defaults.
type Options struct {
	// LocalAddr is the source IP address of connections. If empty, the operating
	// system selects it.
	LocalAddr string
	// DialTimeout limits the time to connect. Default 1 s.
	DialTimeout time.Duration
	// MaxAge is the age after which a connection is no longer reused. Default
	// 60 s.
	MaxAge time.Duration
	// IdleTimeout is the time after which an idle connection is closed. Default
	// 15 s.
	IdleTimeout time.Duration
	// FirstByteTimeout limits the wait for the first byte of a response on a reused
	// connection. Default 2 s.
	FirstByteTimeout time.Duration
	// TCPUserTimeout closes connections whose sent data stays unacknowledged. It
	// also applies while the peer's receive window is closed during a request
	// body, so it must not be short. Default 5 s.
	TCPUserTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a response header in bytes. Default
	// 16 KiB.
	MaxHeaderBytes int
	// MaxIdlePerAddr is the maximum number of idle connections to one address.
	// Default 32.
	MaxIdlePerAddr int
	// OnInvalid is called for each response from addr that package respsyntax has refused. It
	// must not block.
	OnInvalid func(addr string, v *respsyntax.Violation)
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.MaxAge, DefaultMaxAge)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.FirstByteTimeout, DefaultFirstByteTimeout)
	setDefault(&o.TCPUserTimeout, DefaultTCPUserTimeout)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxIdlePerAddr, DefaultMaxIdlePerAddr)
	return o
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Stats holds the counters of a pool.
type Stats struct {
	Dials       int64
	DialErrors  int64
	Reuses      int64
	StaleClosed int64 // idle connections that the peer had closed or written to, or that CloseIdleSince closed
	Expired     int64 // idle connections past MaxAge or IdleTimeout
	Abandoned   int64 // connections of aborted exchanges
	Invalid     int64 // responses refused by package respsyntax
}

type counters struct {
	dials, dialErrors, reuses, stale, expired, abandoned, invalid atomic.Int64
}

// Pool is a client with a pool of idle connections for each address. It is safe
// for concurrent use.
type Pool struct {
	opts    Options
	dialer  net.Dialer
	buffers bufferPool
	count   counters

	mu     sync.Mutex
	idle   map[string][]*conn // oldest first
	closed bool
}

func New(opts Options) *Pool {
	opts = opts.withDefaults()
	p := &Pool{
		opts: opts,
		idle: map[string][]*conn{},
	}
	p.buffers.size = opts.MaxHeaderBytes
	p.dialer = net.Dialer{
		Timeout: opts.DialTimeout,
		Control: p.setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	if ip := net.ParseIP(opts.LocalAddr); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

func (p *Pool) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	ms := int(p.opts.TCPUserTimeout / time.Millisecond)
	return raw.Control(func(fd uintptr) {
		// Without support for the option, the first-byte timeout still applies.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, ms)
	})
}

// Stats returns the current counters.
func (p *Pool) Stats() Stats {
	return Stats{
		Dials:       p.count.dials.Load(),
		DialErrors:  p.count.dialErrors.Load(),
		Reuses:      p.count.reuses.Load(),
		StaleClosed: p.count.stale.Load(),
		Expired:     p.count.expired.Load(),
		Abandoned:   p.count.abandoned.Load(),
		Invalid:     p.count.invalid.Load(),
	}
}

// SetOnInvalid replaces Options.OnInvalid. It must be called before the first exchange.
func (p *Pool) SetOnInvalid(f func(addr string, v *respsyntax.Violation)) { p.opts.OnInvalid = f }

// reportInvalid counts and reports err if it is a violation of the protocol. It returns whether
// it is.
func (p *Pool) reportInvalid(addr string, err error) bool {
	var v *respsyntax.Violation
	if !errors.As(err, &v) {
		return false
	}
	p.count.invalid.Add(1)
	if p.opts.OnInvalid != nil {
		p.opts.OnInvalid(addr, v)
	}
	return true
}

// Close closes the idle connections. Exchanges in progress complete, after which
// their connections are closed.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.closed = true
	p.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(conns)
}

// CloseExpired closes idle connections that are past MaxAge or IdleTimeout.
func (p *Pool) CloseExpired(now time.Time) {
	n := p.closeIdle(func(c *conn) bool { return p.isExpired(c, now) })
	p.count.expired.Add(int64(n))
}

// CloseIdleSince closes the connections to all addresses that have been idle since t or
// longer, for example because a connection of that age turned out to be broken.
func (p *Pool) CloseIdleSince(t time.Time) {
	n := p.closeIdle(func(c *conn) bool { return !c.idleSince.After(t) })
	p.count.stale.Add(int64(n))
}

// closeIdle closes the idle connections that match and returns their number.
func (p *Pool) closeIdle(match func(*conn) bool) int {
	var matched []*conn
	p.mu.Lock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if match(c) {
				matched = append(matched, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	closeAll(matched)
	return len(matched)
}

func (p *Pool) isExpired(c *conn, now time.Time) bool {
	return now.Sub(c.created) > p.opts.MaxAge || now.Sub(c.idleSince) > p.opts.IdleTimeout
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Conn.Close()
	}
}

// acquire returns a usable idle connection, or a new one.
func (p *Pool) acquire(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if p.isExpired(c, time.Now()) {
			p.count.expired.Add(1)
			c.Conn.Close()
			continue
		}
		if Peek(c.Conn) != PeerIdle {
			p.count.stale.Add(1)
			c.Conn.Close()
			continue
		}
		p.count.reuses.Add(1)
		c.reused = true
		return c, nil
	}
	return p.dial(ctx, addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.count.dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.count.dialErrors.Add(1)
		return nil, &Error{Stage: StageDial, Cause: causeOf(ctx, err), Addr: addr, Err: err}
	}
	return &conn{Conn: nc, addr: addr, created: time.Now()}, nil
}

func (p *Pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// release returns a connection to the pool after a complete exchange, or closes it
// if the pool is closed or full.
func (p *Pool) release(c *conn) {
	p.buffers.detach(c)
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= p.opts.MaxIdlePerAddr {
		c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Probe returns an error if addr does not accept connections.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	return c.Conn.Close()
}
