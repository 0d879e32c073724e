// Package announce implements the HTTP endpoint through which targets register
// with the daemon of their host: POST /v1/targets with one JSON object, about
// once a second.
//
// The body size is limited and parsing is strict: unknown fields are rejected,
// so that a misspelled one is not silently ignored. Errors are RFC 9457 problem
// documents that state the remedy.
package announce

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"regexp"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/internal/quiet"
)

// Path is the path of the endpoint.
const Path = "/v1/targets"

const (
	// MaxBody is the maximum size of an announcement in bytes.
	MaxBody = 4 << 10
	// MaxSlots is the maximum number of slots of a target.
	MaxSlots = 10000

	problemType = "application/problem+json"
)

// State is the state that a target reports.
type State string

const (
	// StateReady accepts requests.
	StateReady State = "ready"
	// StateLeaving completes requests in progress and accepts no new ones.
	StateLeaving State = "leaving"
)

// Announcement is the registration of one target.
type Announcement struct {
	// Name is unique on the host.
	Name string `json:"name"`
	// Service is the name of the target's service.
	Service string `json:"service"`
	// Address is the IP address and port to which requests are sent.
	Address string `json:"address"`
	// Incarnation increases with each start of the target.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of requests that the target can serve concurrently.
	Slots int `json:"slots"`
	// UptimeMillis is the uptime of the target in milliseconds. With it, a warm
	// target is not throttled as cold again when its daemon is replaced. If 0,
	// the cold start is counted from the first announcement.
	UptimeMillis int64 `json:"uptime_ms,omitempty"`
	State        State `json:"state"`
}

// Problem is the RFC 9457 problem document of a rejected announcement.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail + "; " + p.Remedy }

func NewProblem(status int, remedy, format string, args ...any) *Problem {
	return &Problem{
		Type:   "about:blank",
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Remedy: remedy,
	}
}

// Accepted is the response body for an accepted announcement.
type Accepted struct {
	Accepted bool `json:"accepted"`
}

// Receiver processes valid announcements. An error other than a *Problem is
// reported as an internal server error.
type Receiver interface {
	Announce(a Announcement) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const (
	fieldRemedy = "correct the field and announce again"
	readTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
)

// Validate checks the fields. An error is a *Problem.
func (a Announcement) Validate() error {
	if !namePattern.MatchString(a.Name) {
		return invalid("name %q: want 1 to 63 lower-case letters, digits and inner dashes", a.Name)
	}
	if !namePattern.MatchString(a.Service) {
		return invalid("service %q: want 1 to 63 lower-case letters, digits and inner dashes", a.Service)
	}
	if err := validateAddress(a.Address); err != nil {
		return invalid("address %q: %s", a.Address, err)
	}
	if a.Incarnation == 0 {
		return invalid("incarnation 0: want a number that rises with each start")
	}
	if a.UptimeMillis < 0 {
		return invalid("uptime_ms %d: want 0 or more", a.UptimeMillis)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return invalid("slots %d: want 1 to %d", a.Slots, MaxSlots)
	}
	if a.State != StateReady && a.State != StateLeaving {
		return invalid("state %q: want %q or %q", a.State, StateReady, StateLeaving)
	}
	return nil
}

func invalid(format string, args ...any) *Problem {
	return NewProblem(fasthttp.StatusUnprocessableEntity, fieldRemedy, format, args...)
}

func validateAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.New("want IP:port")
	}
	if net.ParseIP(host) == nil {
		return errors.New("want an IP number, not a name")
	}
	if port == "" || port == "0" {
		return errors.New("want a port")
	}
	return nil
}

// Parse decodes and validates one announcement. An error is a *Problem.
func Parse(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxBody {
		return a, NewProblem(fasthttp.StatusRequestEntityTooLarge, "send a smaller body", "%d bytes, at most %d", len(data), MaxBody)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, NewProblem(fasthttp.StatusBadRequest, "send one JSON object with the documented fields", "%s", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return a, NewProblem(fasthttp.StatusBadRequest, "send one JSON object only", "bytes after the object")
	}
	return a, a.Validate()
}

// Handler returns an HTTP handler that passes valid announcements to r.
func Handler(r Receiver) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := handle(ctx, r); err != nil {
			writeProblem(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, "application/json", Accepted{Accepted: true})
	}
}

// NewServer returns an HTTP server with size limits and timeouts for
// announcements.
func NewServer(r Receiver) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            Handler(r),
		MaxRequestBodySize: MaxBody,
		ReadTimeout:        readTimeout,
		WriteTimeout:       readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		Logger:             quiet.Logger{},
	}
}

func handle(ctx *fasthttp.RequestCtx, r Receiver) error {
	if string(ctx.Path()) != Path {
		return NewProblem(fasthttp.StatusNotFound, "announce to "+Path, "no such path %q", ctx.Path())
	}
	if !ctx.IsPost() {
		return NewProblem(fasthttp.StatusMethodNotAllowed, "use POST", "method %s", ctx.Method())
	}
	a, err := Parse(ctx.PostBody())
	if err != nil {
		return err
	}
	return r.Announce(a)
}

func writeProblem(ctx *fasthttp.RequestCtx, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		p = NewProblem(fasthttp.StatusInternalServerError, "report this to the operators", "%s", err)
	}
	writeJSON(ctx, p.Status, problemType, p)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(data)
}
