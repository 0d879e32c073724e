package hostd

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// An owner of a rate that has just started has no configuration for some tenths of a second,
// and one that is late with a change has an older one. Requests wait for it then. No other
// host grants in its place, as it may begin to at any moment.

const (
	// maxStandingWait is how long an owner holds a query that it cannot answer yet. The
	// sender gives up after the sum of queryTimeouts.
	maxStandingWait = 100 * time.Millisecond
	// standingCheckInterval is how often it looks whether it can.
	standingCheckInterval = 5 * time.Millisecond
	// minAskInterval is the least time between two queries of a request to one owner.
	minAskInterval = 20 * time.Millisecond
)

// standing returns what this host can tell about the workspace of a query. It waits for a
// configuration that can, unless the query was relayed, for which its sender has less time.
func (l *fleetLimiter) standing(ctx context.Context, q datagram) (*routes.Workspace, quota.Standing) {
	until := time.Now().Add(maxStandingWait)
	for {
		w, standing := l.view().standing(q)
		if standing != quota.StandingUnknown || q.Owner != "" || !time.Now().Before(until) || !pause.For(ctx, standingCheckInterval) {
			return w, standing
		}
	}
}

// standing returns what a host with this view can tell about the workspace of a query.
func (v *View) standing(q datagram) (*routes.Workspace, quota.Standing) {
	if v.Config == nil {
		return nil, quota.StandingUnknown
	}
	w, listed := v.Config.Workspace(q.Name)
	c := quota.OwnerConfig{Loaded: true, Revision: v.Config.Revision, Listed: listed, Limited: listed && w.Rate > 0}
	return w, c.Standing(q.Revision)
}

// queryPatiently asks an owner for a token, and again while it cannot tell. It ends early if
// the workspace is gone, by a newer configuration of the owner or of this host.
func (l *fleetLimiter) queryPatiently(ctx context.Context, owner string, b bucketSpec, patience time.Duration) (datagram, bool) {
	until := time.Now().Add(patience)
	for {
		asked := time.Now()
		a, ok := l.queryOwner(ctx, owner, b)
		view := l.view()
		if !ok || !a.Unknown || a.Revision > view.revision() || !view.lists(b.name) {
			return a, ok
		}
		rest := max(minAskInterval-time.Since(asked), 0)
		if time.Now().Add(rest).After(until) || !pause.For(ctx, rest) {
			return a, ok
		}
	}
}

// lists reports whether the configuration has a workspace.
func (v *View) lists(workspace string) bool {
	if v.Config == nil {
		return false
	}
	_, ok := v.Config.Workspace(workspace)
	return ok
}

// unknownError returns why no owner could tell whether a workspace may send a request.
func (l *fleetLimiter) unknownError(w *routes.Workspace, a datagram) error {
	view := l.view()
	switch own := view.revision(); {
	case a.Revision > own:
		return errors.Errorf("the owner of the rate of workspace %s has revision %d, in which the workspace does not exist; this host has revision %d", w.Name, a.Revision, own)
	case !view.lists(w.Name):
		return errors.Errorf("workspace %s does not exist any more in revision %d", w.Name, own)
	}
	return errors.Errorf("the owner of the rate of workspace %s has no configuration yet, or an older one", w.Name)
}
