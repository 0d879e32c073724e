package ingress_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/claim"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/ingress"
	"github.com/gooseberryshed/gooseberryshed/limiter"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/report"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

const (
	secret  = "the key of w"
	other   = "the key of v"
	maxBody = 1000
)

// fakeGates implements ingress.Gates. script returns the outcome of attempt n,
// counted from 1.
type fakeGates struct {
	mu           sync.Mutex
	script       func(n int, req *fasthttp.Request) (*wire.Response, error)
	settleResult func() (wire.RunState, error)
	attempts     []wire.Attempt
	headers      []fasthttp.RequestHeader
	settles      []wire.ID
}

func (g *fakeGates) Forward(_ context.Context, _ string, att wire.Attempt, req *fasthttp.Request) (*wire.Response, error) {
	g.mu.Lock()
	g.attempts = append(g.attempts, att)
	g.headers = append(g.headers, fasthttp.RequestHeader{})
	req.Header.CopyTo(&g.headers[len(g.headers)-1])
	n := len(g.attempts)
	g.mu.Unlock()
	return g.script(n, req)
}

func (g *fakeGates) Settle(_ context.Context, _ string, id wire.ID, _ wire.Epoch) (wire.RunState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settles = append(g.settles, id)
	return g.settleResult()
}

func (g *fakeGates) Epoch(context.Context, string) (wire.Epoch, error) {
	return wire.Epoch{Incarnation: 1, Generation: 1}, nil
}

type fakeLimiter struct {
	decision limiter.Decision
	err      error
}

func (l fakeLimiter) Take(context.Context, string) (limiter.Decision, error) {
	return l.decision, l.err
}

type fakeQuarantine bool

func (q fakeQuarantine) Quarantined(time.Time, uint64) bool { return bool(q) }

func (fakeQuarantine) Suspected(time.Time, uint64) bool { return false }

// testIngress is an ingress on a TCP listener with fake dependencies.
type testIngress struct {
	addr  string
	gates *fakeGates
	in    *ingress.Ingress
	table *standin.Platform
	store *claim.Store
}

// claims returns the claim store, which can be shared with another ingress.
func (d *testIngress) claims() ingress.Claims { return d.store }

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func snapshot(t *testing.T) *control.Snapshot {
	t.Helper()
	cfg, err := config.Build(7, []config.Section{{
		Name: "shop", Team: "shop",
		DataCentres: []config.DataCentre{{Name: "dc", Region: "r"}},
		Workspaces: []config.Workspace{
			{Name: "w", Rate: 100, Burst: 100, Keys: []config.Key{{ID: "k", SHA256: digest(secret)}}},
			{Name: "v", Rate: 100, Burst: 100, Keys: []config.Key{{ID: "l", SHA256: digest(other)}}},
		},
		Services: []config.Service{{Name: "s", MaxBody: maxBody, Timeout: config.Duration(5 * time.Second)}},
		Routes: []config.Route{
			{Path: "/o", Service: "s"}, {Path: "/only-w", Service: "s", Workspaces: []string{"w"}},
			{Path: "/open", Service: "s", Access: config.AccessOpen},
		},
	}})
	assert.NilError(t, err)
	target := func(id string) member.Target {
		return member.Target{ID: id, Service: "s", Incarnation: 1, State: member.TargetReady, Slots: 7, Limit: 7}
	}
	daemons := []member.Daemon{
		{Host: "h1", DataCentre: "dc", State: member.StateServing, Targets: []member.Target{target("h1/a"), target("h1/b")}},
		{Host: "h2", DataCentre: "dc", State: member.StateServing, Targets: []member.Target{target("h2/a"), target("h2/b")}},
	}
	view := balance.NewView(balance.Input{
		Host: "h1", DataCentre: "dc", Daemons: daemons, Loads: &balance.LoadTracker{},
		DataCentres: []balance.DataCentre{{Name: "dc", Region: "r"}},
	})
	return &control.Snapshot{Self: daemons[0], Config: cfg, View: view, Daemons: daemons, Joined: true, UpToDate: true}
}

