package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Directive is what gates and ingresses know of a roll-out.
type Directive struct {
	Order  uint64 `json:"o"`
	Term   uint64 `json:"t"`
	Phase  Phase  `json:"p"`
	Target string `json:"v"`
	From   string `json:"f,omitempty"`
	// SharePercent is the share of the requests that is offered to the new version
	// first.
	SharePercent int `json:"s,omitempty"`
	// CanaryHosts are the hosts of the new targets that the share is offered to in phase
	// Canary, separated by spaces. It is empty if there are none yet.
	CanaryHosts string `json:"c,omitempty"`
	// Step orders the directives of a term.
	Step int `json:"n,omitempty"`
}

// Canaries returns the hosts of the new targets that serve in phase Canary.
func (d Directive) Canaries() []string { return strings.Fields(d.CanaryHosts) }

// Supersedes reports whether d is newer than other. A final phase is durable before
// it is told, so it holds against any term.
func (d Directive) Supersedes(other Directive) bool {
	switch {
	case d.Order != other.Order:
		return d.Order > other.Order
	case d.Phase.Final() != other.Phase.Final():
		return d.Phase.Final()
	case d.Term != other.Term:
		return d.Term > other.Term
	case d.Phase != other.Phase:
		return d.Phase > other.Phase
	}
	return d.Step > other.Step
}

// Report is what a gate tells the controller.
type Report struct {
	Host        string `json:"-"`
	Incarnation int64  `json:"i"`
	Order       uint64 `json:"o"`
	Version     string `json:"v"`
	// Seq identifies the batch of counts. A batch is sent again until a reply names it.
	Seq    uint64  `json:"q"`
	Sent   int     `json:"n,omitempty"`
	Counts Tallies `json:"c,omitempty"`
	// Used and Limit are the requests sent and permitted under allowances since the
	// process started.
	Used  int `json:"u,omitempty"`
	Limit int `json:"l,omitempty"`
	// Withdrawn is set if the gate knows that it must refuse, in the directive of
	// Term, and Held is the number of requests that its target holds.
	Withdrawn bool   `json:"w,omitempty"`
	Term      uint64 `json:"t,omitempty"`
	Held      int    `json:"h,omitempty"`
	// Cold is set if the target is cold, so that it bears few requests.
	Cold bool `json:"k,omitempty"`
}

// Answer is the controller's answer to a report.
type Answer struct {
	Directive Directive `json:"d"`
	// Seq is the batch that has been counted.
	Seq uint64 `json:"q"`
	// Limit is the number of requests that the gate may have sent since its process
	// started.
	Limit int `json:"l,omitempty"`
	// Open lifts the limit for as long as the answer is valid.
	Open bool `json:"n,omitempty"`
}

// AllowanceTTL is how long an allowance is valid. It allows for two lost reports.
const AllowanceTTL = 1500 * time.Millisecond

const (
	// maxBatchBytes bounds the counts of one report, so that it fits into a datagram of
	// 1,200 bytes with its other fields. tallyBytes and bucketBytes are the sizes of a
	// tally and a bucket in JSON, apart from the route's name.
	maxBatchBytes = 800
	tallyBytes    = 40
	bucketBytes   = 9
)

// Gate holds what the gate of a target knows of a roll-out of its service. Time is
// that since the boot of the host.
type Gate struct {
	incarnation int64
	directive   Directive
	known       bool
	used, limit int
	open        bool
	validUntil  time.Duration
	// pending are the counts that are not in a batch yet. batch is the one in transit.
	pending     Tallies
	pendingSent int
	batch       Tallies
	batchSent   int
	seq         uint64
	brokeAt     time.Duration
}

// NewGate returns the state of a gate process that knows no roll-out.
func NewGate(incarnation int64) *Gate { return &Gate{incarnation: incarnation, pending: Tallies{}} }

// Directive returns the latest directive.
func (g *Gate) Directive() (Directive, bool) { return g.directive, g.known }

// Learn applies a directive that grants nothing, such as that of the row.
func (g *Gate) Learn(d Directive) (changed bool) {
	if g.known && !d.Supersedes(g.directive) {
		return false
	}
	if d.Order != g.directive.Order || d.Term != g.directive.Term {
		g.open, g.validUntil = false, 0
	}
	g.directive, g.known = d, true
	return true
}

