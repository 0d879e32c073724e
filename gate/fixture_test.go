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

type policyFunc func(wire.Attempt) *wire.Refusal

func (p policyFunc) Check(att wire.Attempt) *wire.Refusal { return p(att) }

type quarantineFunc func(uint64) bool

func (q quarantineFunc) Check(fp uint64) bool { return q(fp) }

type fixed int

func (f fixed) Limit() int                       { return int(f) }
func (fixed) OnSuccess(time.Time, time.Duration) {}
func (fixed) OnFailure(time.Time, time.Duration) {}
func (fixed) OnShed(time.Time, time.Duration)    {}

func fixedLimit(n int) func(config.Service, int, time.Time) gate.Limiter {
	return func(config.Service, int, time.Time) gate.Limiter { return fixed(n) }
}

func asProblem(err error, p **announce.Problem) bool { return errors.As(err, p) }
