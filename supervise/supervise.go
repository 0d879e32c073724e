package supervise

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
)

// Defaults of Options.
const (
	defaultMinBackoff  = 100 * time.Millisecond
	defaultMaxBackoff  = 5 * time.Second
	defaultMaxRestarts = 10
	defaultWindow      = time.Minute
)

// Child is a supervised component.
type Child struct {
	// Name is shown in logs.
	Name string
	// Run blocks until ctx ends and then returns nil. Returning earlier, with
	// or without an error, is a failure.
	Run func(ctx context.Context) error
	// Critical marks a child that cannot be restarted: its failure stops the
	// tree.
	Critical bool
}

// Options bounds the restarts of a child.
type Options struct {
	// MinBackoff and MaxBackoff bound the delay before a restart, which
	// doubles with each failure within Window. They default to 100 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// More than MaxRestarts failures of a child within Window stop the tree.
	// They default to 10 and 1 min.
	MaxRestarts int
	Window      time.Duration
	// Logger logs each restart; nil disables logging.
	Logger *log.Logger
}

func (o Options) withDefaults() Options {
	if o.MinBackoff == 0 {
		o.MinBackoff = defaultMinBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultMaxBackoff
	}
	if o.MaxRestarts == 0 {
		o.MaxRestarts = defaultMaxRestarts
	}
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	return o
}

// Error is the failure of a child that failed too often.
type Error struct {
	Child    string
	Restarts int
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return errors.Wrapf(e.Err, "child %q failed %d times; stopping the process so that it can be restarted", e.Child, e.Restarts).Error()
}

// Unwrap returns the last failure of the child.
func (e *Error) Unwrap() error { return e.Err }

// Tree supervises children.
type Tree struct {
	opts     Options
	children []Child
	restarts atomic.Int64
}

// New returns a tree of children.
func New(opts Options, children ...Child) *Tree {
	return &Tree{opts: opts.withDefaults(), children: children}
}

// Restarts returns the number of restarts of all children.
func (t *Tree) Restarts() int64 { return t.restarts.Load() }

// Run runs the tree until ctx ends or a child fails too often. It returns after
// all children have returned.
func (t *Tree) Run(ctx context.Context) error {
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	stops := make([]func(), 0, len(t.children))
	for _, c := range t.children {
		childCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			return t.superviseChild(childCtx, c)
		})
		stops = append(stops, func() {
			cancel()
			<-done
		})
	}
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	return group.Wait()
}

// superviseChild runs one child and restarts it as the options allow.
func (t *Tree) superviseChild(ctx context.Context, c Child) error {
	var failures []time.Time
	for {
		err := runRecovering(ctx, c)
		if ctx.Err() != nil {
			return nil
		}
		failures = withinWindow(append(failures, time.Now()), t.opts.Window)
		if c.Critical || len(failures) > t.opts.MaxRestarts {
			return &Error{Child: c.Name, Restarts: len(failures), Err: err}
		}
		t.restarts.Add(1)
		wait := t.backoff(len(failures))
		if t.opts.Logger != nil {
			t.opts.Logger.Warn("child restarts", "child", c.Name, "pause", wait, "err", err)
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

func (t *Tree) backoff(failures int) time.Duration {
	p := t.opts.MinBackoff
	for i := 1; i < failures && p < t.opts.MaxBackoff; i++ {
		p *= 2
	}
	return min(p, t.opts.MaxBackoff)
}

func runRecovering(ctx context.Context, c Child) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	err = c.Run(ctx)
	if err == nil && ctx.Err() == nil {
		err = errors.New("returned before it was stopped")
	}
	return err
}

func withinWindow(times []time.Time, window time.Duration) []time.Time {
	cut := time.Now().Add(-window)
	for len(times) > 0 && times[0].Before(cut) {
		times = times[1:]
	}
	return times
}
