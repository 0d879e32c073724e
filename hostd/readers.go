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

// Calls to the store are dear, so a few hosts of each data centre, its readers,
// ask it often and the others ask them. What a reader says is a proof like one
// of the store: nothing had changed up to some version as of some time ago.
// Each host still waits at the store for changes of the configuration.

// questionNews asks a reader for its news.
const questionNews = "news"

const (
	// readersPerDataCentre lets one of them be lost.
	readersPerDataCentre = 2
	// newsEvery is how often readers are asked.
	newsEvery = 800 * time.Millisecond
	// newsOld is the age of a reader's proof from which another is asked: its
	// own feed answers every one and a half seconds.
	newsOld = 1700 * time.Millisecond
	// proofOld is the age of the own proof from which the store is asked, when
	// no reader has a newer one. It is above the usual age, and leaves time for
	// two calls before service with keys ends.
	proofOld = 2900 * time.Millisecond
	// hostsTimeout bounds fetching the changes of hosts from a reader.
	hostsTimeout = 500 * time.Millisecond
)

// peers asks other hosts.
type peers interface {
	// ask asks by datagram.
	ask(ctx context.Context, addr string, q datagram) (datagram, error)
	// hostChanges fetches the changes of hosts that a host knows.
	hostChanges(ctx context.Context, gate string, after uint64) (hostChanges, error)
}

// hostChanges are changes of the hosts' rows.
type hostChanges struct {
	// Whole is set when Hosts are all there are.
	Whole bool `json:"whole,omitempty"`
	// Version is the one up to which the changes go.
	Version uint64       `json:"version"`
	Hosts   []hostChange `json:"hosts"`
}

// hostChange is one row; Target is nil for one that was dropped.
type hostChange struct {
	Host    string  `json:"host"`
	Version uint64  `json:"version"`
	Target  *Target `json:"target,omitempty"`
}

// readers lists a data centre's readers.
func (v *View) readers(dataCentre string) []string {
	hosts := quota.RankOwners("reader", v.inDataCentre(dataCentre))
	return hosts[:min(len(hosts), readersPerDataCentre)]
}

// isReader reports whether this host asks the store itself. It does while it
// knows of nobody to ask.
func (c *Control) isReader() bool {
	readers := c.View().readers(c.dataCentre)
	return len(readers) < readersPerDataCentre || slices.Contains(readers, c.host)
}

// RunNews asks readers until ctx ends. Readers ask each other as well, so that
// each hears of all hosts of the data centre that live.
func (c *Control) RunNews(ctx context.Context) error {
	own := &feed{c: c, table: karpithaz.OperatorTable, at: &c.configAt, started: true}
	for turn := 0; pause.For(ctx, newsEvery/2+rand.N(newsEvery)); turn++ {
		if c.View().Config == nil {
			continue
		}
		behind := c.askReaders(ctx, turn)
		if c.isReader() {
			c.dropSilent(ctx, time.Now())
		}
		// A host that has just become a reader may still be waiting long at the
		// store, and gets no proof from others then.
		if behind || c.ProofAge() > proofOld {
			c.metrics.Add("store_asked_out_of_turn", 1)
			if err := own.read(ctx, 0); err != nil && ctx.Err() == nil {
				c.metrics.Add("store_failures", 1)
				c.log.Decide("proof-missing", "proof_age_ms", c.ProofAge().Milliseconds(), "err", err)
			}
		}
	}
	return nil
}

// askReaders takes in the news of the first reader that has some; the readers
// take turns to be asked first. It reports whether a reader knows a
// configuration that this host does not.
func (c *Control) askReaders(ctx context.Context, turn int) (behind bool) {
	view := c.View()
	readers := view.readers(c.dataCentre)
	for i := range readers {
		host := readers[(turn+i)%len(readers)]
		t, ok := view.TargetOf(host)
		if !ok || host == c.host {
			continue
		}
		asked := boottime.Now()
		a, err := c.peers.ask(ctx, t.Control, datagram{Kind: questionNews, Host: c.host})
		if err != nil || !a.Yes {
			continue
		}
		if a.Hosts > c.hostsAt.Load() {
			c.fetchHosts(ctx, t)
		}
		age := time.Duration(a.Millis) * time.Millisecond
		c.tell(ctx, news{proof: true, vouched: a.Config, asOf: asked.Add(-age)})
		if a.Config > c.configAt.Load() {
			return true
		}
		if age < newsOld {
			return false
		}
	}
	return false
}

func (c *Control) fetchHosts(ctx context.Context, reader Target) {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	changes, err := c.peers.hostChanges(ctx, reader.Gate, c.hostsAt.Load())
	if err != nil {
		c.log.Decide("hosts-not-fetched", "from", reader.Host, "err", err)
		return
	}
	n := news{table: hostsTable, whole: changes.Whole, version: changes.Version}
	for _, h := range changes.Hosts {
		row := karpithaz.Row{Table: hostsTable, Key: h.Host, Version: h.Version, Removed: h.Target == nil}
		if h.Target != nil {
			row.Value = []byte(encodeHeader(h.Target))
		}
		n.rows = append(n.rows, row)
	}
	c.tell(ctx, n)
}

// tellNews answers another host's question for news.
func (c *Control) tellNews(host string) datagram {
	c.heard.note(host, time.Now())
	view := c.View()
	return datagram{
		Yes:    view.Ready(),
		Config: view.operatorChange,
		Hosts:  view.hostsChange,
		Millis: min(c.ProofAge(), time.Hour).Milliseconds() + 1,
	}
}

// pathHosts is where gates serve the changes of hosts.
const pathHosts = "/gooseberryshed/hosts?after="

// changesAfter lists the changes of hosts after a version.
func (c *Control) changesAfter(after uint64) hostChanges {
	out := hostChanges{Version: c.hostsAt.Load()} // before the view, which is published first
	view := c.View()
	out.Whole = after < view.horizon
	for host, version := range view.hostVersions {
		t, known := view.byHost[host]
		switch {
		case version <= after && !out.Whole, !known && out.Whole:
		case known:
			out.Hosts = append(out.Hosts, hostChange{host, version, &t})
		default:
			out.Hosts = append(out.Hosts, hostChange{Host: host, Version: version})
		}
	}
	return out
}

// serveHosts answers a request for the changes of hosts. It reports false for
// other requests.
func (c *Control) serveHosts(req *fasthttp.Request, resp *fasthttp.Response) bool {
	after, ok := strings.CutPrefix(string(req.Header.RequestURI()), pathHosts)
	if !ok {
		return false
	}
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusBadRequest)
		return true
	}
	data, err := json.Marshal(c.changesAfter(version))
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
	req.Header.SetRequestURI(pathHosts + strconv.FormatUint(after, 10))
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
		return out, errors.Errorf("status %d", resp.Header.StatusCode())
	}
	return out, errors.Wrap(json.Unmarshal(body, &out), "changes of hosts")
}
