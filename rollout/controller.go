package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

// Member is a target of the service that has not left.
type Member struct {
	Host, Version string
}

const (
	// grantWindow is how many requests a gate may send beyond those it has reported. A
	// target of 4 slots sends about five between two reports of usual requests.
	grantWindow = 10
	// chargeAhead is by how much the charged total in the row is ahead of what has
	// been granted: about two seconds of grants. It is lost at a takeover.
	chargeAhead = 30
	// freshFor is how long after its last report a gate counts as reachable.
	freshFor = 2 * time.Second
	// idleCanary is how long a canary may leave its allowance unused before the next
	// target also receives one: it may be out of reach of most callers.
	idleCanary = 1500 * time.Millisecond
	// firstCanaries is the number of targets that receive allowances at first. Two tell a
	// bad version from a bad target, and show twice as many answers as one. At full
	// slots they stay within the budget of a service with ten times as many targets.
	firstCanaries = 2
	// maxCanaries bounds the targets that receive allowances.
	maxCanaries = 4
)

// Controller decides on one roll-out. Times are those since the order.
type Controller struct {
	order  Order
	limits Limits
	// state is the present state, and durable the one last written to the row.
	state, durable *State
	// granted is the sum of the allowances granted, and resumed is set after a takeover.
	granted int
	resumed bool
	gates   map[string]*gateState
	members []Member
	// canaries is the number of targets that receive allowances, and usedAt when it last
	// grew or a canary used its allowance.
	canaries int
	usedAt   time.Duration
	// chosen are the hosts whose targets are the canaries.
	chosen []string
	// told is the directive with the present step.
	told Directive
	// suspendedAt is when a target was set aside.
	suspendedAt time.Duration
}

// gateState is what the controller knows of a gate.
type gateState struct {
	incarnation int64
	version     string
	seq         uint64
	used, limit int
	seenAt      time.Duration
	cold        bool
	// confirmed is set if the gate refuses new requests and holds none.
	confirmed bool
}

// Start returns the controller of a new roll-out. previous is the state of the service's
// last roll-out, or nil, and inUse the version in use if there was none.
func Start(o Order, l Limits, holder string, previous *State, inUse string) *Controller {
	s := &State{Service: o.Service, Target: o.Target, Order: o.Version, Holder: holder, Term: 1, Phase: Canary, From: inUse}
	if previous != nil {
		s.Term = previous.Term + 1
		if from := previous.InUse(); from != "" {
			s.From = from
		}
	}
	return newController(o, l, s)
}

// Resume returns the controller that takes over a roll-out. All allowances charged count
// as used.
func Resume(o Order, l Limits, holder string, s *State) *Controller {
	s = s.clone()
	s.Holder, s.Term = holder, s.Term+1
	c := newController(o, l, s)
	c.granted, c.resumed = s.Charged, true
	return c
}

func newController(o Order, l Limits, s *State) *Controller {
	if s.Old == nil {
		s.Old = Tallies{}
	}
	if s.New == nil {
		s.New = Tallies{}
	}
	return &Controller{order: o, limits: l, state: s, gates: map[string]*gateState{}, canaries: firstCanaries}
}

// State returns the present state. The caller must not modify it.
func (c *Controller) State() *State { return c.state }

// Next returns the state to write now.
func (c *Controller) Next(now time.Duration) *State {
	c.state.ElapsedMs = now.Milliseconds()
	ahead := min(c.limits.budget(c.state.Total), c.granted+chargeAhead)
	c.state.Charged = max(c.state.Charged, ahead)
	return c.state.clone()
}

// Committed records that a state has been written to the row.
func (c *Controller) Committed(s *State) { c.durable = s }

// Pending reports whether the state differs from the written one in what gates must know.
func (c *Controller) Pending() bool { return c.durable == nil || c.durable.Phase != c.state.Phase }

// Directive returns the directive in force. It is that of the written state.
func (c *Controller) Directive(now time.Duration) (Directive, bool) {
	if c.durable == nil {
		return Directive{}, false
	}
	d := c.durable.Directive()
	d.SharePercent = c.sharePercent(now)
	if d.Phase == Canary {
		d.CanaryHosts = strings.Join(c.canaryHosts(now), " ")
	}
	if d.SharePercent != c.told.SharePercent || d.CanaryHosts != c.told.CanaryHosts {
		d.Step = c.told.Step + 1
		c.told = d
	}
	d.Step = c.told.Step
	return d, true
}

