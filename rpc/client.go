package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gooseberryshed/gooseberryshed/internal/quiet"
)

// Timeouts of a client.
const (
	handshakeTimeout = time.Second
	// defaultCallTimeout applies to calls whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = 60 * time.Second
)

// Client makes calls over one connection per address.
type Client struct {
	tls    *tls.Config
	dialer net.Dialer

	mu    sync.Mutex
	peers map[string]*peer

	calls  atomic.Int64
	failed atomic.Int64
}

// redialBackoff is how long after a failed dial further dials fail immediately, so
// that callers of an unreachable peer do not queue up behind its dial timeouts.
const redialBackoff = 200 * time.Millisecond

// errRecentlyFailed reports a peer that was unreachable within redialBackoff.
var errRecentlyFailed = errors.New("the last dial to the peer failed; retry shortly or use another peer")

// peer is the connection to one address.
type peer struct {
	mu        sync.Mutex
	conn      *jsonrpc2.Conn
	dialing   *dial
	failedAt  time.Time
	lastUsed  time.Time
	lastReply time.Time
}

// dial is a connection attempt that several callers wait for.
type dial struct {
	done chan struct{}
	conn *jsonrpc2.Conn
	err  error
}

// NewClient returns a client. source is the local IP of its connections; nil lets
// the system choose.
func NewClient(cfg *tls.Config, source net.IP) *Client {
	c := &Client{tls: cfg, peers: make(map[string]*peer)}
	if source != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return c
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Failed returns the number of calls that failed.
func (c *Client) Failed() int64 { return c.failed.Load() }

// Call implements Caller. A call that times out closes the connection if it has
// received no reply since the call began, so that the next call dials a new one.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	c.calls.Add(1)
	err := c.call(ctx, addr, method, params, result)
	if err != nil {
		c.failed.Add(1)
		return errors.Wrapf(err, "rpc %s to %s", method, addr)
	}
	return nil
}

func (c *Client) call(ctx context.Context, addr, method string, params, result any) error {
	p := c.peer(addr)
	conn, err := p.connect(ctx, c, addr)
	if err != nil {
		return err
	}
	started := time.Now()
	err = conn.Call(ctx, method, params, result)
	p.recordResult(conn, started, err)
	return err
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{}
		c.peers[addr] = p
	}
	return p
}

// connect returns the open connection or waits for a new one. ctx bounds only the
// wait; the dial continues for later callers.
func (p *peer) connect(ctx context.Context, c *Client, addr string) (*jsonrpc2.Conn, error) {
	conn, d, err := p.connOrDial(c, addr)
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrDial returns the open connection, or else the dial in progress, starting
// one if necessary.
func (p *peer) connOrDial(c *Client, addr string) (*jsonrpc2.Conn, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastUsed = now
	if p.isOpen() {
		return p.conn, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if now.Sub(p.failedAt) < redialBackoff {
		return nil, nil, errRecentlyFailed
	}
	p.dialing = &dial{done: make(chan struct{})}
	go p.dial(c, addr, p.dialing)
	return nil, p.dialing, nil
}

func (p *peer) isOpen() bool {
	if p.conn == nil {
		return false
	}
	select {
	case <-p.conn.DisconnectNotify():
		p.conn = nil
		return false
	default:
		return true
	}
}

func (p *peer) dial(c *Client, addr string, d *dial) {
	d.conn, d.err = c.open(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if d.err != nil {
		p.failedAt = time.Now()
	} else {
		p.conn = d.conn
		p.lastReply = time.Now()
	}
	close(d.done)
}

// open dials the peer and completes the TLS handshake.
func (c *Client) open(addr string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(raw, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return jsonrpc2.NewConn(context.Background(), newStream(secure), rejectCalls{}, discardLogs()), nil
}

// recordResult notes the time of a reply, or closes a connection that has received
// none since the call started.
func (p *peer) recordResult(conn *jsonrpc2.Conn, started time.Time, err error) {
	var replied *jsonrpc2.Error
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil || errors.As(err, &replied) {
		p.lastReply = time.Now()
		return
	}
	if p.conn == conn && p.lastReply.Before(started) {
		conn.Close()
		p.conn = nil
	}
}

// CloseIdle closes idle connections. It must be called periodically.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.peers {
		if p.closeIdle(now) {
			delete(c.peers, addr)
		}
	}
}

func (p *peer) closeIdle(now time.Time) bool {
	if !p.mu.TryLock() {
		return false
	}
	defer p.mu.Unlock()
	if now.Sub(p.lastUsed) < idleTimeout {
		return false
	}
	if p.conn != nil {
		p.conn.Close()
	}
	return true
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.peers {
		p.mu.Lock()
		if p.conn != nil {
			p.conn.Close()
		}
		p.mu.Unlock()
		delete(c.peers, addr)
	}
}

// rejectCalls rejects calls from server to client.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	reply := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls from server to client are not supported"}
	conn.ReplyWithError(ctx, r.ID, reply) //nolint:errcheck // the connection reports its own failure
}

// discardLogs disables the log of the JSON-RPC library; failures are counted
// instead.
func discardLogs() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(quiet.Logger{}) }
