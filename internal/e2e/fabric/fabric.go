// Package fabric stands between the processes of a test fleet and lets the
// test cut, slow and silence every link of theirs.
//
// Each host sends from its own loopback address and advertises addresses that
// the fabric listens on. The fabric knows a connection's source by its address
// and passes it through a proxy of that link alone (toxiproxy, in-process).
// Connections that go silent while new ones work are made by the fabric itself,
// since a toxic acts on a link's present and future connections alike.
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

// Way says in which direction bytes are lost.
type Way int

const (
	// BothWays loses all bytes between two hosts.
	BothWays Way = iota
	// OneWay loses the bytes of the first host only; the other's arrive.
	OneWay
)

// linkKey names the connections that src opens to one port of dst.
type linkKey struct{ src, dst, port string }

// pair names the connections that src opens to dst.
type pair struct{ src, dst string }

// toxic is a fault on the streams of a pair.
type toxic struct {
	name, kind, stream, attributes string
}

func (x toxic) json() *strings.Reader {
	return strings.NewReader(fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`,
		x.name, x.kind, x.stream, x.attributes))
}

var (
	cutUp   = toxic{"cut-up", "timeout", "upstream", `{"timeout":0}`}
	cutDown = toxic{"cut-down", "timeout", "downstream", `{"timeout":0}`}
)

// Fabric holds all links of one fleet.
type Fabric struct {
	mu        sync.Mutex
	closed    bool
	sources   map[string]string // source address to host
	upstreams map[pair]string   // host and port name to true address
	listeners []net.Listener
	proxies   map[linkKey]*toxiproxy.Proxy
	toxics    map[pair][]toxic
	conns     map[*conn]bool
}

// New returns an empty fabric.
func New() *Fabric {
	return &Fabric{
		sources:   make(map[string]string),
		upstreams: make(map[pair]string),
		proxies:   make(map[linkKey]*toxiproxy.Proxy),
		toxics:    make(map[pair][]toxic),
		conns:     make(map[*conn]bool),
	}
}

// AddHost makes connections from ip known as those of host.
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
		return "", errors.Wrap(err, "advertise; the loopback range must be free to use")
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	go f.accept(l, host, port)
	return l.Addr().String(), nil
}

// SetUpstream tells where the named port of host truly listens. Links to an
// older address end.
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

// acceptPause is how long a listener waits for a free descriptor.
const acceptPause = 50 * time.Millisecond

func (f *Fabric) accept(l net.Listener, host, port string) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause) // no descriptor is free
			continue
		}
		go f.connect(c, host, port)
	}
}

func (f *Fabric) connect(client net.Conn, dst, port string) {
	p, src, err := f.proxy(client, dst, port)
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

// proxy returns the proxy of a link and starts it when it is the first use.
func (f *Fabric) proxy(client net.Conn, dst, port string) (*toxiproxy.Proxy, string, error) {
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
		return nil, src, errors.Errorf("%s of %s is not up; set its upstream", port, dst)
	}
	p := toxiproxy.NewProxy()
	p.Name = src + "-" + dst + "-" + port
	p.Listen = "127.0.0.1:0"
	p.Upstream = upstream
	if err := p.Start(); err != nil {
		return nil, src, errors.Wrap(err, "start link")
	}
	for _, x := range f.toxics[pair{src, dst}] {
		if _, err := p.Toxics.AddToxicJson(x.json()); err != nil {
			return nil, src, errors.Wrap(err, "add toxic")
		}
	}
	f.proxies[key] = p
	return p, src, nil
}

// Cut loses the bytes between hosts a and b, or only those that a sends.
func (f *Fabric) Cut(a, b string, way Way) {
	f.add(pair{a, b}, cutUp)
	f.add(pair{b, a}, cutDown)
	if way == BothWays {
		f.add(pair{a, b}, cutDown)
		f.add(pair{b, a}, cutUp)
	}
}

// Delay makes all that a sends to b arrive late.
func (f *Fabric) Delay(a, b string, milliseconds int) {
	late := fmt.Sprintf(`{"latency":%d}`, milliseconds)
	f.add(pair{a, b}, toxic{"late-up", "latency", "upstream", late})
	f.add(pair{b, a}, toxic{"late-down", "latency", "downstream", late})
}

func (f *Fabric) add(key pair, x toxic) {
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
			// It fails only for a malformed or doubled toxic; neither can be.
			_, _ = p.Toxics.AddToxicJson(x.json())
		}
	}
}

// Heal ends all faults between a and b. Connections that lost bytes end.
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

// Silence makes the open connections of a and b silent for good; new ones
// work.
func (f *Fabric) Silence(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.pair == (pair{a, b}) || c.pair == (pair{b, a}) {
			c.silent.Store(true)
		}
	}
}

// Close ends all links.
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
