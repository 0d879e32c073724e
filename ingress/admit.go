package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/limiter"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// admission is the result of routing and authenticating a request.
type admission struct {
	route     *config.Route
	service   *config.Service
	workspace string
	// keyID is the digest of the key. Unlike the configured key ID, it changes
	// when a new key is issued under the same ID.
	keyID      string
	idempotent bool
}

// admit matches the route and authenticates the key from the request header. It
// does not check the rate limit.
func admit(snap *control.Snapshot, h *fasthttp.RequestHeader) (admission, *wire.Refusal) {
	var a admission
	if r := checkUpToDate(snap); r != nil {
		return a, r
	}
	path, err := config.CanonicalPath(rawPath(h))
	if err != nil {
		return a, wire.Refuse(wire.ReasonBadRequest, "%v", err)
	}
	route, ok := snap.Config.MatchRoute(path)
	if !ok {
		return a, wire.Refuse(wire.ReasonNoRoute, "no route matches the path")
	}
	a.route = route
	a.idempotent = route.IsIdempotent(string(h.Method()))
	a.service, ok = snap.Config.Service(route.Service)
	if !ok {
		return a, wire.Refuse(wire.ReasonNoRoute, "the route's service does not exist")
	}
	if r := a.authenticate(snap.Config, h); r != nil {
		return a, r
	}
	return a, nil
}

func checkUpToDate(snap *control.Snapshot) *wire.Refusal {
	if snap.Config == nil {
		return wire.Refuse(wire.ReasonStaleHost, "this host has no configuration yet")
	}
	if !snap.UpToDate {
		return wire.Refuse(wire.ReasonStaleHost, "this host cannot confirm that its configuration (revision %d) is current: it has not yet loaded a newer revision, or has recently reached neither the table nor a host that has read it", snap.Config.Revision())
	}
	return nil
}

func (a *admission) authenticate(cfg *config.Snapshot, h *fasthttp.RequestHeader) *wire.Refusal {
	if !a.route.NeedsKey() {
		return nil
	}
	secret, err := apiKey(h)
	if err != nil {
		return wire.Refuse(wire.ReasonBadRequest, "%v", err)
	}
	if secret == "" {
		return wire.Refuse(wire.ReasonNoKey, "the route requires an API key")
	}
	digest := sha256.Sum256([]byte(secret))
	ref, ok := cfg.FindKey(digest)
	if !ok {
		return wire.Refuse(wire.ReasonBadKey, "the key is not valid")
	}
	if !a.route.Allows(ref.Workspace) {
		return wire.Refuse(wire.ReasonForbidden, "workspace %s is not allowed on route %s", ref.Workspace, a.route.Path)
	}
	a.workspace = ref.Workspace
	a.keyID = hex.EncodeToString(digest[:])
	return nil
}

// Limits on requesting a token. A request to the limiter may fail because its
// connection is dead; a retry uses another connection.
const (
	tokenTimeout    = 1500 * time.Millisecond
	tokenRetryDelay = 20 * time.Millisecond
)

// takeToken takes a token from the workspace's rate limiter. Open routes are not
// limited.
func (x *exchange) takeToken(ctx context.Context) *wire.Refusal {
	if x.admission.workspace == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(tokenTimeout, time.Until(x.deadline())))
	defer cancel()
	for {
		decision, err := x.in.opts.Limiter.Take(ctx, x.admission.workspace)
		if err == nil {
			return x.rateRefusal(decision)
		}
		if !isNoOwner(err) || !pause.For(ctx, tokenRetryDelay) {
			return limiterRefusal(err)
		}
	}
}

func (x *exchange) rateRefusal(decision limiter.Decision) *wire.Refusal {
	if decision.Allowed {
		return nil
	}
	r := wire.Refuse(wire.ReasonRateExceeded, "workspace %s exceeds its rate", x.admission.workspace)
	r.RetryAfter = decision.RetryAfter
	return r
}

func isNoOwner(err error) bool {
	var le *limiter.Error
	return errors.As(err, &le) && le.Kind == limiter.KindNoOwner
}

func limiterRefusal(err error) *wire.Refusal {
	var le *limiter.Error
	if errors.As(err, &le) && le.Kind == limiter.KindUnknownWorkspace {
		return wire.Refuse(wire.ReasonForbidden, "the workspace no longer exists")
	}
	return wire.Refuse(wire.ReasonLimiterUnavailable, "no owner of the workspace's rate can be reached")
}

// rawPath returns the path of the request target without normalization.
func rawPath(h *fasthttp.RequestHeader) string {
	target := string(h.RequestURI())
	path, _, _ := strings.Cut(target, "?")
	return path
}

// isHead reports whether method is HEAD, whose responses have no body.
func isHead(method []byte) bool { return string(method) == http.MethodHead }
