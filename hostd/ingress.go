package hostd

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/fairqueue"
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// gateForwarder reaches the gates of all hosts.
type gateForwarder interface {
	// Forward sends an attempt to a target through its host's gate.
	Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply
	// OfferAgain is Forward on a new connection for an attempt whose connection was
	// lost. A gate that has the attempt replies with its result.
	OfferAgain(ctx context.Context, t Target, f Forward, req *fasthttp.Request, ev offerEvents) Reply
	// DistrustIdle closes the connections to gates that have been idle since t.
	DistrustIdle(t time.Time)
	// Withdraw reports whether an attempt was sent to the target of a host, or
	// may have been. If it returns false, the attempt will never be sent.
	// incarnation is that of the gate's process when the attempt was offered.
	Withdraw(ctx context.Context, host, attempt string, incarnation int64) (sent bool, err error)
	// Answers reports whether the host of a target answers a query.
	Answers(ctx context.Context, t Target) bool
}

// rateLimiter enforces limits that apply to the whole fleet.
type rateLimiter interface {
	// Allow reports whether a workspace may send one more request. It waits no longer
	// than patience for an owner of the limit that cannot tell yet, and then fails.
	Allow(ctx context.Context, w *routes.Workspace, patience time.Duration) (ok bool, retryAfter time.Duration, err error)
	// AllowRetry reports whether a request to a service may be retried from the
	// fleet's reserve, beyond the retries earned by the service's requests.
	AllowRetry(ctx context.Context, service string, v retry.Value) bool
}

// Ingress handles the requests of this host's callers.
type Ingress struct {
	settings func() *karpithaz.Settings
	control  *Control
	gates    gateForwarder
	limiter  rateLimiter
	log      *decisions.Log
	metrics  *metrics.Registry
	states   *gateStates
	usual    *usualDurations
	balances *balances
	// rollouts is what is known of the roll-outs of the services.
	rollouts directives

	// quarantined reports whether a request is refused because it crashes
	// targets.
	quarantined func(ctx context.Context, fingerprint uint64) bool
	// onCallFailed is called when a call made by this host's target fails.
	onCallFailed func()
	// servedRank returns the highest rank among the requests that this host's target is
	// running, or nil if there are none.
	servedRank func() *retry.Rank
	// repeatShare returns the share of repeats among the requests that this host's target
	// is running.
	repeatShare func() float64
	// stopBegan is when a planned stop began, or nil.
	stopBegan atomic.Pointer[time.Time]
	// refuseUnsent and endRequests are closed shortly before the end of a planned
	// stop, in this order.
	refuseUnsent, endRequests chan struct{}

	mu        sync.Mutex
	latencies map[string]*gray.DurationModel
	retries   map[string]*serviceRetries
	uses      map[string]*fairqueue.Usage
}

// BeginStop marks the beginning of a planned stop.
func (in *Ingress) BeginStop(now time.Time) { in.stopBegan.Store(&now) }

// RefuseUnsent refuses the requests that no target is working on.
func (in *Ingress) RefuseUnsent() { close(in.refuseUnsent) }

// EndRequests answers the requests at which targets still work.
func (in *Ingress) EndRequests() { close(in.endRequests) }

func NewIngress(settings func() *karpithaz.Settings, c *Control, g gateForwarder, r rateLimiter, callFailed func(), l *decisions.Log, m *metrics.Registry) *Ingress {
	return &Ingress{
		settings:     settings,
		control:      c,
		gates:        g,
		limiter:      r,
		log:          l,
		metrics:      m,
		states:       newGateStates(),
		usual:        newUsualDurations(),
		balances:     newBalances(),
		onCallFailed: callFailed,
		quarantined:  func(context.Context, uint64) bool { return false },
		refuseUnsent: make(chan struct{}),
		endRequests:  make(chan struct{}),
		latencies:    map[string]*gray.DurationModel{},
		servedRank:   func() *retry.Rank { return nil },
		repeatShare:  func() float64 { return 0 },
		retries:      map[string]*serviceRetries{},
		uses:         map[string]*fairqueue.Usage{},
	}
}

