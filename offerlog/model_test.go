package offerlog

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// The exploration visits every order of the events of one request, up to these bounds. Each
// gate's process and the ingress use the records of this package; the rest of the world, the
// network, targets and held replies, is modelled here. With two withdrawals it has a million
// states, which also pass and take 10 s.
const (
	maxOffers      = 3 // to the first gate, the second one and the first one again
	maxRepeats     = 2
	maxWithdrawals = 1
	maxRestarts    = 1
	// maxMessages is the most that can be under way: each transmission and withdrawal is one.
	maxMessages = maxOffers + maxRepeats + maxWithdrawals
)

const id = "a"

type messageKind uint8

const (
	noMessage  messageKind = iota
	dialing                // the first transmission, before it has a connection
	firstOffer             // the first transmission, on a connection to one process
	question               // a repeat that asks for the record
	repeat                 // a repeat with the body
	reply                  // a gate's answer or refusal
	noRecord               // the answer to a question about an unknown attempt
	withdrawal
	withdrawalAnswer
)

var kindNames = [...]string{"", "dialing", "first offer", "question", "repeat", "reply", "no record", "withdrawal", "withdrawal answered"}

// label names an event at a gate.
func label(event string, gate int8) string {
	return event + [...]string{" at gate 0", " at gate 1"}[gate]
}

// message is a message under way. Messages may overtake each other. One that is lost is one that
// stays under way.
type message struct {
	kind messageKind
	gate int8
	// process is the process of the gate that accepted the connection.
	process int8
	// expects is the incarnation that a repeat or a withdrawal names.
	expects int8
	// offer and transmission are those that the message belongs to.
	offer, transmission int8
	result              Reply
	sent                bool
}

// runState is the state of the run that a gate's process has for the attempt.
type runState uint8

const (
	noRun runState = iota
	waiting
	running
	held // the run is finished and its reply is held
)

// process is the process of a gate.
type process struct {
	incarnation int8
	record      record
	run         runState
	// joined are the transmissions that wait for the reply, and again is set if one of
	// them is a repeat.
	joined [maxRepeats + 1]bool
	offer  int8
	again  bool
}

// world is a state of the exploration.
type world struct {
	gates    [2]process
	messages [maxMessages]message
	// offer is the offer in progress, if offering is set, and number counts offers.
	offer      Offer
	offering   bool
	at, number int8
	mayHaveRun bool

	repeats, withdrawals, restarts int8
	// ran is how often the request has run, and answered, refused and unknown are the
	// ingress's outcome.
	ran                         int8
	answered, notRun, uncertain bool
}

func (w *world) ended() bool { return w.answered || w.notRun || w.uncertain }

func (w *world) send(m message) {
	for i := range w.messages {
		if w.messages[i].kind == noMessage {
			w.messages[i] = m
			return
		}
	}
	panic("too many messages")
}

func (w *world) take(i int) message {
	m := w.messages[i]
	w.messages[i] = message{}
	return m
}

// without effect reports whether a message can change nothing any more.
func (w *world) withoutEffect(m message) bool {
	current := w.offering && m.offer == w.number && !w.ended()
	switch m.kind {
	case noMessage, withdrawal:
		return m.kind == noMessage
	case firstOffer, question, repeat:
		return m.process != w.gates[m.gate].incarnation // its connection ended with its process
	}
	return !current
}

// normalize makes states equal that have the same future.
func (w *world) normalize() {
	for i, m := range w.messages {
		if w.withoutEffect(m) {
			w.messages[i] = message{}
		}
	}
	slices.SortFunc(w.messages[:], func(a, b message) int { return int(a.key()) - int(b.key()) })
}

