package hostd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/quota"
)

// Calls to the store are expensive. Therefore a few hosts of each data centre,
// its readers, poll the store often, and the other hosts poll the readers. Like
// a reply of the store, a reply of a reader is a freshness proof: it states
// that nothing had changed after some version as of some time. Every host also
// keeps a long poll at the store for configuration changes.

// queryVersions asks a reader for its versions and the age of its freshness
// proof.
const queryVersions = "news"

const (
	// readersPerDataCentre is the number of readers. Two allow for the loss of
	// one.
	readersPerDataCentre = 2
	// readerPollInterval is the mean interval between polls of the readers.
	readerPollInterval = 800 * time.Millisecond
	// readerProofMaxAge is the age of a reader's proof above which another
	// reader is polled. A reader's own poll of the store returns every 1.5 s.
	readerProofMaxAge = 1700 * time.Millisecond
	// ownProofMaxAge is the age of the host's own proof above which it queries
	// the store, if no reader has a newer one. It is above the usual age and
	// leaves time for two calls before keyed requests must be refused.
	ownProofMaxAge = 2900 * time.Millisecond
	// hostChangesTimeout bounds fetching host changes from a reader.
	hostChangesTimeout = 500 * time.Millisecond
)

// peers sends requests to other hosts.
type peers interface {
	// query sends a query by datagram.
	query(ctx context.Context, addr string, q datagram) (datagram, error)
	// hostChanges fetches the changes after a version from a host's gate.
	hostChanges(ctx context.Context, gate string, after uint64) (hostChanges, error)
}

// hostChanges is a list of changes to the hosts table.
type hostChanges struct {
	// Full is set if Hosts is the complete list rather than a delta.
	Full bool `json:"whole,omitempty"`
	// Version is the version up to which Hosts is complete.
	Version uint64       `json:"version"`
	Hosts   []hostChange `json:"hosts"`
}

// hostChange is the change of one row. Target is nil if the row was removed.
type hostChange struct {
	Host    string  `json:"host"`
	Version uint64  `json:"version"`
	Target  *Target `json:"target,omitempty"`
}

// readers returns the readers of a data centre.
func (v *View) readers(dataCentre string) []string {
	hosts := quota.RankOwners("reader", v.hostsIn(dataCentre))
	return hosts[:min(len(hosts), readersPerDataCentre)]
}

// isReader reports whether this host polls the store often. A host also does so
// while it does not know enough readers.
func (c *Control) isReader() bool {
	readers := c.View().readers(c.dataCentre)
	return len(readers) < readersPerDataCentre || slices.Contains(readers, c.host)
}

// RunReaderPolls polls the readers until ctx ends. Readers poll each other as
// well, so that each of them hears from all live hosts of the data centre.
func (c *Control) RunReaderPolls(ctx context.Context) error {
	f := &tableFeed{c: c, table: karpithaz.OperatorTable, version: &c.configAt, loaded: true}
	for turn := 0; pause.For(ctx, readerPollInterval/2+rand.N(readerPollInterval)); turn++ {
		if c.View().Config == nil {
			continue
		}
		behind := c.pollReaders(ctx, turn)
		if c.isReader() {
			c.removeSilentHosts(ctx, time.Now())
		}
		// A host that has just become a reader may still be in a long poll at
		// the store, and receives no proof from others meanwhile.
		if behind || c.ProofAge() > ownProofMaxAge {
			c.metrics.Add("store_asked_out_of_turn", 1)
			if err := f.read(ctx, 0); err != nil && ctx.Err() == nil {
				c.metrics.Add("store_failures", 1)
				c.log.Decide("proof-missing", "proof_age_ms", c.ProofAge().Milliseconds(), "err", err)
			}
		}
	}
	return nil
}

