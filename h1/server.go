package h1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/memory"
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
	// IdleTimeout limits the time between a response and the next request, and the
	// time to read a body or write a response, to which MinRate adds.
	IdleTimeout time.Duration
	// MinRate is the rate in bytes a second at which bytes of a body or a response that
	// have been moved add to the time for the rest.
	MinRate int
}

// Defaults for Limits.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 16 << 20
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	// DefaultMinRate is an eightieth of the slowest link of a host, 10 Mbit/s.
	DefaultMinRate = 16 << 10
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
	if l.MinRate <= 0 {
		l.MinRate = DefaultMinRate
	}
	return l
}

// Exchange is a request and its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// ReceivedAt is the time at which the first byte of the request was read.
	ReceivedAt time.Time
	conn       *conn
	limits     Limits
	// lease is the memory of the request, and held that of the response.
	lease *memory.Lease
	held  []*memory.Lease
	// sent is set once the response has been sent, and onEnd is called after the exchange.
	sent  bool
	onEnd func(sent bool)
}

// OnEnd sets a function that is called when the exchange has ended, with whether the whole
// response has been written to the connection. It may only be used by the handler.
func (x *Exchange) OnEnd(f func(sent bool)) { x.onEnd = f }

// SendInterim sends an interim response with a status below 200. It must not be used
// with pipelining peers: the responses to earlier requests must have been sent.
func (x *Exchange) SendInterim(status int) error { return x.conn.sendInterim(status) }

// Options configures a Server. Handler is required.
type Options struct {
	// Handler serves a request by setting x.Response. ctx is canceled when the
	// peer disconnects.
	Handler func(ctx context.Context, x *Exchange)
	// Memory bounds connections, requests and responses together; servers may share it.
	// nil means that only Limits bound them.
	Memory *memory.Account
	// Origin is where the server's connections come from.
	Origin memory.Origin
	// Evicted is called before a connection is closed to make room for others, with the
	// bytes that it holds and its rate in bytes a second.
	Evicted func(remote string, held int64, rate float64)
	// ErrorHandler sets the response to a request that could not be read; status
	// is 400, 413, 431, or 503 if Memory is exhausted.
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
	// readers and writers are buffers of connections that have become idle.
	readers, writers sync.Pool
}

// unlimited is a number of bytes or connections that no process reaches.
const unlimited = 1 << 50

// New returns a Server; Serve starts it.
func New(o Options) *Server {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Memory == nil {
		o.Memory = memory.NewAccount(memory.Limits{Bytes: unlimited, LargeBytes: unlimited, Connections: unlimited, CallerConnections: unlimited})
	}
	if o.Evicted == nil {
		o.Evicted = func(string, int64, float64) {}
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

// acceptBackoff is the wait after a process or machine has run out of descriptors.
const acceptBackoff = 10 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptBackoff)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		c := newConn(s, nc)
		if c == nil {
			nc.Close()
			continue
		}
		if !s.add(c) {
			nc.Close()
			c.peer.Disconnect()
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
