package hostd

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/metrics"
)

// The departure of a target is held by a few other hosts beside the store, which may be out
// of reach. This host asks them when it starts (package departure).

const (
	// queryDeparted tells a host to hold the departure of the sender's target.
	queryDeparted = "departed"
	// queryDepartedOf asks a host for the departure that it holds for a host. With Relay
	// set, it asks the hosts that hold departures of that host too.
	queryDepartedOf = "departed-of"
)

const (
	// departureRelayTimeout bounds how long a relayed question takes. It is shorter than the
	// time that the sender waits for its answer.
	departureRelayTimeout = 100 * time.Millisecond
	// departureAskInterval is the pause between questions at the start while nobody answers.
	departureAskInterval = 20 * time.Millisecond
	// departureAskTimeout bounds how long a target is not taken for one that is there while
	// the other hosts are known and none answers. They have probably gone, as after a loss of
	// power; the questions go on at departureLateAskInterval.
	departureAskTimeout      = 300 * time.Millisecond
	departureLateAskInterval = 500 * time.Millisecond
	// departureLateAsks bounds the further questions while some hosts have not answered: they
	// may be cut off or restarting.
	departureLateAsks = 30
	// departureRepeat is how often the holders are told again while the store does not have a
	// departure: they may have restarted.
	departureRepeat = 2 * time.Second
	// maxSeenPeers bounds the peers that are remembered at the start.
	maxSeenPeers = 4
)

// departures are what this host holds for others, and the way to those that hold its own.
type departures struct {
	host    string
	view    func() *View
	query   func(ctx context.Context, addr string, q datagram) (datagram, error)
	tell    func(hosts []string, n func() datagram, answered func(host string))
	log     *decisions.Log
	metrics *metrics.Registry
	held    departure.Held
	seen    seenPeers
}

// seenPeers are addresses from which queries have come. A host that starts while it does not
// reach the store knows no others.
type seenPeers struct {
	mu    sync.Mutex
	addrs []string
}

func (p *seenPeers) put(from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addrs) == maxSeenPeers {
		return
	}
	if addr := from.String(); !slices.Contains(p.addrs, addr) {
		p.addrs = append(p.addrs, addr)
	}
}

func (p *seenPeers) get() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.addrs)
}

// holders returns the hosts that hold the departures of a host's target.
func (d *departures) holders(view *View, host string) []departure.Peer {
	var others []departure.Peer
	for _, name := range view.allHosts() {
		if t, _ := view.row(name); name != host {
			others = append(others, departure.Peer{Host: name, DataCentre: t.DataCentre})
		}
	}
	return departure.Holders(host, others)
}

// hold has other hosts hold a departure, and tells them again until it is written. The
// channel that it returns is closed when enough of them hold it. written is nil for a
// departure that is not written. Even one that is written at once is held: the store may
// come back from a copy that is older.
func (d *departures) hold(r departure.Record, written <-chan struct{}) <-chan struct{} {
	held := make(chan struct{})
	enough := sync.OnceFunc(func() { close(held) })
	go func() {
		ticker := time.NewTicker(departureRepeat)
		defer ticker.Stop()
		for begun := time.Now(); time.Since(begun) < departure.Retention; {
			d.tellHolders(r, enough)
			select {
			case <-written:
				return
			case <-ticker.C:
			}
		}
	}()
	return held
}

// tellHolders tells the hosts that are to hold a departure. enough is called once enough of
// them have answered.
func (d *departures) tellHolders(r departure.Record, enough func()) {
	holders := d.holders(d.view(), d.host)
	names := make([]string, len(holders))
	for i, p := range holders {
		names[i] = p.Host
	}
	var mu sync.Mutex
	var holding []departure.Peer
	d.tell(names, func() datagram {
		return datagram{Kind: queryDeparted, Host: d.host, Departures: []departure.Record{r}}
	}, func(host string) {
		mu.Lock()
		defer mu.Unlock()
		before := departure.Enough(holding, holders)
		holding = append(holding, holders[slices.Index(names, host)])
		if !before && departure.Enough(holding, holders) {
			d.metrics.Add("departures_held_elsewhere", 1)
			d.log.Decide("departure-held-elsewhere", "target", r.Target, "by", holding)
			enough()
		}
	})
}

