package soak

import (
	"errors"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes the datagrams that are sent to one host on to its daemon, and the
// answers back, but for those on paths that are cut.
type relay struct {
	f *fleet
	// ip is that of the host.
	ip string
	// upstream is where the daemon listens.
	upstream *net.UDPAddr
	door     *net.UDPConn

	mu    sync.Mutex
	paths map[string]*net.UDPConn
}

// maxDatagram is above the longest datagram of a daemon.
const maxDatagram = 2048

func (f *fleet) newRelay(t *testing.T, ip, door, upstream string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp4", door)
	assert.NilError(t, err)
	to, err := net.ResolveUDPAddr("udp4", upstream)
	assert.NilError(t, err)
	conn, err := net.ListenUDP("udp4", at)
	assert.NilError(t, err)
	r := &relay{f: f, ip: ip, upstream: to, door: conn, paths: map[string]*net.UDPConn{}}
	t.Cleanup(r.close)
	go r.run()
}

func (r *relay) close() {
	r.door.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.paths {
		c.Close()
	}
}

func (r *relay) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.door.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.f.isCut(from.IP.String(), r.ip) {
			continue
		}
		if c := r.path(from); c != nil {
			c.Write(buf[:n]) //nolint:errcheck // datagrams may be lost
		}
	}
}

// path is the socket that stands for a sender at the daemon.
func (r *relay) path(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.paths[from.String()]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp4", nil, r.upstream)
	if err != nil {
		return nil
	}
	r.paths[from.String()] = c
	go r.back(c, from)
	return c
}

func (r *relay) back(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the daemon does not listen at the moment
		}
		if !r.f.isCut(r.ip, to.IP.String()) {
			r.door.WriteToUDP(buf[:n], to) //nolint:errcheck // datagrams may be lost
		}
	}
}
