package transfer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Limits bound the transfers of First.
type Limits struct {
	// Silence is how long all running transfers must have received nothing before another
	// one is begun beside them.
	Silence time.Duration
	// GiveUp is the silence after which a transfer is ended. It must be longer than Silence.
	GiveUp time.Duration
	// Running is the maximum number of transfers that run at once.
	Running int
}

// Source is one way to get a result.
type Source[T any] struct {
	// Get makes the transfer. Its exchanges must use the context, whose meter tells First what
	// arrives.
	Get func(ctx context.Context) (T, error)
	// Wait is how long the source may be expected to be silent at its beginning, as a long
	// poll is.
	Wait time.Duration
}

// ErrNoSource is returned if there was no source.
var ErrNoSource = errors.New("no source to transfer from")

// ErrSilent is the cause with which a transfer is ended that has received nothing for Limits.GiveUp.
var ErrSilent = errors.New("nothing received for too long")

type besideKey struct{}

// Beside reports whether a transfer has been begun beside a silent one. It must not use a
// connection that has been idle, which may be silent for the same reason.
func Beside(ctx context.Context) bool {
	beside, _ := ctx.Value(besideKey{}).(bool)
	return beside
}

// running is a transfer in progress.
type running struct {
	meter  Meter
	cancel context.CancelCauseFunc
	seen   int64
	// quietSince is when the last byte was seen, or when the first one was due.
	quietSince time.Time
}

// first is the state of a call of First.
type first[T any] struct {
	limits  Limits
	next    func() (Source[T], bool)
	results chan result[T]
	running map[*running]bool
	err     error
}

type result[T any] struct {
	from  *running
	value T
	err   error
}

// First returns the first result of several sources, which next returns one after the other
// until there are no more. It fails with the last error if all of them have failed. No transfer
// is ended while it receives bytes, unless another one has succeeded.
func First[T any](ctx context.Context, l Limits, next func() (Source[T], bool)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &first[T]{limits: l, next: next, results: make(chan result[T]), running: map[*running]bool{}, err: ErrNoSource}
	check := time.NewTicker(l.Silence / 4)
	defer check.Stop()
	f.begin(ctx)
	for len(f.running) > 0 {
		select {
		case r := <-f.results:
			delete(f.running, r.from)
			r.from.cancel(nil)
			if r.err == nil {
				return r.value, nil
			}
			f.err = r.err
			if len(f.running) == 0 {
				f.begin(ctx)
			}
		case now := <-check.C:
			if f.silent(now) && len(f.running) < l.Running {
				f.begin(ctx)
			}
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
	var none T
	return none, f.err
}

// begin begins the transfer from the next source, if there is one.
func (f *first[T]) begin(ctx context.Context) {
	source, ok := f.next()
	if !ok {
		return
	}
	r := &running{meter: Meter{parent: MeterOf(ctx)}, quietSince: time.Now().Add(source.Wait)}
	if len(f.running) > 0 {
		ctx = context.WithValue(ctx, besideKey{}, true)
	}
	own, cancel := context.WithCancelCause(WithMeter(ctx, &r.meter))
	r.cancel = cancel
	f.running[r] = true
	go func() {
		value, err := source.Get(own)
		if err != nil && context.Cause(own) == ErrSilent {
			err = errors.Wrapf(ErrSilent, "after %d bytes", r.meter.Bytes())
		}
		select {
		case f.results <- result[T]{r, value, err}:
		case <-ctx.Done(): // First has returned
		}
	}()
}

// silent reports whether no transfer has received anything for Limits.Silence. It ends those
// that have not for Limits.GiveUp.
func (f *first[T]) silent(now time.Time) bool {
	all := true
	for r := range f.running {
		if bytes := r.meter.Bytes(); bytes != r.seen {
			r.seen, r.quietSince = bytes, now
		}
		quiet := now.Sub(r.quietSince)
		if quiet >= f.limits.GiveUp {
			r.cancel(ErrSilent)
		}
		all = all && quiet >= f.limits.Silence
	}
	return all
}

// Only returns the sources of a transfer that can be made in one way alone.
func Only[T any](get func(ctx context.Context) (T, error)) (next func() (Source[T], bool)) {
	begun := false
	return func() (Source[T], bool) {
		first := !begun
		begun = true
		return Source[T]{Get: get}, first
	}
}