func startIngress(t *testing.T, script func(n int, req *fasthttp.Request) (*wire.Response, error), change ...func(*ingress.Options)) *testIngress {
	t.Helper()
	d := &testIngress{gates: &fakeGates{script: script}, table: standin.New()}
	d.gates.settleResult = func() (wire.RunState, error) { return wire.Unknown, errors.New("not expected") }
	store := claim.New(d.table, claim.Options{})
	d.store = store
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx) }()
	snap := snapshot(t)
	o := ingress.Options{
		ObserveLatency: func(string, string, time.Duration) {},
		Host:           "h1", Snapshot: func() *control.Snapshot { return snap }, Gates: d.gates,
		Limiter: fakeLimiter{decision: limiter.Decision{Allowed: true}}, Claims: store, Quarantine: fakeQuarantine(false),
		Loads: &balance.LoadTracker{}, Backoff: &balance.HostBackoff{}, Recorder: report.NewRecorder(time.Second),
		ReportRevision: func(string, uint64) {}, MaxConns: 100,
	}
	for _, f := range change {
		f(&o)
	}
	d.in = ingress.New(o)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.addr = ln.Addr().String()
	go d.in.Serve(ln) //nolint:errcheck // ends with the listener
	t.Cleanup(func() {
		ln.Close()
		cancel()
		<-ended
	})
	return d
}

func newResponse(body io.Reader, length int) *wire.Response {
	h := &fasthttp.ResponseHeader{}
	h.SetStatusCode(201)
	h.Set("X-Target", "1")
	return &wire.Response{Header: h, Length: length, Body: io.NopCloser(body)}
}

func textResponse(s string) *wire.Response { return newResponse(strings.NewReader(s), len(s)) }

func respondOK(int, *fasthttp.Request) (*wire.Response, error) { return textResponse("done"), nil }

// do sends a request with header fields given as name, value pairs.
func (d *testIngress) do(t *testing.T, method, path, body string, fields ...string) *fasthttp.Response {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + d.addr + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Add(fields[i], fields[i+1])
	}
	// The path must be sent without normalization.
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, DisablePathNormalizing: true}
	defer client.CloseIdleConnections()
	assert.NilError(t, client.DoTimeout(req, resp, 20*time.Second))
	return resp
}

// assertProblem checks the status, problem document and run state of a refusal.
func assertProblem(t *testing.T, resp *fasthttp.Response, reason wire.Reason, run wire.RunState) {
	t.Helper()
	assert.Equal(t, resp.StatusCode(), reason.Status(), "%s", resp.Body())
	assert.Equal(t, string(resp.Header.ContentType()), problem.ContentType)
	assert.Equal(t, string(resp.Header.Peek(problem.RunStateHeader)), string(run), "%s", resp.Body())
	var doc problem.Document
	assert.NilError(t, json.Unmarshal(resp.Body(), &doc))
	assert.Equal(t, doc.Reason, reason)
	assert.Equal(t, doc.Run, run)
	assert.Equal(t, doc.Status, reason.Status())
	assert.Equal(t, doc.Remedy, reason.Remedy())
	assert.Assert(t, doc.Type != "" && doc.Title != "" && doc.Detail != "")
}

