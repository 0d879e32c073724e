package gate_test

import (
	"context"
	"io"
	"net"
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

// fakeTarget is a target that records the header fields of its requests.
type fakeTarget struct {
	addr   string
	handle fasthttp.RequestHandler

	mu   sync.Mutex
	seen []map[string]string
}

func startFakeTarget(t testing.TB, handle fasthttp.RequestHandler) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &fakeTarget{addr: ln.Addr().String(), handle: handle}
	srv := &fasthttp.Server{Handler: target.serve}
	go srv.Serve(ln) //nolint:errcheck
	t.Cleanup(func() { ln.Close() })
	return target
}

func (ft *fakeTarget) serve(rc *fasthttp.RequestCtx) {
	fields := map[string]string{}
	for k, v := range rc.Request.Header.All() {
		fields[string(k)] = string(v)
	}
	ft.mu.Lock()
	ft.seen = append(ft.seen, fields)
	ft.mu.Unlock()
	ft.handle(rc)
}

func (ft *fakeTarget) runs() int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return len(ft.seen)
}

func hello(rc *fasthttp.RequestCtx) { rc.SetBodyString("hello") }

// fakeClock is a manually advanced clock.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

var services = map[string]config.Service{
	"orders":  {Name: "orders", Queue: 4, ColdLimit: 1, IdleTimeout: config.Duration(time.Second)},
	"shedder": {Name: "shedder", Queue: 4, ColdLimit: 1, ShedNotRun: true},
}

func lookupService(name string) (config.Service, bool) {
	svc, ok := services[name]
	return svc, ok
}

type fixture struct {
	*gate.Gate
	t            testing.TB
	clock        *fakeClock
	target       *fakeTarget
	announcement announce.Announcement
}

// start returns a gate that serves a single target, h/a.
func start(t testing.TB, target *fakeTarget, service string, change func(*gate.Options)) *fixture {
	t.Helper()
	c := &fakeClock{now: time.Now()}
	opts := gate.Options{
		Host:        "h",
		Incarnation: 1,
		Service:     lookupService,
		Clock:       c.Now,
		SoleDaemon:  func() bool { return true },
	}
	if change != nil {
		change(&opts)
	}
	f := &fixture{Gate: gate.New(opts), t: t, clock: c, target: target}
	f.announcement = announce.Announcement{
		Name: "a", Service: service, Address: target.addr, Incarnation: 1, Slots: 4, State: announce.StateReady,
	}
	assert.NilError(t, f.Announce(f.announcement))
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) attempt() wire.Attempt {
	return wire.Attempt{
		ID: wire.NewID(), Epoch: f.Epoch(), Service: f.announcement.Service, Target: "h/a",
		Workspace: "w", KeyID: "k", Remaining: 10 * time.Second,
	}
}

func newRequest() *fasthttp.Request {
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
	return forwardAndRead(f.t, f.Gate, context.Background(), att)
}

func forwardAndRead(t testing.TB, fw wire.Forwarder, ctx context.Context, att wire.Attempt) (string, *wire.Refusal) {
	t.Helper()
	answer, err := fw.Forward(ctx, att, newRequest())
	if err != nil {
		return "", wire.AsRefusal(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return string(data), nil
}

func assertRefused(t testing.TB, ref *wire.Refusal, reason wire.Reason, run wire.RunState) {
	t.Helper()
	assert.Assert(t, ref != nil, "want refusal %s", reason)
	assert.Equal(t, ref.Reason, reason, ref.Error())
	assert.Equal(t, ref.Run, run)
}

type policyFunc func(wire.Attempt) *wire.Refusal

func (p policyFunc) Check(att wire.Attempt) *wire.Refusal { return p(att) }

type quarantineFunc func(uint64) bool

func (q quarantineFunc) Check(fp uint64) bool { return q(fp) }

type fixedLimiter int

func (f fixedLimiter) Limit() int                       { return int(f) }
func (fixedLimiter) OnSuccess(time.Time, time.Duration) {}
func (fixedLimiter) OnFailure(time.Time, time.Duration) {}
func (fixedLimiter) OnShed(time.Time, time.Duration)    {}

func newFixedLimiter(n int) func(config.Service, int, time.Time) gate.Limiter {
	return func(config.Service, int, time.Time) gate.Limiter { return fixedLimiter(n) }
}

func asProblem(err error, p **announce.Problem) bool { return errors.As(err, p) }
