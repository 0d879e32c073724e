package offerlog

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Record is what a gate knows of an attempt.
type Record int

const (
	// RecordNone means that this process has not sent the attempt to its target.
	RecordNone Record = iota
	// RecordWithdrawn means that the attempt was not sent and will not be.
	RecordWithdrawn
	// RecordSent means that the target runs the attempt, has run it or may have.
	RecordSent
)

func (r Record) String() string { return [...]string{"none", "withdrawn", "sent"}[r] }

const (
	// Retention is how long a record is kept after the deadline of its attempt. A delayed
	// transmission may arrive after the deadline.
	Retention = 2 * time.Minute
	// minSweep is the least number of records at which expired ones are removed.
	minSweep = 1024
)

// Gate holds the records of the attempts at one process of a gate. It is not safe for
// concurrent use.
type Gate struct {
	incarnation int64
	records     map[string]record
	// sweepAt is the number of records at which expired ones are removed next. It is half
	// above what the last removal left, so that a removal looks at three records an attempt.
	sweepAt int
}

type record struct {
	// open is the number of transmissions to the target without a result.
	open int
	// ran is set once a transmission may have run.
	ran, withdrawn bool
	// until is when the record may be removed.
	until time.Time
}

// NewGate returns the records of a new process of a gate.
func NewGate(incarnation int64) *Gate {
	return &Gate{incarnation: incarnation, records: map[string]record{}, sweepAt: minSweep}
}

func (r record) state() Record {
	switch {
	case r.ran || r.open > 0:
		return RecordSent
	case r.withdrawn:
		return RecordWithdrawn
	}
	return RecordNone
}

// Record returns what is known of an attempt.
func (g *Gate) Record(id string) Record { return g.records[id].state() }

// Check returns the record that keeps an attempt from being sent to the target, or RecordNone. A
// repeatable attempt may be sent while or after it runs.
func (g *Gate) Check(id string, repeatable bool) Record {
	r := g.records[id].state()
	if r == RecordSent && repeatable {
		return RecordNone
	}
	return r
}

// Send records that an attempt is sent to the target. It may only be called if Check
// returns RecordNone.
func (g *Gate) Send(id string, now, deadline time.Time) {
	r := g.records[id]
	r.open++
	g.put(id, r, now, deadline)
}

// Finish records the result of a transmission to the target.
func (g *Gate) Finish(id string, run wire.RunState) {
	r := g.records[id]
	r.open = max(r.open-1, 0)
	r.ran = r.ran || run != wire.NotRun
	if r.state() == RecordNone {
		delete(g.records, id)
		return
	}
	g.records[id] = r
}

// Refuse returns the run state of a refusal of an offer, apart from a target's own. That of a
// first offer of a repeatable attempt speaks for this offer alone, since the ingress has the
// record of earlier ones. All others speak for the attempt.
func (g *Gate) Refuse(id string, repeatable, again bool) wire.RunState {
	if g.Record(id) == RecordSent && (again || !repeatable) {
		return wire.Unknown
	}
	return wire.NotRun
}

// Withdraw ensures that an attempt is not sent from now on, unless it already has been. It
// reports whether it was sent or may have been, as the attempts of another process are not
// known.
func (g *Gate) Withdraw(id string, incarnation int64, now time.Time) (sent bool) {
	r := g.records[id]
	if incarnation != g.incarnation || r.state() == RecordSent {
		return true
	}
	r.withdrawn = true
	g.put(id, r, now, now)
	return false
}

func (g *Gate) put(id string, r record, now, deadline time.Time) {
	if until := later(now, deadline).Add(Retention); until.After(r.until) {
		r.until = until
	}
	g.records[id] = r
	if len(g.records) < g.sweepAt {
		return
	}
	for old, r := range g.records {
		if r.open == 0 && now.After(r.until) {
			delete(g.records, old)
		}
	}
	g.sweepAt = max(minSweep, len(g.records)*3/2)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
