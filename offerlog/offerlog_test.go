package offerlog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Guards against forgetting that a read was sent when one of its two transmissions was not run
// while the other one had no result yet.
func TestResultOfOneTransmissionDoesNotSpeakForAnother(t *testing.T) {
	now := time.Unix(1, 0)
	for _, c := range []struct {
		name   string
		first  wire.RunState
		second wire.RunState
		after  Record
	}{
		{"neither ran", wire.NotRun, wire.NotRun, RecordNone},
		{"the other ran", wire.NotRun, wire.Ran, RecordSent},
		{"the first may have run", wire.Unknown, wire.NotRun, RecordSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(1)
			g.Send(id, now, now)
			g.Send(id, now, now)
			g.Finish(id, c.first)
			assert.Equal(t, g.Record(id), RecordSent, "one transmission is open")
			g.Finish(id, c.second)
			assert.Equal(t, g.Record(id), c.after)
			assert.Equal(t, g.Withdraw(id, 1, now), c.after == RecordSent)
		})
	}
}

// Guards against forgetting an attempt while its caller waits or a transmission is open, and
// against records that are never removed.
func TestRecordsAreKeptBeyondTheDeadline(t *testing.T) {
	begun := time.Unix(1, 0)
	deadline := begun.Add(30 * time.Second)
	g := NewGate(1)
	g.Send("open", begun, begun)
	g.Send(id, begun, deadline)
	g.Finish(id, wire.Ran)
	fill := func(now time.Time) {
		for i := range 3 * minSweep {
			other := fmt.Sprint(now.Unix(), i)
			g.Send(other, now, now)
			g.Finish(other, wire.Ran)
		}
	}
	fill(deadline.Add(Retention))
	assert.Equal(t, g.Record(id), RecordSent)
	fill(deadline.Add(3 * Retention))
	fill(deadline.Add(5 * Retention))
	assert.Equal(t, g.Record(id), RecordNone)
	assert.Equal(t, g.Record("open"), RecordSent)
	assert.Assert(t, len(g.records) < 3*3*minSweep, "%d records", len(g.records))
}

// Guards against a later loss or refusal that takes back what is known of an offer.
func TestKnowledgeOfAnOfferOnlyGrows(t *testing.T) {
	q := &Request{}
	o := q.Begin("t", "h", 1)
	o.MarkSent()
	assert.Equal(t, o.Reply(0, Reply{Lost: true}), Lost)
	assert.Equal(t, o.State(), Sent)
	again := o.Repeat()
	assert.Equal(t, o.State(), Sent)
	assert.Assert(t, !o.MayBegin())
	assert.Equal(t, o.Reply(again, Reply{Run: wire.NotRun}), Unsettled)
	assert.Equal(t, q.RunState(), wire.Unknown)
	assert.Equal(t, o.Reply(again, Reply{Run: wire.Ran}), Concluded)
	o.SettleWithdrawal(false)
	assert.Equal(t, o.Reply(again, Reply{Run: wire.NotRun, Settled: true}), Concluded)
	assert.Equal(t, q.End(o), wire.Ran)
	assert.Equal(t, q.RunState(), wire.Unknown)
}
