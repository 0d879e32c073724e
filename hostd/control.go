package hostd

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// hostsTable holds one row a host with a target.
const hostsTable = "hosts"

// Times of the calls to the store.
const (
	// storeTimeout bounds a call beyond what it asks the store to wait. The
	// store answers in milliseconds.
	storeTimeout = 600 * time.Millisecond
	// configWait is how long a feed of the configuration waits. Its answer also
	// proves that the configuration is fresh, so it must come well within the
	// bound for withdrawn keys, with time for one more try.
	configWait = 1900 * time.Millisecond
	// hostsWait is how long a feed of the hosts waits; a new host that is
	// learnt of late only gets less work.
	hostsWait = 8 * time.Second
	// hostsPause lets several changes of hosts share one answer.
	hostsPause = 700 * time.Millisecond
	// minStorePause and maxStorePause bound the pause after a failed call.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 500 * time.Millisecond
)

// store is what Control needs of the platform's store.
type store interface {
	Range(ctx context.Context, table, part string, timeout time.Duration) (karpithaz.Reading, error)
	Feed(ctx context.Context, table string, after uint64, wait, timeout time.Duration) (karpithaz.Reading, error)
	Commit(ctx context.Context, tx karpithaz.Tx, timeout time.Duration) (karpithaz.Reading, error)
}

// Control owns the host's knowledge of configuration and hosts.
type Control struct {
	host    string
	store   store
	log     *decisions.Log
	metrics *metrics.Registry

	view  atomic.Pointer[View]
	proof atomic.Int64 // boottime.Instant of the configuration's last proof
	news  chan news
	own   chan *Target

	// The fields below belong to the goroutine of Run.
	config    *routes.Config
	evacuated map[string]bool
	hosts     map[string]Target
	known     bool
}

// news is what was read of one table.
type news struct {
	table string
	// whole is set when rows are all of the table.
	whole bool
	rows  []karpithaz.Row
	// asOf is when the store vouched for the rows.
	asOf boottime.Instant
	done chan struct{}
}

// NewControl returns a Control that knows nothing yet.
func NewControl(host string, s store, l *decisions.Log, m *metrics.Registry) *Control {
	c := &Control{
		host:      host,
		store:     s,
		log:       l,
		metrics:   m,
		news:      make(chan news),
		own:       make(chan *Target, 1),
		evacuated: map[string]bool{},
		hosts:     map[string]Target{},
	}
	c.view.Store(newView(nil, nil, nil, false, time.Now()))
	return c
}

// View returns the present view.
func (c *Control) View() *View { return c.view.Load() }

// ProofAge is how long ago the store vouched for the configuration in force.
func (c *Control) ProofAge() time.Duration {
	at := c.proof.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Now().Sub(boottime.Instant(at))
}

// Run takes in what was read until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-c.news:
			c.take(n)
			close(n.done)
		}
	}
}

func (c *Control) take(n news) {
	changed := n.whole || len(n.rows) > 0
	switch n.table {
	case karpithaz.OperatorTable:
		c.takeOperators(n)
	case hostsTable:
		c.takeHosts(n)
	}
	if changed {
		c.publish()
	}
	if n.table == karpithaz.OperatorTable && c.config != nil {
		// The proof follows the view, so that nobody sees it with an older one.
		c.proof.Store(int64(n.asOf))
	}
}

func (c *Control) publish() {
	v := newView(c.config, maps.Clone(c.evacuated), maps.Clone(c.hosts), c.known, time.Now())
	if old := c.View(); slices.Equal(old.names, v.names) {
		v.hostsSince = old.hostsSince
	}
	c.view.Store(v)
}

func (c *Control) takeOperators(n news) {
	if n.whole {
		c.evacuated = map[string]bool{}
	}
	for _, row := range n.rows {
		if row.Key == karpithaz.ConfigKey {
			c.takeConfig(row)
			continue
		}
		dc, ok := karpithaz.EvacuatedDataCentre(row.Key)
		if !ok {
			continue
		}
		if row.Removed {
			delete(c.evacuated, dc)
		} else {
			c.evacuated[dc] = true
		}
		c.log.Decide("data-centre", "name", dc, "out", !row.Removed, "row_version", row.Version)
	}
}

func (c *Control) takeConfig(row karpithaz.Row) {
	if row.Removed {
		return
	}
	cfg, err := karpithaz.DecodeConfig(row.Value)
	if err != nil {
		c.metrics.Add("config_unreadable", 1)
		c.log.Logger().Error("configuration unreadable; the last one stays in force", "row_version", row.Version, "err", err)
		return
	}
	if c.config != nil && cfg.Revision < c.config.Revision {
		c.log.Logger().Warn("older configuration passed over", "revision", cfg.Revision, "in_force", c.config.Revision)
		return
	}
	c.config = cfg
	c.log.Decide("config", "revision", cfg.Revision, "routes", cfg.Routes(), "row_version", row.Version)
}

func (c *Control) takeHosts(n news) {
	if n.whole {
		c.hosts = map[string]Target{}
		c.known = true
	}
	for _, row := range n.rows {
		if row.Removed {
			delete(c.hosts, row.Key)
			c.log.Decide("host-left", "host", row.Key, "row_version", row.Version)
			continue
		}
		t, err := decodeTarget(row.Key, row.Value)
		if err != nil {
			c.metrics.Add("host_rows_unreadable", 1)
			c.log.Decide("host-unreadable", "row", row.Key, "row_version", row.Version, "err", err)
			continue
		}
		c.hosts[t.Host] = t
		c.log.Decide("host-known", "host", t.Host, "target", t.ID, "service", t.Service, "row_version", row.Version)
	}
}