// pollReaders applies the reply of the first reader that has a recent proof.
// The readers take turns at being polled first. It reports whether a reader
// knows a newer configuration than this host.
func (c *Control) pollReaders(ctx context.Context, turn int) (behind bool) {
	view := c.View()
	readers := view.readers(c.dataCentre)
	for i := range readers {
		host := readers[(turn+i)%len(readers)]
		t, ok := view.TargetOf(host)
		if !ok || host == c.host {
			continue
		}
		asked := boottime.Now()
		a, err := c.peers.query(ctx, t.Control, datagram{Kind: queryVersions, Host: c.host})
		if err != nil || !a.Result {
			continue
		}
		if a.HostsVersion > c.hostsAt.Load() {
			c.fetchHosts(ctx, t)
		}
		age := time.Duration(a.Millis) * time.Millisecond
		c.submit(ctx, tableUpdate{proof: true, provenVersion: a.ConfigVersion, provenAt: asked.Add(-age)})
		if a.ConfigVersion > c.configAt.Load() {
			return true
		}
		if age < readerProofMaxAge {
			return false
		}
	}
	return false
}

func (c *Control) fetchHosts(ctx context.Context, reader Target) {
	ctx, cancel := context.WithTimeout(ctx, hostChangesTimeout)
	defer cancel()
	changes, err := c.peers.hostChanges(ctx, reader.Gate, c.hostsAt.Load())
	if err != nil {
		c.log.Decide("hosts-not-fetched", "from", reader.Host, "err", err)
		return
	}
	n := tableUpdate{table: hostsTable, full: changes.Full, version: changes.Version}
	for _, h := range changes.Hosts {
		row := karpithaz.Row{Table: hostsTable, Key: h.Host, Version: h.Version, Removed: h.Target == nil}
		if h.Target != nil {
			row.Value = []byte(encodeHeader(h.Target))
		}
		n.rows = append(n.rows, row)
	}
	c.submit(ctx, n)
}

// reportVersions answers a version query from another host.
func (c *Control) reportVersions(host string) datagram {
	c.liveness.recordContact(host, time.Now())
	view := c.View()
	return datagram{
		Result:        view.Ready(),
		ConfigVersion: view.operatorVersion,
		HostsVersion:  view.hostsVersion,
		Millis:        min(c.ProofAge(), time.Hour).Milliseconds() + 1,
	}
}

// hostChangesPath is the path at which gates serve host changes. The version
// follows it.
const hostChangesPath = "/gooseberryshed/hosts?after="

// hostChangesAfter returns the changes of hosts after a version.
func (c *Control) hostChangesAfter(after uint64) hostChanges {
	out := hostChanges{Version: c.hostsAt.Load()} // read before the view, which is published first
	view := c.View()
	out.Full = after < view.historyStart
	for host, version := range view.hostVersions {
		t, known := view.byHost[host]
		switch {
		case version <= after && !out.Full, !known && out.Full:
		case known:
			out.Hosts = append(out.Hosts, hostChange{host, version, &t})
		default:
			out.Hosts = append(out.Hosts, hostChange{Host: host, Version: version})
		}
	}
	return out
}

// serveHosts handles a request for host changes. It returns false for other
// requests.
func (c *Control) serveHosts(req *fasthttp.Request, resp *fasthttp.Response) bool {
	after, ok := strings.CutPrefix(string(req.Header.RequestURI()), hostChangesPath)
	if !ok {
		return false
	}
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusBadRequest)
		return true
	}
	data, err := json.Marshal(c.hostChangesAfter(version))
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(data)
	return true
}

// hostChanges implements peers.
func (c *gateClient) hostChanges(ctx context.Context, gate string, after uint64) (hostChanges, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(hostChangesPath + strconv.FormatUint(after, 10))
	req.Header.SetHost(gate)
	var out hostChanges
	resp, err := c.links.Do(ctx, gate, req, link.RequestOptions{})
	if err != nil {
		return out, err
	}
	body, err := readBody(resp)
	if err != nil {
		return out, err
	}
	if resp.Header.StatusCode() != fasthttp.StatusOK {
		return out, errors.Errorf("fetch host changes: status %d", resp.Header.StatusCode())
	}
	return out, errors.Wrap(json.Unmarshal(body, &out), "decode host changes")
}
