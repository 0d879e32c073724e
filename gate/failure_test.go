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

// outcomeRecorder is an Observer that records outcomes.
type outcomeRecorder struct {
	mu  sync.Mutex
	all []gate.Outcome
}

func (o *outcomeRecorder) OnOutcome(out gate.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, out)
}

func (o *outcomeRecorder) kinds() []gate.Kind {
	o.mu.Lock()
	defer o.mu.Unlock()
	kinds := make([]gate.Kind, 0, len(o.all))
	for _, out := range o.all {
		kinds = append(kinds, out.Kind)
	}
	return kinds
}

// startRawTarget starts a target that serves each connection, numbered from 1,
// with a script below the HTTP layer.
func startRawTarget(t testing.TB, script func(n int, c net.Conn, br *bufio.Reader)) *fakeTarget {
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
	return &fakeTarget{addr: ln.Addr().String()}
}

func readRequest(br *bufio.Reader) error {
	var req fasthttp.Request
	return req.Read(br)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestBrokenExchanges(t *testing.T) {
	tests := []struct {
		name   string
		script func(int, net.Conn, *bufio.Reader)
		reason wire.Reason
		kind   gate.Kind
	}{
		{"closed without response", func(_ int, c net.Conn, br *bufio.Reader) { readRequest(br); c.Close() }, wire.ReasonTargetFailed, gate.KindBroken},
		{"malformed response", func(_ int, c net.Conn, br *bufio.Reader) {
			readRequest(br)
			io.WriteString(c, "ola\r\n\r\n")
			c.Close()
		}, wire.ReasonTargetFailed, gate.KindBroken},
		{"neither length nor chunks", func(_ int, c net.Conn, br *bufio.Reader) {
			readRequest(br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nx")
			c.Close()
		}, wire.ReasonTargetFailed, gate.KindBroken},
		{"silent", func(_ int, c net.Conn, br *bufio.Reader) { readRequest(br); readRequest(br) }, wire.ReasonTimeout, gate.KindTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			seen := &outcomeRecorder{}
			f := start(t, startRawTarget(t, tc.script), "orders", func(o *gate.Options) {
				o.Observer = seen
				o.Clock = nil
			})
			att := f.attempt()
			att.Remaining = 300 * time.Millisecond
			_, ref := f.forward(att)
			assertRefused(t, ref, tc.reason, wire.Unknown)
			assert.DeepEqual(t, seen.kinds(), []gate.Kind{tc.kind})
			state, err := f.Settle(context.Background(), att.ID, att.Epoch)
			assert.NilError(t, err)
			assert.Equal(t, state, wire.Ran)
		})
	}
}

func TestUnreachableTargetDidNotRun(t *testing.T) {
	target := startFakeTarget(t, hello)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target.addr = ln.Addr().String()
	ln.Close()
	f := start(t, target, "orders", nil)
	att := f.attempt()
	_, ref := f.forward(att)
	assertRefused(t, ref, wire.ReasonUnreachable, wire.NotRun)
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
}

// TestDeathReportsInFlightRequests crashes a target with two requests in
// flight. The death must be reported with the fingerprints of both, in one or
// two outcomes.
func TestDeathReportsInFlightRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	seen := &outcomeRecorder{}
	f := start(t, &fakeTarget{addr: ln.Addr().String()}, "orders", func(o *gate.Options) {
		o.Observer = seen
		o.NewLimiter = newFixedLimiter(2)
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
		assert.NilError(t, readRequest(bufio.NewReader(c)))
		conns = append(conns, c)
	}
	ln.Close()
	for _, c := range conns {
		c.Close()
	}
	for range conns {
		assertRefused(t, <-refusals, wire.ReasonTargetDied, wire.Unknown)
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

// TestDeathOnAReusedConnectionIsReported crashes a target as soon as a request
// arrives on a connection that was used before. The request is sent again, which
// finds the target gone; it must be reported as in flight at the death (review/6,
// at the other daemon).
func TestDeathOnAReusedConnectionIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	seen := &outcomeRecorder{}
	f := start(t, &fakeTarget{addr: ln.Addr().String()}, "orders", func(o *gate.Options) { o.Observer = seen })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		readRequest(br)               //nolint:errcheck // the gate sees the failure
		io.WriteString(c, okResponse) //nolint:errcheck
		readRequest(br)               //nolint:errcheck
		ln.Close()
		c.Close()
	}()
	first, second := f.attempt(), f.attempt()
	first.Idempotent, second.Idempotent = true, true
	second.Fingerprint = 7
	_, ref := f.forward(first)
	assert.Assert(t, ref == nil, "%v", ref)
	_, ref = f.forward(second)
	assertRefused(t, ref, wire.ReasonTargetDied, wire.Unknown)
	var dead []uint64
	for _, out := range seen.all {
		if out.Kind == gate.KindDied {
			dead = append(dead, out.InFlight...)
		}
	}
	assert.DeepEqual(t, dead, []uint64{7})
}

// TestDeathDetectedWhenListenerClosesLast closes a target's connection 10 ms
// before its listener, as the exit of a process on a busy machine may. If such
// deaths are missed, quarantine comes too late: one request killed four targets
// because two deaths had not been detected.
func TestDeathDetectedWhenListenerClosesLast(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := start(t, &fakeTarget{addr: ln.Addr().String()}, "orders", nil)
	refusals := make(chan *wire.Refusal, 1)
	go func() {
		_, ref := f.forward(f.attempt())
		refusals <- ref
	}()
	c, err := ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, readRequest(bufio.NewReader(c)))
	c.Close()
	time.Sleep(10 * time.Millisecond)
	ln.Close()
	assertRefused(t, <-refusals, wire.ReasonTargetDied, wire.Unknown)
}

