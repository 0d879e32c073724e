// Package fabric proxies the connections between the processes of a test fleet
// and injects network faults: partitions, latency and black-holed connections.
//
// Each host sends from its own loopback address and advertises addresses that
// the fabric listens on. The fabric identifies the source of a connection by its
// address and routes it through a proxy dedicated to that link (toxiproxy,
// in-process). The fabric itself black-holes open connections while new ones
// work, because a toxic affects existing and new connections of a link alike.
package fabric

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

func init() {
	logrus.SetOutput(io.Discard) // toxiproxy logs every connection
}

// Direction selects the traffic that a partition drops.
type Direction int

const (
	// BothWays drops all traffic between two hosts.
	BothWays Direction = iota
	// OneWay drops only the traffic sent by the first host.
	OneWay
)

// linkKey identifies the connections that src opens to one port of dst.
type linkKey struct{ src, dst, port string }

// pair identifies the connections that src opens to dst. As a key of upstreams
// it is a host and the name of a port.
type pair struct{ src, dst string }

// toxic is a toxiproxy fault on one stream direction of a pair.
type toxic struct {
	name, kind, stream, attributes string
}

func (x toxic) encode() *strings.Reader {
	return strings.NewReader(fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`,
		x.name, x.kind, x.stream, x.attributes))
}

var (
	cutUpstream   = toxic{"cut-up", "timeout", "upstream", `{"timeout":0}`}
	cutDownstream = toxic{"cut-down", "timeout", "downstream", `{"timeout":0}`}
)

// Fabric is the simulated network of one fleet.
type Fabric struct {
	mu        sync.Mutex
	closed    bool
	sources   map[string]string // source address to host
	upstreams map[pair]string   // host and port name to listen address
	listeners []net.Listener
	proxies   map[linkKey]*toxiproxy.Proxy
	toxics    map[pair][]toxic
	conns     map[*conn]bool
}

// New returns a fabric without hosts.
func New() *Fabric {
	return &Fabric{
		sources:   make(map[string]string),
		upstreams: make(map[pair]string),
		proxies:   make(map[linkKey]*toxiproxy.Proxy),
		toxics:    make(map[pair][]toxic),
		conns:     make(map[*conn]bool),
	}
}

// AddHost attributes connections from ip to host.
func (f *Fabric) AddHost(host, ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources[ip] = host
}

// Advertise listens on ip for connections to the named port of host and
// returns the address to advertise.
func (f *Fabric) Advertise(host, port, ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "advertise: all of 127.0.0.0/8 must be usable as loopback addresses")
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	go f.accept(l, host, port)
	return l.Addr().String(), nil
}

// SetUpstream sets the address on which the named port of host listens.
// Connections to the previous address are closed.
func (f *Fabric) SetUpstream(host, port, addr string) {
	f.mu.Lock()
	f.upstreams[pair{host, port}] = addr
	var old []*toxiproxy.Proxy
	for key, p := range f.proxies {
		if key.dst == host && key.port == port {
			old = append(old, p)
			delete(f.proxies, key)
		}
	}
	f.mu.Unlock()
	for _, p := range old {
		p.Stop()
	}
}

// acceptRetryDelay is the pause after a failed accept, such as when no file
// descriptor is free.
const acceptRetryDelay = 50 * time.Millisecond

func (f *Fabric) accept(l net.Listener, host, port string) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of file descriptors
			continue
		}
		go f.connect(c, host, port)
	}
}

func (f *Fabric) connect(client net.Conn, dst, port string) {
	p, src, err := f.proxyFor(client, dst, port)
	if err != nil {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.Listen)
	if err != nil {
		client.Close()
		return
	}
	c := &conn{pair: pair{src, dst}, client: client, server: server}
	if !f.track(c) {
		c.close()
		return
	}
	c.run()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

func (f *Fabric) track(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = true
	return true
}

// proxyFor returns the proxy of a link, starting it on first use.
func (f *Fabric) proxyFor(client net.Conn, dst, port string) (*toxiproxy.Proxy, string, error) {
	ip, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return nil, "", errors.Wrap(err, "source address")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	src := f.sources[ip]
	key := linkKey{src, dst, port}
	if p, ok := f.proxies[key]; ok {
		return p, src, nil
	}
	upstream, ok := f.upstreams[pair{dst, port}]
	if !ok || f.closed {
		return nil, src, errors.Errorf("no upstream is set for port %s of %s", port, dst)
	}
	p := toxiproxy.NewProxy()
	p.Name = src + "-" + dst + "-" + port
	p.Listen = "127.0.0.1:0"
	p.Upstream = upstream
	if err := p.Start(); err != nil {
		return nil, src, errors.Wrap(err, "start link")
	}
	for _, x := range f.toxics[pair{src, dst}] {
		if _, err := p.Toxics.AddToxicJson(x.encode()); err != nil {
			return nil, src, errors.Wrap(err, "add toxic")
		}
	}
	f.proxies[key] = p
	return p, src, nil
}

// Partition drops the traffic between hosts a and b, or only the traffic that a
// sends.
func (f *Fabric) Partition(a, b string, direction Direction) {
	f.addToxic(pair{a, b}, cutUpstream)
	f.addToxic(pair{b, a}, cutDownstream)
	if direction == BothWays {
		f.addToxic(pair{a, b}, cutDownstream)
		f.addToxic(pair{b, a}, cutUpstream)
	}
}

// Delay adds latency to all traffic that a sends to b.
func (f *Fabric) Delay(a, b string, milliseconds int) {
	attributes := fmt.Sprintf(`{"latency":%d}`, milliseconds)
	f.addToxic(pair{a, b}, toxic{"late-up", "latency", "upstream", attributes})
	f.addToxic(pair{b, a}, toxic{"late-down", "latency", "downstream", attributes})
}

func (f *Fabric) addToxic(key pair, x toxic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, old := range f.toxics[key] {
		if old.name == x.name {
			return
		}
	}
	f.toxics[key] = append(f.toxics[key], x)
	for link, p := range f.proxies {
		if link.src == key.src && link.dst == key.dst {
			// AddToxicJson fails only for a malformed or duplicate toxic, and
			// duplicates are excluded above.
			_, _ = p.Toxics.AddToxicJson(x.encode())
		}
	}
}

// Heal removes all faults between a and b. Connections that lost data are
// closed.
func (f *Fabric) Heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []pair{{a, b}, {b, a}} {
		delete(f.toxics, key)
		for link, p := range f.proxies {
			if link.src == key.src && link.dst == key.dst {
				p.Toxics.ResetToxics()
			}
		}
	}
}

// Blackhole permanently discards all traffic on the open connections between a
// and b. New connections work.
func (f *Fabric) Blackhole(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.pair == (pair{a, b}) || c.pair == (pair{b, a}) {
			c.blackholed.Store(true)
		}
	}
}

// Close closes all listeners and connections.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	listeners, proxies, conns := f.listeners, f.proxies, f.conns
	f.proxies, f.conns = map[linkKey]*toxiproxy.Proxy{}, map[*conn]bool{}
	f.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for c := range conns {
		c.close()
	}
	for _, p := range proxies {
		p.Stop()
	}
}
