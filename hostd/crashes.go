package hostd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// Some requests crash every target that runs them and are retried through other
// hosts. When a target dies, its gate tells all hosts which requests were in
// flight. Each host counts the deaths (package suspect) and refuses a request
// after several. A host that starts asks others for what they know before it
// lets its first request through.

// queryCrash tells a host of a death with requests in flight, or that such requests have been
// served since.
const queryCrash = "crash"

const (
	// quarantineDeaths is the number of targets that a request may crash before
	// it is refused. It is unlikely that an innocent request is in flight at
	// that many deaths without ever completing.
	quarantineDeaths = 3
	// deathWindow is the period over which deaths are counted.
	deathWindow = time.Minute
	// quarantineDuration is how long a request is refused before it may run
	// again.
	quarantineDuration = time.Minute
	// maxSuspects bounds the requests that a host counts deaths for.
	maxSuspects = 1024
	// fingerprintBase is the number base of fingerprints in text form.
	fingerprintBase = 16
)

// crashTracker counts the deaths of targets for the requests that were in flight.
type crashTracker struct {
	host    string
	view    func() *View
	tell    func(hosts []string, news func() datagram, answered func(host string))
	log     *decisions.Log
	metrics *metrics.Registry

	registry *suspect.Registry
	// asked is closed once the host has asked others for the deaths that they know.
	asked chan struct{}
}

func newCrashTracker(host string, view func() *View, tell func([]string, func() datagram, func(string)), l *decisions.Log, m *metrics.Registry) *crashTracker {
	c := &crashTracker{
		host:    host,
		view:    view,
		tell:    tell,
		log:     l,
		metrics: m,
		registry: suspect.NewRegistry(suspect.Options{
			DeathThreshold:   quarantineDeaths,
			SuspicionPeriod:  deathWindow,
			QuarantinePeriod: quarantineDuration,
			MaxEntries:       maxSuspects,
		}),
		asked: make(chan struct{}),
	}
	m.Gauge("suspects", func() int64 { return int64(c.registry.Len()) })
	return c
}

// fingerprintOf returns a hash of a request's sender and content.
func fingerprintOf(req *fasthttp.Request, workspace string) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), []byte(workspace), req.Body()} {
		d.Write(part)      //nolint:errcheck // a hash never fails
		d.Write([]byte{0}) //nolint:errcheck // a hash never fails
	}
	return d.Sum64()
}

// quarantined reports whether a request is to be refused. The first requests after the start
// wait until other hosts have been asked, which takes a bounded time.
func (c *crashTracker) quarantined(ctx context.Context, fp uint64) bool {
	select {
	case <-c.asked:
	default:
		select {
		case <-c.asked:
		case <-ctx.Done():
		}
	}
	return c.registry.Check(time.Now(), fp).Level == suspect.Quarantined
}

// reportDeath records that a target died with requests in flight, and tells all hosts.
func (c *crashTracker) reportDeath(target string, incarnation int64, fingerprints []uint64) {
	names := make([]string, len(fingerprints))
	for i, fp := range fingerprints {
		names[i] = strconv.FormatUint(fp, fingerprintBase)
	}
	c.metrics.Add("deaths_with_requests", 1)
	c.log.Decide("death", "target", target, "born", incarnation, "fingerprints", names)
	c.spread(suspect.Report{Target: target, Incarnation: uint64(incarnation), Requests: fingerprints})
}

// recordServed records that a target has served a request, which clears it of the deaths
// known until then, and tells all hosts.
func (c *crashTracker) recordServed(fp uint64) {
	for _, d := range c.registry.OnSuccess(time.Now(), fp) {
		c.metrics.Add("suspects_cleared", 1)
		c.spread(suspect.Report{Target: d.Target, Incarnation: d.Incarnation, AgeMillis: time.Since(d.At).Milliseconds(),
			Requests: []uint64{fp}, Cleared: true})
	}
}

// spread applies a report and passes it on to all hosts.
func (c *crashTracker) spread(r suspect.Report) {
	c.apply(r)
	made := time.Now()
	c.tell(c.view().allHosts(), func() datagram {
		aged := r
		aged.AgeMillis += time.Since(made).Milliseconds()
		return datagram{Kind: queryCrash, Crash: &aged}
	}, nil)
}

func (c *crashTracker) apply(reports ...suspect.Report) {
	now := time.Now()
	for _, fp := range c.registry.Apply(now, reports...) {
		c.metrics.Add("requests_quarantined", 1)
		c.log.Decide("quarantine", "fingerprint", strconv.FormatUint(fp, fingerprintBase),
			"for_ms", c.registry.Check(now, fp).Until.Sub(now).Milliseconds())
	}
}

