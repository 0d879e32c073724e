package wire

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"
)

// Answer is a target's answer on its way to the caller.
type Answer struct {
	// Header carries status and header fields, without hop-by-hop fields.
	Header *fasthttp.ResponseHeader
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int
	// Body is read to its end or to an error; an error means that the answer
	// is incomplete. Close releases the connection; closing early drops it.
	Body io.ReadCloser
	// Epoch is the gate's current epoch.
	Epoch Epoch
	// Load is the gate's report on the target.
	Load Load
}

// Load is a gate's report on one target, carried by each answer and refusal.
type Load struct {
	// InFlight counts requests at the target and waiting for it.
	InFlight int
	// Limit is how many requests the target bears at once now.
	Limit int
	// Revision is the configuration in force at the gate.
	Revision uint64
}

// Forwarder runs an attempt: a gate in this process or a client of a remote
// one. The error is a *Refusal. req is not kept after Forward returns.
type Forwarder interface {
	Forward(ctx context.Context, att Attempt, req *fasthttp.Request) (*Answer, error)
}

// Settler finds out what became of an attempt and, when it did not run, makes
// sure that it never will. The state is NotRun, Running, Ran or Unknown.
type Settler interface {
	Settle(ctx context.Context, id ID, epoch Epoch) (RunState, error)
}
