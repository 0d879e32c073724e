package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/balance"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/freshness"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// startControl returns a Control with a running loop and its stand-in platform.
func startControl(t *testing.T) (*Control, *standin.Platform) {
	t.Helper()
	p := standin.New()
	c := New(Options{
		Self:    member.Daemon{Host: "h1", DataCentre: "dc1", Incarnation: 1, State: member.StateServing},
		Table:   p,
		Store:   configstore.New(p, nil),
		Targets: func() []member.Target { return nil },
		Loads:   &balance.LoadTracker{},
		Logger:  log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.RunLoop(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return c, p
}

// viewAt returns a view of a minimal configuration at the given revision.
func viewAt(revision uint64) configstore.View {
	section := config.Section{Name: "base", Team: "ops", DataCentres: []config.DataCentre{{Name: "dc1", Region: "r"}}}
	return configstore.NewView(configstore.State{
		Revision: revision,
		Sections: []configstore.StoredSection{{Revision: revision, Section: section}},
	})
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	c, _ := startControl(t)
	ctx := context.Background()
	for _, revision := range []uint64{5, 3, 5, 4} {
		assert.NilError(t, c.adopt(ctx, viewAt(revision)))
	}
	assert.NilError(t, c.do(ctx, func(time.Time, *state) {}))
	assert.Equal(t, c.revision(), uint64(5))
}

// TestStatusOfPeerAheadDoesNotCount guards against a daemon that serves an old
// configuration because a peer with a newer one has recently read the table.
func TestStatusOfPeerAheadDoesNotCount(t *testing.T) {
	c, _ := startControl(t)
	ctx := context.Background()
	assert.NilError(t, c.adopt(ctx, viewAt(5)))
	observe := func(revision uint64) (mayServe bool) {
		status := member.ControlStatus{Revision: revision, TableKnown: true}
		assert.NilError(t, c.do(ctx, func(now time.Time, s *state) {
			s.table.newestRead = freshness.Tracker{}
			c.observeStatus(now, now, s, "h2", status)
			mayServe = c.mayServe(now, s)
		}))
		return mayServe
	}
	assert.Assert(t, observe(5))
	assert.Assert(t, !observe(6))
	assert.NilError(t, c.adopt(ctx, viewAt(6)))
	assert.Assert(t, observe(6))
}

func TestServingStopsWhenBehind(t *testing.T) {
	c, _ := startControl(t)
	ctx := context.Background()
	assert.NilError(t, c.adopt(ctx, viewAt(5)))
	assert.NilError(t, c.do(ctx, func(now time.Time, s *state) {
		s.table.recordRead(now)
		c.observeRevision(now, s, "h2", 6)
		assert.Check(t, c.mayServe(now, s))
		assert.Check(t, !c.mayServe(now.Add(maxBehind+time.Millisecond), s))
	}))
}

func TestRowOfNewerDaemonIsKept(t *testing.T) {
	c, p := startControl(t)
	ctx := context.Background()
	opts := c.opts
	opts.Self.Incarnation = 2
	newer := New(opts)
	assert.Assert(t, !newer.writeRow(ctx).IsZero())
	assert.NilError(t, c.RemoveRow(ctx))
	_, err := p.Get(ctx, rowPrefix+"h1")
	assert.NilError(t, err)
	assert.NilError(t, newer.RemoveRow(ctx))
	_, err = p.Get(ctx, rowPrefix+"h1")
	assert.ErrorContains(t, err, "no such row")
}
