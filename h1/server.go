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

// Limits restricts the size and duration of peers' requests.
type Limits struct {
	// HeaderBytes limits the size of a request's header. It is fixed for a
	// connection when it is accepted.
	HeaderBytes int
	// BodyBytes limits the size of a request's body.
	BodyBytes int
	// HeaderTimeout limits the time from the first byte of a request to the end
	// of its header.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time between a response and the next request, and
	// the time to read a body.
	IdleTimeout time.Duration
}

// Defaults for Limits.
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

// Budget is an amount of memory in bytes.
type Budget interface {
	// Take reserves n bytes. It returns false if they are not available.
	Take(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

type unlimited struct{}

func (unlimited) Take(int64) bool { return true }
func (unlimited) Release(int64)   {}

// Exchange is a request and its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// ReceivedAt is the time at which the first byte of the request was read.
	ReceivedAt time.Time
	conn       *conn
	// bodyBytes is the size of the request's body as far as it has been read or
	// announced.
	bodyBytes int64
}

// SendInterim sends an interim response with a status below 200. It must not be used
// with pipelining peers: the responses to earlier requests must have been sent.
func (x *Exchange) SendInterim(status int) error { return x.conn.sendInterim(status) }

// Options configures a Server. Handler is required.
type Options struct {
	// Handler serves a request by setting x.Response. ctx is canceled when the
	// peer disconnects.
	Handler func(ctx context.Context, x *Exchange)
	// Bodies bounds the bytes of all bodies over 32 KiB that are being read or handled;
	// nil means that only Limits bound them.
	Bodies Budget
	// ErrorHandler sets the response to a request that could not be read; status
	// is 400, 413, 431, or 503 if Bodies is exhausted.
	ErrorHandler func(x *Exchange, status int, err error)
	// Limits is called for each request; nil means the defaults.
	Limits func() Limits
	// Stopping reports whether the server is stopping; responses then close
	// their connections.
	Stopping func() bool
	// OnSent, if not nil, is called after each response with the size of its body and the
	// time that writing it took.
	OnSent func(bodyBytes int, took time.Duration)
}

// Server is an HTTP/1.1 server; use New to create one.
type Server struct {
	opts   Options
	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	active atomic.Int64
}

// New returns a Server; Serve starts it.
func New(o Options) *Server {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Bodies == nil {
		o.Bodies = unlimited{}
	}
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.ErrorHandler == nil {
		o.ErrorHandler = func(x *Exchange, status int, _ error) { x.Response.SetStatusCode(status) }
	}
	return &Server{opts: o, conns: map[*conn]struct{}{}}
}

// TCP keep-alive probes detect peers that disappeared without closing their
// connection.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// Listen returns a TCP listener with the keep-alive settings that Serve relies on.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	lc.SetMultipathTCP(false) // CloseListener needs options that it does not have
	l, err := lc.Listen(context.Background(), "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s; check that the address is this host's and free", addr)
}

// Serve accepts connections until the listener is closed.
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

// ActiveRequests returns the number of active requests.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// Settled reports whether the server can end without cutting a request: none is
// being read or unanswered, no new connection's first request is still expected,
// and no last response was sent just now.
func (s *Server) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if c.unsettled(now) {
			return false
		}
	}
	// Counts a request until its response has been sent.
	return s.active.Load() == 0
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections, including those accepted later.
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
