package gate_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// outcomes is an Observer that keeps what it is told.
type outcomes struct {
	mu  sync.Mutex
	all []gate.Outcome
}

func (o *outcomes) OnOutcome(out gate.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, out)
}

func (o *outcomes) kinds() []gate.Kind {
	o.mu.Lock()
	defer o.mu.Unlock()
	kinds := make([]gate.Kind, 0, len(o.all))
	for _, out := range o.all {
		kinds = append(kinds, out.Kind)
	}
	return kinds
}

// rawBackend serves each connection with a script, below HTTP.
func rawBackend(t testing.TB, script func(n int, c net.Conn, br *bufio.Reader)) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go script(n, c, bufio.NewReader(c))
		}
	}()
	return &backend{addr: ln.Addr().String()}
}

func take(br *bufio.Reader) error {
	var req fasthttp.Request
	return req.Read(br)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestBrokenExchanges(t *testing.T) {
	tests := []struct {
		name   string
		script func(int, net.Conn, *bufio.Reader)
		reason wire.Reason
		kind   gate.Kind
	}{
		{"closed without answer", func(_ int, c net.Conn, br *bufio.Reader) { take(br); c.Close() }, wire.ReasonTargetFailed, gate.KindBroken},
		{"garbage", func(_ int, c net.Conn, br *bufio.Reader) { take(br); io.WriteString(c, "ola\r\n\r\n"); c.Close() }, wire.ReasonTargetFailed, gate.KindBroken},
		{"no end", func(_ int, c net.Conn, br *bufio.Reader) {
			take(br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nx")
			c.Close()
		}, wire.ReasonTargetFailed, gate.KindBroken},
		{"silent", func(_ int, c net.Conn, br *bufio.Reader) { take(br); take(br) }, wire.ReasonTimeout, gate.KindTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			seen := &outcomes{}
			f := start(t, rawBackend(t, tc.script), "orders", func(o *gate.Options) {
				o.Observer = seen
				o.Clock = nil
			})
			att := f.attempt()
			att.Remaining = 300 * time.Millisecond
			_, ref := f.forward(att)
			refused(t, ref, tc.reason, wire.Unknown)
			assert.DeepEqual(t, seen.kinds(), []gate.Kind{tc.kind})
			state, err := f.Settle(context.Background(), att.ID, att.Epoch)
			assert.NilError(t, err)
			assert.Equal(t, state, wire.Ran)
		})
	}
}

func TestUnreachableTargetDidNotRun(t *testing.T) {
	b := startBackend(t, hello)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.addr = ln.Addr().String()
	ln.Close()
	f := start(t, b, "orders", nil)
	att := f.attempt()
	_, ref := f.forward(att)
	refused(t, ref, wire.ReasonUnreachable, wire.NotRun)
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
}

// TestDeathNamesRequests crashes a target with two requests in flight: the
// death is reported with the fingerprints of both, in one part or two.
func TestDeathNamesRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	seen := &outcomes{}
	f := start(t, &backend{addr: ln.Addr().String()}, "orders", func(o *gate.Options) {
		o.Observer = seen
		o.NewLimiter = fixedLimit(2)
	})
	var conns []net.Conn
	refusals := make(chan *wire.Refusal, 2)
	for fp := range uint64(2) {
		att := f.attempt()
		att.Fingerprint = 100 + fp
		go func() {
			_, ref := f.forward(att)
			refusals <- ref
		}()
		c, err := ln.Accept()
		assert.NilError(t, err)
		assert.NilError(t, take(bufio.NewReader(c)))
		conns = append(conns, c)
	}
	ln.Close()
	for _, c := range conns {
		c.Close()
	}
	for range conns {
		refused(t, <-refusals, wire.ReasonTargetDied, wire.Unknown)
	}
	var dead []uint64
	for _, out := range seen.all {
		if out.Kind == gate.KindDied {
			assert.Equal(t, out.Incarnation, uint64(1))
			dead = append(dead, out.InFlight...)
		}
	}
	assert.Equal(t, len(dead), 2)
	assert.Equal(t, dead[0]+dead[1], uint64(201))
}

// TestDeathIsSeenThoughTheListenerEndsLast closes a target's connection some
// milliseconds before its listener, as the end of a process may: four targets
// died of one request on a busy machine, since two deaths had not been seen.
func TestDeathIsSeenThoughTheListenerEndsLast(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := start(t, &backend{addr: ln.Addr().String()}, "orders", nil)
	refusals := make(chan *wire.Refusal, 1)
	go func() {
		_, ref := f.forward(f.attempt())
		refusals <- ref
	}()
	c, err := ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, take(bufio.NewReader(c)))
	c.Close()
	time.Sleep(10 * time.Millisecond)
	ln.Close()
	refused(t, <-refusals, wire.ReasonTargetDied, wire.Unknown)
}

