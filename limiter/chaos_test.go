package limiter

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

const (
	chaosGracePeriod = time.Minute
	chaosPause       = 20 * time.Second
)

// reference is an exact bucket for the whole fleet. A grant that it would not
// have made is an error.
type reference struct {
	at          time.Time
	level       float64
	rate, burst float64
}

func (r *reference) advance(now time.Time, rate, burst float64) {
	r.level += now.Sub(r.at).Seconds() * math.Max(r.rate, rate)
	r.level = math.Min(r.level, math.Max(r.burst, burst))
	r.at, r.rate, r.burst = now, rate, burst
}

// chaosHost is one daemon: its service, its configuration and its faults.
type chaosHost struct {
	self                      member.Daemon
	service                   *Service
	config                    *fakeConfig
	dropInbound, dropOutbound bool
	dropTable, stopped        bool
}

// chaos is a fleet with random faults. Everything runs in one goroutine except
// the RPCs, whose calls return in order.
type chaos struct {
	t       *rapid.T
	clock   *fakeClock
	table   *fakeTable
	network *fakeNetwork
	hosts   []*chaosHost
	newest  *fakeConfig
	refs    map[string]*reference
	delayed []platform.Txn
	// tableFault and replyFault are injected into the next operation.
	tableFault, replyFault string
	inPause                bool
	allowed                int
}

var chaosWorkspaces = []string{"huge", "large", "single", "small"}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{t: t, clock: newFakeClock(), table: newFakeTable(), network: newFakeNetwork(), refs: map[string]*reference{}}
	c.newest = &fakeConfig{
		revision: 1, since: 1, dataCentres: []string{"a", "b", "c"},
		limits: map[string]Limits{
			"large":  {Rate: 4, Burst: 12, LastChanged: 1},
			"huge":   {Rate: 32, Burst: 96, LastChanged: 1},
			"small":  {Rate: 1, Burst: 3, LastChanged: 1},
			"single": {Rate: 0.5, Burst: 1, LastChanged: 1},
		},
	}
	for i := range 6 {
		host := fmt.Sprintf("%s%d", c.newest.dataCentres[i%3], i/3)
		h := &chaosHost{self: member.Daemon{
			Host: host, DataCentre: host[:1], Incarnation: 1, State: member.StateServing, RPCAddr: host + ":1",
		}}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	for w, l := range c.newest.limits {
		c.refs[w] = &reference{at: c.clock.Now(), level: float64(l.Burst), rate: l.Rate, burst: float64(l.Burst)}
	}
	return c
}

func (c *chaos) start(h *chaosHost) {
	h.config = c.newest
	h.service = New(Options{
		Self: h.self, Table: chaosTable{c, h}, RPC: chaosCaller{c, h}, Clock: c.clock.Now, Shards: 1,
		Config: func() Config { return h.config }, Peers: c.peers, GracePeriod: chaosGracePeriod,
	})
	h.service.maxConcurrentRows = 1
	h.service.maxPullWait = time.Hour
	h.service.Register(networkRegistrar{network: c.network, addr: h.self.RPCAddr})
}

func (c *chaos) peers() []member.Daemon {
	var peers []member.Daemon
	for _, h := range c.hosts {
		if !h.stopped {
			peers = append(peers, h.self)
		}
	}
	return peers
}

// pause advances the clock and runs the other hosts in the middle of an
// operation of h.
func (c *chaos) pause(h *chaosHost) {
	if c.inPause {
		return
	}
	c.inPause = true
	defer func() { c.inPause = false }()
	for range 5 {
		c.clock.Advance(chaosPause / 5)
		for _, other := range c.hosts {
			if other != h {
				c.step(other)
			}
		}
	}
}

func (c *chaos) step(h *chaosHost) {
	if !h.stopped {
		h.service.Step(context.Background())
	}
}

func (c *chaos) stepAll() {
	for _, h := range c.hosts {
		c.step(h)
	}
}

// rounds runs n steps of all hosts at their usual interval.
func (c *chaos) rounds(n int) {
	for range n {
		c.clock.Advance(3 * time.Second)
		c.stepAll()
		c.advanceReference()
	}
}

// exhaust requests more tokens at each host than there are.
func (c *chaos) exhaust() {
	for _, h := range c.hosts {
		for _, w := range chaosWorkspaces {
			if !h.stopped {
				c.takeSome(h, w, c.newest.limits[w].Burst+1)
			}
		}
	}
}

// pickOwner returns an owner of some row, or any host if there is none.
func (c *chaos) pickOwner(n int) *chaosHost {
	var owners []*chaosHost
	for _, h := range c.hosts {
		if len(h.service.owned()) > 0 {
			owners = append(owners, h)
		}
	}
	if len(owners) == 0 {
		owners = c.hosts
	}
	return owners[n%len(owners)]
}

// takeSome requests n tokens at a host and checks the grants against the
// reference.
func (c *chaos) takeSome(h *chaosHost, workspace string, n int) int {
	got := 0
	for range n {
		d, err := h.service.Take(context.Background(), workspace)
		c.advanceReference()
		var e *Error
		if err != nil && !errors.As(err, &e) {
			c.t.Fatalf("untyped error %v", err)
		}
		if err != nil || !d.Allowed {
			continue
		}
		got++
		c.allowed++
		ref := c.refs[workspace]
		ref.level--
		if ref.level < -1e-6 {
			c.t.Fatalf("%s: %v tokens granted above rate and burst", workspace, -ref.level)
		}
	}
	return got
}

