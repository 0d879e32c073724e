package hostd

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// versionGate is what a gate knows of the versions of its service. It is guarded by
// Gate.mu.
type versionGate struct {
	state *rollout.Gate
	// order is the order that the counts and allowances belong to.
	order uint64
	// inUse is the version in use before the first order that this process has seen, and
	// resolved is set once it is known that this order has not withdrawn any target.
	inUse    string
	resolved bool
	// startedAt is when this process began.
	startedAt time.Time
}

// callsSettleTime is how long after the restart of this process the calls of its target may
// fail: the target's connections to the earlier process have broken, and it learns that by
// a failed call. In a trace nine targets failed 18 of 62 requests for this within half a
// second, and a good version was rolled back.
const callsSettleTime = 2 * time.Second

// callsMayFail reports whether the target may fail requests because this process has
// restarted beside it. g.mu must be held.
func (g *Gate) callsMayFail(t *localTarget, now time.Time) bool {
	return now.Sub(g.versions.startedAt) < callsSettleTime && t.born < g.versions.startedAt.UnixMilli()
}

func newVersionGate() versionGate {
	now := time.Now()
	return versionGate{state: rollout.NewGate(now.UnixNano()), startedAt: now}
}

func bootNow() time.Duration { return time.Duration(boottime.Now()) }

// versionOf returns the version of a target, or "" if it is not known. A target found by
// a health check has the version in the host's row until its first heartbeat: targets of
// another version run on hosts of their own. g.mu must be held.
func (g *Gate) versionOf(t *localTarget) string {
	if t.version == "" {
		if row, listed := g.view().TargetOf(g.settings().Host); listed && row.Service == t.service {
			return row.Version
		}
	}
	return t.version
}

// versionRefusal returns why a target must not receive requests for its version, or "".
// g.mu must be held.
func (g *Gate) versionRefusal(t *localTarget) string {
	if !g.settings().Rollouts {
		return ""
	}
	view, version, v := g.view(), g.versionOf(t), &g.versions
	order, ordered := view.orders[t.service]
	d, known := v.state.Directive()
	switch {
	case known && ordered && (d.Order == order.Version || d.Phase.Final()):
		return v.state.Check(version, bootNow())
	case known: // a new order has ended this one, or operators have removed it
		return v.state.Check(version, 0)
	case !ordered:
		// A target that has just been found by a health check has no version yet.
		if inUse := view.inUse[t.service]; version != "" && version != inUse && inUse != "" {
			return rollout.RefuseVersion
		}
	case !v.resolved || version == "":
		return rollout.RefuseUnknown
	case version != v.inUse:
		return rollout.RefuseVersion
	}
	return ""
}

// versionInUse returns the version of most targets of a service, apart from one, or ""
// if there is none. Of two as frequent versions it is that of the earliest target.
func (v *View) versionInUse(service, except string) string {
	count, born := map[string]int{}, map[string]int64{}
	for _, t := range v.byService[service] {
		if t.Version == "" || t.Version == except {
			continue
		}
		count[t.Version]++
		if b := born[t.Version]; t.Born != 0 && (b == 0 || t.Born < b) {
			born[t.Version] = t.Born
		}
	}
	best := ""
	for version := range count {
		if best == "" || cmp.Or(cmp.Compare(count[version], count[best]), cmp.Compare(born[best], born[version]), strings.Compare(best, version)) > 0 {
			best = version
		}
	}
	return best
}

// versionBefore returns the version that a service runs before an order. If all targets
// have the ordered version, that is the one.
func (v *View) versionBefore(o rollout.Order) string {
	return cmp.Or(v.versionInUse(o.Service, o.Target), o.Target)
}

// countSent counts a request sent to the target. g.mu must be held.
func (g *Gate) countSent(t *localTarget) {
	if g.settings().Rollouts {
		g.versions.state.Sent(g.versionOf(t))
	}
}

// countResult counts the result of a request. g.mu must be held.
func (g *Gate) countResult(tk *ticket, e exchangeResult, err error, now time.Time) {
	if !g.settings().Rollouts {
		return
	}
	if e.signal == signalFailed && g.callsMayFail(tk.target, now) {
		return
	}
	r := rollout.Result{Took: now.Sub(tk.started), Warm: !tk.target.cold(tk.started)}
	switch e.signal {
	case signalFailed:
		r.Failed = err == nil
		r.Broken = err != nil && link.AsError(err) != nil
	case signalAbandoned:
		r.Abandoned = true
	case signalNotRun, signalShed:
		return
	}
	g.versions.state.Observe(tk.f.Route, r, bootNow())
}

