package gate_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// backend is a target that counts and records what it gets.
type backend struct {
	addr   string
	handle fasthttp.RequestHandler

	mu   sync.Mutex
	seen []map[string]string
}

func startBackend(t testing.TB, handle fasthttp.RequestHandler) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{addr: ln.Addr().String(), handle: handle}
	srv := &fasthttp.Server{Handler: b.serve}
	go srv.Serve(ln) //nolint:errcheck
	t.Cleanup(func() { ln.Close() })
	return b
}

func (b *backend) serve(rc *fasthttp.RequestCtx) {
	fields := map[string]string{}
	for k, v := range rc.Request.Header.All() {
		fields[string(k)] = string(v)
	}
	b.mu.Lock()
	b.seen = append(b.seen, fields)
	b.mu.Unlock()
	b.handle(rc)
}

func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func hello(rc *fasthttp.RequestCtx) { rc.SetBodyString("hello") }

// clock is a settable time for the rules that depend on passing time.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

var services = map[string]config.Service{
	"orders":  {Name: "orders", Queue: 4, ColdLimit: 1, IdleTimeout: config.Duration(time.Second)},
	"shedder": {Name: "shedder", Queue: 4, ColdLimit: 1, ShedNotRun: true},
}

func lookUp(name string) (config.Service, bool) {
	svc, ok := services[name]
	return svc, ok
}

type fixture struct {
	*gate.Gate
	t       testing.TB
	clock   *clock
	backend *backend
	said    announce.Announcement
}

// start returns a gate that feeds one target, h/a.
func start(t testing.TB, b *backend, service string, change func(*gate.Options)) *fixture {
	t.Helper()
	c := &clock{now: time.Now()}
	opts := gate.Options{
		Host:        "h",
		Incarnation: 1,
		Service:     lookUp,
		Clock:       c.Now,
		Alone:       func() bool { return true },
	}
	if change != nil {
		change(&opts)
	}
	f := &fixture{Gate: gate.New(opts), t: t, clock: c, backend: b}
	f.said = announce.Announcement{
		Name: "a", Service: service, Address: b.addr, Incarnation: 1, Slots: 4, State: announce.StateReady,
	}
	assert.NilError(t, f.Announce(f.said))
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) attempt() wire.Attempt {
	return wire.Attempt{
		ID: wire.NewID(), Epoch: f.Epoch(), Service: f.said.Service, Target: "h/a",
		Workspace: "w", KeyID: "k", Remaining: 10 * time.Second,
	}
}

func order() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/orders?x=1")
	req.Header.SetHost("shop")
	req.Header.Set("X-Request-Id", "r1")
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("X-Api-Key", "secret")
	req.Header.Set("Gooseberryshed-Workspace", "forged")
	req.Header.Set("Gooseberryshed-Admin", "forged")
	req.Header.Set("Connection", "X-Hop, keep-alive")
	req.Header.Set("X-Hop", "1")
	req.SetBodyString("one headboard")
	return req
}

func (f *fixture) forward(att wire.Attempt) (string, *wire.Refusal) {
	f.t.Helper()
	return read(f.t, f.Gate, context.Background(), att)
}

