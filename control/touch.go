package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/freshness"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// methodTouch asks a peer how recently it was in touch.
const methodTouch = "member.touch"

// Times of sampling.
const (
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = time.Second
)

// touchState is what the loop knows of its contact with the table.
type touchState struct {
	// ownRead is when the last successful read of the table began.
	ownRead   time.Time
	knowledge freshness.Knowledge
	sample    *freshness.Sample
	decision  freshness.Decision
}

// ownFresh reports whether this daemon itself reads the table.
func (t *touchState) ownFresh(now time.Time) bool {
	return !t.ownRead.IsZero() && now.Sub(t.ownRead) < freshness.FreshFor
}

func (t *touchState) read(begun time.Time) {
	t.ownRead = begun
	t.knowledge.Read(begun)
}

// ownTouch is what other daemons are told.
func (s *state) ownTouch(now time.Time) member.Touch {
	age, known := s.touch.knowledge.Age(now)
	touch := member.Touch{Revision: s.revision(), TableKnown: known}
	if known {
		touch.TableAge = age
	}
	return touch
}

// answered takes the touch of a peer from an exchange that this daemon began.
// Messages that merely arrived may be old, so their ages are not used. Neither
// is that of a peer with a higher revision: what it knows is not in force here.
func (c *Control) answered(begun, now time.Time, s *state, host string, t member.Touch) {
	if t.TableKnown && t.Revision <= s.revision() {
		s.touch.knowledge.Heard(begun, t.TableAge)
	}
	c.told(now, s, host, t.Revision)
}

// told takes the revision of a peer.
func (c *Control) told(now time.Time, s *state, host string, revision uint64) {
	if revision <= s.revision() {
		return
	}
	if s.ahead <= s.revision() {
		s.aheadSince = now
	}
	s.ahead = max(s.ahead, revision)
	c.Behind(host, revision)
}

// isBehind reports whether a higher revision is known for too long.
func (s *state) isBehind(now time.Time) bool {
	return s.ahead > s.revision() && now.Sub(s.aheadSince) > behindBound
}

// inTouch decides whether the daemon may serve.
func (c *Control) inTouch(now time.Time, s *state) bool {
	s.touch.decision = freshness.Decide(now, s.touch.knowledge, s.touch.sample)
	return s.view.Snapshot != nil && !s.isBehind(now) && s.touch.decision.Serve()
}

func (c *Control) onTouch(ctx context.Context, _ struct{}) (member.Touch, error) {
	var touch member.Touch
	err := c.do(ctx, func(now time.Time, s *state) { touch = s.ownTouch(now) })
	return touch, err
}

// RunSampling asks other members about the table while this daemon is about to
// lose touch with it.
func (c *Control) RunSampling(ctx context.Context) error {
	for sleep(ctx, sampleInterval) {
		members, needed := c.membersToAsk(ctx)
		if needed {
			c.sample(ctx, members)
		}
	}
	return nil
}

func (c *Control) membersToAsk(ctx context.Context) (members []member.Daemon, needed bool) {
	err := c.do(ctx, func(_ time.Time, s *state) {
		needed = s.touch.decision.Sample
		if needed {
			members = freshness.Choose(c.opts.Self.Host, s.gossip.List(), random{})
		}
	})
	return members, needed && err == nil
}

// askedMember is one member of a sample.
type askedMember struct {
	member.Daemon
	answered bool
	touch    member.Touch
}

func (c *Control) sample(ctx context.Context, members []member.Daemon) {
	c.stats.Samples.Add(1)
	begun := time.Now()
	asked := c.ask(ctx, members)
	sample := &freshness.Sample{Begun: begun, Own: c.opts.Self.DataCentre, DataCentres: tally(asked)}
	c.do(ctx, func(now time.Time, s *state) { //nolint:errcheck // a stopped loop needs no news
		for _, m := range asked {
			if m.answered {
				c.answered(begun, now, s, m.Host, m.touch)
			}
		}
		s.touch.sample = sample
	})
}

func (c *Control) ask(ctx context.Context, members []member.Daemon) []askedMember {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	asked := make([]askedMember, len(members))
	var group errgroup.Group
	for i, m := range members {
		asked[i].Daemon = m
		group.Go(func() error {
			err := c.opts.RPC.Call(ctx, m.RPCAddr, methodTouch, struct{}{}, &asked[i].touch)
			asked[i].answered = err == nil
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the functions return nil
	return asked
}

// tally counts the answers of each data centre; members come sorted by it.
func tally(asked []askedMember) []freshness.DataCentreSample {
	var out []freshness.DataCentreSample
	for _, m := range asked {
		if len(out) == 0 || out[len(out)-1].DataCentre != m.DataCentre {
			out = append(out, freshness.DataCentreSample{DataCentre: m.DataCentre})
		}
		dc := &out[len(out)-1]
		dc.Asked++
		if m.answered {
			dc.Answered++
		}
		if m.answered && m.touch.TableKnown && m.touch.TableAge <= freshness.FreshFor {
			dc.Fresh++
		}
	}
	return out
}
