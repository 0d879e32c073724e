package hostd

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/placing"
	"github.com/gooseberryshed/gooseberryshed/routes"
	"github.com/gooseberryshed/gooseberryshed/wire"
)

// attempt finds a target that accepts the request.
type attempt struct {
	e       *exchange
	req     *fasthttp.Request
	exclude []string
	// restrictTo, if not empty, lists the only targets that the request may go
	// to.
	restrictTo []string
	// silent are the hosts that did not answer.
	silent    []string
	offers    *offers
	hedgeSoon chan<- struct{}
	hedge     bool
	// repeat is set if the request may have arrived at a target before.
	repeat bool
	// mayHaveArrived is set when a gate has sent the request to its target, or has
	// been silent for so long that this is not known.
	mayHaveArrived atomic.Bool
}

// Limits on the search for a target.
const (
	// maxGatesTried is how many gates are asked for a free slot.
	maxGatesTried = 8
	// maxRemoteGatesTried is how many of them may be in other data centres,
	// where an offer costs as many bytes as a small answer.
	maxRemoteGatesTried = 3
	// maxLastResortTries is how many gates are then asked to queue the request
	// or to send it to a target that is probably gray.
	maxLastResortTries = 2
	// reportTTL is how long a gate's report of a full or gray target is trusted
	// without asking again.
	reportTTL = 100 * time.Millisecond
	// remoteBusyReportTTL and remoteGrayReportTTL replace reportTTL for targets
	// in other data centres, where an offer costs as many bytes as a small
	// answer. A slot is freed within about half the time of the shortest
	// requests, whereas a gray failure lasts seconds.
	remoteBusyReportTTL = 250 * time.Millisecond
	remoteGrayReportTTL = time.Second
	// shortWaitShare is the share of a route's objective that a request may
	// wait in the local data centre before it goes to a remote one. It is
	// larger for downloads, for which distance costs more, and for nested
	// calls, which are first in the queues.
	shortWaitShare         = 0.08
	shortWaitShareDownload = 0.4
	shortWaitShareNested   = 0.5
)

// Gray probability up to which a target is used in the first rounds. Requests
// that cannot be repeated are lost on a gray target. Their limit is just above
// the prior for an unknown target, so that new targets receive requests.
const (
	grayLimitOnce       = 0.27
	grayLimitRepeatable = 0.5
)

// offerTerms are the conditions under which a gate may accept a request.
type offerTerms struct {
	maxWait time.Duration
	maxGray float64
}

// run offers the request to gates in the order of cost until one accepts it:
// first for a free slot of a healthy target, then for a short wait in the local
// data centre, and finally on any terms.
func (a *attempt) run(ctx context.Context) attemptResult {
	s := &gateSearch{a: a}
	found := a.search(ctx, s)
	for round := 0; !found && s.versionRefused && round < versionRounds; round++ {
		found = a.search(ctx, s) // the roll-out has moved on
	}
	if !found && len(a.silent) > 0 {
		found = a.search(ctx, s) // among the hosts that answer
	}
	switch {
	case found || s.tryLastResort(ctx):
		return s.result
	case s.last == nil:
		return a.result(Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "no eligible target of service %s", a.e.service)}, Target{})
	}
	return a.result(Reply{Refusal: s.last}, Target{})
}

// search offers the request to the candidates of least cost, for a free slot or a short
// wait. It reports whether the attempt has a result.
func (a *attempt) search(ctx context.Context, s *gateSearch) bool {
	s.versionRefused = false
	for _, cands := range a.byVersion(a.candidates()) {
		if a.searchAmong(ctx, s, cands) {
			return true
		}
	}
	return false
}