// advanceReference uses the highest limits in the configuration of any host.
func (c *chaos) advanceReference() {
	for w, ref := range c.refs {
		var rate, burst float64
		for _, h := range c.hosts {
			l := h.config.limits[w]
			rate = math.Max(rate, l.Rate)
			burst = math.Max(burst, float64(l.Burst))
		}
		ref.advance(c.clock.Now(), rate, burst)
	}
}

// change accepts a configuration with other limits or data centres.
func (c *chaos) change(workspace string, l Limits, dcs []string) {
	next := &fakeConfig{revision: c.newest.revision + 1, since: c.newest.since, dataCentres: dcs, limits: map[string]Limits{}}
	if !slices.Equal(dcs, c.newest.dataCentres) {
		next.since = next.revision
	}
	for w, old := range c.newest.limits {
		next.limits[w] = old
	}
	l.LastChanged = next.revision
	next.limits[workspace] = l
	c.newest = next
}

// TestGrantsNeverExceedRateAndBurst runs random sequences of faults: lost and
// late replies, pauses in the middle of operations, one-way partitions,
// crashes, new incarnations, planned stops, table outages, delayed and lost
// writes, and changes of limits and data centres that reach the hosts at
// different times.
func TestGrantsNeverExceedRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		host := func() *chaosHost { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		take := func(t *rapid.T) {
			w := rapid.SampledFrom(chaosWorkspaces).Draw(t, "workspace")
			h := host()
			if !h.stopped {
				c.takeSome(h, w, rapid.IntRange(1, 15).Draw(t, "n"))
			}
		}
		round := func(t *rapid.T) {
			c.clock.Advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			c.stepAll()
			c.advanceReference()
		}
		round(t)
		c.stepAll()
		t.Repeat(map[string]func(*rapid.T){
			"take":   take,
			"take2":  take,
			"round":  round,
			"round2": round,
			"long": func(t *rapid.T) {
				c.rounds(rapid.IntRange(3, 30).Draw(t, "rounds"))
			},
			"fault": func(t *rapid.T) {
				c.tableFault = rapid.SampledFrom([]string{"", "pause-before", "pause-after", "delay", "swallow", "lose-reply"}).Draw(t, "table")
				c.replyFault = rapid.SampledFrom([]string{"", "pause-owner", "lose"}).Draw(t, "reply")
			},
			"deliver": func(t *rapid.T) {
				for _, txn := range c.delayed {
					c.table.Commit(context.Background(), txn) //nolint:errcheck // conflicts are expected
				}
				c.delayed = nil
			},
			"cut": func(t *rapid.T) {
				h := host()
				h.dropInbound = rapid.Bool().Draw(t, "in")
				h.dropOutbound = rapid.Bool().Draw(t, "out")
				h.dropTable = rapid.Bool().Draw(t, "table")
			},
			"isolate": func(t *rapid.T) {
				h := c.pickOwner(rapid.IntRange(0, 5).Draw(t, "owner"))
				h.dropTable = true
				h.dropInbound = rapid.Bool().Draw(t, "in")
				h.dropOutbound = rapid.Bool().Draw(t, "out")
				c.rounds(rapid.IntRange(2, 8).Draw(t, "rounds"))
				c.exhaust()
			},
			"join": func(t *rapid.T) {
				for _, h := range c.hosts {
					h.dropInbound, h.dropOutbound, h.dropTable = false, false, false
				}
				c.rounds(rapid.IntRange(0, 3).Draw(t, "rounds"))
				c.exhaust()
			},
			"drain":  func(t *rapid.T) { c.exhaust() },
			"outage": func(t *rapid.T) { c.table.unavailable = !c.table.unavailable },
			"restart": func(t *rapid.T) {
				h := host()
				h.self.Incarnation++
				h.stopped = false
				c.start(h)
			},
			"stop": func(t *rapid.T) {
				h := host()
				if !h.stopped {
					h.service.Release(context.Background())
					h.stopped = true
				}
			},
			"limits": func(t *rapid.T) {
				w := rapid.SampledFrom(chaosWorkspaces).Draw(t, "changed")
				l := Limits{
					Rate:  float64(rapid.IntRange(1, 8).Draw(t, "rate")) / 2,
					Burst: rapid.SampledFrom([]int{1, 2, 3, 4, 12, 64, 96}).Draw(t, "burst"),
				}
				dcs := rapid.SampledFrom([][]string{{"a", "b", "c"}, {"a", "b"}, {"b", "c"}}).Draw(t, "dcs")
				c.change(w, l, dcs)
			},
			"adopt": func(t *rapid.T) {
				c.advanceReference()
				host().config = c.newest
				c.advanceReference()
			},
			"": func(t *rapid.T) {},
		})
		c.endFaults(t)
	})
}

// endFaults ends all faults and checks that the whole burst is available again.
func (c *chaos) endFaults(t *rapid.T) {
	c.table.unavailable, c.tableFault, c.replyFault, c.delayed = false, "", "", nil
	for _, h := range c.hosts {
		h.dropInbound, h.dropOutbound, h.dropTable = false, false, false
		c.advanceReference()
		h.config = c.newest
		if h.stopped {
			h.self.Incarnation++
			h.stopped = false
			c.start(h)
		}
	}
	c.rounds(60)
	for _, w := range chaosWorkspaces {
		c.takeSome(c.hosts[0], w, 1)
	}
	c.rounds(40)
	for _, w := range chaosWorkspaces {
		burst := c.newest.limits[w].Burst
		holders := len(limit.NewLayout(c.newest.dataCentres, w, burst).Holders)
		got := c.takeSome(c.hosts[0], w, burst)
		if got < burst-max(holders, len(c.newest.dataCentres)) || got == 0 {
			t.Fatalf("%s: only %d of %d tokens available after all faults ended", w, got, burst)
		}
	}
}
