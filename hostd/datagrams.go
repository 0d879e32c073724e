package hostd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// datagram is a query from one daemon to another or the answer to it. Datagrams
// are small and may be lost, so queries are retransmitted.
type datagram struct {
	// ID matches an answer to its query.
	ID uint64 `json:"n"`
	// Kind is the kind of a query. It is empty in answers.
	Kind string `json:"k,omitempty"`
	// Name is the subject of the query.
	Name string `json:"w,omitempty"`
	// Host is the sender's host, except in a withdrawal, where it is the host
	// that the query is addressed to.
	Host string `json:"h,omitempty"`
	// To is the host that a query is meant for. Another one that has been given its
	// address does not act on the query.
	To string `json:"a,omitempty"`
	// Incarnation identifies the gate process that a withdrawal refers to.
	Incarnation int64 `json:"l,omitempty"`
	// Owner is set in a query for a token that is relayed: only this owner may
	// answer it, and other receivers pass it on to it.
	Owner string `json:"x,omitempty"`
	// Origin is the host whose request needs the token of a relayed query.
	Origin string `json:"g,omitempty"`
	// Relay asks the receiver of a withdrawal to pass it on to its host, and that of a
	// question about a departure to ask the hosts that may hold it.
	Relay bool `json:"v,omitempty"`
	// Authoritative is set if the answer comes from the host that the query is
	// addressed to.
	Authoritative bool `json:"o,omitempty"`
	// Value is that of the repeat for which a token is requested. Daemons of earlier
	// versions state none.
	Value retry.Value `json:"e,omitempty"`
	// Result and Millis are the answer.
	Result bool  `json:"y,omitempty"`
	Millis int64 `json:"m,omitempty"`
	// Unknown is set in an answer to a query for a token if the owner cannot tell.
	// Daemons of earlier versions do not know it and take Result.
	Unknown bool `json:"q,omitempty"`
	// ConfigVersion and HostsVersion are the versions of the latest changes
	// that a host knows, or of which it gives notice.
	ConfigVersion uint64 `json:"c,omitempty"`
	HostsVersion  uint64 `json:"t,omitempty"`
	// Revision is that of the sender's configuration in force.
	Revision uint64 `json:"z,omitempty"`
	// Counts is a gate's report on a roll-out and Allowance the answer to it.
	Counts    *rollout.Report `json:"r,omitempty"`
	Allowance *rollout.Answer `json:"u,omitempty"`
	// Crash is a report of the death of a target.
	Crash *suspect.Report `json:"d,omitempty"`
	// Departures are what a host is to hold, or what it holds for another one.
	Departures []departure.Record `json:"i,omitempty"`
}

// queryAlive asks a host whether it is alive.
const queryAlive = "alive"

const maxDatagramBytes = 1200

// queryTimeouts are the times to wait for an answer after each transmission of
// a query. The query fails after the last one. A round trip between data
// centres takes a few milliseconds.
var queryTimeouts = []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 120 * time.Millisecond}

// errNoAnswer reports that a host did not answer.
var errNoAnswer = errors.New("no answer to a datagram; the host or the network path to it is down")

// errWrongHost reports that another host than the one asked has answered.
var errWrongHost = errors.New("another host has the address that was asked; the host has gone or its row is out of date")

// datagramConn sends queries to other daemons and answers theirs.
type datagramConn struct {
	host    string
	conn    *net.UDPConn
	metrics *metrics.Registry
	// answer returns the answer to a query. It runs in a goroutine of its own.
	answer func(ctx context.Context, q datagram) datagram
	// onQuery, if not nil, is called with the address of each query.
	onQuery func(from netip.AddrPort)

	// lastID starts at a random number, so that an answer to an earlier process at
	// this address matches no query of this one.
	lastID  atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]pendingQuery
}

// pendingQuery is a query without an answer.
type pendingQuery struct {
	// to is the address that may answer.
	to     netip.AddrPort
	answer chan datagram
}

func newDatagramConn(host, addr string, m *metrics.Registry, answer func(context.Context, datagram) datagram) (*datagramConn, error) {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "datagram address %s", addr)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s; check that the address is this host's and free", addr)
	}
	d := &datagramConn{host: host, conn: conn, metrics: m, answer: answer, pending: map[uint64]pendingQuery{}}
	d.lastID.Store(rand.Uint64())
	return d, nil
}

func (d *datagramConn) close() { d.conn.Close() }

// run receives datagrams until ctx ends.
func (d *datagramConn) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.close)
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			d.metrics.Add("datagram_errors", 1) // an earlier datagram was refused by its receiver
			continue
		}
		var m datagram
		if json.Unmarshal(buf[:n], &m) != nil {
			d.metrics.Add("datagrams_unreadable", 1)
			continue
		}
		if m.Kind == "" {
			d.deliver(m, from)
			continue
		}
		if d.onQuery != nil {
			d.onQuery(from)
		}
		go d.reply(ctx, m, from)
	}
}

// deliver passes an answer to its query, unless it comes from another address than the
// query went to.
func (d *datagramConn) deliver(m datagram, from netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.pending[m.ID]
	if !ok || q.to != from {
		d.metrics.Add("datagrams_unmatched", 1) // late, repeated or of another query
		return
	}
	delete(d.pending, m.ID)
	q.answer <- m
}

func (d *datagramConn) reply(ctx context.Context, q datagram, to netip.AddrPort) {
	var a datagram
	if q.To == "" || q.To == d.host {
		a = d.answer(ctx, q)
	}
	a.ID, a.Host = q.ID, d.host
	d.send(a, to)
}

func (d *datagramConn) send(m datagram, to netip.AddrPort) {
	data, err := json.Marshal(m)
	if err != nil {
		d.metrics.Add("datagram_errors", 1)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
		d.metrics.Add("datagram_errors", 1)
	}
}

// query sends a query, with retransmissions, and waits for the answer.
func (d *datagramConn) query(ctx context.Context, addr string, q datagram) (datagram, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return datagram{}, errors.Wrapf(err, "datagram address %q", addr)
	}
	q.ID = d.lastID.Add(1)
	ch := make(chan datagram, 1)
	d.mu.Lock()
	d.pending[q.ID] = pendingQuery{to: to, answer: ch}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.pending, q.ID)
		d.mu.Unlock()
	}()
	for _, pause := range queryTimeouts {
		d.send(q, to)
		timer := time.NewTimer(pause)
		select {
		case a := <-ch:
			timer.Stop()
			if q.To != "" && a.Host != "" && a.Host != q.To {
				d.metrics.Add("datagrams_from_wrong_host", 1)
				return datagram{}, errWrongHost
			}
			return a, nil
		case <-ctx.Done():
			timer.Stop()
			return datagram{}, ctx.Err()
		case <-timer.C:
		}
	}
	return datagram{}, errNoAnswer
}
