package ledger

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Defaults of Options.
const (
	DefaultInterval    = 30 * time.Second
	DefaultGenerations = 8
	DefaultCapacity    = 1 << 18 // entries
)

// Options configures a Ledger. Zero fields take the documented defaults.
type Options struct {
	// Incarnation is the incarnation of the gate's daemon.
	Incarnation uint64
	// Interval is the length of a generation. Default 30 s.
	Interval time.Duration
	// Generations is the number of generations covered. Default 8.
	Generations int
	// Capacity bounds the number of entries of all generations. Default
	// 262,144.
	Capacity int
}

// Verdict is the ledger's decision on an attempt.
type Verdict int

const (
	// Admitted means that the attempt may be dispatched.
	Admitted Verdict = iota + 1
	// Stale means that the attempt's epoch is not covered; the attempt is
	// refused and will not run.
	Stale
	// Duplicate means that the attempt has already been dispatched.
	Duplicate
	// Settled means that the attempt was declared not run.
	Settled
	// Full means that the ledger has no capacity for the attempt now.
	Full
)

type state uint8

const (
	stateDispatched state = iota + 1
	stateDone
	stateTombstone
)

// Ledger records attempts. It is not safe for concurrent use.
type Ledger struct {
	opts       Options
	generation uint64
	advancedAt time.Time
	entries    int
	// generations maps each covered generation to its attempts.
	generations map[uint64]map[wire.ID]state
}

// New returns an empty ledger at generation 1.
func New(opts Options, now time.Time) *Ledger {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Generations <= 0 {
		opts.Generations = DefaultGenerations
	}
	if opts.Capacity <= 0 {
		opts.Capacity = DefaultCapacity
	}
	l := &Ledger{opts: opts, generation: 1, advancedAt: now}
	l.generations = map[uint64]map[wire.ID]state{1: {}}
	return l
}

// Epoch returns the current epoch.
func (l *Ledger) Epoch() wire.Epoch {
	return wire.Epoch{Incarnation: l.opts.Incarnation, Generation: l.generation}
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return l.entries }

// Tick advances the generation if its interval has passed.
func (l *Ledger) Tick(now time.Time) {
	if now.Sub(l.advancedAt) >= l.opts.Interval {
		l.advance(now)
	}
}

func (l *Ledger) advance(now time.Time) {
	l.generation++
	l.advancedAt = now
	l.generations[l.generation] = map[wire.ID]state{}
	for gen, attempts := range l.generations {
		if gen+uint64(l.opts.Generations) <= l.generation {
			l.entries -= len(attempts)
			delete(l.generations, gen)
		}
	}
}

// covered returns the attempts of the epoch's generation, or nil if the epoch
// is not covered.
func (l *Ledger) covered(e wire.Epoch) map[wire.ID]state {
	if e.Incarnation != l.opts.Incarnation {
		return nil
	}
	return l.generations[e.Generation]
}

// Check reports whether an attempt may be dispatched, regardless of capacity.
// It records nothing.
func (l *Ledger) Check(id wire.ID, e wire.Epoch) Verdict {
	attempts := l.covered(e)
	if attempts == nil {
		return Stale
	}
	switch attempts[id] {
	case stateTombstone:
		return Settled
	case stateDispatched, stateDone:
		return Duplicate
	}
	return Admitted
}

// Dispatch records an attempt. The attempt may be sent to a target only if the
// verdict is Admitted.
func (l *Ledger) Dispatch(id wire.ID, e wire.Epoch, now time.Time) Verdict {
	l.advanceIfFull(now)
	v := l.Check(id, e)
	if v == Admitted && l.entries >= l.opts.Capacity {
		return Full
	}
	if v == Admitted {
		l.generations[e.Generation][id] = stateDispatched
		l.entries++
	}
	return v
}

// advanceIfFull advances the generation early if the ledger is full, but at
// most once per fraction of the interval, so that a burst cannot invalidate
// epochs that senders have only just learnt.
func (l *Ledger) advanceIfFull(now time.Time) {
	if l.entries < l.opts.Capacity {
		return
	}
	if now.Sub(l.advancedAt) >= l.opts.Interval/earlyAdvanceFraction {
		l.advance(now)
	}
}

// earlyAdvanceFraction divides the interval to give the minimum time between
// early advances.
const earlyAdvanceFraction = 8

// Done records that a dispatched attempt has ended.
func (l *Ledger) Done(id wire.ID, e wire.Epoch) {
	attempts := l.covered(e)
	if attempts[id] == stateDispatched {
		attempts[id] = stateDone
	}
}

// Revoke turns a dispatched attempt into a tombstone. The caller must ensure
// that no byte of the attempt was or will be sent.
func (l *Ledger) Revoke(id wire.ID, e wire.Epoch) {
	attempts := l.covered(e)
	if attempts[id] == stateDispatched {
		attempts[id] = stateTombstone
	}
}

// Settle returns the state of an attempt. It returns NotRun only after ensuring
// that the attempt will never be dispatched.
func (l *Ledger) Settle(id wire.ID, e wire.Epoch, now time.Time) wire.RunState {
	l.advanceIfFull(now)
	attempts := l.covered(e)
	if attempts == nil {
		return wire.Unknown
	}
	switch attempts[id] {
	case stateDispatched:
		return wire.Running
	case stateDone:
		return wire.Ran
	case stateTombstone:
		return wire.NotRun
	}
	if l.entries >= l.opts.Capacity {
		return wire.Unknown
	}
	attempts[id] = stateTombstone
	l.entries++
	return wire.NotRun
}
