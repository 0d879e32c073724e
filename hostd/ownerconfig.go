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
// and one that is late with a change has an older one. Requests wait for it then.

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

// queryPatiently asks an owner for a token, and again while it cannot tell. Only a newer
// configuration at the owner ends this early.
func (l *fleetLimiter) queryPatiently(ctx context.Context, owner string, b bucketSpec, patience time.Duration) (datagram, bool) {
	until := time.Now().Add(patience)
	for {
		asked := time.Now()
		a, ok := l.queryOwner(ctx, owner, b)
		if !ok || !a.Unknown || a.Revision > l.view().revision() {
			return a, ok
		}
		rest := max(minAskInterval-time.Since(asked), 0)
		if time.Now().Add(rest).After(until) || !pause.For(ctx, rest) {
			return a, ok
		}
	}
}

// recordUnknown records that an owner cannot tell. It grants nothing meanwhile, so it counts
// as missing for what others may grant.
func (l *fleetLimiter) recordUnknown(owner string, q datagram) {
	l.metrics.Add("rate_unknown", 1)
	if l.lost.missed(owner, time.Now()) {
		l.log.Decide("owner-unknowing", "owner", owner, "limit", q.Name, "kind", q.Kind, "revision", q.Revision)
	}
}

// unknownError returns why no owner could tell whether a workspace may send a request.
func (l *fleetLimiter) unknownError(w *routes.Workspace, a datagram) error {
	if own := l.view().revision(); a.Revision > own {
		return errors.Errorf("the owner of the rate of workspace %s has revision %d, in which the workspace does not exist; this host has revision %d", w.Name, a.Revision, own)
	}
	return errors.Errorf("the owners of the rate of workspace %s have no configuration yet, or an older one", w.Name)
}
