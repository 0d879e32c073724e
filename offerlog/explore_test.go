package offerlog

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

type explorer struct {
	t *testing.T
	// seen are the hashes of the states visited. Two of some million states share one of 64
	// bits with a probability below 1 in 10^6.
	seen map[uint64]struct{}
	seed maphash.Seed
	buf  []byte
	// repeatable is whether the request may run more than once.
	repeatable bool
	// oldGates refuse repeats before they look at what was sent, answer no questions and
	// mark no refusal as settled.
	oldGates bool
	// trusting makes the ingress take each refusal for the result of the request, which it
	// must not.
	trusting bool
	trace    []string
	found    string
}

func (x *explorer) fail(format string, args ...any) {
	if x.found == "" {
		x.found = fmt.Sprintf(format, args...) + " after\n" + strings.Join(x.trace, "\n")
	}
}

// step visits the state that an event leads to.
func (x *explorer) step(w world, event func(*world) string) {
	if x.found != "" {
		return
	}
	name := event(&w)
	if name == "" {
		return
	}
	w.normalize()
	x.trace = append(x.trace, name)
	x.visit(w)
	x.trace = x.trace[:len(x.trace)-1]
}

func (x *explorer) visit(w world) {
	x.buf = w.key(x.buf[:0])
	key := maphash.Bytes(x.seed, x.buf)
	if _, ok := x.seen[key]; ok {
		return
	}
	x.seen[key] = struct{}{}
	x.check(w)
	for i, m := range w.messages {
		if m.kind == noMessage {
			break
		}
		x.deliver(w, i)
	}
	for g := range int8(len(w.gates)) {
		x.gateEvents(w, g)
	}
	x.ingressEvents(w)
}

// check checks the guarantees in a state.
func (x *explorer) check(w world) {
	switch {
	case w.ran > 1 && !x.repeatable:
		x.fail("ran %d times", w.ran)
	case w.notRun && w.ran > 0:
		x.fail("ran although the caller was told that it has not run")
	}
	if w.ended() {
		return
	}
	for g, p := range w.gates {
		if p.run != held || x.repeatable && (!w.offering || int(w.at) != g) {
			continue // a read is offered elsewhere if it may have run
		}
		if !w.offering || int(w.at) != g {
			x.fail("gate %d holds the reply, and the ingress does not wait for it", g)
			return
		}
		if w.offer.Incarnation == int64(p.incarnation) && !x.oldGates {
			x.checkReachable(w, int8(g))
		}
	}
}

// checkReachable checks that a repeat whose messages are not lost gets the reply that is held.
func (x *explorer) checkReachable(w world, g int8) {
	tx := int8(w.offer.Repeat())
	w.messages = [maxMessages]message{}
	w.join(g, w.number, min(tx, maxRepeats), true)
	w.reply(g, Reply{Run: wire.Ran})
	for i := range w.messages {
		if m := w.messages[i]; m.kind == reply {
			w.receive(m, x)
		}
	}
	if !w.answered {
		x.fail("the held reply does not reach the ingress")
	}
}

func (x *explorer) deliver(w world, i int) {
	m := w.messages[i]
	switch m.kind {
	case dialing:
		x.step(w, func(w *world) string {
			w.take(i)
			if w.offering && m.offer == w.number && w.offer.MayBegin() {
				m.kind, m.process = firstOffer, w.gates[m.gate].incarnation
				w.send(m)
				return label("connected", m.gate)
			}
			m.kind, m.result = reply, Reply{Run: wire.NotRun}
			w.receive(m, x)
			return "not begun"
		})
	case firstOffer, repeat, question:
		x.arrive(w, i)
	case withdrawal:
		x.step(w, func(w *world) string {
			w.take(i)
			w.withdrawAt(m)
			return label("withdrawn", m.gate)
		})
	default:
		x.step(w, func(w *world) string {
			w.take(i)
			w.receive(m, x)
			return label(kindNames[m.kind]+" "+string(m.result.Run), m.gate)
		})
	}
}

// arrive lets a transmission arrive at its process.
func (x *explorer) arrive(w world, i int) {
	m := w.messages[i]
	p := w.gates[m.gate]
	again := m.kind != firstOffer
	answer := func(name string, r Reply) {
		x.step(w, func(w *world) string {
			w.take(i)
			m.kind, m.result = reply, r
			w.send(m)
			return name
		})
	}
	var have Record
	w.records(m.gate, func(g *Gate) { have = g.Record(id) })
	switch {
	case again && m.expects != p.incarnation:
		answer("another process", Reply{Run: wire.Unknown})
		return
	case p.run == waiting, p.run == running, p.run == held && again:
		x.step(w, func(w *world) string {
			w.take(i)
			w.join(m.gate, m.offer, m.transmission, again)
			if p.run == held {
				w.reply(m.gate, Reply{Run: wire.Ran})
			}
			return "joined"
		})
		return
	case m.kind == question && !x.oldGates && have == RecordSent && !x.repeatable:
		answer("question: sent, reply not held", Reply{Run: wire.Unknown})
		return
	case m.kind == question && !x.oldGates && have == RecordWithdrawn:
		answer("question: withdrawn", Reply{Run: wire.NotRun, Settled: true})
		return
	case m.kind == question:
		x.step(w, func(w *world) string {
			w.take(i)
			m.kind = noRecord
			w.send(m)
			return "question: no record"
		})
		return
	}
	x.offerTo(w, i, again)
}