// Report applies a gate's report and returns the answer. It returns false if there is
// none: nothing may be granted before the state is written, and a version found bad
// is granted none although that is not written yet.
func (c *Controller) Report(r Report, now time.Duration) (Answer, bool) {
	d, ok := c.Directive(now)
	if !ok || c.state.Phase == RolledBack && c.durable.Phase != RolledBack {
		return Answer{}, false
	}
	if r.Order != c.state.Order {
		return Answer{Directive: d}, true // a gate that learns of the order
	}
	g := c.gates[r.Host]
	takenOver := c.resumed && g == nil
	if g == nil || g.incarnation != r.Incarnation {
		g = &gateState{incarnation: r.Incarnation}
		c.gates[r.Host] = g
	}
	g.version, g.seenAt, g.cold = r.Version, now, r.Cold
	if r.Seq > g.seq {
		g.seq = r.Seq
		c.count(r, takenOver)
	}
	if r.Used > g.used {
		c.usedAt = now
	}
	g.used, g.limit = max(g.used, r.Used), max(g.limit, r.Limit)
	if r.Version != c.state.Target {
		// Nothing is sent to the target after that, also not after a restart.
		g.confirmed = g.confirmed || d.Phase == Withdraw && r.Withdrawn && r.Held == 0
		return Answer{Directive: d, Seq: r.Seq}, true
	}
	if c.state.FirstMs == 0 {
		c.state.FirstMs = max(now.Milliseconds(), 1)
	}
	if c.usedAt == 0 {
		c.usedAt = now
	}
	a := Answer{Directive: d, Seq: r.Seq, Limit: g.limit}
	switch {
	case d.Phase == Ramp:
		a.Open = !slices.Contains(c.state.Suspects, r.Host)
	case d.Phase == Canary && c.isCanary(r.Host, now):
		want := min(g.used+grantWindow-g.limit, c.durable.Charged-c.granted)
		if want > 0 {
			g.limit += want
			c.granted += want
		}
		a.Limit = g.limit
	}
	return a, true
}

// count adds the counts of a report. The first batch after a takeover may have been
// counted by the previous holder. It is left out of the total, which bounds the
// exposure.
func (c *Controller) count(r Report, takenOver bool) {
	if !takenOver {
		c.state.Total += r.Sent
	}
	tallies := c.state.Old
	if r.Version == c.state.Target {
		tallies = c.state.New
	}
	for route, t := range r.Counts {
		route = tallies.fold(route)
		tallies.add(route, t)
		if r.Version == c.state.Target && !slices.Contains(c.state.Suspects, r.Host) {
			c.state.evaluate(r.Host, route, t)
		}
	}
}

// isCanary reports whether a host's target receives allowances.
func (c *Controller) isCanary(host string, now time.Duration) bool {
	return slices.Contains(c.canaryHosts(now), host)
}

// canaryHosts returns the hosts whose targets receive allowances. They stay the same as
// long as they are reachable and not suspects, since what another one has been granted and
// not used is lost. Others follow in the order of CanaryOrder.
func (c *Controller) canaryHosts(now time.Duration) []string {
	c.chosen = slices.DeleteFunc(c.chosen, func(host string) bool { return !c.mayBeCanary(host, now) })
	if len(c.chosen) >= c.canaries {
		return c.chosen
	}
	for _, host := range CanaryOrder(c.state.Order, c.newHosts()) {
		if len(c.chosen) < c.canaries && !slices.Contains(c.chosen, host) && c.mayBeCanary(host, now) {
			c.chosen = append(c.chosen, host)
		}
	}
	return c.chosen
}

func (c *Controller) mayBeCanary(host string, now time.Duration) bool {
	g := c.gates[host]
	return g != nil && g.version == c.state.Target && now-g.seenAt < freshFor && !slices.Contains(c.state.Suspects, host)
}

func (c *Controller) newHosts() []string {
	var hosts []string
	for _, m := range c.members {
		if m.Version == c.state.Target {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// CanaryOrder returns the hosts of targets of the new version in the order in which they
// serve as canary. All hosts compute it alike.
func CanaryOrder(order uint64, hosts []string) []string {
	return quota.RankOwners("canary "+formatOrder(order), hosts)
}

// HolderOrder returns the hosts of a service in the order in which they become holder.
func HolderOrder(order uint64, hosts []string) []string {
	return quota.RankOwners("rollout "+formatOrder(order), hosts)
}

// OrderedAt records the time of the order on the store's clock, in milliseconds.
func (c *Controller) OrderedAt(ms int64) {
	if c.state.OrderedAtMs == 0 {
		c.state.OrderedAtMs = ms
	}
}

// Summary describes the evidence, for the log.
func (c *Controller) Summary() string {
	var old, next Tally
	for _, t := range c.state.Old {
		old.add(t)
	}
	for _, t := range c.state.New {
		next.add(t)
	}
	return fmt.Sprintf("old version: %d answers, %d failed, median %s; new version: %d answers, %d failed, median %s",
		old.Answers, old.Failed, old.Latency.quantile(0.5), next.Answers, next.Failed, next.Latency.quantile(0.5))
}
