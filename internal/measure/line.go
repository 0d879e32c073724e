package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
)

// Kind is a kind of request of a load.
type Kind struct {
	Name string
	// PerSecond is how many begin in a second, at random times.
	PerSecond float64
	// Work is the mean time that a target needs, Spread the standard deviation
	// of its logarithm.
	Work   time.Duration
	Spread float64
	// Objective is the time that earns the full worth, Deadline the time for
	// which callers wait.
	Objective, Deadline time.Duration
	// Priority ranks kinds; 0 is the most urgent.
	Priority int
	// Inner marks calls made by work that is running.
	Inner bool
}

// LineLoad is a load on the lines of some targets of one service.
type LineLoad struct {
	Targets, Slots int
	Kinds          []Kind
	// For is how long requests begin.
	For  time.Duration
	Seed uint64
}

// Got is what the callers of a kind got.
type Got struct {
	Asked, InTime, Late, Refused int
	// Returned counts the tries after a refusal.
	Returned int
	// RefusedAfter is the longest time that a try waited for its refusal.
	RefusedAfter time.Duration
}

// InTimeShare is the part that got an answer within its objective.
func (g Got) InTimeShare() float64 { return float64(g.InTime) / float64(max(g.Asked, 1)) }

// ServedShare is the part that got an answer.
func (g Got) ServedShare() float64 { return float64(g.InTime+g.Late) / float64(max(g.Asked, 1)) }

// Bearable is the part of the load that the slots can bear.
func (l LineLoad) Bearable() float64 {
	busy := 0.0
	for _, k := range l.Kinds {
		busy += k.PerSecond * k.Work.Seconds()
	}
	return min(1, float64(l.Targets*l.Slots)/busy)
}

// lineModel plays a LineLoad.
type lineModel struct {
	*loop
	load  LineLoad
	rnd   *rand.Rand
	lines []*admission.Queue
	got   map[string]*Got
}

// lineTry is one try of a caller.
type lineTry struct {
	kind       Kind
	work       time.Duration
	begun      time.Time // of the caller's first try
	offered    time.Time
	line       *admission.Queue
	item       *admission.Item
	returnings int
}

// Play returns what the callers of each kind got. Callers come back as refusals
// tell them, while a third of their time allows it.
func (l LineLoad) Play() map[string]*Got {
	m := &lineModel{loop: newLoop(), load: l, rnd: rand.New(rand.NewPCG(l.Seed, 0)), got: map[string]*Got{}}
	for range l.Targets {
		m.lines = append(m.lines, admission.NewQueue(l.Slots))
	}
	for _, k := range l.Kinds {
		m.got[k.Name] = &Got{}
		m.next(k)
	}
	m.runUntil(epoch.Add(l.For))
	m.load.Kinds = nil
	m.runUntil(epoch.Add(2 * l.For))
	return m.got
}

// next schedules the next request of a kind.
func (m *lineModel) next(k Kind) {
	m.after(time.Duration(m.rnd.ExpFloat64()/k.PerSecond*float64(time.Second)), func() {
		if len(m.load.Kinds) == 0 {
			return
		}
		m.got[k.Name].Asked++
		work := k.Work.Seconds() * math.Exp(k.Spread*m.rnd.NormFloat64()-k.Spread*k.Spread/2)
		m.offer(&lineTry{kind: k, work: time.Duration(work * float64(time.Second)), begun: m.now})
		m.next(k)
	})
}

// offer offers a try to the target with the shortest line.
func (m *lineModel) offer(t *lineTry) {
	t.line = m.lines[0]
	for _, l := range m.lines[1:] {
		if l.ExpectedWait() < t.line.ExpectedWait() || l.ExpectedWait() == t.line.ExpectedWait() && l.Running() < t.line.Running() {
			t.line = l
		}
	}
	until := t.begun.Add(t.kind.Deadline)
	t.offered = m.now
	t.item = &admission.Item{Nested: t.kind.Inner, Priority: t.kind.Priority, Expected: t.kind.Work, Deadline: until,
		MaxWait: until.Sub(m.now), Value: t}
	if !t.kind.Inner {
		t.item.Objective = t.begun.Add(t.kind.Objective)
	}
	verdict, dropped := t.line.Offer(m.now, t.item)
	for _, d := range dropped {
		m.refuse(d.Value.(*lineTry))
	}
	switch verdict {
	case admission.Admitted:
		m.start(t)
	case admission.Queued:
	default:
		m.refuse(t)
	}
}

func (m *lineModel) start(t *lineTry) {
	m.after(t.work, func() {
		g := m.got[t.kind.Name]
		switch took := m.now.Sub(t.begun); {
		case took <= t.kind.Objective:
			g.InTime++
		case took <= t.kind.Deadline:
			g.Late++
		default:
			g.Refused++
		}
		t.line.Complete(t.work, t.kind.Inner)
		run, late := t.line.Next(m.now)
		for _, it := range run {
			m.start(it.Value.(*lineTry))
		}
		for _, it := range late {
			m.refuse(it.Value.(*lineTry))
		}
	})
}

// lineReturnShare is the part of its remaining time after which a caller comes
// back at the latest.
const lineReturnShare = 1.0 / 3

func (m *lineModel) refuse(t *lineTry) {
	g := m.got[t.kind.Name]
	g.RefusedAfter = max(g.RefusedAfter, m.now.Sub(t.offered))
	after := admission.RetryDelay(t.line.ExpectedWait(), t.kind.Priority, m.rnd.Float64())
	left := t.begun.Add(t.kind.Deadline).Sub(m.now)
	if after > time.Duration(lineReturnShare*float64(left)) {
		g.Refused++
		return
	}
	g.Returned++
	again := &lineTry{kind: t.kind, work: t.work, begun: t.begun, returnings: t.returnings + 1}
	m.after(after, func() { m.offer(again) })
}
