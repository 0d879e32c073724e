package hostd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// heartbeatTimeout is how long a gate may send nothing about an attempt in progress
// before its connection is taken to be silent.
const heartbeatTimeout = 2*heartbeatInterval + 200*time.Millisecond

// offerEvents are called while an attempt is at a gate.
type offerEvents struct {
	// sent is called when the gate sends the request to the target.
	sent func()
	// heartbeat is called when the gate tells that the attempt is in progress.
	heartbeat func()
}

func (ev offerEvents) onInterim(status int) {
	ev.heartbeat()
	if status == fasthttp.StatusProcessing {
		ev.sent()
	}
}

// connectionLost reports whether a reply stands for the loss of the connection to the
// gate, with the run state unknown.
func connectionLost(r Reply) bool {
	return r.Refusal != nil && r.Refusal.Reason == wire.ReasonUnreachable && r.Refusal.Run != wire.NotRun && r.Report.ReceivedAt.IsZero()
}

// watchedOffer is an offer to a gate that sends heartbeats.
type watchedOffer struct {
	target      Target
	incarnation int64
	// quiet is how long the gate may be quiet at first; 0 if it sends no heartbeats.
	quiet time.Duration
	// again is set if the attempt is offered again on a new connection.
	again bool
	offer func(ctx context.Context, again bool, heartbeat func()) Reply
}

// awaitReply makes an offer. If its connection goes silent or breaks, the attempt is
// offered again on a new connection, to which the gate joins the one that it has. The
// first reply on any of the connections is returned. A refusal of the first offer that
// arrives after it has been made again says nothing about the second one.
func (a *attempt) awaitReply(ctx context.Context, w watchedOffer) Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	replies, heartbeats, recovered := make(chan Reply, 1), make(chan struct{}, 1), make(chan Reply, 1)
	go func() {
		replies <- w.offer(ctx, w.again, func() {
			select {
			case heartbeats <- struct{}{}:
			default:
			}
		})
	}()
	recovering, madeAgain := false, false
	recoverReply := func() {
		recovering, madeAgain = true, true
		go func() { recovered <- a.recoverReply(ctx, w, begun) }()
	}
	silence := time.NewTimer(w.quiet)
	if w.quiet <= 0 {
		silence.Stop()
	}
	defer silence.Stop()
	var lost *Reply
	for {
		select {
		case r := <-replies:
			superseded := madeAgain && !w.again && runStateOf(r) == wire.NotRun
			if !superseded && (!connectionLost(r) || w.again) || ctx.Err() != nil {
				return r
			}
			if lost = &r; superseded {
				r.Refusal.Run = wire.Unknown
			}
			if !recovering {
				recoverReply()
			}
		case r := <-recovered:
			recovering = false
			switch {
			case !connectionLost(r):
				return r
			case lost != nil:
				return *lost
			}
			silence.Reset(heartbeatTimeout)
		case <-heartbeats:
			if !recovering && lost == nil {
				silence.Reset(heartbeatTimeout)
			}
		case <-silence.C:
			if !recovering && lost == nil {
				recoverReply()
			}
		}
	}
}

// recoverReply offers an attempt again whose connection, used since begun, is silent or has
// broken. If the host cannot be reached on a new connection, the attempt is withdrawn.
func (a *attempt) recoverReply(ctx context.Context, w watchedOffer, begun time.Time) Reply {
	in := a.e.in
	lost := Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "the connection to the gate of %s was lost", w.target.Host)}
	if w.incarnation != 0 { // otherwise a process that has restarted could not tell the offer from a first one
		w.again, w.quiet = true, heartbeatTimeout
		r := a.awaitReply(ctx, w)
		in.log.Decide("offered-again", "id", a.e.caller.Attempt, "target", w.target.ID, "answered", r.Answer != nil, "after_ms", time.Since(begun).Milliseconds())
		if !connectionLost(r) {
			in.gates.DistrustIdle(begun)
			in.metrics.Add("attempts_recovered", 1)
			return r
		}
		lost = r
	}
	sent, err := in.gates.Withdraw(ctx, w.target.Host, a.e.caller.Attempt, w.incarnation)
	in.log.Decide("settled", "id", a.e.caller.Attempt, "target", w.target.ID, "sent", sent, "err", err)
	if err == nil && !sent {
		lost.Refusal.Run = wire.NotRun
	}
	return lost
}
