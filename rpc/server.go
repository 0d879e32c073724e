package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/semaphore"
)

// Limits of a server.
const (
	// maxConns bounds the open connections; further ones are closed on accept.
	maxConns = 4096
	// maxConcurrent bounds the concurrent calls on one connection.
	maxConcurrent = 256
)

// codeFailed is the JSON-RPC error code for errors returned by methods.
const codeFailed = 1

// Server serves the methods registered with Handle.
type Server struct {
	tls *tls.Config

	mu       sync.Mutex
	handlers map[string]HandlerFunc
	conns    map[net.Conn]struct{}

	calls    atomic.Int64
	rejected atomic.Int64
}

// NewServer returns a server that requires peers to authenticate as cfg demands.
func NewServer(cfg *tls.Config) *Server {
	return &Server{
		tls:      cfg,
		handlers: make(map[string]HandlerFunc),
		conns:    make(map[net.Conn]struct{}),
	}
}

// Handle registers a method. It must be called before Serve.
func (s *Server) Handle(method string, h HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Calls returns the number of calls served.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Rejected returns the number of connections rejected.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// Serve accepts connections until ctx ends, then closes all connections.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.closeAll(l) })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept rpc connection")
		}
		if !s.track(conn) {
			s.rejected.Add(1)
			conn.Close()
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) closeAll(l net.Listener) {
	l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.untrack(raw)
	conn := tls.Server(raw, s.tls)
	defer conn.Close()
	hctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := conn.HandshakeContext(hctx)
	cancel()
	if err != nil {
		s.rejected.Add(1)
		return
	}
	sem := semaphore.NewWeighted(maxConcurrent)
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		return s.dispatch(ctx, sem, r)
	}))
	rc := jsonrpc2.NewConn(ctx, newStream(conn), h, discardLogs())
	select {
	case <-rc.DisconnectNotify():
	case <-ctx.Done():
		rc.Close()
	}
}

func (s *Server) dispatch(ctx context.Context, sem *semaphore.Weighted, r *jsonrpc2.Request) (any, error) {
	if !sem.TryAcquire(1) {
		return nil, &jsonrpc2.Error{Code: codeFailed, Message: "too many concurrent calls on this connection; wait for replies"}
	}
	defer sem.Release(1)
	s.mu.Lock()
	h, ok := s.handlers[r.Method]
	s.mu.Unlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method + "; upgrade this daemon"}
	}
	s.calls.Add(1)
	var params []byte
	if r.Params != nil {
		params = *r.Params
	}
	result, err := h(ctx, params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	}
	return result, nil
}

// Typed adapts a handler with typed parameters. Unknown fields are ignored, so that
// daemons of different versions can communicate during an upgrade.
func Typed[P, R any](h func(ctx context.Context, params P) (R, error)) HandlerFunc {
	return func(ctx context.Context, raw []byte) (any, error) {
		var p P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &p); err != nil {
				return nil, errors.Wrap(err, "malformed parameters; upgrade the calling daemon")
			}
		}
		return h(ctx, p)
	}
}