func read(t testing.TB, fw wire.Forwarder, ctx context.Context, att wire.Attempt) (string, *wire.Refusal) {
	t.Helper()
	answer, err := fw.Forward(ctx, att, order())
	if err != nil {
		return "", wire.AsRefusal(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return string(data), nil
}

func refused(t testing.TB, ref *wire.Refusal, reason wire.Reason, run wire.RunState) {
	t.Helper()
	assert.Assert(t, ref != nil, "want refusal %s", reason)
	assert.Equal(t, ref.Reason, reason, ref.Error())
	assert.Equal(t, ref.Run, run)
}

func TestForwardCleansHeaders(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	att := f.attempt()
	got, ref := f.forward(att)
	assert.Assert(t, ref == nil, "%v", ref)
	assert.Equal(t, got, "hello")
	fields := f.backend.seen[0]
	assert.Equal(t, fields["Gooseberryshed-Workspace"], "w")
	assert.Equal(t, fields["Gooseberryshed-Attempt"], att.ID.String())
	assert.Equal(t, fields["Gooseberryshed-Deadline-Ms"], "10000")
	assert.Equal(t, fields["X-Request-Id"], "r1")
	for name, value := range fields {
		assert.Assert(t, !strings.Contains(value, "secret") && value != "forged", "%s: %s", name, value)
	}
	_, hop := fields["X-Hop"]
	assert.Assert(t, !hop)
}

func TestAtMostOnce(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	att := f.attempt()
	for range 2 {
		got, ref := f.forward(att)
		assert.Assert(t, ref == nil, "%v", ref)
		assert.Equal(t, got, "hello")
	}
	assert.Equal(t, f.backend.runs(), 1)
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.Ran)
	f.Tick(f.clock.advance(gate.DefaultKeepFor + time.Millisecond))
	assert.NilError(t, f.Announce(f.said))
	_, ref := f.forward(att)
	refused(t, ref, wire.ReasonDuplicateOrder, wire.Unknown)

	repeatable := f.attempt()
	repeatable.Idempotent = true
	_, ref = f.forward(repeatable)
	assert.Assert(t, ref == nil, "%v", ref)
	_, ref = f.forward(repeatable)
	refused(t, ref, wire.ReasonDuplicateOrder, wire.Unknown)

	late := f.attempt()
	state, err = f.Settle(context.Background(), late.ID, late.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
	for range 2 {
		_, ref = f.forward(late)
		refused(t, ref, wire.ReasonSettled, wire.NotRun)
	}
	assert.Equal(t, f.backend.runs(), 2)
}

// TestCopyGetsAnswerOfLostOne gives an attempt up while it runs; a copy of it
// joins and gets the answer of the one run.
func TestCopyGetsAnswerOfLostOne(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	f := start(t, startBackend(t, func(rc *fasthttp.RequestCtx) {
		close(arrived)
		<-release
		hello(rc)
	}), "orders", nil)
	att := f.attempt()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, ref := read(t, f.Gate, ctx, att)
	refused(t, ref, wire.ReasonTimeout, wire.Unknown)
	got := make(chan string, 1)
	go func() {
		s, _ := f.forward(att)
		got <- s
	}()
	close(release)
	assert.Equal(t, <-got, "hello")
	assert.Equal(t, f.backend.runs(), 1)
	assert.Equal(t, f.Stats().Replayed, int64(1))
}

// TestLargeAnswersAreNotKept streams what is too large to keep; a copy of the
// attempt is told that it has run.
func TestLargeAnswersAreNotKept(t *testing.T) {
	large := strings.Repeat("x", 100_000)
	f := start(t, startBackend(t, func(rc *fasthttp.RequestCtx) {
		rc.SetBodyStream(strings.NewReader(large), -1)
	}), "orders", nil)
	att := f.attempt()
	got, ref := f.forward(att)
	assert.Assert(t, ref == nil, "%v", ref)
	assert.Assert(t, got == large)
	_, ref = f.forward(att)
	refused(t, ref, wire.ReasonDuplicateOrder, wire.Unknown)
	assert.Equal(t, f.backend.runs(), 1)
}

func TestKeptAnswersAreBounded(t *testing.T) {
	const most = 20_000
	f := start(t, startBackend(t, func(rc *fasthttp.RequestCtx) { rc.SetBodyString(strings.Repeat("x", 5000)) }),
		"orders", func(o *gate.Options) { o.KeepBytes = most })
	for range 10 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
		assert.Assert(t, f.Stats().KeptBytes <= most)
	}
}

func TestStaleEpochTellsCurrent(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	att := f.attempt()
	att.Epoch = wire.Epoch{}
	_, ref := f.forward(att)
	refused(t, ref, wire.ReasonStaleEpoch, wire.NotRun)
	assert.Equal(t, ref.Epoch, f.Epoch())
	assert.Equal(t, f.backend.runs(), 0)
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", func(o *gate.Options) {
		o.Policy = policyFunc(func(att wire.Attempt) *wire.Refusal {
			if att.KeyID == "withdrawn" {
				return wire.Refuse(wire.ReasonBadKey, "withdrawn")
			}
			return nil
		})
		o.Quarantine = quarantineFunc(func(fp uint64) bool { return fp == 13 })
	})
	tests := []struct {
		name   string
		change func(*wire.Attempt)
		reason wire.Reason
	}{
		{"withdrawn key", func(a *wire.Attempt) { a.KeyID = "withdrawn" }, wire.ReasonBadKey},
		{"quarantined", func(a *wire.Attempt) { a.Fingerprint = 13 }, wire.ReasonQuarantined},
		{"other host", func(a *wire.Attempt) { a.Target = "g/a" }, wire.ReasonNoTarget},
		{"no such target", func(a *wire.Attempt) { a.Target = "h/b" }, wire.ReasonNoTarget},
		{"other service", func(a *wire.Attempt) { a.Service = "menus" }, wire.ReasonNoTarget},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			att := f.attempt()
			tc.change(&att)
			_, ref := f.forward(att)
			refused(t, ref, tc.reason, wire.NotRun)
		})
	}
	assert.Equal(t, f.backend.runs(), 0)
}

