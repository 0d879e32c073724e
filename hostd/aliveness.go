package hostd

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

const (
	// contactAge is the time after the last reply of a host up to which it is taken
	// to be alive.
	contactAge = 250 * time.Millisecond
	// maxHostsProbed is how many other hosts are probed when one does not answer.
	maxHostsProbed = 16
)

// answers reports whether the host of a target is alive. A request offered to a host
// that is frozen or cut off can be neither withdrawn nor, if it must not run twice,
// offered elsewhere, and each sender would lose requests until it had backed off from
// every such host. Failures are often correlated, so once a host does not answer, others
// are probed concurrently.
func (a *attempt) answers(ctx context.Context, t Target) bool {
	switch {
	case slices.Contains(a.silent, t.Host):
		return false
	case a.alive(ctx, t):
		return true
	case ctx.Err() != nil:
		return true // the caller has left; that says nothing about the host
	}
	a.markSilent(t)
	if len(a.silent) > 1 {
		return false
	}
	others := a.candidates()
	placing.SortByCost(time.Now(), others, a.placementRequest(), random{})
	others = others[:min(len(others), maxHostsProbed)]
	alive := make([]bool, len(others))
	var wg sync.WaitGroup
	for i, c := range others {
		if other, ok := a.e.in.control.View().TargetOf(c.Host); ok {
			wg.Go(func() { alive[i] = a.alive(ctx, other) })
		}
	}
	wg.Wait()
	for i, c := range others {
		if !alive[i] && ctx.Err() == nil {
			a.markSilent(Target{ID: c.Target, Host: c.Host})
		}
	}
	return false
}

// alive reports whether a host has replied recently or answers a query.
func (a *attempt) alive(ctx context.Context, t Target) bool {
	in := a.e.in
	if t.Host == in.settings().Host || time.Since(in.states.contact(t.Host)) < contactAge {
		return true
	}
	if !in.gates.Answers(ctx, t) {
		return false
	}
	in.states.recordContact(t.Host, time.Now())
	return true
}

// markSilent records that the host of a target does not answer.
func (a *attempt) markSilent(t Target) {
	in := a.e.in
	a.silent = append(a.silent, t.Host)
	in.states.recordFailure(t.Host, time.Now())
	in.metrics.Add("hosts_not_answering", 1)
	in.log.Decide("host-not-answering", "id", a.e.caller.Attempt, "host", t.Host, "target", t.ID)
}
