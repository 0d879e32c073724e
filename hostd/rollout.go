package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
)

// queryRollout reports a gate's counts to the controller of a roll-out, which answers
// with an allowance. Other hosts answer with the directive that they know and the holder.
const queryRollout = "rollout"

// rolloutsTable holds the state of each service's last roll-out. Its row is the lease of
// the host on which the controller runs.
const rolloutsTable = "rollouts"

const (
	// rolloutTick is how often a host decides on the roll-out of its service.
	rolloutTick = 100 * time.Millisecond
	// rolloutReportInterval is the interval between the reports of a gate.
	rolloutReportInterval = 500 * time.Millisecond
	// rolloutReportRetry is the interval after a report that no holder has answered.
	rolloutReportRetry = 250 * time.Millisecond
	// orderNoticeDelay is the usual time between an order and its arrival at a host.
	orderNoticeDelay = 300 * time.Millisecond
)

// rollouts takes part in the roll-out of this host's service, as the gate of a target
// and, on one host, as the holder.
type rollouts struct {
	host     string
	settings func() *karpithaz.Settings
	view     func() *View
	store    store
	gate     *Gate
	query    func(ctx context.Context, addr string, q datagram) (datagram, error)
	// replying returns the number of other hosts' requests at the gate that are not
	// answered yet. A target that is stopped takes its host along.
	replying func() int
	log      *decisions.Log
	metrics  *metrics.Registry

	mu sync.Mutex
	// order is the order in force, and orderSeenAt when this host first saw it.
	order       rollout.Order
	orderSeenAt time.Duration
	// holder is the host that is believed to hold the roll-out, and contactAt when it
	// last answered.
	holder    string
	contactAt time.Duration
	// lease is set while this host holds the roll-out.
	lease *lease
	// The fields below are used only by run. row is the last state read from the store
	// and rowSince when it was first read at rowVersion.
	row        *rollout.State
	rowVersion uint64
	rowSince   time.Duration
	readAt     time.Duration
	rowRead    bool
}

func newRollouts(host string, settings func() *karpithaz.Settings, view func() *View, s store, g *Gate,
	query func(context.Context, string, datagram) (datagram, error), l *decisions.Log, m *metrics.Registry) *rollouts {
	return &rollouts{host: host, settings: settings, view: view, store: s, gate: g, query: query, replying: func() int { return 0 }, log: l, metrics: m}
}

