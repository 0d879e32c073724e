package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/claim"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// claimPollInterval is the polling interval for a claim held by another attempt.
const claimPollInterval = 100 * time.Millisecond

// recordTimeout limits the time to record an outcome in the claim store.
const recordTimeout = 5 * time.Second

// idempotencyGuard ensures that a request with an Idempotency-Key runs at most
// once in the fleet. It is disabled for requests without the key and for
// idempotent requests.
type idempotencyGuard struct {
	in      *Ingress
	req     claim.Request
	enabled bool

	claim *claim.Claim
	// stored is the recorded response to an earlier request with the same key.
	stored *claim.StoredResponse
}

func newIdempotencyGuard(x *exchange, req *fasthttp.Request) *idempotencyGuard {
	g := &idempotencyGuard{in: x.in}
	key := string(req.Header.Peek(headerIdempotencyKey))
	if key == "" || x.admission.idempotent {
		return g
	}
	g.enabled = true
	g.req = claim.Request{Workspace: x.admission.workspace, Key: key, Digest: digestOf(req)}
	return g
}

// begin claims the idempotency key for an attempt before it is sent. If final is
// true, the refusal must not be followed by another attempt.
func (g *idempotencyGuard) begin(ctx context.Context, ref *attemptRef) (r *wire.Refusal, final bool) {
	if !g.enabled {
		return nil, false
	}
	if len(g.req.Key) > maxIdempotencyKey {
		return wire.Refuse(wire.ReasonBadRequest, "the Idempotency-Key exceeds %d bytes", maxIdempotencyKey), true
	}
	if r := g.ensureEpoch(ctx, ref); r != nil {
		return r, false
	}
	if g.claim != nil {
		return g.reassign(ctx, ref)
	}
	for {
		res, err := g.in.opts.Claims.Begin(ctx, g.req, ref.claimRef())
		if err != nil {
			return claimRefusal(err), true
		}
		done, r := g.applyResult(ctx, res, ref)
		if done {
			return r, r != nil
		}
		if !pause.For(ctx, claimPollInterval) {
			return inProgressRefusal(), true
		}
	}
}

// ensureEpoch sets the gate's epoch in the attempt, so that other hosts can
// settle the attempt.
func (g *idempotencyGuard) ensureEpoch(ctx context.Context, ref *attemptRef) *wire.Refusal {
	epoch, fresh := g.in.epochs.get(ref.host, time.Now())
	if fresh {
		ref.epoch = epoch
		return nil
	}
	epoch, err := g.in.opts.Gates.Epoch(ctx, ref.host)
	if err != nil {
		return wire.Refuse(wire.ReasonUnreachable, "fetching the epoch of the gate on host %s failed: %s", ref.host, err)
	}
	g.in.epochs.set(ref.host, epoch, time.Now())
	ref.epoch = epoch
	return nil
}

func (ref *attemptRef) claimRef() claim.AttemptRef {
	return claim.AttemptRef{Host: ref.host, ID: ref.id, Epoch: ref.epoch}
}

func (g *idempotencyGuard) reassign(ctx context.Context, ref *attemptRef) (*wire.Refusal, bool) {
	if err := g.claim.Reassign(ctx, ref.claimRef()); err != nil {
		return claimRefusal(err), true
	}
	return nil, false
}

// applyResult handles the result of a claim; done is false if the claim must be
// polled again.
func (g *idempotencyGuard) applyResult(ctx context.Context, res claim.Result, ref *attemptRef) (done bool, r *wire.Refusal) {
	switch res.Outcome {
	case claim.Proceed:
		g.claim = res.Claim
		return true, nil
	case claim.Replay:
		return true, g.useStoredResponse(res.Stored)
	case claim.Mismatch:
		return true, wire.Refuse(wire.ReasonIdempotencyKeyReused, "the Idempotency-Key belongs to another request")
	}
	return g.resolve(ctx, res, ref)
}

// resolve settles the attempt that holds the claim and takes over the claim if
// that attempt did not run.
func (g *idempotencyGuard) resolve(ctx context.Context, res claim.Result, ref *attemptRef) (done bool, r *wire.Refusal) {
	other := res.Attempt
	run, err := g.in.opts.Gates.Settle(ctx, other.Host, other.ID, other.Epoch)
	if err != nil || run != wire.NotRun {
		return false, nil
	}
	taken, err := g.in.opts.Claims.TakeOver(ctx, g.req, res, ref.claimRef())
	if err != nil {
		return true, claimRefusal(err)
	}
	if taken.Outcome == claim.InProgress {
		return false, nil
	}
	return g.applyResult(ctx, taken, ref)
}

func (g *idempotencyGuard) useStoredResponse(s *claim.StoredResponse) *wire.Refusal {
	if s.BodyOmitted {
		return wire.RefuseUnknown(wire.ReasonInProgress, "a request with this Idempotency-Key ran, but its response was too large to be stored")
	}
	g.stored = s
	// The refusal only ends the attempts; replay returns the response.
	return wire.RefuseUnknown(wire.ReasonInProgress, "a request with this Idempotency-Key already has a response")
}

// inProgressRefusal returns the refusal for a request whose key is held by
// another request that may still run or have run.
func inProgressRefusal() *wire.Refusal {
	return wire.RefuseUnknown(wire.ReasonInProgress, "a request with this Idempotency-Key is in progress, or its outcome is not known")
}

// claimRefusal converts an error of the claim store into a refusal. If the claim
// was taken over, a resend of the request runs elsewhere, so the run state must
// not be "not run".
func claimRefusal(err error) *wire.Refusal {
	var ce *claim.Error
	if errors.As(err, &ce) && ce.Kind == claim.KindTakenOver {
		return inProgressRefusal()
	}
	return wire.Refuse(wire.ReasonClaimStoreUnavailable, "the Idempotency-Key could not be recorded")
}

// replay returns the recorded response to an earlier request, or nil.
func (g *idempotencyGuard) replay() *wire.Response {
	if g.stored == nil {
		return nil
	}
	g.in.stats.Replays.Add(1)
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(g.stored.Status)
	for _, f := range g.stored.Header {
		h.Add(f.Name, f.Value)
	}
	return &wire.Response{Header: h, Length: len(g.stored.Body), Body: bufferedBody{g.stored.Body}}
}

// finish records the response asynchronously for resends of the request.
func (g *idempotencyGuard) finish(resp *wire.Response) {
	if g.claim == nil {
		return
	}
	stored := storedResponse(resp)
	held := g.claim
	g.in.recording.Add(1)
	go func() {
		defer g.in.recording.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		held.Finish(ctx, stored) //nolint:errcheck // the claim store defers failed table writes
	}()
}

func storedResponse(resp *wire.Response) claim.StoredResponse {
	s := claim.StoredResponse{Status: resp.Header.StatusCode()}
	buffered, ok := resp.Body.(bufferedBody)
	if !ok {
		s.BodyOmitted = true
		return s
	}
	s.Body = append([]byte(nil), buffered.bytes...)
	for name, value := range resp.Header.All() {
		s.Header = append(s.Header, claim.HeaderField{Name: string(name), Value: string(value)})
	}
	return s
}

// abandon releases the claim if the request certainly did not run, so that a
// resend can run.
func (g *idempotencyGuard) abandon(ctx context.Context, mayHaveRun bool) {
	if g.claim == nil || mayHaveRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	g.claim.Abandon(ctx) //nolint:errcheck // on failure, a resend settles the attempt
}