func bit(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

var runCodes = map[wire.RunState]uint32{"": 0, wire.NotRun: 1, wire.Unknown: 2, wire.Ran: 3}

// key is a code of a message, the greatest for none.
func (m message) key() uint32 {
	if m.kind == noMessage {
		return 1 << 30
	}
	return uint32(m.kind) | uint32(m.gate)<<4 | uint32(m.process)<<5 | uint32(m.expects)<<7 | uint32(m.offer)<<9 | uint32(m.transmission)<<11 |
		bit(m.sent)<<14 | bit(m.result.Settled)<<15 | runCodes[m.result.Run]<<16
}

// key is a code of a state.
func (w *world) key(b []byte) []byte {
	for _, m := range w.messages {
		b = binary.LittleEndian.AppendUint32(b, m.key())
	}
	for _, p := range w.gates {
		flags := bit(p.record.ran) | bit(p.record.withdrawn)<<1 | bit(p.again)<<2
		for tx, joined := range p.joined {
			flags |= bit(joined) << (3 + tx)
		}
		b = append(b, byte(p.incarnation), byte(p.record.open), byte(p.run), byte(p.offer), byte(flags))
	}
	o := w.offer
	flags := bit(w.offering) | bit(w.mayHaveRun)<<1 | bit(w.answered)<<2 | bit(w.notRun)<<3 | bit(w.uncertain)<<4 | bit(o.withdrawing)<<5
	return append(b, byte(flags), byte(o.Incarnation), byte(o.state), byte(runCodes[o.run]), byte(o.last),
		byte(w.at), byte(w.number), byte(w.repeats), byte(w.withdrawals), byte(w.restarts), byte(w.ran))
}

// records calls f with the records of a gate's process.
func (w *world) records(gate int8, f func(*Gate)) {
	p := &w.gates[gate]
	g := NewGate(int64(p.incarnation))
	if p.record != (record{}) {
		g.records[id] = p.record
	}
	f(g)
	p.record = g.records[id]
}

func (w *world) withdrawAt(m message) {
	w.records(m.gate, func(g *Gate) { m.sent = g.Withdraw(id, int64(m.expects), time.Time{}) })
	if p := &w.gates[m.gate]; !m.sent && p.run == waiting {
		w.reply(m.gate, Reply{Run: wire.NotRun})
		p.run = noRun
	}
	m.kind = withdrawalAnswer
	w.send(m)
}

// join adds the connection of a transmission to the run of a gate. Replies to transmissions of
// an earlier offer have no effect.
func (w *world) join(g, offer, transmission int8, again bool) {
	p := &w.gates[g]
	p.again = p.again || again
	if offer > p.offer {
		p.offer, p.joined = offer, [maxRepeats + 1]bool{}
	}
	if offer == p.offer {
		p.joined[transmission] = true
	}
}

func (w *world) transmit(g int8) {
	w.records(g, func(r *Gate) { r.Send(id, time.Time{}, time.Time{}) })
	w.gates[g].run = running
}

// refuse refuses the run of a gate. A refusal of an order after a repeat settles it.
func (w *world) refuse(g int8, x *explorer) {
	p := &w.gates[g]
	r := Reply{Run: wire.NotRun}
	w.records(g, func(log *Gate) {
		if x.oldGates {
			if p.again && !x.repeatable {
				log.Withdraw(id, int64(p.incarnation), time.Time{})
			}
			return
		}
		r.Run = log.Refuse(id, x.repeatable, p.again)
		if r.Run == wire.NotRun && p.again && !x.repeatable {
			r.Settled = !log.Withdraw(id, int64(p.incarnation), time.Time{})
		}
	})
	w.reply(g, r)
	p.run = noRun
}

// reply sends a reply on all connections that wait for it.
func (w *world) reply(g int8, r Reply) {
	p := &w.gates[g]
	for tx, joined := range p.joined {
		if joined {
			w.send(message{kind: reply, gate: g, process: p.incarnation, offer: p.offer, transmission: int8(tx), result: r})
		}
	}
	p.joined = [maxRepeats + 1]bool{}
}

func (w *world) finish(g int8, run wire.RunState, then runState) {
	w.records(g, func(log *Gate) { log.Finish(id, run) })
	w.ran++
	w.reply(g, Reply{Run: run})
	w.gates[g].run = then
}

func (w *world) begin(incarnation int8) string {
	w.at = w.number % 2
	w.number++
	q := Request{}
	w.offer, w.offering = *q.Begin("", "", int64(incarnation)), true
	w.send(message{kind: dialing, gate: w.at, offer: w.number})
	return label("offered", w.at)
}

// end gives the caller the result when nothing is offered any more.
func (w *world) end() {
	q := Request{mayHaveRun: w.mayHaveRun}
	w.notRun = q.RunState() == wire.NotRun
	w.uncertain = !w.notRun
}

// conclude ends the offer in progress. orders are not offered again if they may have run.
func (w *world) conclude(repeatable bool) {
	q := Request{open: []*Offer{&w.offer}, mayHaveRun: w.mayHaveRun}
	run := q.End(&w.offer)
	w.mayHaveRun, w.offering, w.offer = q.mayHaveRun, false, Offer{}
	w.answered = run == wire.Ran
	w.uncertain = run == wire.Unknown && !repeatable
}

// receive gives the ingress a message of a gate.
func (w *world) receive(m message, x *explorer) {
	if !w.offering || m.offer != w.number || w.ended() {
		return
	}
	switch m.kind {
	case noRecord:
		m.kind, m.process = repeat, w.gates[m.gate].incarnation
		w.send(m)
	case withdrawalAnswer:
		w.offer.SettleWithdrawal(m.sent)
		if w.offer.State() == Finished {
			w.conclude(x.repeatable)
		}
	case reply:
		if x.trusting && m.result.Run == wire.NotRun {
			m.result.Settled = true
		}
		if w.offer.Reply(int(m.transmission), m.result) == Concluded {
			w.conclude(x.repeatable)
		}
	}
}