// exchange is one request of a caller and its response.
type exchange struct {
	in        *Ingress
	x         *h1.Exchange
	caller    karpithaz.Request
	view      *View
	proof     freshnessProof
	route     *routes.Route
	service   string
	workspace *routes.Workspace
	nested    bool
	// served is the rank of the request that a nested call serves; nil if not known.
	served *retry.Rank
	// fingerprint is a hash of the request's sender and content.
	fingerprint uint64
	// deadline is when the caller must have an answer.
	deadline time.Time
	started  time.Time
}

// defaultTimeout applies to requests without a time limit of their own.
const defaultTimeout = 30 * time.Second

// Handle answers a request.
func (in *Ingress) Handle(ctx context.Context, x *h1.Exchange) {
	e := &exchange{in: in, x: x, started: x.ReceivedAt}
	e.caller = karpithaz.ParseRequest(&x.Request.Header)
	in.metrics.Add("requests", 1)
	e.awaitReady(ctx)
	e.view, e.proof = in.control.ProvenView()
	if refusal := e.admit(ctx); refusal != nil {
		e.refuse(refusal, "refused")
		return
	}
	e.fingerprint = fingerprintOf(&x.Request, e.workspaceName())
	if in.quarantined(ctx, e.fingerprint) {
		e.refuse(wire.Refuse(wire.ReasonQuarantined, "requests with the same method, Host header, URI, workspace and body have crashed %d targets", quarantineDeaths), "refused")
		return
	}
	e.stripHeaders()
	out := newExecution(e).run(ctx)
	if e.nested && ctx.Err() == nil && out.failed() {
		in.onCallFailed()
	}
	e.finish(ctx, out)
}

// admit matches the route and the key, and checks the workspace's rate limit.
func (e *exchange) admit(ctx context.Context) *wire.Refusal {
	cfg := e.view.Config
	if !e.view.Ready() {
		return wire.Refuse(wire.ReasonStaleHost, "this host has not loaded the configuration or the hosts table yet")
	}
	path, ok := e.originForm()
	if !ok {
		return wire.Refuse(wire.ReasonBadRequest, "the request target is not a path")
	}
	host := string(e.x.Request.Header.Host())
	if e.route, ok = cfg.Match(host, path); !ok {
		return e.softenDenial(wire.Refuse(wire.ReasonNoRoute, "no route for host %q matches the path", host))
	}
	e.setDeadline()
	if refusal := e.refuseLate(); refusal != nil {
		return refusal
	}
	if refusal := e.authenticate(cfg); refusal != nil {
		return refusal
	}
	if refusal := e.limitRate(ctx); refusal != nil {
		return refusal
	}
	if e.nested && cfg.Ranked() {
		e.served = e.in.servedRank()
	}
	e.service = pickService(e.route.Services, rand.Float64())
	if e.nested {
		e.chargeCall(ctx, e.in.repeatShare())
	}
	return nil
}

// limitRate takes a token of the workspace's rate limit.
func (e *exchange) limitRate(ctx context.Context) *wire.Refusal {
	if e.workspace == nil {
		return nil
	}
	ok, after, err := e.in.limiter.Allow(ctx, e.workspace, startWait(time.Until(e.deadline)))
	switch {
	case err != nil:
		return wire.Refuse(wire.ReasonLimiterUnavailable, "%v", err)
	case ok:
		return nil
	}
	r := wire.Refuse(wire.ReasonRateExceeded, "workspace %s exceeds its rate limit of %g requests per second with a burst of %g", e.workspace.Name, e.workspace.Rate, e.workspace.Burst)
	r.RetryAfter = after
	return r
}

// originForm returns the path without the query. It rewrites an absolute
// request target as a path and a Host header.
func (e *exchange) originForm() (path string, ok bool) {
	h := &e.x.Request.Header
	target := string(h.RequestURI())
	if rest, absolute := strings.CutPrefix(target, "http://"); absolute {
		host, _, _ := strings.Cut(rest, "/")
		target = "/" + strings.TrimPrefix(rest[len(host):], "/")
		h.SetHost(host)
		h.SetRequestURI(target)
	}
	path, _, _ = strings.Cut(target, "?")
	return path, strings.HasPrefix(path, "/")
}

func (e *exchange) setDeadline() {
	timeout := e.caller.TimeLeft
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if e.route.Timeout > 0 {
		timeout = min(timeout, e.route.Timeout)
	}
	e.deadline = e.started.Add(timeout)
}

