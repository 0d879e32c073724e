// Package target is a stand-in for a firm's back end. It announces itself to
// the daemon on its host, answers requests with bodies that tell whose answer
// they are, misbehaves as Faults says, and records every request that reached
// it.
//
// A request chooses its answer by query: work_ms is the work time, size the
// least body size, chunk_ms the pause between the parts of a streamed body. A
// request whose body contains CrashMark ends the process.
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

// CrashMark in a request's body ends the target that runs it.
const CrashMark = "CRASH-THE-TARGET"

const (
	defaultSlots = 7
	defaultWork  = 5 * time.Millisecond
	// announceEvery is the pause between announcements.
	announceEvery = time.Second
)

// Options of a target. Name, Service and Log are required.
type Options struct {
	Name    string
	Service string
	// Listen takes requests, Control takes faults; they default to
	// 127.0.0.1:0.
	Listen, Control string
	// Announce is the base URL of the daemon's announcement address; empty
	// announces nothing.
	Announce string
	// Slots defaults to 7.
	Slots int
	// Work is the work time of a request. It defaults to 5 ms.
	Work time.Duration
	// Secrets are searched for in all requests.
	Secrets []string
	Log     *record.Log
	// Crash ends the process; tests replace it.
	Crash func()
	// Faults are in force from the start.
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

// Target is a running stand-in.
type Target struct {
	opts        Options
	incarnation uint64
	listen      net.Listener
	control     net.Listener

	mu       sync.Mutex
	faults   Faults
	since    time.Time
	secrets  []string
	seq      int
	inFlight int
	runs     []record.Run
	last     reply
	// changed wakes the announcer.
	changed chan struct{}
}

// New opens the listeners. Run serves them.
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
		opts:        opts,
		incarnation: uint64(now.UnixNano()),
		listen:      listen,
		control:     control,
		faults:      opts.Faults,
		since:       now,
		secrets:     opts.Secrets,
		changed:     make(chan struct{}, 1),
	}, nil
}

// Addr takes requests.
func (t *Target) Addr() string { return t.listen.Addr().String() }

// ControlAddr takes faults.
func (t *Target) ControlAddr() string { return t.control.Addr().String() }

// Run serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	requests := &http.Server{Handler: t.handler(), ConnContext: withOpened}
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

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults = f
	t.since = time.Now()
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// current returns the faults and the time since they were set.
func (t *Target) current() (Faults, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.since
}

// Runs returns all runs of this incarnation.
func (t *Target) Runs() []record.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]record.Run(nil), t.runs...)
}

type openedKey struct{}

func withOpened(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func openedAt(ctx context.Context) time.Time {
	at, _ := ctx.Value(openedKey{}).(time.Time)
	return at
}