// Verdicts of Gate.Check.
const (
	// Serve permits a request.
	Serve = ""
	// RefuseVersion and RefuseAllowance refuse one.
	RefuseVersion   = "the service runs another version"
	RefuseAllowance = "the version has no allowance at this target"
	RefuseUnknown   = "the version of the target is not known yet"
)

// Check returns whether a target of a version may receive a request of the service.
func (g *Gate) Check(version string, now time.Duration) string {
	d := g.directive
	switch {
	case version == "":
		return RefuseUnknown
	case d.Phase == Withdraw, d.Phase == Completed:
		if version != d.Target {
			return RefuseVersion
		}
		return Serve
	case version == d.From, d.From == "" && version != d.Target:
		return Serve
	case version != d.Target, d.Phase == RolledBack:
		return RefuseVersion
	case now >= g.validUntil || !g.open && g.used >= g.limit:
		return RefuseAllowance
	}
	return Serve
}

// Sent records that a request was sent to the target.
func (g *Gate) Sent(version string) {
	g.pendingSent++
	if version == g.directive.Target {
		g.used++
	}
}

// breakInterval is how often a broken connection counts as a failure. When a target or
// its host is killed, all its connections break at once, which says little about the
// version.
const breakInterval = time.Second

// Result is the result of a request.
type Result struct {
	Failed bool
	// Broken is set if the connection broke before the answer.
	Broken bool
	// Abandoned is set if the request was given up before its answer.
	Abandoned bool
	// Warm is set if the target was not cold, so that its latency can be compared.
	Warm bool
	Took time.Duration
}

// Observe counts the result of a request.
func (g *Gate) Observe(route string, r Result, now time.Duration) {
	t := Tally{Answers: 1}
	if r.Broken {
		if g.brokeAt != 0 && now-g.brokeAt < breakInterval {
			return
		}
		g.brokeAt = now
	}
	if r.Failed || r.Broken {
		t.Failed = 1
	} else if r.Warm && r.Abandoned {
		t.Latency = Histogram{abandonedBucket: 1}
	} else if r.Warm {
		t.Latency = Histogram{bucketOf(r.Took): 1}
	}
	g.pending.add(g.pending.fold(route), t)
}

// Report returns the next report.
func (g *Gate) Report(version string, held int, now time.Duration) Report {
	if g.batch == nil {
		g.seq++
		g.batch, g.batchSent, g.pendingSent = Tallies{}, g.pendingSent, 0
		size := 0
		for _, route := range slices.Sorted(maps.Keys(g.pending)) {
			added := tallyBytes + len(route) + bucketBytes*len(g.pending[route].Latency)
			if size += added; size > maxBatchBytes && len(g.batch) > 0 {
				size -= added
				continue // in a later batch
			}
			g.batch[route] = g.pending[route]
			delete(g.pending, route)
		}
	}
	return Report{
		Incarnation: g.incarnation, Order: g.directive.Order, Version: version,
		Seq: g.seq, Sent: g.batchSent, Counts: g.batch, Used: g.used, Limit: g.limit,
		Withdrawn: g.Check(version, now) == RefuseVersion, Term: g.directive.Term, Held: held,
	}
}

// Apply applies the answer to a report that was sent at askedAt. It returns whether
// the directive has changed.
func (g *Gate) Apply(a Answer, askedAt time.Duration) (changed bool) {
	if g.known && a.Directive != g.directive && !a.Directive.Supersedes(g.directive) {
		return false // of an earlier holder
	}
	if a.Seq == g.seq {
		g.batch, g.batchSent = nil, 0
	}
	changed = g.Learn(a.Directive)
	if a.Directive.Phase.Final() {
		g.open, g.validUntil = false, 0
		return changed
	}
	g.limit = max(g.limit, a.Limit)
	g.open = a.Open
	g.validUntil = max(g.validUntil, askedAt+AllowanceTTL)
	return changed
}

// Reset forgets the counts and allowances of an earlier order.
func (g *Gate) Reset() {
	g.used, g.limit, g.open, g.validUntil = 0, 0, false, 0
	g.pending, g.pendingSent = Tallies{}, 0
	g.batch, g.batchSent = nil, 0
}
