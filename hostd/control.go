package hostd

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// hostsTable holds one row per host with a target.
const hostsTable = "hosts"

// store is the part of the platform's store client that Control uses.
type store interface {
	Range(ctx context.Context, table, part string, timeout time.Duration) (karpithaz.RowsResponse, error)
	Feed(ctx context.Context, table string, after uint64, wait, timeout time.Duration) (karpithaz.RowsResponse, error)
	Commit(ctx context.Context, tx karpithaz.Tx, timeout time.Duration) (karpithaz.RowsResponse, error)
}

// Control owns the host's knowledge of the configuration and of other hosts.
type Control struct {
	host       string
	dataCentre string
	store      store
	peers      peers
	log        *decisions.Log
	metrics    *metrics.Registry

	view  atomic.Pointer[View]
	proof atomic.Int64 // boottime.Instant of the last freshness proof
	// configAt and hostsAt are the store versions up to which all changes of
	// the two tables have been applied.
	configAt, hostsAt atomic.Uint64
	// fetching admits one fetch of the operators' table at a time, and outOfTurn one read of it
	// from the store by a host that is no reader.
	fetching  chan struct{}
	outOfTurn outOfTurn
	// configTries and hostsTries count the fetches of the two tables since the last one
	// that succeeded.
	configTries, hostsTries atomic.Int64
	updates                 chan tableUpdate
	ownRow                  chan ownRowChange
	// ownRowVersion is the version of the host's own row as this process has written
	// or found it, or 0.
	ownRowVersion atomic.Uint64
	// ownRowLost is signalled when the host's own row has been removed.
	ownRowLost chan struct{}
	// storeRestored is signalled when the store has come back from an older copy.
	storeRestored chan struct{}
	// ready is closed when the host can serve requests for the first time.
	ready    chan struct{}
	liveness livenessTracker
	// firstReadDelay is how long after the start the hosts table is read.
	firstReadDelay time.Duration
	// tableWrites is how many writes of a table the store performs a second.
	tableWrites float64
	// lostPeers is set if most of the peers last asked did not answer.
	lostPeers atomic.Bool
	// openedBy is the revision of the latest configuration that opened routes to requests
	// without a key.
	openedBy atomic.Uint64
	// actsAsReader is set while this host is a reader or acts in place of silent ones.
	actsAsReader atomic.Bool
	// inbox receives notices of changes from other hosts, and appliedChanges the
	// changes of which other hosts may need notice.
	inbox          noticeInbox
	appliedChanges chan operatorChange
	// encoded are responses to requests of other hosts for changes, and sending those that
	// are on their way.
	encoded encodedChanges
	sending changesInFlight
	// line is the line of hosts that ask for a large change.
	line changeLine
	// published is closed and replaced at each new view.
	published broadcast

	// The fields below are used only by the goroutine that calls Run.
	config      *routes.Config
	decoder     karpithaz.ConfigDecoder
	configValue []byte
	// unread is the operators' newest configuration if it could not be read, or nil.
	unread      *unreadConfig
	evacuated   map[string]bool
	hosts       map[string]Target
	hostsLoaded bool
	// operatorRows are the operators' rows, including removed ones, and
	// hostVersions the versions of each host row's latest change.
	operatorRows map[string]karpithaz.Row
	// configHistory holds the latest values of the configuration's row.
	configHistory changes.History
	hostVersions  map[string]uint64
	// orders are the operators' roll-out orders by service. The map is replaced on
	// each change.
	orders map[string]rollout.Order
	// historyStart and operatorHistoryStart are the versions before which
	// removals are not recorded.
	historyStart, operatorHistoryStart uint64
	// appliedVersion is the version of the operators' latest change that has been
	// passed to appliedChanges.
	appliedVersion uint64
	// keptHosts and keptEvacuations are what outweighs a restored store, the latter with
	// the time until which it does.
	keptHosts       map[string]keptHost
	keptEvacuations map[string]time.Time
}

// tableUpdate is the result of reading one table.
type tableUpdate struct {
	table string
	// full is set if rows is the whole table rather than a delta.
	full bool
	rows []karpithaz.Row
	// version is the store version up to which rows is complete.
	version uint64
	// from is the host from which the rows were fetched, or empty if they were
	// read from the store.
	from string
	// received is how the rows arrived.
	received received
	// proof is set if the read proves the freshness of the configuration: as of
	// provenAt, nothing had changed after provenVersion.
	proof         bool
	provenVersion uint64
	provenAt      boottime.Instant
	done          chan struct{}
}

// NewControl returns a Control with an empty view.
func NewControl(host, dataCentre string, s store, p peers, l *decisions.Log, m *metrics.Registry) *Control {
	c := &Control{
		host:       host,
		dataCentre: dataCentre,
		store:      s,
		peers:      p,
		log:        l,
		metrics:    m,
		updates:    make(chan tableUpdate),
		ownRow:     make(chan ownRowChange, 1),
		ownRowLost: make(chan struct{}, 1),
		keptHosts:  map[string]keptHost{},

		ready:           make(chan struct{}),
		storeRestored:   make(chan struct{}, 1),
		keptEvacuations: map[string]time.Time{},
		evacuated:       map[string]bool{},
		hosts:           map[string]Target{},
		operatorRows:    map[string]karpithaz.Row{},
		hostVersions:    map[string]uint64{},

		fetching:       make(chan struct{}, 1),
		inbox:          noticeInbox{arrived: make(chan struct{}, 1)},
		appliedChanges: make(chan operatorChange, 1),
	}
	c.view.Store(newView(nil, nil, nil, false, time.Now()))
	return c
}

func (c *Control) View() *View { return c.view.Load() }

