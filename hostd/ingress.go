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
	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/problem"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// gates reaches the gates of all hosts.
type gates interface {
	// Forward takes an attempt to a target through its host's gate, and calls
	// onSend when it goes to the target.
	Forward(ctx context.Context, t Target, f Forward, req *fasthttp.Request, onSend func()) Reply
	// Withdraw reports whether an attempt has gone to the target of a host, or
	// may have. When it has not, it never will. life is that of the gate's
	// process when the attempt was sent.
	Withdraw(ctx context.Context, host, attempt string, life int64) (sent bool, err error)
}

// rates takes tokens of what is bounded over the fleet.
type rates interface {
	// Take asks whether a workspace may send one more request.
	Take(ctx context.Context, w *routes.Workspace) (ok bool, retryAfter time.Duration)
	// Repeat asks whether a request for a service may be sent once more,
	// beyond what the service's requests allow by their number.
	Repeat(ctx context.Context, service string) bool
}

// Ingress takes the requests of this host's callers.
type Ingress struct {
	set     func() *karpithaz.Settings
	control *Control
	gates   gates
	rates   rates
	log     *decisions.Log
	metrics *metrics.Registry
	reports *reports

	// quarantined tells which requests are refused for crashing targets.
	quarantined func(fingerprint uint64, now time.Time) bool
	// callFailed is told when a call of this host's target fails.
	callFailed func()
	// leaving is when a planned stop began; nil while there is none.
	leaving atomic.Pointer[time.Time]
	// ending is closed shortly before the end of a planned stop.
	ending chan struct{}

	mu      sync.Mutex
	works   map[string]*gray.DurationModel
	budgets map[string]*retry.Budget
}

// Leave begins a planned stop.
func (in *Ingress) Leave(now time.Time) { in.leaving.Store(&now) }

// End makes requests that no target works on be refused.
func (in *Ingress) End() { close(in.ending) }

// NewIngress returns an ingress.
func NewIngress(set func() *karpithaz.Settings, c *Control, g gates, r rates, callFailed func(), l *decisions.Log, m *metrics.Registry) *Ingress {
	return &Ingress{
		set:         set,
		control:     c,
		gates:       g,
		rates:       r,
		log:         l,
		metrics:     m,
		reports:     newReports(),
		callFailed:  callFailed,
		quarantined: func(uint64, time.Time) bool { return false },
		ending:      make(chan struct{}),
		works:       map[string]*gray.DurationModel{},
		budgets:     map[string]*retry.Budget{},
	}
}

// exchange is one request of a caller on its way.
type exchange struct {
	in      *Ingress
	x       *h1.Exchange
	caller  karpithaz.Request
	view    *View
	route   *routes.Route
	service string
	holder  *routes.Workspace
	inner   bool
	// fingerprint identifies the request's sender and content.
	fingerprint uint64
	// deadline is when the caller must have an answer.
	deadline time.Time
	started  time.Time
}

// defaultPatience is assumed of callers who do not say how long they wait.
const defaultPatience = 30 * time.Second

// Handle answers a request.
func (in *Ingress) Handle(ctx context.Context, x *h1.Exchange) {
	e := &exchange{in: in, x: x, view: in.control.View(), started: x.Arrived}
	e.caller = karpithaz.ReadRequest(&x.Request.Header)
	in.metrics.Add("requests", 1)
	if refusal := e.admit(ctx); refusal != nil {
		e.refuse(refusal, "refused")
		return
	}
	e.fingerprint = fingerprintOf(&x.Request, e.workspace())
	if in.quarantined(e.fingerprint, time.Now()) {
		e.refuse(wire.Refuse(wire.ReasonQuarantined, "requests like this one have crashed %d targets", crashDeaths), "refused")
		return
	}
	e.prepare()
	out := newTrial(e).run(ctx)
	if e.inner && ctx.Err() == nil && out.failed() {
		in.callFailed()
	}
	e.finish(ctx, out)
}

// admit matches route and key, and takes a token of the workspace.
func (e *exchange) admit(ctx context.Context) *wire.Refusal {
	cfg := e.view.Config
	if !e.view.Ready() {
		return wire.Refuse(wire.ReasonOutOfTouch, "this host has read no configuration or no hosts yet")
	}
	path, ok := e.originForm()
	if !ok {
		return wire.Refuse(wire.ReasonBadRequest, "the request target is not a path")
	}
	host := string(e.x.Request.Header.Host())
	if e.route, ok = cfg.Match(host, path); !ok {
		return e.denied(wire.Refuse(wire.ReasonNoRoute, "no route of host %q matches the path", host))
	}
	e.setDeadline()
	if refusal := e.tooLate(); refusal != nil {
		return refusal
	}
	if refusal := e.authenticate(cfg); refusal != nil {
		return refusal
	}
	if e.holder != nil {
		if ok, after := e.in.rates.Take(ctx, e.holder); !ok {
			r := wire.Refuse(wire.ReasonRate, "workspace %s exceeds its rate of %g a second with bursts of %g", e.holder.Name, e.holder.Rate, e.holder.Burst)
			r.RetryAfter = after
			return r
		}
	}
	e.service = pickPart(e.route.Services, rand.Float64())
	return nil
}

// originForm returns the path without the query, and turns an absolute request
// target into a path and a host.
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
	patience := e.caller.TimeLeft
	if patience <= 0 {
		patience = defaultPatience
	}
	if e.route.Timeout > 0 {
		patience = min(patience, e.route.Timeout)
	}
	e.deadline = e.started.Add(patience)
}

