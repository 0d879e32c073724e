package admission

import (
	"slices"
	"time"
)

// Used records that a request of a workspace held a slot for a time. Requests without a
// workspace are not counted.
func (q *Queue) Used(now time.Time, workspace string, held time.Duration) {
	if workspace != "" {
		q.usage.Add(workspace, now, held)
	}
}

// Tell records the recent use of a workspace at all targets of the service, as known to
// a source, in slot time.
func (q *Queue) Tell(now time.Time, workspace, source string, recent time.Duration) {
	if workspace != "" {
		q.usage.Tell(workspace, source, now, recent)
	}
}

// RecentUse returns the recent use of a workspace in slot seconds.
func (q *Queue) RecentUse(now time.Time, workspace string) float64 {
	return q.usage.Recent(workspace, now)
}

// setExcess compares the recent use of the workspaces in the queue. With fewer than two
// there is no competition.
func (q *Queue) setExcess(now time.Time, arriving *Item) {
	var competing []string
	add := func(it *Item) {
		if it.Workspace != "" && !slices.Contains(competing, it.Workspace) {
			competing = append(competing, it.Workspace)
		}
	}
	for _, it := range q.waiting {
		add(it)
	}
	if arriving != nil {
		add(arriving)
		arriving.excess = 0
	}
	if len(competing) < 2 {
		for _, it := range q.waiting {
			it.excess = 0
		}
		return
	}
	excess := q.usage.Excess(competing, now)
	for _, it := range q.waiting {
		it.excess = excess[it.Workspace]
	}
	if arriving != nil {
		arriving.excess = excess[arriving.Workspace]
	}
}
