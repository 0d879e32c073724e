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

// Ingress is the HTTP server of a daemon for callers' requests.
type Ingress struct {
	opts    Options
	stats   Stats
	epochs  epochCache
	budgets budgets
	server  *fasthttp.Server
	// recording tracks goroutines that record responses in the claim store.
	recording sync.WaitGroup
}

// New returns an Ingress; Serve starts it.
func New(o Options) *Ingress {
	in := &Ingress{opts: o}
	in.server = &fasthttp.Server{
		Handler:                      in.handle,
		ErrorHandler:                 in.handleMalformed,
		HeaderReceived:               in.limitBody,
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

// Serve accepts connections until the listener is closed.
func (in *Ingress) Serve(l net.Listener) error {
	err := in.server.Serve(callerListener{l})
	return errors.Wrap(err, "serve callers")
}

// Shutdown stops accepting connections and waits until all requests have been
// answered or ctx ends. It then waits for responses that are still being recorded
// in the claim store.
func (in *Ingress) Shutdown(ctx context.Context) error {
	err := in.server.ShutdownWithContext(ctx)
	in.recording.Wait()
	return err
}

// OpenConnections returns the number of open connections from callers.
func (in *Ingress) OpenConnections() int { return int(in.server.GetOpenConnectionsCount()) }

func (in *Ingress) Stats() *Stats { return &in.stats }

// handleMalformed responds to requests that cannot be parsed or are too large.
func (in *Ingress) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	in.stats.Malformed.Add(1)
	r := wire.Refuse(wire.ReasonBadRequest, "the request is malformed, its header exceeds %d bytes, or it was not received within %s", maxHeaderBytes, readTimeout)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		r = in.oversizedRefusal(&ctx.Request.Header)
		if conn, ok := ctx.Conn().(*callerConn); ok {
			conn.linger.Store(true)
		}
	}
	problem.Write(&ctx.Response, r)
	ctx.SetConnectionClose()
}
