package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/freshness"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// methodStatus is the RPC method that returns a daemon's status.
const methodStatus = "member.touch"

// Timing of samples.
const (
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = time.Second
)

// tableState is the loop's state about reads of the table.
type tableState struct {
	// lastRead is when the last successful read by this daemon began.
	lastRead   time.Time
	newestRead freshness.Tracker
	sample     *freshness.Sample
	decision   freshness.Decision
}

// readsTable reports whether this daemon itself has read the table recently.
func (t *tableState) readsTable(now time.Time) bool {
	return !t.lastRead.IsZero() && now.Sub(t.lastRead) < freshness.MaxAge
}

func (t *tableState) recordRead(start time.Time) {
	t.lastRead = start
	t.newestRead.ObserveRead(start)
}

// localStatus returns the status that is sent to other daemons.
func (s *state) localStatus(now time.Time) member.ControlStatus {
	age, known := s.table.newestRead.Age(now)
	status := member.ControlStatus{Revision: s.revision(), TableKnown: known}
	if known {
		status.TableAge = age
	}
	return status
}

// observeStatus processes the status that a peer returned in an exchange started
// by this daemon at start. The table ages in messages that peers initiate are
// ignored, because such a message may have been delayed for an unknown time. So is
// the age from a peer with a higher revision, because the configuration that the
// peer read is not in force here.
func (c *Control) observeStatus(start, now time.Time, s *state, host string, status member.ControlStatus) {
	if status.TableKnown && status.Revision <= s.revision() {
		s.table.newestRead.ObservePeer(start, status.TableAge)
	}
	c.observeRevision(now, s, host, status.Revision)
}

// observeRevision processes the revision that a peer reported and requests a
// fetch if it is higher than the one in force.
func (c *Control) observeRevision(now time.Time, s *state, host string, revision uint64) {
	if revision <= s.revision() {
		return
	}
	if s.highestRevision <= s.revision() {
		s.behindSince = now
	}
	s.highestRevision = max(s.highestRevision, revision)
	c.ReportRevision(host, revision)
}

// isBehind reports whether a higher revision has been known for longer than
// maxBehind.
func (s *state) isBehind(now time.Time) bool {
	return s.highestRevision > s.revision() && now.Sub(s.behindSince) > maxBehind
}

// mayServe decides whether the daemon may serve requests and stores the
// freshness decision.
func (c *Control) mayServe(now time.Time, s *state) bool {
	s.table.decision = freshness.Decide(now, s.table.newestRead, s.table.sample)
	return s.view.Snapshot != nil && !s.isBehind(now) && s.table.decision.Serve()
}

func (c *Control) handleStatus(ctx context.Context, _ struct{}) (member.ControlStatus, error) {
	var status member.ControlStatus
	err := c.do(ctx, func(now time.Time, s *state) { status = s.localStatus(now) })
	return status, err
}

// RunSampling queries a sample of members about their reads of the table while
// this daemon's knowledge is stale or about to become so.
func (c *Control) RunSampling(ctx context.Context) error {
	for sleep(ctx, sampleInterval) {
		members, needed := c.sampleMembers(ctx)
		if needed {
			c.takeSample(ctx, members)
		}
	}
	return nil
}

func (c *Control) sampleMembers(ctx context.Context) (members []member.Daemon, needed bool) {
	err := c.do(ctx, func(_ time.Time, s *state) {
		needed = s.table.decision.SampleNeeded
		if needed {
			members = freshness.SelectMembers(c.opts.Self.Host, s.gossip.List(), randomSource{})
		}
	})
	return members, needed && err == nil
}

// sampledMember is a queried member and its response.
type sampledMember struct {
	member.Daemon
	responded bool
	status    member.ControlStatus
}

func (c *Control) takeSample(ctx context.Context, members []member.Daemon) {
	c.stats.Samples.Add(1)
	start := time.Now()
	results := c.queryMembers(ctx, members)
	sample := &freshness.Sample{Start: start, LocalDataCentre: c.opts.Self.DataCentre, DataCentres: tally(results)}
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // fails only during shutdown
		for _, m := range results {
			if m.responded {
				c.observeStatus(start, now, s, m.Host, m.status)
			}
		}
		s.table.sample = sample
	})
}

func (c *Control) queryMembers(ctx context.Context, members []member.Daemon) []sampledMember {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	results := make([]sampledMember, len(members))
	var group errgroup.Group
	for i, m := range members {
		results[i].Daemon = m
		group.Go(func() error {
			err := c.opts.RPC.Call(ctx, m.RPCAddr, methodStatus, struct{}{}, &results[i].status)
			results[i].responded = err == nil
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the functions always return nil
	return results
}

// tally counts the responses of each data centre. The results must be grouped by
// data centre.
func tally(results []sampledMember) []freshness.DataCentreSample {
	var out []freshness.DataCentreSample
	for _, m := range results {
		if len(out) == 0 || out[len(out)-1].DataCentre != m.DataCentre {
			out = append(out, freshness.DataCentreSample{DataCentre: m.DataCentre})
		}
		dc := &out[len(out)-1]
		dc.Queried++
		if m.responded {
			dc.Responded++
		}
		if m.responded && m.status.TableKnown && m.status.TableAge <= freshness.MaxAge {
			dc.Fresh++
		}
	}
	return out
}
