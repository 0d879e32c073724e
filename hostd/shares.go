package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/admission"
	"github.com/gooseberryshed/gooseberryshed/fairqueue"
)

// recentUse is the recent use of a service by a workspace through one host.
type recentUse struct {
	Host string `json:"h"`
	// Millis is the slot time, which decays (fairqueue.Usage).
	Millis int64 `json:"m"`
}

// recentUse returns the recent use of the service by the request's workspace through
// this host, or nil if there is none.
func (e *exchange) recentUse() *recentUse {
	if e.workspace == nil {
		return nil
	}
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	u := e.in.uses[e.service]
	if u == nil {
		return nil
	}
	millis := int64(u.Recent(e.workspace.Name, time.Now()) * float64(time.Second/time.Millisecond))
	if millis == 0 {
		return nil
	}
	return &recentUse{Host: e.in.settings().Host, Millis: millis}
}

// recordUse records that a target has worked on the request since a time in Unix
// nanoseconds, which is 0 if the request was not sent to the target.
func (e *exchange) recordUse(sentAt int64) {
	if e.workspace == nil || sentAt == 0 {
		return
	}
	now := time.Now()
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	u := e.in.uses[e.service]
	if u == nil {
		u = fairqueue.NewUsage()
		e.in.uses[e.service] = u
	}
	u.Add(e.workspace.Name, now, now.Sub(time.Unix(0, sentAt)))
}

// recordTold records the use that an attempt's sender tells. It is guarded by Gate.mu.
func (t *localTarget) recordTold(now time.Time, f *Forward) {
	if f.Use != nil && f.Use.Host != "" {
		t.queue.Tell(now, f.Workspace, f.Use.Host, time.Duration(f.Use.Millis)*time.Millisecond)
	}
}

// logOverShare logs that an attempt came after those of other workspaces, as its
// workspace has used more than they have. g.mu must be held.
func (g *Gate) logOverShare(t *localTarget, tk *ticket, it *admission.Item, v admission.Decision, now time.Time) {
	if it.Excess() == 0 {
		return
	}
	g.metrics.Add("over_share", 1)
	if v != admission.Queued {
		g.metrics.Add("over_share_refused", 1)
	}
	g.log.Decide("over-share", "id", tk.f.Attempt, "target", t.id, "workspace", it.Workspace, "steps", it.Excess(),
		"used_s", t.queue.RecentUse(now, it.Workspace), "waiting", t.queue.Waiting(), "queued", v == admission.Queued)
}
