package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/freshness"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// methodStatus asks a peer how recently it was in touch.
const methodStatus = "member.touch"

// Times of sampling.
const (
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = time.Second
)

// tableState is what the loop knows of its contact with the table.
type tableState struct {
	// lastRead is when the last successful read of the table began.
	lastRead   time.Time
	newestRead freshness.Knowledge
	sample     *freshness.Sample
	decision   freshness.Decision
}

// readsTable reports whether this daemon itself reads the table.
func (t *tableState) readsTable(now time.Time) bool {
	return !t.lastRead.IsZero() && now.Sub(t.lastRead) < freshness.FreshFor
}

func (t *tableState) recordRead(begun time.Time) {
	t.lastRead = begun
	t.newestRead.Read(begun)
}

// localStatus is what other daemons are told.
func (s *state) localStatus(now time.Time) member.Touch {
	age, known := s.table.newestRead.Age(now)
	touch := member.Touch{Revision: s.revision(), TableKnown: known}
	if known {
		touch.TableAge = age
	}
	return touch
}

// observeStatus takes the touch of a peer from an exchange that this daemon began.
// Messages that merely arrived may be old, so their ages are not used. Neither
// is that of a peer with a higher revision: what it knows is not in force here.
func (c *Control) observeStatus(begun, now time.Time, s *state, host string, t member.Touch) {
	if t.TableKnown && t.Revision <= s.revision() {
		s.table.newestRead.Heard(begun, t.TableAge)
	}
	c.observeRevision(now, s, host, t.Revision)
}

// observeRevision takes the revision of a peer.
func (c *Control) observeRevision(now time.Time, s *state, host string, revision uint64) {
	if revision <= s.revision() {
		return
	}
	if s.highestRevision <= s.revision() {
		s.behindSince = now
	}
	s.highestRevision = max(s.highestRevision, revision)
	c.Behind(host, revision)
}

// isBehind reports whether a higher revision is known for too long.
func (s *state) isBehind(now time.Time) bool {
	return s.highestRevision > s.revision() && now.Sub(s.behindSince) > maxBehind
}

// mayServe decides whether the daemon may serve.
func (c *Control) mayServe(now time.Time, s *state) bool {
	s.table.decision = freshness.Decide(now, s.table.newestRead, s.table.sample)
	return s.view.Snapshot != nil && !s.isBehind(now) && s.table.decision.Serve()
}

func (c *Control) handleStatus(ctx context.Context, _ struct{}) (member.Touch, error) {
	var touch member.Touch
	err := c.do(ctx, func(now time.Time, s *state) { touch = s.localStatus(now) })
	return touch, err
}

// RunSampling asks other members about the table while this daemon is about to
// lose touch with it.
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
		needed = s.table.decision.Sample
		if needed {
			members = freshness.Choose(c.opts.Self.Host, s.gossip.List(), randomSource{})
		}
	})
	return members, needed && err == nil
}

// sampledMember is one member of a sample.
type sampledMember struct {
	member.Daemon
	answered bool
	status   member.Touch
}

func (c *Control) takeSample(ctx context.Context, members []member.Daemon) {
	c.stats.Samples.Add(1)
	begun := time.Now()
	results := c.queryMembers(ctx, members)
	sample := &freshness.Sample{Begun: begun, Own: c.opts.Self.DataCentre, DataCentres: tally(results)}
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // a stopped loop needs no news
		for _, m := range results {
			if m.answered {
				c.observeStatus(begun, now, s, m.Host, m.status)
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
			results[i].answered = err == nil
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the functions return nil
	return results
}

// tally counts the answers of each data centre; members come sorted by it.
func tally(results []sampledMember) []freshness.DataCentreSample {
	var out []freshness.DataCentreSample
	for _, m := range results {
		if len(out) == 0 || out[len(out)-1].DataCentre != m.DataCentre {
			out = append(out, freshness.DataCentreSample{DataCentre: m.DataCentre})
		}
		dc := &out[len(out)-1]
		dc.Asked++
		if m.answered {
			dc.Answered++
		}
		if m.answered && m.status.TableKnown && m.status.TableAge <= freshness.FreshFor {
			dc.Fresh++
		}
	}
	return out
}
