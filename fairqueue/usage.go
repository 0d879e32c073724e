package fairqueue

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time in which past service time decays to 1/e.
	usageDecayTime = 10 * time.Second
	// negligibleUsage is the service time, in seconds, below which an entry is
	// pruned.
	negligibleUsage = 1e-3
	// minPruneSize is the number of entries from which on old ones are pruned.
	minPruneSize = 64
	// maxSources bounds the reports kept for a workspace, about 6 KB.
	maxSources = 64
)

// decaying is service time in seconds that decays, as of a time.
type decaying struct {
	seconds float64
	at      time.Time
}

func (d decaying) value(now time.Time) float64 {
	age := now.Sub(d.at).Seconds() / usageDecayTime.Seconds()
	return d.seconds * math.Exp(-max(age, 0))
}

// usage is the use of the target by one workspace.
type usage struct {
	inService int
	// served is the service time of completed requests.
	served decaying
	// told is the service time that others have reported, by source, and toldSum the
	// sum of it.
	told    map[string]decaying
	toldSum decaying
}

// recent returns the service time of completed requests and of reports.
func (u *usage) recent(now time.Time) float64 {
	if u == nil {
		return 0
	}
	return u.served.value(now) + u.toldSum.value(now)
}

// tell records a report. The oldest one is dropped if there are too many.
func (u *usage) tell(source string, d decaying) {
	sum := u.toldSum.value(d.at)
	if _, known := u.told[source]; !known && len(u.told) >= maxSources {
		oldest := ""
		for s, o := range u.told {
			if oldest == "" || o.at.Before(u.told[oldest].at) {
				oldest = s
			}
		}
		sum -= u.told[oldest].value(d.at)
		delete(u.told, oldest)
	}
	if u.told == nil {
		u.told = map[string]decaying{}
	}
	sum += d.seconds - u.told[source].value(d.at)
	u.told[source] = d
	u.toldSum = decaying{max(sum, 0), d.at}
}

// Usage is the recent use by each workspace. Its size is bounded by the number of
// workspaces that have requests in service or had some recently. It is not safe for
// concurrent use.
type Usage struct {
	byWorkspace map[string]*usage
}

// NewUsage returns a usage without entries.
func NewUsage() *Usage { return &Usage{byWorkspace: map[string]*usage{}} }

// Begin records that service of a request of the workspace has started.
func (m *Usage) Begin(workspace string, now time.Time) { m.of(workspace, now).inService++ }

// End records that service of a request of the workspace has ended, and its service
// time.
func (m *Usage) End(workspace string, now time.Time, held time.Duration) {
	u := m.of(workspace, now)
	u.inService = max(u.inService-1, 0)
	m.Add(workspace, now, held)
}

// Add records service time of the workspace.
func (m *Usage) Add(workspace string, now time.Time, held time.Duration) {
	u := m.of(workspace, now)
	u.served = decaying{u.served.value(now) + max(held, 0).Seconds(), now}
}

// Tell records the recent service time of the workspace that a source reports. It
// replaces the source's last report.
func (m *Usage) Tell(workspace, source string, now time.Time, recent time.Duration) {
	m.of(workspace, now).tell(source, decaying{max(recent, 0).Seconds(), now})
}

// InService returns the number of requests of the workspace in service.
func (m *Usage) InService(workspace string) int {
	if u := m.byWorkspace[workspace]; u != nil {
		return u.inService
	}
	return 0
}

// Recent returns the recent service time of the workspace in seconds, including that
// which others have reported.
func (m *Usage) Recent(workspace string, now time.Time) float64 {
	return m.byWorkspace[workspace].recent(now)
}

func (m *Usage) of(workspace string, now time.Time) *usage {
	u := m.byWorkspace[workspace]
	if u == nil {
		m.prune(now)
		u = &usage{}
		m.byWorkspace[workspace] = u
	}
	return u
}

// prune deletes negligible entries once there are many. It scans all entries,
// but only when their number is a power of two.
func (m *Usage) prune(now time.Time) {
	if n := len(m.byWorkspace); n < minPruneSize || n&(n-1) != 0 {
		return
	}
	for name, u := range m.byWorkspace {
		if u.inService == 0 && u.recent(now) < negligibleUsage {
			delete(m.byWorkspace, name)
		}
	}
}

// shareStep is the ratio of uses within which workspaces count as equal. The uses of
// workspaces with the same load differ by about a tenth in a usageDecayTime.
const shareStep = 1.25

// Excess returns by how many steps the recent use of each of some competing workspaces
// exceeds their mean. It is 0 for those below the mean or close to it, so that
// workspaces of about equal use have no precedence over each other.
func (m *Usage) Excess(workspaces []string, now time.Time) map[string]int {
	steps := make(map[string]int, len(workspaces))
	if len(workspaces) < 2 {
		return steps
	}
	used := make([]float64, len(workspaces))
	sum := 0.0
	for i, w := range workspaces {
		used[i] = m.Recent(w, now)
		sum += used[i]
	}
	mean := sum / float64(len(workspaces))
	for i, w := range workspaces {
		if used[i] > mean && mean > 0 {
			steps[w] = int(math.Log(used[i]/mean) / math.Log(shareStep))
		}
	}
	return steps
}
