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

// Bounds of the caller's side.
const (
	// MaxBodyBytes bounds any request body; services may set less.
	MaxBodyBytes = 16 << 20
	// maxBuffered is the largest answer that is read whole before it is sent.
	maxBuffered = 1 << 20
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// readTimeout bounds the reading of one request.
	readTimeout = 20 * time.Second
	// idleTimeout bounds the pause between two requests of a connection.
	idleTimeout = 60 * time.Second
	// writeIdleTimeout bounds one write to a caller that reads slowly.
	writeIdleTimeout = 30 * time.Second
)

// Gates reaches the gates of all hosts, the own one included.
type Gates interface {
	// Forward runs an attempt at the gate of host; see wire.Forwarder.
	Forward(ctx context.Context, host string, att wire.Attempt, req *fasthttp.Request) (*wire.Answer, error)
	// Settle settles an attempt at the gate of host, by a detour if needed;
	// see wire.Settler.
	Settle(ctx context.Context, host string, id wire.ID, epoch wire.Epoch) (wire.RunState, error)
	// Epoch asks the gate of host for its epoch.
	Epoch(ctx context.Context, host string) (wire.Epoch, error)
}

// Limiter decides whether a workspace may send one more request.
type Limiter interface {
	Take(ctx context.Context, workspace string) (limiter.Decision, error)
}

// Claims guards requests with an Idempotency-Key.
type Claims interface {
	Begin(ctx context.Context, req claim.Request, att claim.AttemptRef) (claim.Result, error)
	TakeOver(ctx context.Context, req claim.Request, found claim.Result, att claim.AttemptRef) (claim.Result, error)
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	// Quarantined reports whether such requests are refused.
	Quarantined(now time.Time, fingerprint uint64) bool
	// Suspected reports whether they are to run beside no other.
	Suspected(now time.Time, fingerprint uint64) bool
}

// Options are the parts that an ingress works with; all are required.
type Options struct {
	Host       string
	Snapshot   func() *control.Snapshot
	Gates      Gates
	Limiter    Limiter
	Claims     Claims
	Quarantine Quarantine
	Loads      *balance.LoadTracker
	Avoid      *balance.HostBackoff
	Recorder   *report.Recorder
	// Behind is told of a revision that is newer than the own one and of the
	// host that has it.
	Behind func(host string, revision uint64)
	// Answered is told of the time to the header of each answer.
	Answered func(service, host string, latency time.Duration)
	// MaxConns bounds the callers' connections.
	MaxConns int
}