// answer handles a departure of another host's target, or a question about one.
func (d *departures) answer(ctx context.Context, q datagram) datagram {
	now := time.Now()
	if q.Kind == queryDeparted {
		for _, r := range q.Departures {
			d.held.Put(now, q.Host, r)
			d.log.Decide("departure-held", "host", q.Host, "target", r.Target, "born", r.Born)
		}
		return datagram{Result: true}
	}
	out := d.held.Get(now, q.Host)
	view := d.view()
	if row, listed := view.departed[q.Host]; listed {
		out = append(out, departure.Record{Target: row.ID, Born: row.Born})
	}
	if q.Relay {
		ctx, cancel := context.WithTimeout(ctx, departureRelayTimeout)
		defer cancel()
		_, found := d.ask(ctx, d.addresses(view, q.Host), datagram{Kind: queryDepartedOf, Host: q.Host})
		out = append(out, found...)
	}
	return datagram{Result: true, Authoritative: true, Departures: out[:min(len(out), maxToldDepartures)]}
}

// maxToldDepartures bounds the departures in an answer, which is a datagram.
const maxToldDepartures = 8

// addresses returns the datagram addresses of the hosts that hold a host's departures, except
// this host.
func (d *departures) addresses(view *View, host string) []string {
	var out []string
	for _, p := range d.holders(view, host) {
		if t, version := view.row(p.Host); version != 0 && p.Host != d.host {
			out = append(out, t.Control)
		}
	}
	return out
}

// ask sends a question to addresses at the same time. It returns how many have answered, and
// the departures that they hold.
func (d *departures) ask(ctx context.Context, addrs []string, q datagram) (answered int, found []departure.Record) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			a, err := d.query(ctx, addr, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !a.Authoritative {
				return
			}
			answered++
			for _, r := range a.Departures {
				if !slices.Contains(found, r) {
					found = append(found, r)
				}
			}
		})
	}
	wg.Wait()
	return answered, found
}

// askAtStart asks the hosts that hold departures of this host's target, and passes what they
// hold to learn. settled is called once the answer is known: before that, a heartbeat may be
// a late one of a target that has departed. While this host does not know the others, it asks
// those whose queries it receives.
func (d *departures) askAtStart(ctx context.Context, learn func(departure.Record), settled func()) {
	settle := sync.OnceFunc(settled)
	defer settle()
	known := map[departure.Record]bool{}
	interval := departureAskInterval
	for !d.view().HostsLoaded {
		if answered, found := d.ask(ctx, d.seen.get(), datagram{Kind: queryDepartedOf, Host: d.host, Relay: true}); answered > 0 {
			d.learnNew(known, found, learn)
			settle()
			interval = departureLateAskInterval
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
	clear(known)
	loadedAt := time.Now()
	interval = departureAskInterval
	for late := 0; late < departureLateAsks; {
		addrs := d.addresses(d.view(), d.host)
		answered, found := d.ask(ctx, addrs, datagram{Kind: queryDepartedOf, Host: d.host})
		d.learnNew(known, found, learn)
		waited := time.Since(loadedAt)
		if late == 0 && (answered > 0 || len(addrs) == 0 || waited > departureAskTimeout) {
			d.log.Decide("departures-asked", "asked", len(addrs), "answered", answered, "found", len(found), "after_ms", waited.Milliseconds())
			if answered == 0 && len(addrs) > 0 {
				d.metrics.Add("departures_not_asked", 1)
			}
			settle()
			interval = departureLateAskInterval
		}
		if answered == len(addrs) || !pause.For(ctx, interval) {
			return
		}
		if interval == departureLateAskInterval {
			late++
		}
	}
}

// learnNew passes on the departures that are not known yet.
func (d *departures) learnNew(known map[departure.Record]bool, found []departure.Record, learn func(departure.Record)) {
	for _, r := range found {
		if !known[r] {
			known[r] = true
			d.log.Decide("departure-learned", "target", r.Target, "born", r.Born)
			learn(r)
		}
	}
}