func rolloutLimits(b karpithaz.Bounds) rollout.Limits {
	return rollout.Limits{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

// run decides until ctx ends.
func (r *rollouts) run(ctx context.Context) error {
	for pause.For(ctx, rolloutTick) {
		if r.settings().Rollouts && r.view().Ready() {
			r.tick(ctx)
		}
	}
	return nil
}

func (r *rollouts) tick(ctx context.Context) {
	service := r.gate.targetService()
	order, ordered := r.view().orders[service]
	if !ordered {
		r.mu.Lock()
		r.order, r.lease = rollout.Order{}, nil
		r.mu.Unlock()
		r.gate.noOrder(r.view().inUse[service])
		return
	}
	r.begin(order)
	d, known := r.gateDirective()
	switch {
	case r.holding():
		r.hold(ctx)
	case known && d.Order == order.Version && d.Phase.Final():
	default:
		r.claim(ctx, order)
	}
}

// begin notices a new order.
func (r *rollouts) begin(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == order {
		return
	}
	r.order, r.orderSeenAt, r.contactAt = order, bootNow(), bootNow()
	r.holder, r.lease = "", nil
	r.row, r.rowVersion, r.rowRead = nil, 0, false
	r.gate.beginOrder(order.Version)
}

func (r *rollouts) gateDirective() (rollout.Directive, bool) {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	return r.gate.versions.state.Directive()
}

// currentOrder returns the order in force.
func (r *rollouts) currentOrder() (rollout.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order, r.order.Version != 0
}

// runReports reports to the holder until ctx ends.
func (r *rollouts) runReports(ctx context.Context) error {
	interval := rolloutReportInterval
	for pause.For(ctx, interval*9/10+rand.N(interval/5)) {
		interval = rolloutReportInterval
		if order, ok := r.currentOrder(); ok && r.settings().Rollouts && !r.report(ctx, order) {
			interval = rolloutReportRetry
		}
	}
	return nil
}

// holdersAsked is the number of hosts that a gate asks for the holder if it does not
// know it.
const holdersAsked = 3

// maxHoldersAsked bounds the hosts asked for one report, including those that the others
// name.
const maxHoldersAsked = 6

// report sends one report. It returns false if no holder has answered.
func (r *rollouts) report(ctx context.Context, order rollout.Order) bool {
	if d, known := r.gateDirective(); known && d.Order == order.Version && d.Phase.Final() {
		return true
	}
	rep, ok := r.gate.rolloutReport(order.Version)
	if !ok {
		return true
	}
	rep.Held += r.replying()
	r.mu.Lock()
	asked := []string{r.holder}
	r.mu.Unlock()
	ranked := r.ranked(order)
	asked = append(asked, ranked[:min(len(ranked), holdersAsked)]...)
	for i := 0; i < len(asked) && i < maxHoldersAsked; i++ {
		if asked[i] == "" || slices.Contains(asked[:i], asked[i]) {
			continue
		}
		a, askedAt, ok := r.ask(ctx, asked[i], order, rep)
		if !ok {
			continue
		}
		if a.Result && a.Allowance != nil {
			r.mu.Lock()
			r.holder, r.contactAt = asked[i], bootNow()
			r.mu.Unlock()
			r.gate.applyAllowance(*a.Allowance, askedAt)
			if d, _ := r.gateDirective(); rep.Order != order.Version && d.Order == order.Version {
				return r.report(ctx, order) // the gate has just learnt of the roll-out, and its counts are wanted
			}
			return true
		}
		if a.Allowance != nil {
			r.gate.learnDirective(a.Allowance.Directive)
		}
		if a.Owner != "" && !slices.Contains(asked, a.Owner) {
			asked = append(asked, a.Owner)
		}
	}
	r.metrics.Add("rollout_reports_unanswered", 1)
	return false
}

// ranked returns the hosts of the service in the order in which they become holder.
func (r *rollouts) ranked(order rollout.Order) []string {
	var hosts []string
	for _, t := range r.view().Targets(order.Service) {
		hosts = append(hosts, t.Host)
	}
	return rollout.HolderOrder(order.Version, hosts)
}

// ask sends a report to a host.
func (r *rollouts) ask(ctx context.Context, host string, order rollout.Order, rep rollout.Report) (a datagram, askedAt time.Duration, ok bool) {
	askedAt = bootNow()
	q := datagram{Kind: queryRollout, Name: order.Service, Host: r.host, To: host, Counts: &rep}
	if host == r.host {
		a = r.answer(q)
		return a, askedAt, true
	}
	t, listed := r.view().TargetOf(host)
	if !listed {
		return datagram{}, askedAt, false
	}
	a, err := r.query(ctx, t.Control, q)
	return a, askedAt, err == nil
}

// answer answers a gate's report.
func (r *rollouts) answer(q datagram) datagram {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Counts == nil || q.Name != r.order.Service {
		return datagram{}
	}
	if r.lease != nil {
		rep := *q.Counts
		rep.Host = q.Host
		if a, ok := r.lease.report(rep, bootNow()); ok {
			return datagram{Result: true, Allowance: &a}
		}
		return datagram{} // the lease is not written yet or has expired
	}
	a := datagram{Owner: r.holder}
	if d, known := r.gateDirective(); known && d.Order == r.order.Version {
		a.Allowance = &rollout.Answer{Directive: d}
	}
	return a
}