var keyHeader = []string{"X-Api-Key", secret}

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	limited := func(o *ingress.Options) {
		o.Limiter = fakeLimiter{decision: limiter.Decision{RetryAfter: 1500 * time.Millisecond}}
	}
	limiterOut := func(o *ingress.Options) { o.Limiter = fakeLimiter{err: errors.New("broken")} }
	quarantine := func(o *ingress.Options) { o.Quarantine = fakeQuarantine(true) }
	altered := func(f func(*control.Snapshot)) func(*ingress.Options) {
		return func(o *ingress.Options) { f(o.Snapshot()) }
	}
	noConfig := altered(func(s *control.Snapshot) { s.Config = nil })
	outOfTouch := altered(func(s *control.Snapshot) { s.UpToDate = false })
	noView := altered(func(s *control.Snapshot) { s.View = nil })
	asIs := func(*ingress.Options) {}
	for _, tc := range []struct {
		name, path, body string
		fields           []string
		change           func(*ingress.Options)
		want             wire.Reason
	}{
		{"no route", "/other", "", keyHeader, asIs, wire.ReasonNoRoute},
		{"segment, not prefix", "/others", "", keyHeader, asIs, wire.ReasonNoRoute},
		{"path that climbs", "/open/%2e%2e/../../x", "", keyHeader, asIs, wire.ReasonBadRequest},
		{"hidden slash", "/open/a%2fb", "", keyHeader, asIs, wire.ReasonBadRequest},
		{"no key", "/o", "", nil, asIs, wire.ReasonNoKey},
		{"another scheme", "/o", "", []string{"Authorization", "Basic " + secret}, asIs, wire.ReasonNoKey},
		{"bad key", "/o", "", []string{"X-Api-Key", "guess"}, asIs, wire.ReasonBadKey},
		{"digest as key", "/o", "", []string{"X-Api-Key", digest(secret)}, asIs, wire.ReasonBadKey},
		{"two keys", "/o", "", []string{"X-Api-Key", secret, "Authorization", "Bearer " + other}, asIs, wire.ReasonBadRequest},
		{"two keys in one form", "/o", "", []string{"X-Api-Key", secret, "X-Api-Key", other}, asIs, wire.ReasonBadRequest},
		{"not admitted", "/only-w", "", []string{"X-Api-Key", other}, asIs, wire.ReasonForbidden},
		{"large body", "/o", strings.Repeat("x", maxBody+1), keyHeader, asIs, wire.ReasonTooLarge},
		{"rate", "/o", "", keyHeader, limited, wire.ReasonRateExceeded},
		{"limiter out", "/o", "", keyHeader, limiterOut, wire.ReasonLimiterUnavailable},
		{"quarantined", "/o", "", keyHeader, quarantine, wire.ReasonQuarantined},
		{"no configuration", "/o", "", keyHeader, noConfig, wire.ReasonStaleHost},
		{"out of touch", "/o", "", keyHeader, outOfTouch, wire.ReasonStaleHost},
		{"no view", "/o", "", keyHeader, noView, wire.ReasonNoTarget},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := startIngress(t, respondOK, tc.change)
			resp := d.do(t, "POST", tc.path, tc.body, tc.fields...)
			assertProblem(t, resp, tc.want, wire.NotRun)
			assert.Equal(t, len(d.gates.attempts), 0)
			assert.Equal(t, d.in.Stats().Counts().InFlight, int64(0))
			if tc.want == wire.ReasonRateExceeded {
				assert.Equal(t, string(resp.Header.Peek("Retry-After")), "2")
			}
			if tc.want.Status() == 401 {
				assert.Equal(t, string(resp.Header.Peek("WWW-Authenticate")), "Bearer")
			}
		})
	}
}

func TestCredentialsAndInternalHeadersAreStripped(t *testing.T) {
	for _, fields := range [][]string{
		{"X-Api-Key", secret}, {"Authorization", "Bearer " + secret}, {"authorization", "bEARER " + secret},
		{"X-Api-Key", secret, "Authorization", "Bearer " + secret},
	} {
		d := startIngress(t, respondOK)
		fields = append(fields, "Gooseberryshed-Workspace", "v", "gooseberryshed-attempt", "00", "GOOSEBERRYSHED-X", "1",
			"X-Request-Id", "r1", "Connection", "X-Hop", "X-Hop", "1")
		resp := d.do(t, "POST", "/o/a%20b/%c3%a9?q=a+b", "body", fields...)
		assert.Equal(t, resp.StatusCode(), 201, "%s", resp.Body())
		assert.Equal(t, string(resp.Body()), "done")
		assert.Equal(t, string(resp.Header.Peek("X-Target")), "1")
		att, h := d.gates.attempts[0], &d.gates.headers[0]
		assert.Equal(t, att.Workspace, "w")
		assert.Equal(t, att.KeyID, digest(secret))
		assert.Equal(t, string(h.RequestURI()), "/o/a%20b/%c3%a9?q=a+b")
		assert.Equal(t, string(h.Peek("X-Request-Id")), "r1")
		for name, value := range h.All() {
			lower := strings.ToLower(string(name))
			assert.Assert(t, !strings.HasPrefix(lower, "gooseberryshed-") && lower != "x-hop", "%s", name)
			assert.Assert(t, !strings.Contains(string(value), secret), "%s", name)
		}
	}
}