// targetAnswerLead is how long before the end of a planned stop a target must have
// answered, so that its answer, if only that time is up, reaches the caller.
const targetAnswerLead = 400 * time.Millisecond

// targetDeadline returns the time at which a target must stop to work on the
// request: the caller's deadline or, on a stopping host, the end of the process.
func (e *exchange) targetDeadline() time.Time {
	begun := e.in.stopBegan.Load()
	if begun == nil {
		return e.deadline
	}
	end := begun.Add(e.in.settings().Bounds.ShutdownGracePeriod - targetAnswerLead)
	if end.After(e.deadline) {
		return e.deadline
	}
	return end
}

// refuseLate refuses requests that arrive after the time in which callers
// should have moved away from a stopping host, since the end of the process
// might cut them.
func (e *exchange) refuseLate() *wire.Refusal {
	begun := e.in.stopBegan.Load()
	if begun == nil || time.Since(*begun) < callerDrainTime {
		return nil
	}
	return wire.Refuse(wire.ReasonLeaving, "this host has been stopping for %s", time.Since(*begun).Round(time.Millisecond))
}

// Limits on the age of the configuration's freshness proof.
const (
	// maxDenialProofAge is the age above which a request that the configuration
	// does not allow is refused as temporarily unavailable, since a newer
	// configuration may allow it. It is above the usual age of a proof from a
	// reader.
	maxDenialProofAge = 2900 * time.Millisecond
	// proofMargin is subtracted from the time limit for revoked keys to allow
	// for clock errors.
	proofMargin = 250 * time.Millisecond
)

// softenDenial returns r, or a temporary refusal if the configuration may be
// out of date.
func (e *exchange) softenDenial(r *wire.Refusal) *wire.Refusal {
	if age := e.proof.age(); age > maxDenialProofAge {
		return wire.Refuse(wire.ReasonStaleHost, "%s; the configuration was last confirmed as current %s ago", r.Detail, age.Round(time.Millisecond))
	}
	return r
}

func (e *exchange) authenticate(cfg *routes.Config) *wire.Refusal {
	if !cfg.Access(e.route).NeedsKey() {
		e.in.metrics.Add("requests_without_key", 1)
		e.nested = e.route.AuthExempt && e.caller.Key == ""
		return nil
	}
	if e.caller.Key == "" {
		return e.softenDenial(wire.Refuse(wire.ReasonNoKey, "the route requires a key"))
	}
	workspace, ok := cfg.WorkspaceByKey(e.caller.Key)
	if !ok {
		return e.softenDenial(wire.Refuse(wire.ReasonBadKey, "the key is not valid"))
	}
	age := e.proof.age()
	if b := e.in.settings().Bounds; b.StrictRevocation && age > b.RevocationDeadline-proofMargin {
		return wire.Refuse(wire.ReasonStaleHost, "the key was last confirmed as valid %s ago", age.Round(time.Millisecond))
	}
	e.workspace = workspace
	return nil
}

// pickService chooses a service by weight. r is uniform in [0, 1).
func pickService(parts []routes.WeightedService, r float64) string {
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	x := r * float64(total)
	for _, p := range parts {
		if x -= float64(p.Weight); x < 0 {
			return p.Service
		}
	}
	return parts[len(parts)-1].Service
}

// stripHeaders removes the headers that neither gates nor targets may see.
func (e *exchange) stripHeaders() {
	h := &e.x.Request.Header
	karpithaz.StripCallerHeaders(h)
	stripHopByHop(h)
}

// hopByHop are the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Upgrade", "Expect", headerForward, headerReport, headerRefusal, headerRollout, headerAgain, headerQuestion,
}

func stripHopByHop(h *fasthttp.RequestHeader) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
}

// priority returns the workspace's priority if it has one, or else the route's.
func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.Priority != nil {
		return *e.workspace.Priority
	}
	return e.route.Priority
}

func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

func (e *exchange) revision() uint64 {
	if e.view.Config == nil {
		return 0
	}
	return e.view.Config.Revision
}

// routeName returns the name of the route, or "" if no route matches.
func (e *exchange) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

func (e *exchange) priorityOrLowest() int {
	if e.route == nil {
		return admission.LowestPriority
	}
	return e.priority()
}
