package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
)

// RequestKind is a class of requests in a load.
type RequestKind struct {
	Name string
	// PerSecond is the rate of the Poisson arrivals.
	PerSecond float64
	// MeanServiceTime is the mean of the lognormal service time, Sigma the standard
	// deviation of its logarithm.
	MeanServiceTime time.Duration
	Sigma           float64
	// Objective is the latency objective, Deadline how long callers wait. Both
	// count from the caller's first attempt.
	Objective, Deadline time.Duration
	// Priority ranks kinds; 0 is the most urgent.
	Priority int
	// Nested marks requests that other running requests make.
	Nested bool
}

// QueueLoad is a load on the admission queues of the targets of one service.
type QueueLoad struct {
	Targets, Slots int
	Kinds          []RequestKind
	// Duration is how long new requests arrive.
	Duration time.Duration
	Seed     uint64
}

// Outcomes counts the outcomes of one kind of request.
type Outcomes struct {
	Requests, InTime, Late, Refused int
	// Retries counts attempts after a refusal.
	Retries int
	// MaxRefusalDelay is the longest time that an attempt waited before its refusal.
	MaxRefusalDelay time.Duration
}

// InTimeShare is the fraction of requests answered within the objective.
func (g Outcomes) InTimeShare() float64 { return float64(g.InTime) / float64(max(g.Requests, 1)) }

// ServedShare is the fraction of requests answered within the deadline.
func (g Outcomes) ServedShare() float64 {
	return float64(g.InTime+g.Late) / float64(max(g.Requests, 1))
}

// CapacityShare is the fraction of the load that the slots have capacity for.
func (l QueueLoad) CapacityShare() float64 {
	busy := 0.0
	for _, k := range l.Kinds {
		busy += k.PerSecond * k.MeanServiceTime.Seconds()
	}
	return min(1, float64(l.Targets*l.Slots)/busy)
}

// queueModel simulates a QueueLoad.
type queueModel struct {
	*loop
	load     QueueLoad
	rnd      *rand.Rand
	queues   []*admission.Queue
	outcomes map[string]*Outcomes
}

// attempt is one attempt of a request.
type attempt struct {
	kind           RequestKind
	serviceTime    time.Duration
	firstOfferedAt time.Time // time of the request's first attempt
	offeredAt      time.Time
	queue          *admission.Queue
	item           *admission.Item
	retries        int
}

// Run runs the simulation and returns the outcomes by kind. A refused caller
// retries after the delay stated in the refusal, unless it exceeds
// maxRetryDelayShare of the caller's remaining time.
func (l QueueLoad) Run() map[string]*Outcomes {
	m := &queueModel{loop: newLoop(), load: l, rnd: rand.New(rand.NewPCG(l.Seed, 0)), outcomes: map[string]*Outcomes{}}
	for range l.Targets {
		m.queues = append(m.queues, admission.NewQueue(l.Slots))
	}
	for _, k := range l.Kinds {
		m.outcomes[k.Name] = &Outcomes{}
		m.scheduleNext(k)
	}
	m.runUntil(epoch.Add(l.Duration))
	m.load.Kinds = nil
	m.runUntil(epoch.Add(2 * l.Duration))
	return m.outcomes
}

// scheduleNext schedules the arrival of the next request of a kind.
func (m *queueModel) scheduleNext(k RequestKind) {
	m.after(time.Duration(m.rnd.ExpFloat64()/k.PerSecond*float64(time.Second)), func() {
		if len(m.load.Kinds) == 0 {
			return
		}
		m.outcomes[k.Name].Requests++
		work := k.MeanServiceTime.Seconds() * math.Exp(k.Sigma*m.rnd.NormFloat64()-k.Sigma*k.Sigma/2)
		m.offer(&attempt{kind: k, serviceTime: time.Duration(work * float64(time.Second)), firstOfferedAt: m.now})
		m.scheduleNext(k)
	})
}

// offer offers an attempt to the target with the shortest expected wait, or of
// these to the one that runs fewest requests.
func (m *queueModel) offer(t *attempt) {
	t.queue = m.queues[0]
	for _, l := range m.queues[1:] {
		if l.ExpectedWait() < t.queue.ExpectedWait() || l.ExpectedWait() == t.queue.ExpectedWait() && l.Running() < t.queue.Running() {
			t.queue = l
		}
	}
	until := t.firstOfferedAt.Add(t.kind.Deadline)
	t.offeredAt = m.now
	t.item = &admission.Item{Nested: t.kind.Nested, Priority: t.kind.Priority, Expected: t.kind.MeanServiceTime, Deadline: until,
		MaxWait: until.Sub(m.now), Value: t}
	if !t.kind.Nested {
		t.item.Objective = t.firstOfferedAt.Add(t.kind.Objective)
	}
	verdict, dropped := t.queue.Offer(m.now, t.item)
	for _, d := range dropped {
		m.refuse(d.Value.(*attempt))
	}
	switch verdict {
	case admission.Admitted:
		m.start(t)
	case admission.Queued:
	default:
		m.refuse(t)
	}
}

func (m *queueModel) start(t *attempt) {
	m.after(t.serviceTime, func() {
		g := m.outcomes[t.kind.Name]
		switch took := m.now.Sub(t.firstOfferedAt); {
		case took <= t.kind.Objective:
			g.InTime++
		case took <= t.kind.Deadline:
			g.Late++
		default:
			g.Refused++
		}
		t.queue.Complete(t.serviceTime, t.kind.Nested)
		run, late := t.queue.Next(m.now)
		for _, it := range run {
			m.start(it.Value.(*attempt))
		}
		for _, it := range late {
			m.refuse(it.Value.(*attempt))
		}
	})
}

// maxRetryDelayShare is the maximum delay before a retry, as a fraction of the
// caller's remaining time.
const maxRetryDelayShare = 1.0 / 3

func (m *queueModel) refuse(t *attempt) {
	g := m.outcomes[t.kind.Name]
	g.MaxRefusalDelay = max(g.MaxRefusalDelay, m.now.Sub(t.offeredAt))
	after := admission.RetryDelay(t.queue.ExpectedWait(), t.kind.Priority, m.rnd.Float64())
	left := t.firstOfferedAt.Add(t.kind.Deadline).Sub(m.now)
	if after > time.Duration(maxRetryDelayShare*float64(left)) {
		g.Refused++
		return
	}
	g.Retries++
	retry := &attempt{kind: t.kind, serviceTime: t.serviceTime, firstOfferedAt: t.firstOfferedAt, retries: t.retries + 1}
	m.after(after, func() { m.offer(retry) })
}
