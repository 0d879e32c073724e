package hostd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/boottime"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// Calls to the store are expensive. Therefore a few hosts of each data centre,
// its readers, poll the store often, and the other hosts poll the readers
// (package storepoll). Like a reply of the store, a reply of a reader is a
// freshness proof: it states that nothing had changed after some version as of
// some time. Changes are fetched from the reader that knows them.

// queryVersions asks a host for its versions and the age of its freshness proof.
const queryVersions = "news"

const (
	// startTurnPause is the mean interval between polls of a host without a
	// configuration.
	startTurnPause = 200 * time.Millisecond
)

// peers sends requests to other hosts.
type peers interface {
	// query sends a query by datagram.
	query(ctx context.Context, addr string, q datagram) (datagram, error)
	// hostChanges fetches the changes of hosts after a version from a host's
	// gate, and operatorChanges those of the operators' rows.
	hostChanges(ctx context.Context, gate string, after uint64) (hostChanges, error)
	operatorChanges(ctx context.Context, gate string, after uint64) (operatorChanges, error)
}

// operatorChanges is a list of changes to the operators' table.
type operatorChanges struct {
	// Full is set if Rows is the whole table rather than a delta.
	Full bool `json:"whole,omitempty"`
	// Version is the version up to which Rows is complete.
	Version uint64          `json:"version"`
	Rows    []karpithaz.Row `json:"rows"`
	// Received is how the changes came if they are in the form of package changes, else nil.
	Received *encodedResponse `json:"-"`
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

// ranked returns the hosts of a data centre that others poll, in the order of
// their ranks: the readers and then the standbys.
func (v *View) ranked(dataCentre string) []string {
	return v.firstInRank(dataCentre, storepoll.Ranked)
}

// rankedIn returns the hosts of a data centre in the order of their ranks.
func (v *View) rankedIn(dataCentre string) []string {
	var list []storepoll.Candidate
	for _, host := range v.hostsByDataCentre[dataCentre] {
		list = append(list, storepoll.Candidate{Host: host, LinkMbps: v.byHost[host].LinkMbps})
	}
	return storepoll.Rank(list)
}

// firstInRank returns at most n hosts of a data centre in the order of their ranks.
func (v *View) firstInRank(dataCentre string, n int) []string {
	hosts := v.rankedIn(dataCentre)
	return hosts[:min(len(hosts), n)]
}

// rank returns this host's rank in its data centre and the number of hosts there.
// A host that is not listed has the lowest rank.
func (c *Control) rank() (rank, hosts int) {
	all := c.View().rankedIn(c.dataCentre)
	if i := slices.Index(all, c.host); i >= 0 {
		return i, len(all)
	}
	return max(len(all), storepoll.Ranked), len(all)
}

// RunReaderPolls polls the readers until ctx ends. Readers poll each other as
// well, so that each of them hears from all live hosts of the data centre.
func (c *Control) RunReaderPolls(ctx context.Context) error {
	defer c.outOfTurn.running.Wait()
	for turn := 0; c.awaitTurn(ctx); turn++ {
		p := c.pollPeers(ctx, turn)
		c.recordReach(p)
		rank, hosts := c.rank()
		c.actsAsReader.Store(storepoll.ActsAsReader(rank, p.lowerAnswered))
		if c.actsAsReader.Load() {
			c.removeSilentHosts(ctx, time.Now())
		}
		h := storepoll.Host{Rank: rank, Hosts: hosts, ProofAge: c.ProofAge(), LowerProofAge: p.lowerProofAge, LowerAnswered: p.lowerAnswered, PeersAnswered: p.reached > 0}
		if !p.behind && !storepoll.AsksStore(h, rand.Float64()) {
			continue
		}
		c.metrics.Add("store_asked_out_of_turn", 1)
		c.log.Decide("store-asked", "rank", rank, "hosts", hosts, "peers_asked", p.asked, "peers_answered", p.reached, "change_missed", p.behind,
			"proof_age_ms", min(h.ProofAge, noProof).Milliseconds(), "lower_proof_age_ms", p.lowerProofAge.Milliseconds())
		c.readOutOfTurn(ctx, rank)
	}
	return nil
}

// awaitTurn waits for the next poll of the readers. A host that has just started
// polls as soon as it knows its readers. It returns false if ctx ends.
func (c *Control) awaitTurn(ctx context.Context) bool {
	if c.View().Config != nil {
		rank, _ := c.rank()
		interval := storepoll.PollInterval(rank)
		return pause.For(ctx, interval/2+rand.N(interval))
	}
	for pause.For(ctx, startTurnPause/2+rand.N(startTurnPause)) {
		if _, hosts := c.rank(); hosts >= storepoll.Readers || c.View().Config != nil {
			return true
		}
	}
	return false
}

// peerPoll is the result of asking peers for their versions.
type peerPoll struct {
	// behind is set if a peer knows a change that could not be fetched.
	behind bool
	// lowerAnswered is set if a peer of lower rank has answered, and lowerProofAge
	// is the age of the freshest proof of such a peer.
	lowerAnswered bool
	lowerProofAge time.Duration
	// fresh is set if a peer had a recent proof.
	fresh bool
	// asked and reached are the numbers of peers that were asked and of those
	// that have answered.
	asked, reached int
}

// isolationAge is the age of the freshness proof below which a host has been in
// touch with the store, and so with the network.
const isolationAge = 2200 * time.Millisecond

// recordReach records after a poll whether the host has probably lost most other
// hosts: it has no recent proof, and most of the peers asked did not answer.
func (c *Control) recordReach(p peerPoll) {
	c.lostPeers.Store(p.asked > 0 && 2*p.reached < p.asked)
}

// Isolated reports whether the host has probably lost most other hosts.
func (c *Control) Isolated() bool { return c.lostPeers.Load() && c.ProofAge() > isolationAge }

// noProof is the age of a proof that does not exist.
const noProof = time.Hour

// pollPeers polls the ranked hosts of the data centre until one has a recent proof,
// all the remaining ones at once if one does not answer, and then a reader of another
// data centre if none had a recent proof or none answered.
func (c *Control) pollPeers(ctx context.Context, turn int) peerPoll {
	p := peerPoll{lowerProofAge: noProof}
	view := c.View()
	ranked := view.ranked(c.dataCentre)
	own := slices.Index(ranked, c.host)
	if own < 0 {
		own = len(ranked)
	}
	order := storepoll.Order(turn, len(ranked))
	if view.Config == nil {
		order = storepoll.StartOrder(len(ranked), rand.Perm)
	}
	order = slices.DeleteFunc(order, func(rank int) bool { return rank == own })
	for i, rank := range order {
		reply := c.askPeer(ctx, ranked[rank])
		c.takeReply(ctx, &p, reply, rank < own)
		if p.fresh {
			return p
		}
		if reply.answered {
			continue
		}
		rest := order[i+1:]
		replies := make([]peerReply, len(rest))
		var wg sync.WaitGroup
		for i, rank := range rest {
			wg.Go(func() { replies[i] = c.askPeer(ctx, ranked[rank]) })
		}
		wg.Wait()
		for i, rank := range rest {
			c.takeReply(ctx, &p, replies[i], rank < own)
		}
		break
	}
	if !p.fresh && (p.reached == 0 || c.ProofAge() > storepoll.StaleAge) {
		if host, ok := view.remoteReader(c.dataCentre, turn); ok {
			c.pollPeer(ctx, &p, host, true)
		}
	}
	return p
}

// remoteReader returns a reader of another data centre, a different one each
// turn.
func (v *View) remoteReader(own string, turn int) (host string, ok bool) {
	names := v.otherDataCentres(own)
	if len(names) == 0 {
		return "", false
	}
	ranked := v.ranked(names[turn%len(names)])
	return ranked[turn/len(names)%min(len(ranked), storepoll.Readers)], true
}

// peerReply is the reply of a peer to a version query.
type peerReply struct {
	peer Target
	// asked is set if the peer is known and was asked at askedAt, and answered if it
	// has answered.
	asked, answered bool
	askedAt         boottime.Instant
	versions        datagram
}

// pollPeer asks one peer and applies its reply. lower is set if its proof counts
// as that of a host of lower rank.
func (c *Control) pollPeer(ctx context.Context, p *peerPoll, host string, lower bool) {
	c.takeReply(ctx, p, c.askPeer(ctx, host), lower)
}

// askPeer asks a peer for its versions.
func (c *Control) askPeer(ctx context.Context, host string) peerReply {
	t, ok := c.View().TargetOf(host)
	if !ok || host == c.host {
		return peerReply{}
	}
	r := peerReply{peer: t, asked: true, askedAt: boottime.Now()}
	var err error
	r.versions, err = c.peers.query(ctx, t.Control, datagram{Kind: queryVersions, Host: c.host, To: host})
	r.answered = err == nil
	return r
}

// takeReply applies the reply of a peer and records it in p.
func (c *Control) takeReply(ctx context.Context, p *peerPoll, r peerReply, lower bool) {
	if r.asked {
		p.asked++
	}
	if !r.answered {
		return
	}
	p.reached++
	p.lowerAnswered = p.lowerAnswered || lower
	if !r.versions.Result {
		return
	}
	if r.versions.HostsVersion > c.hostsAt.Load() {
		c.fetchHosts(ctx, r.peer)
	}
	switch {
	case r.versions.ConfigVersion > c.configAt.Load():
		p.behind = !c.fetchFromPeers(ctx, r.peer, c.configAt.Load())
	case karpithaz.EraOf(c.configAt.Load()) > 0 && r.versions.Revision > c.View().revision():
		// This host has read an older configuration from a restored store.
		p.behind = !c.fetchFromPeers(ctx, r.peer, 0)
	}
	age := time.Duration(r.versions.Millis) * time.Millisecond
	c.submit(ctx, tableUpdate{proof: true, provenVersion: r.versions.ConfigVersion, provenAt: r.askedAt.Add(-age)})
	if lower {
		p.lowerProofAge = min(p.lowerProofAge, age)
	}
	p.fresh = p.fresh || age < storepoll.StaleAge
}

// reportVersions answers a version query from another host. A host without a proof has
// nothing to report.
func (c *Control) reportVersions(host string) datagram {
	c.liveness.recordContact(host, time.Now())
	proof := freshnessProof(c.proof.Load()) // before the view, as in ProvenView
	view := c.View()
	return datagram{
		Result:        view.Ready() && proof != 0,
		ConfigVersion: view.operatorVersion,
		HostsVersion:  view.hostsVersion,
		Revision:      view.revision(),
		Millis:        min(proof.age(), time.Hour).Milliseconds() + 1,
	}
}