// TestSilentConnectionIsReplaced lets a kept connection go silent: an
// idempotent request is repeated on a new one, and the target is not blamed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	seen := &outcomes{}
	b := rawBackend(t, func(n int, c net.Conn, br *bufio.Reader) {
		for take(br) == nil {
			io.WriteString(c, okAnswer) //nolint:errcheck
			if n == 1 {
				take(br) //nolint:errcheck // silent from now on
				take(br) //nolint:errcheck
			}
		}
	})
	f := start(t, b, "orders", func(o *gate.Options) {
		o.Observer = seen
		o.NewLimiter = fixedLimit(2)
		o.Clock = nil
	})
	for range 3 {
		att := f.attempt()
		att.Idempotent = true
		got, ref := f.forward(att)
		assert.Assert(t, ref == nil, "%v", ref)
		assert.Equal(t, got, "ok")
	}
	assert.Equal(t, f.Stats().ReuseFailed, int64(1))
	assert.DeepEqual(t, seen.kinds(), []gate.Kind{gate.KindOK, gate.KindOK, gate.KindOK})
}

// TestOrdersTakeNewConnections: a request that must not be repeated never goes
// out on a kept connection, so silence cannot leave its outcome unknown.
func TestOrdersTakeNewConnections(t *testing.T) {
	b := rawBackend(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if take(br) == nil {
			io.WriteString(c, okAnswer) //nolint:errcheck
		}
		take(br) //nolint:errcheck // silent from now on
	})
	f := start(t, b, "orders", nil)
	for range 3 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
	}
}

// TestGivenUpRequestKeepsItsSlot: a target that goes on working on a canceled
// request gets no other one beyond its limit until it has ended the first.
func TestGivenUpRequestKeepsItsSlot(t *testing.T) {
	arrived, finish := make(chan struct{}, 2), make(chan struct{})
	b := rawBackend(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if take(br) != nil {
			return
		}
		arrived <- struct{}{}
		<-finish
		io.WriteString(c, okAnswer) //nolint:errcheck
	})
	f := start(t, b, "orders", func(o *gate.Options) {
		o.Linger = time.Minute
		o.Clock = nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	att := f.attempt()
	att.Idempotent = true
	_, ref := read(t, f.Gate, ctx, att)
	refused(t, ref, wire.ReasonTimeout, wire.Unknown)
	assert.Equal(t, f.Stats().InFlight, int64(1))
	got := make(chan string, 1)
	go func() {
		s, _ := f.forward(f.attempt())
		got <- s
	}()
	for f.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	assert.Equal(t, <-got, "ok")
}

func TestRestartBeginsCold(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	for range 30 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
	}
	assert.Equal(t, f.Targets()[0].Limit, 4)
	f.said.Incarnation = 2
	assert.NilError(t, f.Announce(f.said))
	assert.Equal(t, f.Targets()[0].Limit, 1)
	f.said.Incarnation = 1
	assert.ErrorContains(t, f.Announce(f.said), "older")
	f.said.Incarnation, f.said.Slots = 2, 9
	assert.ErrorContains(t, f.Announce(f.said), "differ")
}

// TestLapseNeedsNewWait: a gate that heard nothing for longer than another one
// needs to begin must wait again itself.
func TestLapseNeedsNewWait(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", func(o *gate.Options) { o.Alone = nil })
	hear := func(after time.Duration) wire.Reason {
		f.clock.advance(after)
		assert.NilError(t, f.Announce(f.said))
		if _, ref := f.forward(f.attempt()); ref != nil {
			return ref.Reason
		}
		return ""
	}
	const second = time.Second
	assert.Equal(t, hear(second), wire.ReasonNoTarget)
	assert.Equal(t, hear(second), wire.ReasonNoTarget)
	assert.Equal(t, hear(second), wire.Reason(""))
	assert.Equal(t, hear(2400*time.Millisecond), wire.Reason(""))
	assert.Equal(t, hear(2600*time.Millisecond), wire.ReasonNoTarget)
	assert.Equal(t, hear(second), wire.ReasonNoTarget)
	assert.Equal(t, hear(2*second), wire.Reason(""))
}

func TestAnnounceUnknownService(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	f.said.Service = "menus"
	var p *announce.Problem
	assert.Assert(t, asProblem(f.Announce(f.said), &p))
	assert.Equal(t, p.Status, fasthttp.StatusConflict)
}
