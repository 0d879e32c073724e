package h1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits bound what a peer may send.
type Limits struct {
	// HeaderBytes bounds a request's header; it is fixed when a connection is
	// accepted.
	HeaderBytes int
	// BodyBytes bounds a request's body.
	BodyBytes int
	// HeaderTimeout bounds the time from a request's first byte to the end of
	// its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between an answer and the next request.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 16 << 20
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Exchange is one request and the answer to it.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// Arrived is when the request's first byte was read.
	Arrived time.Time
	conn    *conn
}

// Interim sends an interim answer. It is for peers that do not pipeline: the
// answers to earlier requests must be out.
func (x *Exchange) Interim() error { return x.conn.interim() }

// Options configure a Server. Handle is required.
type Options struct {
	// Handle answers a request by filling its response. ctx ends when the peer
	// leaves.
	Handle func(ctx context.Context, x *Exchange)
	// Reject fills the response to a request that could not be read; status
	// is 400, 413 or 431.
	Reject func(x *Exchange, status int, err error)
	// Limits is asked for each request; nil means the defaults.
	Limits func() Limits
	// Stopping makes answers ask for the connection's close.
	Stopping func() bool
}

// Server serves connections. Use New.
type Server struct {
	opts   Options
	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	active atomic.Int64
}

// New returns a server.
func New(o Options) *Server {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.Reject == nil {
		o.Reject = func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) }
	}
	return &Server{opts: o, conns: map[*conn]struct{}{}}
}

// Keep-alive probes find peers that vanished without a word.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// Listen opens a TCP listener with the socket options that Serve relies on.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s; check that the address is this host's and free", addr)
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		c := newConn(s, nc)
		if !s.add(c) {
			nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Active is the number of requests under way.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections is the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections, and those that are still accepted.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.Conn.Close()
	}
}