// TestSilentReusedConnectionIsReplaced makes a reused connection stop
// responding. An idempotent request must be repeated on a new connection,
// without counting a failure against the target.
func TestSilentReusedConnectionIsReplaced(t *testing.T) {
	seen := &outcomeRecorder{}
	target := startRawTarget(t, func(n int, c net.Conn, br *bufio.Reader) {
		for readRequest(br) == nil {
			io.WriteString(c, okResponse) //nolint:errcheck
			if n == 1 {
				readRequest(br) //nolint:errcheck // silent from now on
				readRequest(br) //nolint:errcheck
			}
		}
	})
	f := start(t, target, "orders", func(o *gate.Options) {
		o.Observer = seen
		o.NewLimiter = newFixedLimiter(2)
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

// TestNonIdempotentRequestsUseNewConnections checks that non-idempotent
// requests are never sent on a reused connection, where silence would leave
// their outcome unknown.
func TestNonIdempotentRequestsUseNewConnections(t *testing.T) {
	target := startRawTarget(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if readRequest(br) == nil {
			io.WriteString(c, okResponse) //nolint:errcheck
		}
		readRequest(br) //nolint:errcheck // silent from now on
	})
	f := start(t, target, "orders", nil)
	for range 3 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
	}
}

// TestCanceledRequestKeepsItsSlot checks that a target that continues to
// process a canceled request receives no request beyond its limit until it has
// ended the canceled one.
func TestCanceledRequestKeepsItsSlot(t *testing.T) {
	arrived, finish := make(chan struct{}, 2), make(chan struct{})
	target := startRawTarget(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if readRequest(br) != nil {
			return
		}
		arrived <- struct{}{}
		<-finish
		io.WriteString(c, okResponse) //nolint:errcheck
	})
	f := start(t, target, "orders", func(o *gate.Options) {
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
	_, ref := forwardAndRead(t, f.Gate, ctx, att)
	assertRefused(t, ref, wire.ReasonTimeout, wire.Unknown)
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

func TestRestartedTargetStartsCold(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	for range 30 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
	}
	assert.Equal(t, f.Targets()[0].Limit, 4)
	f.announcement.Incarnation = 2
	assert.NilError(t, f.Announce(f.announcement))
	assert.Equal(t, f.Targets()[0].Limit, 1)
	f.announcement.Incarnation = 1
	assert.ErrorContains(t, f.Announce(f.announcement), "older")
	f.announcement.Incarnation, f.announcement.Slots = 2, 9
	assert.ErrorContains(t, f.Announce(f.announcement), "differ")
}

// TestTakeoverDelayRestartsAfterLapse checks that a gate that received no
// announcement for longer than TakeoverDelay waits for TakeoverDelay again,
// because another gate may have started serving the target in between.
func TestTakeoverDelayRestartsAfterLapse(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", func(o *gate.Options) { o.SoleDaemon = nil })
	announceAfter := func(after time.Duration) wire.Reason {
		f.clock.advance(after)
		assert.NilError(t, f.Announce(f.announcement))
		if _, ref := f.forward(f.attempt()); ref != nil {
			return ref.Reason
		}
		return ""
	}
	const second = time.Second
	assert.Equal(t, announceAfter(second), wire.ReasonNoTarget)
	assert.Equal(t, announceAfter(second), wire.ReasonNoTarget)
	assert.Equal(t, announceAfter(second), wire.Reason(""))
	assert.Equal(t, announceAfter(2400*time.Millisecond), wire.Reason(""))
	assert.Equal(t, announceAfter(2600*time.Millisecond), wire.ReasonNoTarget)
	assert.Equal(t, announceAfter(second), wire.ReasonNoTarget)
	assert.Equal(t, announceAfter(2*second), wire.Reason(""))
}

func TestAnnounceUnknownService(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	f.announcement.Service = "menus"
	var p *announce.Problem
	assert.Assert(t, asProblem(f.Announce(f.announcement), &p))
	assert.Equal(t, p.Status, fasthttp.StatusConflict)
}

func TestEarlierShedResponseWrittenOnceMoreDoesNotSayNotRun(t *testing.T) {
	const shed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name      string
		responses []string
		// run is the state of the second attempt.
		run wire.RunState
	}{
		{"after another response", []string{okResponse, shed}, wire.Unknown},
		{"after the shed response itself", []string{shed, shed}, wire.NotRun}, // on a connection of its own
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			target := startRawTarget(t, func(n int, c net.Conn, br *bufio.Reader) {
				for _, response := range tc.responses {
					if readRequest(br) != nil {
						return
					}
					io.WriteString(c, response)
				}
			})
			f := start(t, target, "shedder", nil)
			send := func() *wire.Refusal {
				att := f.attempt()
				att.Idempotent = true
				_, ref := f.forward(att)
				return ref
			}
			send()
			ref := send()
			assert.Assert(t, ref != nil)
			assert.Equal(t, ref.Run, tc.run)
		})
	}
}
