package hostd

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/metrics"
)

// datagram is a question of one daemon to another, or its answer. They are
// small and may be lost; who asks asks again.
type datagram struct {
	// Number pairs an answer with its question.
	Number uint64 `json:"n"`
	// Kind is that of a question; answers have none.
	Kind string `json:"k,omitempty"`
	// Name is what the question is about.
	Name string `json:"w,omitempty"`
	// Host is the host meant by a question that is passed on.
	Host string `json:"h,omitempty"`
	// Life is that of the gate's process which is meant.
	Life int64 `json:"l,omitempty"`
	// Known is set when the answer is that of the host that was meant.
	Known bool `json:"o,omitempty"`
	// Yes and Millis are the answer.
	Yes    bool  `json:"y,omitempty"`
	Millis int64 `json:"m,omitempty"`
	// Config and Hosts are the versions of the last changes that a host knows.
	Config uint64 `json:"c,omitempty"`
	Hosts  uint64 `json:"t,omitempty"`
}

// maxDatagram bounds a datagram in bytes.
const maxDatagram = 1200

// askPauses are the times after which a question is asked again; the last is
// when it is given up. A round trip between data centres takes a few
// milliseconds.
var askPauses = []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 120 * time.Millisecond}

// errNoAnswer reports that a host did not answer.
var errNoAnswer = errors.New("no answer to a datagram; the host or the path to it is down")

// datagrams asks and answers other daemons.
type datagrams struct {
	conn    *net.UDPConn
	metrics *metrics.Registry
	// answer answers a question. It runs on a goroutine of its own.
	answer func(ctx context.Context, q datagram) datagram

	next    atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan datagram
}

func newDatagrams(addr string, m *metrics.Registry, answer func(context.Context, datagram) datagram) (*datagrams, error) {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "datagram address %s", addr)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s; check that the address is this host's and free", addr)
	}
	return &datagrams{conn: conn, metrics: m, answer: answer, waiting: map[uint64]chan datagram{}}, nil
}

func (d *datagrams) close() { d.conn.Close() }

// run receives until ctx ends.
func (d *datagrams) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.close)
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			d.metrics.Add("datagram_errors", 1) // an earlier one found no listener
			continue
		}
		var m datagram
		if json.Unmarshal(buf[:n], &m) != nil {
			d.metrics.Add("datagrams_unreadable", 1)
			continue
		}
		if m.Kind == "" {
			d.deliver(m)
			continue
		}
		go d.reply(ctx, m, from)
	}
}

func (d *datagrams) deliver(m datagram) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.waiting[m.Number]; ch != nil {
		delete(d.waiting, m.Number)
		ch <- m
	}
}

func (d *datagrams) reply(ctx context.Context, q datagram, to netip.AddrPort) {
	a := d.answer(ctx, q)
	a.Number = q.Number
	d.send(a, to)
}

func (d *datagrams) send(m datagram, to netip.AddrPort) {
	data, err := json.Marshal(m)
	if err != nil {
		d.metrics.Add("datagram_errors", 1)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
		d.metrics.Add("datagram_errors", 1)
	}
}

// ask asks a question, repeatedly, until the answer comes.
func (d *datagrams) ask(ctx context.Context, addr string, q datagram) (datagram, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return datagram{}, errors.Wrapf(err, "datagram address %q", addr)
	}
	q.Number = d.next.Add(1)
	ch := make(chan datagram, 1)
	d.mu.Lock()
	d.waiting[q.Number] = ch
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.waiting, q.Number)
		d.mu.Unlock()
	}()
	for _, pause := range askPauses {
		d.send(q, to)
		timer := time.NewTimer(pause)
		select {
		case a := <-ch:
			timer.Stop()
			return a, nil
		case <-ctx.Done():
			timer.Stop()
			return datagram{}, ctx.Err()
		case <-timer.C:
		}
	}
	return datagram{}, errNoAnswer
}
