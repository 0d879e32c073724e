// Package target implements a fake target for end-to-end tests. It announces
// itself to the daemon on its host, sends response bodies that identify their
// request, injects the faults set in Faults, and records every request that it
// receives.
//
// Query parameters control the response: work_ms is the work time, size the
// minimum body size, chunk_ms the delay between the parts of a streamed body. A
// request whose body contains CrashMarker crashes the process.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// CrashMarker in a request body makes the target that executes it crash.
const CrashMarker = "CRASH-THE-TARGET"

const (
	defaultSlots = 7
	defaultWork  = 5 * time.Millisecond
	// announceInterval is the interval between announcements.
	announceInterval = time.Second
)

// Options configures a target. Name and Service are required. Without a Log,
// runs are kept in memory only.
type Options struct {
	Name    string
	Service string
	// Listen is the address for requests, Control that of the control API; both
	// default to 127.0.0.1:0.
	Listen, Control string
	// Announce is the base URL of the daemon's announcement listener; if empty,
	// nothing is announced.
	Announce string
	// Slots is the announced number of concurrent requests; defaults to 7.
	Slots int
	// Work is the work time of a request; defaults to 5 ms.
	Work time.Duration
	// Secrets are strings to look for in all requests.
	Secrets []string
	Log     *record.Log
	// Crash must end the process; tests replace it.
	Crash func()
	// Faults are the initial faults.
	Faults Faults
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Control == "" {
		o.Control = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Work == 0 {
		o.Work = defaultWork
	}
	return o
}

// Target is a fake target.
type Target struct {
	opts        Options
	incarnation uint64
	listen      net.Listener
	control     net.Listener

	mu          sync.Mutex
	faults      Faults
	faultsSetAt time.Time
	secrets     []string
	seq         int
	inFlight    int
	runs        []record.Run
	previous    response
	// faultsChanged wakes the announcement loop.
	faultsChanged chan struct{}
}

// New opens the listeners; Run serves them.
func New(opts Options) (*Target, error) {
	opts = opts.withDefaults()
	listen, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests; choose a free address")
	}
	control, err := net.Listen("tcp", opts.Control)
	if err != nil {
		listen.Close()
		return nil, errors.Wrap(err, "listen for control; choose a free address")
	}
	now := time.Now()
	return &Target{
		opts:          opts,
		incarnation:   uint64(now.UnixNano()),
		listen:        listen,
		control:       control,
		faults:        opts.Faults,
		faultsSetAt:   now,
		secrets:       opts.Secrets,
		faultsChanged: make(chan struct{}, 1),
	}, nil
}

// Addr returns the address for requests.
func (t *Target) Addr() string { return t.listen.Addr().String() }

// ControlAddr returns the address of the control API.
func (t *Target) ControlAddr() string { return t.control.Addr().String() }

// Run serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	requests := &http.Server{Handler: t.handler(), ConnContext: withConnOpenTime}
	control := &http.Server{Handler: t.controlHandler()}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(requests, t.listen) })
	g.Go(func() error { return serve(control, t.control) })
	g.Go(func() error { return t.announce(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		requests.Close()
		return control.Close()
	})
	return g.Wait()
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults = f
	t.faultsSetAt = time.Now()
	t.mu.Unlock()
	select {
	case t.faultsChanged <- struct{}{}:
	default:
	}
}

// currentFaults returns the faults and the time when they were set.
func (t *Target) currentFaults() (Faults, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faultsSetAt
}

// Runs returns the runs of this incarnation.
func (t *Target) Runs() []record.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]record.Run(nil), t.runs...)
}

type connOpenedKey struct{}

func withConnOpenTime(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connOpenedKey{}, time.Now())
}

func connOpenTime(ctx context.Context) time.Time {
	at, _ := ctx.Value(connOpenedKey{}).(time.Time)
	return at
}