// answer handles the report of another host.
func (c *crashTracker) answer(q datagram) datagram {
	if q.Crash == nil {
		return datagram{} // from a version that reports each request to one host
	}
	c.apply(*q.Crash)
	return datagram{Result: true}
}

// sweep drops expired entries.
func (c *crashTracker) sweep(now time.Time) { c.registry.Tick(now) }

// crashReportsPath is the path at which gates serve the deaths that their hosts know.
const crashReportsPath = "/gooseberryshed/crashes"

// crashReports are the deaths that a host knows.
type crashReports struct {
	// Complete is set unless the host has just started and has not asked others itself.
	Complete bool             `json:"complete,omitempty"`
	Reports  []suspect.Report `json:"reports,omitempty"`
}

// maxReportedSuspects bounds the requests that a host that starts is told of.
const maxReportedSuspects = 256

// serve handles a request for the deaths known. It returns false for other requests.
func (c *crashTracker) serve(req *fasthttp.Request, resp *fasthttp.Response) bool {
	if string(req.Header.RequestURI()) != crashReportsPath {
		return false
	}
	out := crashReports{Reports: c.registry.Reports(time.Now(), maxReportedSuspects)}
	select {
	case <-c.asked:
		out.Complete = true
	default:
	}
	body, err := json.Marshal(out)
	if err != nil {
		c.log.Logger().Error("reports of deaths cannot be encoded", "err", err)
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(body)
	return true
}

const (
	// startAskTimeout bounds how long a host that starts waits for reports of one group of
	// hosts, and startAskGroups is the number of groups.
	startAskTimeout = 300 * time.Millisecond
	startAskGroups  = 2
	// startAskGroup is the number of hosts asked at the same time.
	startAskGroup = 3
	startAskPoll  = 10 * time.Millisecond
	// unlistedAskInterval is how often a host without a row asks.
	unlistedAskInterval = 2 * time.Second
)

// crashReportsFetcher fetches the deaths that the host of a gate knows.
type crashReportsFetcher func(ctx context.Context, gate string) (crashReports, error)

// run asks other hosts for the deaths that they know, at the start and while this host has no
// row, as nobody tells it of deaths then.
func (c *crashTracker) run(ctx context.Context, fetch crashReportsFetcher) {
	c.askAtStart(ctx, fetch)
	for pause.For(ctx, unlistedAskInterval) {
		view := c.view()
		if _, version := view.row(c.host); version == 0 {
			c.askGroup(ctx, view, c.othersInRandomOrder(view), 1, fetch)
		}
	}
}

// askAtStart asks once the host knows the others. It goes on to a second group of hosts if
// none of the first is complete.
func (c *crashTracker) askAtStart(ctx context.Context, fetch crashReportsFetcher) {
	defer close(c.asked)
	for !c.view().HostsLoaded {
		if !pause.For(ctx, startAskPoll) {
			return
		}
	}
	view := c.view()
	hosts := c.othersInRandomOrder(view)
	complete, answered := false, 0
	for range startAskGroups {
		groupComplete, groupAnswered := c.askGroup(ctx, view, hosts, startAskGroup, fetch)
		hosts = hosts[min(startAskGroup, len(hosts)):]
		answered += groupAnswered
		if complete = groupComplete; complete {
			break
		}
	}
	c.log.Decide("deaths-asked", "answered", answered, "complete", complete, "suspects", c.registry.Len())
}

func (c *crashTracker) othersInRandomOrder(view *View) []string {
	hosts := slices.DeleteFunc(slices.Clone(view.hostNames()), func(host string) bool { return host == c.host })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}

// askGroup asks the first n of hosts at the same time. It returns how many have answered
// within startAskTimeout, and whether the list of one of them was complete.
func (c *crashTracker) askGroup(ctx context.Context, view *View, hosts []string, n int, fetch crashReportsFetcher) (complete bool, answered int) {
	ctx, cancel := context.WithTimeout(ctx, startAskTimeout)
	defer cancel()
	var wg sync.WaitGroup
	replies := make(chan crashReports, n)
	for _, host := range hosts[:min(n, len(hosts))] {
		t, ok := view.TargetOf(host)
		if !ok {
			continue
		}
		wg.Go(func() {
			if r, err := fetch(ctx, t.Gate); err == nil {
				replies <- r
			} else {
				c.metrics.Add("deaths_not_told", 1)
			}
		})
	}
	wg.Wait()
	close(replies)
	for r := range replies {
		c.apply(r.Reports...)
		complete = complete || r.Complete
		answered++
	}
	return complete, answered
}