func (a *attempt) searchAmong(ctx context.Context, s *gateSearch, cands []placing.Candidate) bool {
	placing.SortByCost(time.Now(), cands, a.placementRequest(), random{})
	if a.placementRequest().Repeatable {
		moveStaleFirst(cands, time.Now())
	}
	// Split before the cut: loaded local targets come after ten remote ones.
	local, remote := splitByLocality(cands)
	local = local[:min(len(local), maxGatesTried)]
	first := offerTerms{maxGray: a.grayLimit()}
	short := offerTerms{maxGray: a.grayLimit(), maxWait: a.shortWait()}
	spilt := a.spill(local, remote)
	remote = remote[:min(len(remote), maxRemoteGatesTried-len(spilt))]
	return s.tryAll(ctx, spilt, first) || s.tryAll(ctx, local, first) || s.tryAll(ctx, local, short) || s.tryAll(ctx, remote, first)
}

// explorationInterval is the age of a local target's last report after which a
// repeatable request is offered to that target first. Otherwise targets that
// seem gray would receive no requests while others have capacity, and their
// recovery would go unnoticed.
const explorationInterval = 1200 * time.Millisecond

// moveStaleFirst moves the local candidate with the oldest report to the front.
func moveStaleFirst(cands []placing.Candidate, now time.Time) {
	oldest := -1
	for i, c := range cands {
		if !c.Local || c.PathFailed || now.Sub(c.Report.ReceivedAt) < explorationInterval {
			continue
		}
		if oldest < 0 || c.Report.ReceivedAt.Before(cands[oldest].Report.ReceivedAt) {
			oldest = i
		}
	}
	if oldest > 0 {
		c := cands[oldest]
		copy(cands[1:oldest+1], cands[:oldest])
		cands[0] = c
	}
}

