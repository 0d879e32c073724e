package wire

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"
)

// Response is a target's response to an attempt.
type Response struct {
	// Header contains the status and the header fields without hop-by-hop fields.
	Header *fasthttp.ResponseHeader
	// Length is the body's length in bytes, or -1 if unknown.
	Length int
	// Body must be read until io.EOF or an error; an error means that the
	// response is incomplete. Close releases the connection for reuse, or closes
	// it if the body was not read to its end.
	Body io.ReadCloser
	// Epoch is the gate's current epoch.
	Epoch Epoch
	// Load is the load of the target as reported by the gate.
	Load Load
}

// Load describes the load of one target. Gates report it with each response and
// refusal.
type Load struct {
	// InFlight counts the requests that the target is processing or that are
	// queued for it.
	InFlight int
	// Limit is the current concurrency limit of the target.
	Limit int
	// Revision is the configuration revision that the gate uses.
	Revision uint64
}

// Forwarder runs attempts; it is a gate in this process or a client for a remote
// gate. Errors are of type *Refusal. req is not retained after Forward returns.
type Forwarder interface {
	Forward(ctx context.Context, att Attempt, req *fasthttp.Request) (*Response, error)
}

// Settler determines the run state of an attempt. If the attempt has not run,
// Settle ensures that it never will. The state is NotRun, Running, Ran or Unknown.
type Settler interface {
	Settle(ctx context.Context, id ID, epoch Epoch) (RunState, error)
}
