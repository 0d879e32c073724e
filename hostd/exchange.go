package hostd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// exchange sends an admitted attempt to the target.
func (g *Gate) exchange(ctx context.Context, tk *ticket, req *fasthttp.Request) Reply {
	if !tk.f.Repeatable {
		// A request that may run only once is let finish when its caller has
		// left: broken off, nobody would know what became of it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, tk.deadline.Add(answerGrace))
	defer cancel()
	sent := time.Now()
	answer, err := g.roundTrip(ctx, tk, req, false)
	if err == nil || !tk.f.Repeatable || !closedWhileIdle(err, time.Since(sent)) {
		return g.conclude(tk, answer, err)
	}
	// The target closed a connection as it was about to be used again.
	g.metrics.Add("target_stale_connections", 1)
	answer, err = g.roundTrip(ctx, tk, req, true)
	reply := g.conclude(tk, answer, err)
	if r := reply.Refusal; r != nil && r.Run == wire.NotRun {
		// Nobody can tell whether the first sending ran.
		r.Run = wire.Unknown
	}
	return reply
}

// answerGrace is how much later than the deadline a target's answer may come:
// its own answer at the deadline should still get through.
const answerGrace = 100 * time.Millisecond

func (g *Gate) roundTrip(ctx context.Context, tk *ticket, req *fasthttp.Request, fresh bool) (*Answer, error) {
	karpithaz.WriteTargetRequest(&req.Header, karpithaz.TargetRequest{
		TimeLeft:      time.Until(tk.deadline),
		Target:        tk.target.id,
		Workspace:     tk.f.Workspace,
		CallerService: tk.f.CallerService,
	})
	resp, err := g.links.Do(ctx, tk.target.address, req, link.RequestOptions{
		NewConnection:    fresh,
		Deadline:         tk.deadline.Add(answerGrace),
		FirstByteTimeout: time.Until(tk.deadline) + answerGrace,
		IdleTimeout:      bodyIdle,
		AllowUnframed:    true,
		MatchResponse: func(h *fasthttp.ResponseHeader) bool {
			echo := karpithaz.ReadAnswer(h).Attempt
			return echo == "" || echo == tk.f.Attempt
		},
	})
	if err != nil {
		return nil, err
	}
	body, err := readBody(resp)
	if err != nil {
		return nil, err
	}
	a := &Answer{Body: body}
	resp.Header.CopyTo(&a.Header)
	return a, nil
}

// idleClose is how soon after sending a connection breaks that the target had
// closed while it was idle; later than that, the request may have been at work.
const idleClose = 20 * time.Millisecond

func closedWhileIdle(err error, after time.Duration) bool {
	le := link.AsError(err)
	return le != nil && le.Reused && le.Stage == link.StageSent && le.Cause == link.CauseClosed && after <= idleClose
}

// ending is how an exchange with the target ended.
type ending struct {
	refusal *wire.Refusal
	// blame is what the ending says of the target.
	blame blame
}

type blame int

const (
	blameNone   blame = iota // it served well
	blameFailed              // it failed the request
	blameLeft                // the request was given up
	blameNotRun              // it did not run the request
)

// conclude frees the slot and turns the ending into a reply.
func (g *Gate) conclude(tk *ticket, a *Answer, err error) Reply {
	e := judge(tk, a, err)
	now := time.Now()
	g.mu.Lock()
	t := tk.target
	if e.blame == blameFailed && err == nil && !tk.f.Inner && t.excused(now) {
		e.blame = blameNotRun // it says nothing of the target
	}
	switch e.blame {
	case blameNone:
		t.filter.RecordSuccess(now, tk.request)
	case blameFailed:
		t.filter.RecordFailure(now, tk.request)
	case blameLeft:
		t.filter.RecordCancellation(now, tk.request)
	case blameNotRun:
		t.filter.Remove(tk.request)
	}
	if le := link.AsError(err); le != nil {
		g.noteBreak(tk, le, now)
	}
	if e.refusal != nil && e.refusal.Run == wire.NotRun {
		g.sent.remove(tk.f.Attempt)
	}
	gray := t.filter.Probability(now)
	t.line.Complete(now.Sub(tk.started), tk.f.Inner)
	g.pump(t, now)
	g.mu.Unlock()
	g.record(tk, a, e, now, gray)
	if e.refusal != nil {
		return Reply{Refusal: e.refusal}
	}
	return Reply{Answer: a}
}

// noteBreak notes what a failed exchange tells of the target's life; the lock is
// held.
func (g *Gate) noteBreak(tk *ticket, le *link.Error, now time.Time) {
	t := tk.target
	switch {
	case le.Stage == link.StageDial:
		t.downUntil = now.Add(downTime)
	case le.Cause == link.CauseClosed && len(t.broken) < maxBroken:
		t.broken = append(t.broken, tk.f.Fingerprint)
		if !t.looking {
			t.looking = true
			go g.lookForDeath(t)
		}
	}
}

// maxBroken bounds the requests that may be told of with one death.
const maxBroken = 64

// downTime keeps requests from a target that refused a connection; targets
// start again within seconds.
const downTime = 200 * time.Millisecond

func (g *Gate) record(tk *ticket, a *Answer, e ending, now time.Time, gray float64) {
	took := now.Sub(tk.started)
	g.metrics.Observe("target_time", took)
	if e.refusal != nil {
		g.metrics.Add("target_"+string(e.refusal.Reason), 1)
		g.log.Decide("target-failed", "id", tk.f.Attempt, "target", tk.target.id, "took_ms", took.Milliseconds(),
			"reason", e.refusal.Reason, "run", e.refusal.Run, "detail", e.refusal.Detail, "gray", gray)
		return
	}
	g.metrics.Add("target_answers", 1)
	g.log.Decide("target-answered", "id", tk.f.Attempt, "target", tk.target.id, "took_ms", took.Milliseconds(),
		"status", a.Header.StatusCode(), "bytes", len(a.Body), "gray", gray)
}

// judge reads an ending.
func judge(tk *ticket, a *Answer, err error) ending {
	if err != nil {
		return judgeError(tk, err)
	}
	says := karpithaz.ReadAnswer(&a.Header)
	status := a.Header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return ending{wire.Refuse(wire.ReasonWrongTarget, "another target has the address of %s", tk.target.id), blameNotRun}
	case says.NotRun:
		return ending{wire.Refuse(wire.ReasonShed, "target %s did not run the request", tk.target.id), blameNotRun}
	case status == fasthttp.StatusGatewayTimeout:
		return ending{nil, blameLeft} // its own deadline, or that of a call it made
	case status >= fasthttp.StatusInternalServerError:
		return ending{nil, blameFailed}
	case !says.Signed && status < fasthttp.StatusMultipleChoices:
		return ending{wire.RefuseUnknown(wire.ReasonTargetFailed, "target %s gave a success without a signature", tk.target.id), blameFailed}
	}
	return ending{nil, blameNone}
}

func judgeError(tk *ticket, err error) ending {
	le := link.AsError(err)
	switch {
	case le != nil && le.Stage == link.StageDial:
		return ending{wire.Refuse(wire.ReasonUnreachable, "target %s: %v", tk.target.id, err), blameNotRun}
	case le != nil && le.Cause == link.CauseCanceled:
		return ending{wire.RefuseUnknown(wire.ReasonTimeout, "given up by the ingress"), blameLeft}
	case le != nil && le.Cause == link.CauseTimeout:
		return ending{wire.RefuseUnknown(wire.ReasonTimeout, "target %s gave no answer in time", tk.target.id), blameLeft}
	}
	return ending{wire.RefuseUnknown(wire.ReasonTargetFailed, "target %s: %v", tk.target.id, err), blameFailed}
}