// ProofAge returns the time since the store last proved that the configuration
// in force was current.
func (c *Control) ProofAge() time.Duration { return freshnessProof(c.proof.Load()).age() }

// proven reports whether there has been a freshness proof since the process started.
func (c *Control) proven() bool { return c.proof.Load() != 0 }

// ProvenView returns a view and a freshness proof that holds for it. Reading both
// separately could combine a view with the proof of a newer one if the process is
// delayed in between. If the operators' newest configuration could not be read, the proof
// is the last one before that.
func (c *Control) ProvenView() (*View, freshnessProof) {
	// The proof is read first: apply stores it after the view that it proves.
	p := freshnessProof(c.proof.Load())
	v := c.View()
	if v.unread != nil {
		p = v.unread.proof
	}
	return v, p
}

// freshnessProof is the boottime.Instant at which the configuration of a view was
// last known to be current, or 0 if it never was.
type freshnessProof int64

func (p freshnessProof) age() time.Duration {
	if p == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Now().Sub(boottime.Instant(p))
}

// Run applies updates until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	expiry := time.NewTicker(keptCheckInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-expiry.C:
			c.dropExpired(now)
		case n := <-c.updates:
			c.apply(n)
			close(n.done)
		}
	}
}

// submit passes an update to the goroutine that calls Run and waits until it
// has been applied.
func (c *Control) submit(ctx context.Context, n tableUpdate) {
	n.done = make(chan struct{})
	select {
	case c.updates <- n:
		<-n.done
	case <-ctx.Done():
	}
}

func (c *Control) apply(n tableUpdate) {
	changed := n.full || len(n.rows) > 0
	_, listed := c.hosts[c.host]
	switch n.table {
	case karpithaz.OperatorTable:
		c.applyOperatorRows(n)
	case hostsTable:
		c.applyHostRows(n)
	}
	if changed {
		c.publish()
	}
	if listed {
		c.signalOwnRowLost()
	}
	switch n.table {
	case karpithaz.OperatorTable:
		raise(&c.configAt, n.version)
	case hostsTable:
		raise(&c.hostsAt, n.version)
	}
	if v := c.View().operatorVersion; v > c.appliedVersion {
		c.appliedVersion = v
		c.applied(operatorChange{version: v, external: n.from == "" || c.isOutside(n.from)})
	}
	if at := c.configAt.Load(); n.proof && c.config != nil && n.provenVersion <= at && karpithaz.EraOf(n.provenVersion) == karpithaz.EraOf(at) && (!c.proven() || int64(n.provenAt) > c.proof.Load()) {
		// The proof is stored after the view, so that nobody sees it with an
		// older view. The first one may be older than the start of the machine.
		c.proof.Store(int64(n.provenAt))
	}
	c.signalReady()
}

func raise(v *atomic.Uint64, to uint64) {
	if to > v.Load() {
		v.Store(to)
	}
}

// recordVersion records a row's version and reports whether it is newer than
// the last one. Reads may overlap, and an older one must not overwrite a newer
// one.
func recordVersion(versions map[string]uint64, row karpithaz.Row) bool {
	if row.Version <= versions[row.Key] {
		return false
	}
	versions[row.Key] = row.Version
	return true
}

func (c *Control) publish() {
	v := newView(c.config, maps.Clone(c.evacuated), c.hosts, c.hostsLoaded, time.Now())
	if old := c.View(); slices.Equal(old.names, v.names) {
		v.hostsChangedAt = old.hostsChangedAt
	}
	for _, row := range c.operatorRows {
		v.operatorVersion = max(v.operatorVersion, row.Version)
	}
	v.orders, v.unread = c.orders, c.unread
	if row := c.operatorRows[karpithaz.ConfigKey]; !row.Removed {
		c.configHistory = c.configHistory.With(row.Value)
	}
	v.configHistory = c.configHistory
	v.operatorRows, v.operatorHistoryStart = maps.Clone(c.operatorRows), c.operatorHistoryStart
	v.hostVersions, v.historyStart = maps.Clone(c.hostVersions), c.historyStart
	v.keptHosts = maps.Clone(c.keptHosts)
	v.hostsVersion = maxVersion(c.hostVersions)
	c.view.Store(v)
	c.published.signal()
}

func maxVersion(versions map[string]uint64) uint64 {
	var v uint64
	for _, version := range versions {
		v = max(v, version)
	}
	return v
}

func (c *Control) applyHostRows(n tableUpdate) {
	former, reload := c.hosts, c.hostsLoaded
	if n.full && n.version >= c.hostsAt.Load() {
		c.hosts = map[string]Target{}
		clear(c.hostVersions)
		c.historyStart = n.version
		c.hostsLoaded = true
	}
	for _, row := range n.rows {
		if !recordVersion(c.hostVersions, row) {
			continue
		}
		if k, kept := c.keptHosts[row.Key]; kept && row.Version > k.version {
			delete(c.keptHosts, row.Key)
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
		if t.Departed {
			c.log.Decide("host-left", "host", t.Host, "target", t.ID, "row_version", row.Version)
			continue
		}
		c.log.Decide("host-known", "host", t.Host, "target", t.ID, "service", t.Service, "row_version", row.Version)
	}
	if reload && restored(n, c.hostsAt.Load()) {
		c.keepHosts(former, n, time.Now())
	}
	c.applyKept()
}

// signalOwnRowLost signals ownRowLost if the host is not listed.
func (c *Control) signalOwnRowLost() {
	if _, listed := c.hosts[c.host]; listed {
		return
	}
	select {
	case c.ownRowLost <- struct{}{}:
	default:
	}
}
