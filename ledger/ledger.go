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
	// Incarnation is that of the gate's daemon.
	Incarnation uint64
	// Interval is the length of a generation. Default 30 s.
	Interval time.Duration
	// Generations is how many generations are covered. Default 8.
	Generations int
	// Capacity bounds the entries of all generations. Default 262,144.
	Capacity int
}

// Verdict is the answer to an attempt.
type Verdict int

const (
	// Admitted means that the attempt may go on.
	Admitted Verdict = iota + 1
	// Stale means that the attempt's epoch is not covered; it did not run and
	// will not.
	Stale
	// Duplicate means that the attempt was dispatched before.
	Duplicate
	// Settled means that the attempt was declared not run.
	Settled
	// Full means that the ledger has no room for the attempt now.
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
	advancedAt   time.Time
	entries    int
	// generations maps the covered generations to their attempts.
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

// Tick raises the generation when its interval has passed.
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

// covered returns the attempts of an epoch's generation, or nil.
func (l *Ledger) covered(e wire.Epoch) map[wire.ID]state {
	if e.Incarnation != l.opts.Incarnation {
		return nil
	}
	return l.generations[e.Generation]
}

// Check says whether an attempt may be dispatched, room aside. It enters
// nothing.
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

// Dispatch enters an attempt; only on Admitted may it go to a target.
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

// advanceIfFull raises the generation early when the ledger is full, at most once
// per fraction of the interval, so that a burst cannot uncover the epochs that
// senders have just learnt.
func (l *Ledger) advanceIfFull(now time.Time) {
	if l.entries < l.opts.Capacity {
		return
	}
	if now.Sub(l.advancedAt) >= l.opts.Interval/earlyAdvanceFraction {
		l.advance(now)
	}
}

const earlyAdvanceFraction = 8

// Done records that a dispatched attempt has ended.
func (l *Ledger) Done(id wire.ID, e wire.Epoch) {
	attempts := l.covered(e)
	if attempts[id] == stateDispatched {
		attempts[id] = stateDone
	}
}

// Revoke turns a dispatched attempt into a tombstone. The caller vouches that
// no byte of it was sent and none will be.
func (l *Ledger) Revoke(id wire.ID, e wire.Epoch) {
	attempts := l.covered(e)
	if attempts[id] == stateDispatched {
		attempts[id] = stateTombstone
	}
}

// Settle says what became of an attempt. It answers NotRun only after making
// sure that the attempt will never be dispatched.
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
