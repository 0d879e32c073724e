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

// pollInterval is the pause between two looks at a claim that is in progress.
const pollInterval = 100 * time.Millisecond

// finishTimeout bounds the recording of an outcome.
const finishTimeout = 5 * time.Second

// orderGuard makes a request with an Idempotency-Key run at most once in the
// fleet. Without such a key, or for an idempotent request, it does nothing.
type orderGuard struct {
	in  *Ingress
	req claim.Request
	on  bool

	claim *claim.Claim
	// replayed is the stored answer of an earlier request with the same key.
	replayed *claim.StoredResponse
}

func newOrderGuard(x *exchange, req *fasthttp.Request) *orderGuard {
	g := &orderGuard{in: x.in}
	key := string(req.Header.Peek(headerIdempotencyKey))
	if key == "" || x.adm.idempotent {
		return g
	}
	g.on = true
	g.req = claim.Request{Workspace: x.adm.workspace, Key: key, Digest: digestOf(req)}
	return g
}

// begin claims the request for an attempt before it is sent. final tells that
// no other attempt may follow the refusal.
func (g *orderGuard) begin(ctx context.Context, ref *attemptRef) (r *wire.Refusal, final bool) {
	if !g.on {
		return nil, false
	}
	if len(g.req.Key) > maxIdempotencyKey {
		return wire.Refuse(wire.ReasonBadRequest, "the Idempotency-Key exceeds %d bytes", maxIdempotencyKey), true
	}
	if r := g.learnEpoch(ctx, ref); r != nil {
		return r, false
	}
	if g.claim != nil {
		return g.reassign(ctx, ref)
	}
	for {
		res, err := g.in.opts.Claims.Begin(ctx, g.req, ref.claimed())
		if err != nil {
			return claimRefusal(err), true
		}
		done, r := g.take(ctx, res, ref)
		if done {
			return r, r != nil
		}
		if !pause.For(ctx, pollInterval) {
			return inProgress(), true
		}
	}
}

// learnEpoch makes sure that the attempt names the gate's epoch, so that others
// can settle it.
func (g *orderGuard) learnEpoch(ctx context.Context, ref *attemptRef) *wire.Refusal {
	epoch, fresh := g.in.epochs.get(ref.host, time.Now())
	if fresh {
		ref.epoch = epoch
		return nil
	}
	epoch, err := g.in.opts.Gates.Epoch(ctx, ref.host)
	if err != nil {
		return wire.Refuse(wire.ReasonUnreachable, "the gate of %s does not answer", ref.host)
	}
	g.in.epochs.set(ref.host, epoch, time.Now())
	ref.epoch = epoch
	return nil
}

func (ref *attemptRef) claimed() claim.AttemptRef {
	return claim.AttemptRef{Host: ref.host, ID: ref.id, Epoch: ref.epoch}
}

func (g *orderGuard) reassign(ctx context.Context, ref *attemptRef) (*wire.Refusal, bool) {
	if err := g.claim.Reassign(ctx, ref.claimed()); err != nil {
		return claimRefusal(err), true
	}
	return nil, false
}

// take acts on a claim's result; done is false when it is to be looked at again.
func (g *orderGuard) take(ctx context.Context, res claim.Result, ref *attemptRef) (done bool, r *wire.Refusal) {
	switch res.Outcome {
	case claim.Proceed:
		g.claim = res.Claim
		return true, nil
	case claim.Replay:
		return true, g.useStored(res.Stored)
	case claim.Mismatch:
		return true, wire.Refuse(wire.ReasonKeyReused, "the Idempotency-Key belongs to another request")
	}
	return g.resolve(ctx, res, ref)
}

// resolve settles the attempt that holds the claim and takes the claim over
// when that attempt did not run.
func (g *orderGuard) resolve(ctx context.Context, res claim.Result, ref *attemptRef) (done bool, r *wire.Refusal) {
	other := res.Attempt
	run, err := g.in.opts.Gates.Settle(ctx, other.Host, other.ID, other.Epoch)
	if err != nil || run != wire.NotRun {
		return false, nil
	}
	taken, err := g.in.opts.Claims.TakeOver(ctx, g.req, res, ref.claimed())
	if err != nil {
		return true, claimRefusal(err)
	}
	if taken.Outcome == claim.InProgress {
		return false, nil
	}
	return g.take(ctx, taken, ref)
}

func (g *orderGuard) useStored(s *claim.StoredResponse) *wire.Refusal {
	if s.BodyOmitted {
		return wire.RefuseUnknown(wire.ReasonInProgress, "the request ran, but its answer was too large to be kept")
	}
	g.replayed = s
	// The refusal only ends the attempts; replay supplies the answer.
	return wire.RefuseUnknown(wire.ReasonInProgress, "answered before")
}

// inProgress is the refusal while another request with the same key may run.
func inProgress() *wire.Refusal {
	return wire.RefuseUnknown(wire.ReasonInProgress, "a request with this Idempotency-Key is in progress, or its outcome is not known")
}

// claimRefusal translates a failed claim. A lost claim means that a resend runs
// elsewhere, so "not run" would be untrue.
func claimRefusal(err error) *wire.Refusal {
	var ce *claim.Error
	if errors.As(err, &ce) && ce.Kind == claim.KindTakenOver {
		return inProgress()
	}
	return wire.Refuse(wire.ReasonClaimStoreOut, "the Idempotency-Key could not be recorded")
}

// replay returns the stored answer, if there is one.
func (g *orderGuard) replay() *wire.Answer {
	if g.replayed == nil {
		return nil
	}
	g.in.stats.Replays.Add(1)
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(g.replayed.Status)
	for _, f := range g.replayed.Header {
		h.Add(f.Name, f.Value)
	}
	return &wire.Answer{Header: h, Length: len(g.replayed.Body), Body: wholeBody{g.replayed.Body}}
}

// finish records the answer for resends. It does not keep the caller waiting.
func (g *orderGuard) finish(ans *wire.Answer) {
	if g.claim == nil {
		return
	}
	stored := store(ans)
	held := g.claim
	g.in.pending.Add(1)
	go func() {
		defer g.in.pending.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		held.Finish(ctx, stored) //nolint:errcheck // the store keeps what the table does not take
	}()
}

func store(ans *wire.Answer) claim.StoredResponse {
	s := claim.StoredResponse{Status: ans.Header.StatusCode()}
	whole, ok := ans.Body.(wholeBody)
	if !ok {
		s.BodyOmitted = true
		return s
	}
	s.Body = append([]byte(nil), whole.bytes...)
	for name, value := range ans.Header.All() {
		s.Header = append(s.Header, claim.HeaderField{Name: string(name), Value: string(value)})
	}
	return s
}

// abandon lets a resend run when this request certainly did not.
func (g *orderGuard) abandon(ctx context.Context, mayHaveRun bool) {
	if g.claim == nil || mayHaveRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	g.claim.Abandon(ctx) //nolint:errcheck // a resend settles the attempt instead
}