type policyFunc func(wire.Attempt) *wire.Refusal

func (p policyFunc) Check(att wire.Attempt) *wire.Refusal { return p(att) }

type quarantineFunc func(uint64) bool

func (q quarantineFunc) Check(fp uint64) bool { return q(fp) }

func TestTargetsOwnShedding(t *testing.T) {
	shed := func(rc *fasthttp.RequestCtx) {
		rc.Response.Header.Set("Retry-After", "2")
		rc.SetStatusCode(503)
	}
	f := start(t, startBackend(t, shed), "shedder", nil)
	_, ref := f.forward(f.attempt())
	refused(t, ref, wire.ReasonBusy, wire.NotRun)
	assert.Equal(t, ref.RetryAfter, 2*time.Second)
	f = start(t, startBackend(t, shed), "orders", nil)
	_, ref = f.forward(f.attempt())
	assert.Assert(t, ref == nil, "a 503 is the target's answer unless its service says otherwise")
}

func TestDepartureIsAtOnce(t *testing.T) {
	f := start(t, startBackend(t, hello), "orders", nil)
	f.said.State = announce.StateLeaving
	assert.NilError(t, f.Announce(f.said))
	_, ref := f.forward(f.attempt())
	refused(t, ref, wire.ReasonLeaving, wire.NotRun)

	f = start(t, startBackend(t, hello), "orders", nil)
	f.clock.advance(gate.DefaultPermission + time.Millisecond)
	_, ref = f.forward(f.attempt())
	refused(t, ref, wire.ReasonNoTarget, wire.NotRun)
	assert.Equal(t, f.backend.runs(), 0)
}

// TestOneGateFeedsTarget moves a target's announcements from one gate to the
// next and looks at every instant which of them would feed it.
func TestOneGateFeedsTarget(t *testing.T) {
	b := startBackend(t, hello)
	notAlone := func(o *gate.Options) { o.Alone = nil }
	old := start(t, b, "orders", notAlone)
	next := gate.New(gate.Options{Host: "h", Incarnation: 2, Service: lookUp, Clock: old.clock.Now})
	t.Cleanup(next.Close)
	feeds := func(g *gate.Gate) bool { return g.Targets()[0].State == "ready" }
	const step = 100 * time.Millisecond
	const announceEvery = 10 // steps
	var oldFed, nextFed bool
	for i := range 80 {
		now := old.clock.advance(step)
		receiver := old.Gate
		if i > 35 {
			receiver = next
		}
		if i%announceEvery == 0 {
			assert.NilError(t, receiver.Announce(old.said))
		}
		old.Tick(now)
		next.Tick(now)
		byOld := feeds(old.Gate)
		byNext := len(next.Targets()) > 0 && feeds(next)
		assert.Assert(t, !(byOld && byNext), "both feed the target at step %d", i)
		oldFed = oldFed || byOld
		nextFed = nextFed || byNext
	}
	assert.Assert(t, oldFed && nextFed)
}

func TestDrainCutsNothing(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	f := start(t, startBackend(t, func(rc *fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-release
		hello(rc)
	}), "orders", nil)
	got := make(chan string, 1)
	go func() {
		s, _ := f.forward(f.attempt())
		got <- s
	}()
	<-arrived
	short, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, f.Drain(short) != nil)
	_, ref := f.forward(f.attempt())
	refused(t, ref, wire.ReasonLeaving, wire.NotRun)
	close(release)
	assert.NilError(t, f.Drain(context.Background()))
	assert.Equal(t, <-got, "hello")
}

func fixedLimit(n int) func(config.Service, int, time.Time) gate.Limiter {
	return func(config.Service, int, time.Time) gate.Limiter { return fixed(n) }
}

func asProblem(err error, p **announce.Problem) bool { return errors.As(err, p) }