// directive returns what replies tell ingresses of the roll-out, or nil.
func (g *Gate) directive() *rollout.Directive {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, known := g.versions.state.Directive(); known && g.settings().Rollouts {
		return &d
	}
	return nil
}

// beginOrder resets what belongs to an earlier order.
func (g *Gate) beginOrder(order uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.versions.order != order {
		g.versions.order = order
		g.versions.state.Reset()
	}
}

// noOrder records the version in use while there is no order. An order that this process
// sees later is a new one, which has withdrawn nothing yet.
func (g *Gate) noOrder(inUse string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if inUse != "" {
		g.versions.inUse, g.versions.resolved = inUse, true
	}
}

// notWithdrawn records that the row was read after the start of the process. If it told
// no directive, no target had been withdrawn.
func (g *Gate) notWithdrawn(inUse string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.versions.resolved {
		g.versions.inUse, g.versions.resolved = inUse, true
	}
}

// learnDirective applies a directive that grants nothing.
func (g *Gate) learnDirective(d rollout.Directive) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.versions.state.Learn(d) {
		g.directiveChanged(d)
	}
}

// directiveChanged refuses the queued requests if the target is withdrawn. g.mu must be
// held.
func (g *Gate) directiveChanged(d rollout.Directive) {
	t := g.target
	if t == nil {
		return
	}
	refusal := g.versionRefusal(t)
	g.log.Decide("rollout-directive", "service", t.service, "target", t.id, "version", g.versionOf(t), "order", d.Order, "term", d.Term,
		"phase", d.Phase.String(), "to", d.Target, "share_percent", d.SharePercent, "refuses", refusal)
	if refusal != rollout.RefuseVersion {
		return
	}
	for _, it := range t.queue.Flush() {
		answerWaiting(it, wire.Refuse(wire.ReasonVersionWithdrawn, "target %s: %s", t.id, refusal))
	}
}

// rolloutReport returns the report to the controller, or false without a target.
func (g *Gate) rolloutReport(order uint64) (rollout.Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target
	if t == nil {
		return rollout.Report{}, false
	}
	r := g.versions.state.Report(g.versionOf(t), t.queue.Running()+t.queue.Waiting(), bootNow())
	r.Cold = t.cold(time.Now())
	if d, known := g.versions.state.Directive(); !known || d.Order != order {
		r.Withdrawn = false // in an earlier roll-out, or not known
	}
	return r, true
}

// applyAllowance applies the controller's answer to a report.
func (g *Gate) applyAllowance(a rollout.Answer, askedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.versions.state.Apply(a, askedAt) {
		g.directiveChanged(a.Directive)
	}
}

// targetService returns the service of the gate's target.
func (g *Gate) targetService() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != nil {
		return g.target.service
	}
	return g.settings().Service
}

func readDirective(h *fasthttp.ResponseHeader) *rollout.Directive {
	raw := h.Peek(headerRollout)
	if raw == nil {
		return nil
	}
	d := &rollout.Directive{}
	if json.Unmarshal(raw, d) != nil {
		return nil
	}
	return d
}

// applyOrder applies an operators' order of a roll-out.
func (c *Control) applyOrder(service string, row karpithaz.Row) {
	orders := map[string]rollout.Order{}
	for s, o := range c.orders {
		orders[s] = o
	}
	c.orders = orders
	if row.Removed {
		delete(orders, service)
		return
	}
	o, err := karpithaz.DecodeRolloutOrder(service, row.Value)
	if err != nil {
		c.metrics.Add("rollout_orders_unreadable", 1)
		c.log.Logger().Error("invalid roll-out order ignored", "row_version", row.Version, "err", err)
		return
	}
	orders[service] = rollout.Order{Service: service, Target: o.Target, Version: row.Version, Duration: o.Duration}
	c.log.Decide("rollout-ordered", "service", service, "to", o.Target, "duration_ms", o.Duration.Milliseconds(), "row_version", row.Version)
}

// memberTargets returns the targets of a service for the controller.
func (v *View) memberTargets(service string) []rollout.Member {
	var members []rollout.Member
	for _, t := range v.byService[service] {
		members = append(members, rollout.Member{Host: t.Host, Version: t.Version})
	}
	return slices.Clip(members)
}