// splitByLocality separates the candidates in the local data centre from the
// remote ones. Local candidates behind a failed path count as remote.
func splitByLocality(cands []placing.Candidate) (local, remote []placing.Candidate) {
	for _, c := range cands {
		if c.Local && !c.PathFailed {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	return local, remote
}

func (a *attempt) grayLimit() float64 {
	if a.e.route.Kind.Repeatable() {
		return grayLimitRepeatable
	}
	return grayLimitOnce
}

func (a *attempt) shortWait() time.Duration {
	share := shortWaitShare
	switch {
	case a.e.nested:
		share = shortWaitShareNested
	case a.e.route.Kind == routes.Download:
		share = shortWaitShareDownload
	}
	return time.Duration(share * float64(a.e.route.Objective))
}

// isFinal reports whether a reply ends the search: an answer, a request that
// may have run, one that reached the target, or one that a newer configuration
// does not admit.
func (a *attempt) isFinal(r Reply) bool {
	return r.Answer != nil || r.Refusal.Run != wire.NotRun || r.Refusal.Reason == wire.ReasonStaleConfig ||
		r.Refusal.Reason == wire.ReasonTargetShed || r.Refusal.Reason == wire.ReasonTimeout
}

func (a *attempt) result(r Reply, t Target) attemptResult {
	return attemptResult{reply: r, target: t, hedge: a.hedge}
}

func (a *attempt) placementRequest() placing.Request {
	return placing.Request{Repeatable: a.e.route.Kind.Repeatable(), Nested: a.e.nested, LargeResponse: a.e.route.Kind == routes.Download,
		BodyBytes: len(a.req.Body()), Objective: a.e.route.Objective}
}

// candidates returns the targets that may be chosen.
func (a *attempt) candidates() []placing.Candidate {
	view := a.e.in.control.View()
	now := time.Now()
	targets := view.Targets(a.e.service)
	out := make([]placing.Candidate, 0, len(targets))
	for _, t := range targets {
		if view.Evacuated(t.DataCentre) || slices.Contains(a.exclude, t.ID) || slices.Contains(a.silent, t.Host) || !a.regionAllowed(t) {
			continue
		}
		if a.e.in.states.isUnavailable(t.ID, now) {
			continue
		}
		if len(a.restrictTo) > 0 && !slices.Contains(a.restrictTo, t.ID) {
			continue
		}
		out = append(out, placing.Candidate{
			Target:     t.ID,
			Host:       t.Host,
			DataCentre: t.DataCentre,
			Local:      t.DataCentre == a.e.in.settings().DataCentre,
			PathFailed: a.e.in.states.backingOff(t.Host, now),
			Report:     a.e.in.states.get(t.ID),
		})
	}
	return out
}

// regionAllowed reports whether the route and the workspace allow the request
// to run in the target's region.
func (a *attempt) regionAllowed(t Target) bool {
	region := a.e.in.settings().Regions[t.DataCentre]
	if len(a.e.route.Regions) > 0 && !slices.Contains(a.e.route.Regions, region) {
		return false
	}
	h := a.e.workspace
	return h == nil || len(h.Regions) == 0 || slices.Contains(h.Regions, region)
}

// offer sends the request to the gate of a candidate.
func (a *attempt) offer(ctx context.Context, c placing.Candidate, terms offerTerms) (Reply, Target) {
	t, ok := a.e.in.control.View().TargetOf(c.Host)
	if !ok || t.ID != c.Target {
		return Reply{Refusal: wire.Refuse(wire.ReasonNoTarget, "target %s no longer exists", c.Target)}, t
	}
	if !a.answers(ctx, t) {
		return Reply{Refusal: wire.Refuse(wire.ReasonUnreachable, "host %s does not answer", t.Host)}, t
	}
	incarnation := a.e.in.states.incarnation(t.Host)
	record := a.offers.begin(t, incarnation)
	if record == nil {
		return Reply{Refusal: wire.Refuse(wire.ReasonBusy, "request not offered to target %s: another attempt is pending there or the request has been withdrawn", t.ID)}, t
	}
	e := a.e
	f := Forward{
		Attempt:         e.caller.Attempt,
		Target:          t.ID,
		Service:         t.Service,
		TimeLeftMs:      time.Until(e.targetDeadline()).Milliseconds(),
		Workspace:       e.workspaceName(),
		CallerService:   e.in.settings().Service,
		Route:           e.route.Name,
		ObjectiveMs:     e.route.Objective.Milliseconds(),
		ObjectiveLeftMs: time.Until(e.started.Add(e.route.Objective)).Milliseconds(),
		Priority:        e.priority(),
		Nested:          e.nested,
		Served:          e.served,
		Use:             e.recentUse(),
		Repeatable:      e.route.Kind.Repeatable(),
		Repeat:          a.repeat,
		MaxWaitMs:       terms.maxWait.Milliseconds(),
		MaxGray:         terms.maxGray,
		Revision:        e.revision(),
		Fingerprint:     e.fingerprint,
		UsualUs:         e.in.usual.get(t.Service, e.route.Name).Microseconds(),
	}
	e.in.log.Decide("offered", "id", f.Attempt, "target", t.ID, "host", t.Host, "near", c.Local, "doubtful", c.PathFailed, "max_wait_ms", f.MaxWaitMs, "max_gray", f.MaxGray,
		"hedge", a.hedge, "time_left_ms", f.TimeLeftMs, "known_gray", c.Report.GrayProbability, "known_running", c.Report.Running,
		"known_age_ms", ageMillis(c.Report.ReceivedAt), "revision", f.Revision)
	quiet := quietTime(terms, e.in.states.get(t.ID))
	stopWatch := a.watchSilence(t, terms, quiet)
	var sentAt atomic.Int64
	onSent := sync.OnceFunc(func() {
		sentAt.Store(time.Now().UnixNano())
		stopWatch()
		a.onSent(record, t, terms)
	})
	reply := a.awaitReply(ctx, watchedOffer{record: record, target: t, incarnation: incarnation, quiet: quiet,
		offer: func(ctx context.Context, again bool, heartbeat func()) Reply {
			ev := offerEvents{sent: onSent, heartbeat: heartbeat, beforeSend: func() error { return a.mayBegin(record) }}
			if !again {
				return e.in.gates.Forward(ctx, t, f, a.req, ev)
			}
			f := f
			f.TimeLeftMs, f.Incarnation = time.Until(e.targetDeadline()).Milliseconds(), incarnation
			return e.in.gates.OfferAgain(ctx, t, f, e.newRequest(), ev)
		}})
	stopWatch()
	switch {
	case ctx.Err() == nil || !reply.Report.ReceivedAt.IsZero():
		a.recordReply(t, reply)
	case errors.Is(context.Cause(ctx), errSuperseded):
		// Another target answered first or the deadline passed, so other hosts
		// are preferred for a moment. A caller that disconnects says nothing
		// about the target.
		a.e.in.states.recordFailure(t.Host, time.Now())
	}
	if run := a.offers.end(record, runStateOf(reply)); reply.Refusal != nil && run != wire.NotRun {
		reply.Refusal.Run = run
	}
	e.recordUse(sentAt.Load())
	return reply, t
}

// gateResponseTimeout is how long a gate may take, beyond the permitted wait,
// to report that it has sent or refused a request. It covers many round trips
// between data centres and one retransmission of a lost packet.
const gateResponseTimeout = 350 * time.Millisecond

// quietTime returns how long a gate may be quiet after an offer before its connection is
// taken to be silent, or 0 if the gate is not known to send heartbeats.
func quietTime(terms offerTerms, last placing.Report) time.Duration {
	switch {
	case !last.Resumes:
		return 0
	case terms.maxWait == 0:
		return gateResponseTimeout
	}
	return heartbeatTimeout
}

// watchSilence backs off from a gate that does not respond in time, because its
// host hangs or is unreachable, and requests a hedge. If the gate is also watched for
// heartbeats, a silent connection is replaced first. The returned function stops the timer.
func (a *attempt) watchSilence(t Target, terms offerTerms, quiet time.Duration) (stop func()) {
	limit := terms.maxWait + gateResponseTimeout
	if quiet > 0 {
		limit += reconnectGrace
	}
	timer := time.AfterFunc(limit, func() {
		a.mayHaveArrived.Store(true)
		a.e.in.states.recordFailure(t.Host, time.Now())
		a.e.in.metrics.Add("gates_silent", 1)
		a.e.in.log.Decide("gate-silent", "id", a.e.caller.Attempt, "host", t.Host, "target", t.ID)
		a.requestHedge()
	})
	return func() { timer.Stop() }
}

// requestHedge asks for an early hedge.
func (a *attempt) requestHedge() {
	select {
	case a.hedgeSoon <- struct{}{}:
	default:
	}
}

// onSent handles the gate's notice that it is sending the request to the
// target.
func (a *attempt) onSent(record *offer, t Target, terms offerTerms) {
	a.mayHaveArrived.Store(true)
	a.offers.markSent(record)
	if r := a.e.in.states.get(t.ID); a.hedge || r.GrayProbability <= min(terms.maxGray, a.grayLimit()) {
		return
	}
	a.requestHedge()
}

func ageMillis(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// recordReply updates the state of the target and its gate from a reply.
func (a *attempt) recordReply(t Target, r Reply) {
	a.e.in.states.set(t.ID, r.Report)
	a.e.in.rollouts.learn(t.Service, r.Rollout)
	a.e.in.states.setIncarnation(t.Host, r.Report.Incarnation)
	if r.Refusal != nil && r.Report.ReceivedAt.IsZero() && r.Refusal.Reason == wire.ReasonUnreachable {
		a.e.in.states.recordFailure(t.Host, time.Now())
		return
	}
	a.e.in.states.recordSuccess(t.Host)
	a.e.in.balances.observe(t, r.Report)
	a.e.in.usual.observe(t.Service, a.e.route.Name, r.Report.Typical)
	if r.Refusal == nil {
		return
	}
	switch r.Refusal.Reason {
	case wire.ReasonNoTarget, wire.ReasonLeaving, wire.ReasonDataCentreOut, wire.ReasonWrongTarget:
		a.e.in.states.setUnavailable(t.ID, time.Now(), unavailableFor)
	case wire.ReasonVersionWithdrawn:
		a.e.in.states.setUnavailable(t.ID, time.Now(), versionUnavailableFor)
	}
}