// offerTo lets a gate that has no run of the attempt refuse an offer, queue it or send it.
func (x *explorer) offerTo(w world, i int, again bool) {
	m := w.messages[i]
	begin := func(name string, f func(w *world)) {
		x.step(w, func(w *world) string {
			w.take(i)
			p := &w.gates[m.gate]
			p.joined, p.again, p.offer = [maxRepeats + 1]bool{}, false, m.offer
			w.join(m.gate, m.offer, m.transmission, again)
			f(w)
			return label(name, m.gate)
		})
	}
	begin("refused", func(w *world) { w.refuse(m.gate, x) })
	var blocked Record
	w.records(m.gate, func(g *Gate) { blocked = g.Check(id, x.repeatable) })
	if blocked == RecordNone {
		begin("queued", func(w *world) { w.gates[m.gate].run = waiting })
		begin("sent", func(w *world) { w.transmit(m.gate) })
	}
}

// gateEvents are the events at a gate and its target.
func (x *explorer) gateEvents(w world, g int8) {
	p := w.gates[g]
	if p.run == waiting {
		x.step(w, func(w *world) string { w.refuse(g, x); return label("refused after a wait", g) })
		x.step(w, func(w *world) string { w.transmit(g); return label("sent after a wait", g) })
	}
	if p.run == running {
		x.step(w, func(w *world) string { w.finish(g, wire.Ran, held); return label("answered by the target", g) })
		x.step(w, func(w *world) string {
			w.finish(g, wire.Ran, noRun)
			return label("answered by the target, too much to hold", g)
		})
		x.step(w, func(w *world) string {
			w.records(g, func(log *Gate) { log.Finish(id, wire.NotRun) })
			w.refuse(g, x)
			return label("not run by the target", g)
		})
	}
	if w.restarts < maxRestarts {
		x.step(w, func(w *world) string {
			if p.run == running {
				w.ran++ // the target may finish the work
			}
			w.restarts++
			w.gates[g] = process{incarnation: p.incarnation + 1}
			return label("restart", g)
		})
	}
}

// ingressEvents are what the ingress and the caller do of themselves.
func (x *explorer) ingressEvents(w world) {
	if w.ended() {
		return
	}
	if !w.offering {
		x.step(w, func(w *world) string { w.end(); return "no more offers" })
		if w.number < maxOffers {
			x.step(w, func(w *world) string { return w.begin(w.gates[w.number%2].incarnation) })
			if w.gates[w.number%2].incarnation > 1 {
				x.step(w, func(w *world) string { return w.begin(1) }) // known before the restart
			}
		}
		return
	}
	if w.repeats < maxRepeats {
		x.step(w, func(w *world) string {
			w.repeats++
			w.send(message{kind: question, gate: w.at, process: w.gates[w.at].incarnation, expects: int8(w.offer.Incarnation),
				offer: w.number, transmission: int8(w.offer.Repeat())})
			return "repeat"
		})
	}
	if w.withdrawals < maxWithdrawals {
		x.step(w, func(w *world) string {
			w.withdrawals++
			w.offer.Withdrawing()
			w.send(message{kind: withdrawal, gate: w.at, expects: int8(w.offer.Incarnation), offer: w.number})
			return "withdraw"
		})
	}
	x.step(w, func(w *world) string {
		w.conclude(false)
		if !w.ended() {
			w.end()
		}
		return "deadline"
	})
}

func explore(t *testing.T, x *explorer) {
	t.Helper()
	x.t, x.seen, x.seed = t, map[uint64]struct{}{}, maphash.MakeSeed()
	begun := time.Now()
	x.visit(world{gates: [2]process{{incarnation: 1}, {incarnation: 1}}})
	t.Logf("%d states in %s", len(x.seen), time.Since(begun).Round(time.Millisecond))
}

// Guards against every order of events in which an order runs twice, a caller is told "not run"
// of a request that ran or will, or a caller waits in vain for a reply that a gate holds.
func TestEveryOrderOfEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		x    explorer
	}{
		{"order", explorer{}},
		{"order at gates of an earlier version", explorer{oldGates: true}},
		{"read", explorer{repeatable: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			explore(t, &c.x)
			assert.Assert(t, c.x.found == "", "%s", c.x.found)
		})
	}
}

// The exploration must find the fault that it is there for: an ingress that takes the refusal of
// a repeat for the result of the request.
func TestExplorationFindsATrustedRefusal(t *testing.T) {
	for _, c := range []struct {
		name string
		x    explorer
	}{{"present gates", explorer{trusting: true}}, {"earlier gates", explorer{trusting: true, oldGates: true}}} {
		t.Run(c.name, func(t *testing.T) {
			explore(t, &c.x)
			assert.Assert(t, c.x.found != "")
			t.Log(c.x.found)
		})
	}
}
