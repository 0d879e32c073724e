package ingress

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/claim"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/limiter"
	"github.com/gooseberryshed/gooseberryshed/report"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Limits on callers' connections and requests.
const (
	// MaxBodyBytes is the limit for all request bodies; a service may set a
	// lower one.
	MaxBodyBytes = 16 << 20
	// maxBuffered is the size in bytes of the largest response that is buffered
	// completely before it is sent.
	maxBuffered = 1 << 20
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
	// readTimeout limits the time to read one request.
	readTimeout = 20 * time.Second
	// idleTimeout limits the time between two requests on a connection.
	idleTimeout = 60 * time.Second
	// writeIdleTimeout limits the time of one write to a slow caller.
	writeIdleTimeout = 30 * time.Second
)

// Gates gives access to the gates of all hosts, including this one.
type Gates interface {
	// Forward sends an attempt to the gate of host; see wire.Forwarder.
	Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error)
	// Settle settles an attempt at the gate of host, relayed through another
	// host if necessary; see wire.Settler.
	Settle(ctx context.Context, host string, id wire.ID, epoch wire.Epoch) (wire.RunState, error)
	// Epoch requests the current epoch of the gate of host.
	Epoch(ctx context.Context, host string) (wire.Epoch, error)
}

// Limiter enforces the rate limits of workspaces.
type Limiter interface {
	Take(ctx context.Context, workspace string) (limiter.Decision, error)
}

// Claims records which attempt holds an Idempotency-Key; see claim.Store.
type Claims interface {
	Begin(ctx context.Context, req claim.Request, att claim.AttemptRef) (claim.Result, error)
	TakeOver(ctx context.Context, req claim.Request, found claim.Result, att claim.AttemptRef) (claim.Result, error)
}

// Quarantine identifies requests that crash targets by their fingerprint.
type Quarantine interface {
	// Quarantined reports whether requests with the fingerprint are refused.
	Quarantined(now time.Time, fingerprint uint64) bool
	// Suspected reports whether requests with the fingerprint must be sent to a
	// target that has no other request in flight.
	Suspected(now time.Time, fingerprint uint64) bool
}

// Options holds the dependencies and settings of an Ingress; all are required.
type Options struct {
	Host       string
	Snapshot   func() *control.Snapshot
	Gates      Gates
	Limiter    Limiter
	Claims     Claims
	Quarantine Quarantine
	Loads      *balance.LoadTracker
	Backoff    *balance.HostBackoff
	Recorder   *report.Recorder
	// ReportRevision is called with the configuration revision reported by a
	// host's gate, which may be newer than the local one.
	ReportRevision func(host string, revision uint64)
	// ObserveLatency is called with the time to the response header of each
	// attempt.
	ObserveLatency func(service, host string, latency time.Duration)
	// MaxConns limits the number of concurrent connections from callers.
	MaxConns int
}