// RunConfig follows the operators' table until ctx ends.
func (c *Control) RunConfig(ctx context.Context) error {
	return c.follow(ctx, karpithaz.OperatorTable, configWait, 0)
}

// RunHosts follows the hosts' rows until ctx ends.
func (c *Control) RunHosts(ctx context.Context) error {
	return c.follow(ctx, hostsTable, hostsWait, hostsPause)
}

// follow reads a table and then its changes. After a failure it asks without
// waiting, on a new connection.
func (c *Control) follow(ctx context.Context, table string, wait, between time.Duration) error {
	f := &feed{c: c, table: table}
	failures := 0
	for ctx.Err() == nil {
		ask := wait
		if failures > 0 {
			ask = 0
		}
		err := f.next(ctx, ask)
		switch {
		case err == nil:
			f.recovered(failures)
			failures = 0
			pause.For(ctx, between)
		case errors.Is(err, karpithaz.ErrHistoryGone):
			c.log.Logger().Warn("store has dropped its history; reading anew", "table", table)
			f.started = false
		case ctx.Err() == nil:
			failures++
			f.failed(failures, err)
			pause.For(ctx, storePause(failures))
		}
	}
	return nil
}

// storePause doubles with each failure and is spread, so that the fleet does
// not call in step.
func storePause(failures int) time.Duration {
	p := min(minStorePause<<min(failures, 8), maxStorePause)
	return p/2 + rand.N(p/2)
}

// feed is the position in one table.
type feed struct {
	c       *Control
	table   string
	version uint64
	// started is set once the whole table has been read.
	started bool
	offset  storeClock
}

func (f *feed) next(ctx context.Context, wait time.Duration) error {
	asked := boottime.Now()
	var r karpithaz.Reading
	var err error
	whole := !f.started
	if whole {
		r, err = f.c.store.Range(ctx, f.table, "", storeTimeout)
	} else {
		r, err = f.c.store.Feed(ctx, f.table, f.version, wait, storeTimeout)
	}
	if err != nil {
		return err
	}
	n := news{table: f.table, whole: whole, rows: r.Rows, done: make(chan struct{})}
	n.asOf = f.offset.answered(asked, boottime.Now(), r.StoreMillis)
	f.version, f.started = max(r.Version, f.version), true
	select {
	case f.c.news <- n:
		<-n.done
	case <-ctx.Done():
	}
	return nil
}

func (f *feed) failed(failures int, err error) {
	f.c.metrics.Add("store_failures", 1)
	if failures == 1 {
		f.c.log.Logger().Warn("store lost; working on with what is known", "table", f.table, "err", err)
	}
}

func (f *feed) recovered(failures int) {
	f.c.metrics.Add("store_answers", 1)
	if failures > 0 {
		f.c.log.Logger().Info("store regained", "table", f.table, "failures", failures)
	}
}

// storeClock maps the store's clock to the host's, by the quickest answer so
// far. An answer that was long on its way then counts from when it was given,
// and one that the store held back counts later than its question.
type storeClock struct {
	offset boottime.Instant
	known  bool
}

// answered returns when the store gave an answer: not before it was asked,
// and not later than the answer's own time stamp allows.
func (s *storeClock) answered(asked, received boottime.Instant, storeMillis int64) boottime.Instant {
	stamp := boottime.Instant(time.Duration(storeMillis) * time.Millisecond)
	if offset := received - stamp; !s.known || offset < s.offset {
		s.offset, s.known = offset, true
	}
	return min(max(asked, stamp+s.offset), received)
}

// Announce replaces the host's own row by the target's; nil removes it. It
// returns at once, and a newer target supersedes one that waits.
func (c *Control) Announce(t *Target) {
	select {
	case <-c.own:
	default:
	}
	c.own <- t
}

// RunOwnRow keeps the host's own row until ctx ends.
func (c *Control) RunOwnRow(ctx context.Context) error {
	var wanted *Target
	pending := false
	var version uint64
	for failures := 0; ; {
		if !pending {
			select {
			case <-ctx.Done():
				return nil
			case wanted = <-c.own:
				pending = true
			}
		}
		err := c.writeOwnRow(ctx, wanted, &version)
		switch {
		case err == nil:
			pending, failures = false, 0
		case platform.IsKind(err, platform.KindConflict):
			// version has been brought up to date.
		default:
			failures++
			c.log.Logger().Warn("own row not written; trying again", "err", err)
			if !pause.For(ctx, storePause(failures)) {
				return nil
			}
		}
		select {
		case wanted = <-c.own:
			pending = true
		default:
		}
	}
}

// writeOwnRow makes one try. The precondition keeps a late effect of an
// earlier process of this host from undoing a newer row.
func (c *Control) writeOwnRow(ctx context.Context, t *Target, version *uint64) error {
	row := karpithaz.Row{Table: hostsTable, Key: c.host, Version: *version}
	tx := karpithaz.Tx{Expect: []karpithaz.Row{row}}
	if t == nil {
		if *version == 0 {
			if _, known := c.View().TargetOf(c.host); !known {
				return nil
			}
		}
		tx.Remove = []karpithaz.Row{row}
	} else {
		value, err := json.Marshal(t)
		if err != nil {
			return errors.Wrap(err, "encode the host's row")
		}
		row.Value = value
		tx.Put = []karpithaz.Row{row}
	}
	r, err := c.store.Commit(ctx, tx, storeTimeout)
	if platform.IsKind(err, platform.KindConflict) {
		*version = 0
		for _, current := range r.Rows {
			if current.Key == c.host && !current.Removed {
				*version = current.Version
			}
		}
		return err
	}
	if err == nil {
		*version = r.Version
		if t == nil {
			*version = 0
		}
		c.log.Decide("own-row", "row_version", r.Version, "removed", t == nil)
	}
	return err
}