// tooLate refuses requests that come when callers should have left a stopping
// host: its end might cut them.
func (e *exchange) tooLate() *wire.Refusal {
	begun := e.in.leaving.Load()
	if begun == nil || time.Since(*begun) < callersLeave {
		return nil
	}
	return wire.Refuse(wire.ReasonLeaving, "this host has been stopping for %s", time.Since(*begun).Round(time.Millisecond))
}

// Ages of the configuration's proof.
const (
	// staleDenial is the age above which a request that the configuration does
	// not allow is refused for now rather than denied: a newer one may allow it.
	// It is above the usual age of a proof from a reader.
	staleDenial = 2900 * time.Millisecond
	// proofMargin is kept from the bound for withdrawn keys, for the error of
	// the clocks.
	proofMargin = 250 * time.Millisecond
)

// denied returns the refusal, or a softer one while the configuration may be
// out of date.
func (e *exchange) denied(r *wire.Refusal) *wire.Refusal {
	if age := e.in.control.ProofAge(); age > staleDenial {
		return wire.Refuse(wire.ReasonOutOfTouch, "%s, by a configuration last proved %s ago", r.Detail, age.Round(time.Millisecond))
	}
	return r
}

func (e *exchange) authenticate(cfg *routes.Config) *wire.Refusal {
	if !cfg.HasWorkspaces() || e.route.AuthExempt {
		e.inner = e.route.AuthExempt && e.caller.Key == ""
		return nil
	}
	if e.caller.Key == "" {
		return e.denied(wire.Refuse(wire.ReasonNoKey, "the route demands a key"))
	}
	holder, ok := cfg.WorkspaceByKey(e.caller.Key)
	if !ok {
		return e.denied(wire.Refuse(wire.ReasonBadKey, "the key is not valid"))
	}
	age := e.in.control.ProofAge()
	if b := e.in.set().Bounds; b.RevokeStrictly && age > b.RevokeWithin-proofMargin {
		return wire.Refuse(wire.ReasonOutOfTouch, "the key was last known to be valid %s ago", age.Round(time.Millisecond))
	}
	e.holder = holder
	return nil
}

// pickPart chooses a part by weight; r is uniform in [0, 1).
func pickPart(parts []routes.WeightedService, r float64) string {
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

// prepare takes off what neither gates nor targets may see.
func (e *exchange) prepare() {
	h := &e.x.Request.Header
	karpithaz.StripCaller(h)
	stripConnection(h)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Upgrade", "Expect", headerForward, headerReport, headerRefusal,
}

func stripConnection(h *fasthttp.RequestHeader) {
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

// priority is the workspace's, where it has one, else the route's.
func (e *exchange) priority() int {
	if e.holder != nil && e.holder.Priority != nil {
		return *e.holder.Priority
	}
	return e.route.Priority
}

func (e *exchange) workspace() string {
	if e.holder == nil {
		return ""
	}
	return e.holder.Name
}

// finish writes what became of a request.
func (e *exchange) finish(ctx context.Context, out outcome) {
	if ctx.Err() != nil {
		e.in.metrics.Add("left", 1)
		e.in.log.Decide("caller-left", "id", e.caller.Attempt, "route", e.route.Name, "after_ms", time.Since(e.started).Milliseconds(), "attempts", out.attempts)
		return
	}
	if out.answer == nil {
		e.refuse(out.refusal, "failed")
		return
	}
	took := time.Since(e.started)
	resp := &e.x.Response
	out.answer.Header.CopyTo(&resp.Header)
	for _, name := range hopByHop {
		resp.Header.Del(name)
	}
	resp.SetBodyRaw(out.answer.Body)
	e.in.metrics.Add("served", 1)
	e.in.metrics.Observe("request_time", took)
	e.in.log.Decide("answered", "id", e.caller.Attempt, "route", e.route.Name, "workspace", e.workspace(), "status", resp.StatusCode(), "target", out.target,
		"attempts", out.attempts, "took_ms", took.Milliseconds(), "objective_ms", e.route.Objective.Milliseconds(), "late", took > e.route.Objective)
}

// refuse answers a request that got no answer of a target.
func (e *exchange) refuse(r *wire.Refusal, decision string) {
	resp := &e.x.Response
	status := statusFor(r)
	problem.Write(resp, r)
	resp.SetStatusCode(status)
	var after time.Duration
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		after = admission.RetryDelay(r.RetryAfter, e.priorityOrLast(), rand.Float64())
	}
	karpithaz.WriteOwnAnswer(&resp.Header, e.caller.Attempt, after)
	e.in.metrics.Add(decision, 1)
	e.in.metrics.Add(decision+"_"+string(r.Reason), 1)
	e.in.log.Decide(decision, "id", e.caller.Attempt, "workspace", e.workspace(), "status", status, "reason", r.Reason, "run", r.Run, "detail", r.Detail,
		"retry_after_ms", after.Milliseconds(), "after_ms", time.Since(e.started).Milliseconds(),
		"revision", e.revision(), "proof_age_ms", e.in.control.ProofAge().Milliseconds())
}

// statusFor is the status of a refusal. Some statuses promise that the request
// has not run, and only they allow a caller to repeat an order.
func statusFor(r *wire.Refusal) int {
	status := r.Reason.Status()
	if r.Run == wire.NotRun && status >= fasthttp.StatusInternalServerError {
		return fasthttp.StatusServiceUnavailable
	}
	if r.Run != wire.NotRun && (status < fasthttp.StatusInternalServerError || status == fasthttp.StatusServiceUnavailable) {
		return fasthttp.StatusBadGateway
	}
	return status
}

func (e *exchange) revision() uint64 {
	if e.view.Config == nil {
		return 0
	}
	return e.view.Config.Revision
}

func (e *exchange) priorityOrLast() int {
	if e.route == nil {
		return admission.LowestPriority
	}
	return e.priority()
}
