package ingress

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/internal/quiet"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Ingress is the callers' side of a daemon.
type Ingress struct {
	opts    Options
	stats   Stats
	epochs  epochCache
	budgets budgets
	server  *fasthttp.Server
	// pending counts outcomes that are being recorded.
	pending sync.WaitGroup
}

// New returns an ingress.
func New(o Options) *Ingress {
	in := &Ingress{opts: o}
	in.server = &fasthttp.Server{
		Handler:                      in.handle,
		ErrorHandler:                 in.handleMalformed,
		HeaderReceived:               in.boundBody,
		NoDefaultServerHeader:        true,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           MaxBodyBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  o.MaxConns,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       quiet.Logger{},
	}
	return in
}

// Serve takes connections until the listener is closed.
func (in *Ingress) Serve(l net.Listener) error {
	err := in.server.Serve(callerListener{l})
	return errors.Wrap(err, "serve callers")
}

// Shutdown stops taking connections and returns when all requests have been
// answered or ctx ends.
// Outcomes that wait for the table are recorded first.
func (in *Ingress) Shutdown(ctx context.Context) error {
	err := in.server.ShutdownWithContext(ctx)
	in.pending.Wait()
	return err
}

// OpenConnections is the number of callers' connections.
func (in *Ingress) OpenConnections() int { return int(in.server.GetOpenConnectionsCount()) }

// Stats returns the counters.
func (in *Ingress) Stats() *Stats { return &in.stats }

// handleMalformed answers requests that could not be read.
func (in *Ingress) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	in.stats.Malformed.Add(1)
	r := wire.Refuse(wire.ReasonBadRequest, "the request could not be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		r = in.oversized(&ctx.Request.Header)
		if conn, ok := ctx.Conn().(*callerConn); ok {
			conn.linger.Store(true)
		}
	}
	problem.Write(&ctx.Response, r)
	ctx.SetConnectionClose()
}
