package hostd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/offerlog"
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
	// beforeSend, if not nil, is called before the first transmission is written to a
	// connection. An error keeps it from being sent.
	beforeSend func() error
}

// errOfferEnded keeps the first transmission of an offer from being sent after the gate has been
// asked about the offer.
var errOfferEnded = errors.New("the offer was made again or withdrawn before it had a connection")

func (a *attempt) mayBegin(record *offer) error {
	if !a.offers.mayBegin(record) {
		return errOfferEnded
	}
	return nil
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
	record *offer
	// transmission is the number of the transmission in the record.
	transmission int
	target       Target
	incarnation  int64
	// quiet is how long the gate may be quiet at first; 0 if it sends no heartbeats.
	quiet time.Duration
	// again is set if the attempt is offered again on a new connection.
	again bool
	offer func(ctx context.Context, again bool, heartbeat func()) Reply
}

// awaitReply makes an offer. If its connection goes silent or breaks, the attempt is
// offered again on a new connection, to which the gate joins the one that it has. The
// first reply on any of the connections is returned that the record of the offer takes for its
// result. A refusal of one transmission says nothing about the others. An attempt that must not
// run twice is offered again for as long as its gate can be asked and says that it has it.
func (a *attempt) awaitReply(ctx context.Context, w watchedOffer) Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	replies, heartbeats, recovered := make(chan Reply, 1), make(chan struct{}, 1), make(chan recovery, 1)
	go func() {
		replies <- w.offer(ctx, w.again, func() {
			select {
			case heartbeats <- struct{}{}:
			default:
			}
		})
	}()
	recovering := false
	recoverReply := func() {
		recovering = true
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
			verdict := a.offers.learn(w.record, w.transmission, r)
			if verdict != offerlog.Concluded && runStateOf(r) == wire.NotRun {
				r.Refusal.Run = wire.Unknown
			}
			if verdict == offerlog.Concluded || w.again && verdict != offerlog.Superseded || ctx.Err() != nil {
				return r
			}
			if lost = &r; !recovering {
				recoverReply()
			}
		case r := <-recovered:
			recovering = false
			switch {
			case !connectionLost(r.reply):
				return r.reply
			case lost != nil && (!r.atGate || a.e.route.Kind.Repeatable()):
				return *lost
			}
			silence.Reset(heartbeatTimeout)
		case <-heartbeats:
			if !recovering && lost == nil {
				silence.Reset(heartbeatTimeout)
			}
		case <-silence.C:
			if !recovering {
				recoverReply()
			}
		}
	}
}

// recovery is the result of offering an attempt again.
type recovery struct {
	reply Reply
	// atGate is set if there is no reply and the gate says that it has sent the attempt, so
	// that it has the reply or will have it.
	atGate bool
}

// recoverReply offers an attempt again whose connection, used since begun, is silent or has
// broken. If the host cannot be reached on a new connection, or refuses the repeat without
// settling the attempt, the attempt is withdrawn.
func (a *attempt) recoverReply(ctx context.Context, w watchedOffer, begun time.Time) recovery {
	in := a.e.in
	lost := Reply{Refusal: wire.RefuseUnknown(wire.ReasonUnreachable, "the connection to the gate of %s was lost", w.target.Host)}
	if w.incarnation != 0 { // otherwise a process that has restarted could not tell the offer from a first one
		w.again, w.quiet, w.transmission = true, heartbeatTimeout, a.offers.repeat(w.record)
		r := a.awaitReply(ctx, w)
		concluded, run := a.offers.concluded(w.record)
		in.log.Decide("offered-again", "id", a.e.caller.Attempt, "target", w.target.ID, "answered", r.Answer != nil, "concluded", concluded, "run", run, "after_ms", time.Since(begun).Milliseconds())
		if !connectionLost(r) {
			in.gates.DistrustIdle(begun)
		}
		if concluded {
			in.metrics.Add("attempts_recovered", 1)
			if r.Refusal != nil {
				r.Refusal.Run = run
			}
			return recovery{reply: r}
		}
		lost = r
	}
	a.offers.withdrawing(w.record)
	sent, err := in.gates.Withdraw(ctx, w.target.Host, a.e.caller.Attempt, w.incarnation)
	in.log.Decide("settled", "id", a.e.caller.Attempt, "target", w.target.ID, "sent", sent, "err", err)
	if err == nil {
		a.offers.settle(w.record, sent)
	}
	if err == nil && !sent {
		lost.Refusal.Run = wire.NotRun
	}
	return recovery{reply: lost, atGate: err == nil && sent && w.incarnation != 0}
}
