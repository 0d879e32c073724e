package hostd

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// hostsTable holds one row a host with a target.
const hostsTable = "hosts"

// store is what Control needs of the platform's store.
type store interface {
	Range(ctx context.Context, table, part string, timeout time.Duration) (karpithaz.Reading, error)
	Feed(ctx context.Context, table string, after uint64, wait, timeout time.Duration) (karpithaz.Reading, error)
	Commit(ctx context.Context, tx karpithaz.Tx, timeout time.Duration) (karpithaz.Reading, error)
}

// Control owns the host's knowledge of configuration and hosts.
type Control struct {
	host       string
	dataCentre string
	store      store
	peers      peers
	log        *decisions.Log
	metrics    *metrics.Registry

	view  atomic.Pointer[View]
	proof atomic.Int64 // boottime.Instant of the configuration's last proof
	// configAt and hostsAt are the versions of the store up to which all changes
	// of the two tables have been taken in.
	configAt, hostsAt atomic.Uint64
	news              chan news
	own               chan *Target
	heard             heardOf

	// The fields below belong to the goroutine of Run.
	config    *routes.Config
	evacuated map[string]bool
	hosts     map[string]Target
	known     bool
	// versions are those of the last change of each row, of dropped ones too.
	operatorVersions, hostVersions map[string]uint64
	// horizon is the version before which dropped hosts are not known.
	horizon uint64
}

// news is what was read of one table.
type news struct {
	table string
	// whole is set when rows are all of the table.
	whole bool
	rows  []karpithaz.Row
	// version is the one of the store up to which rows hold all changes.
	version uint64
	// proof is set when the reading vouches for the configuration: as of asOf,
	// nothing had changed since the version vouched.
	proof   bool
	vouched uint64
	asOf    boottime.Instant
	done    chan struct{}
}

// NewControl returns a Control that knows nothing yet.
func NewControl(host, dataCentre string, s store, p peers, l *decisions.Log, m *metrics.Registry) *Control {
	c := &Control{
		host:             host,
		dataCentre:       dataCentre,
		store:            s,
		peers:            p,
		log:              l,
		metrics:          m,
		news:             make(chan news),
		own:              make(chan *Target, 1),
		evacuated:        map[string]bool{},
		hosts:            map[string]Target{},
		operatorVersions: map[string]uint64{},
		hostVersions:     map[string]uint64{},
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

// tell hands news to the goroutine of Run and waits until they are in force.
func (c *Control) tell(ctx context.Context, n news) {
	n.done = make(chan struct{})
	select {
	case c.news <- n:
		<-n.done
	case <-ctx.Done():
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
	switch n.table {
	case karpithaz.OperatorTable:
		advance(&c.configAt, n.version)
	case hostsTable:
		advance(&c.hostsAt, n.version)
	}
	if n.proof && c.config != nil && n.vouched <= c.configAt.Load() && int64(n.asOf) > c.proof.Load() {
		// The proof follows the view, so that nobody sees it with an older one.
		c.proof.Store(int64(n.asOf))
	}
}

func advance(v *atomic.Uint64, to uint64) {
	if to > v.Load() {
		v.Store(to)
	}
}

// newer notes a row's version and reports whether it is news. Readings may
// overlap, and an older one must not undo a newer.
func newer(versions map[string]uint64, row karpithaz.Row) bool {
	if row.Version <= versions[row.Key] {
		return false
	}
	versions[row.Key] = row.Version
	return true
}

func (c *Control) publish() {
	v := newView(c.config, maps.Clone(c.evacuated), maps.Clone(c.hosts), c.known, time.Now())
	if old := c.View(); slices.Equal(old.names, v.names) {
		v.hostsSince = old.hostsSince
	}
	v.operatorChange = latest(c.operatorVersions)
	v.hostVersions, v.horizon = maps.Clone(c.hostVersions), c.horizon
	v.hostsChange = latest(c.hostVersions)
	c.view.Store(v)
}

func latest(versions map[string]uint64) uint64 {
	var v uint64
	for _, version := range versions {
		v = max(v, version)
	}
	return v
}

func (c *Control) takeOperators(n news) {
	if n.whole && n.version >= c.configAt.Load() {
		c.evacuated = map[string]bool{}
		clear(c.operatorVersions)
	}
	for _, row := range n.rows {
		if !newer(c.operatorVersions, row) {
			continue
		}
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
	c.log.Decide("config", "revision", cfg.Revision, "routes", cfg.RouteCount(), "row_version", row.Version)
}

func (c *Control) takeHosts(n news) {
	if n.whole && n.version >= c.hostsAt.Load() {
		c.hosts = map[string]Target{}
		clear(c.hostVersions)
		c.horizon = n.version
		c.known = true
	}
	for _, row := range n.rows {
		if !newer(c.hostVersions, row) {
			continue
		}
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
