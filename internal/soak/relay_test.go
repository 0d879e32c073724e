package soak

import (
	"errors"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards datagrams to the daemon of one host, and its replies back, except
// on paths that are cut.
type relay struct {
	f *fleet
	// ip is the IP address of the host.
	ip string
	// upstream is the address on which the daemon listens.
	upstream *net.UDPAddr
	conn     *net.UDPConn

	mu            sync.Mutex
	upstreamConns map[string]*net.UDPConn
}

// maxDatagram exceeds the size of the largest datagram that daemons send.
const maxDatagram = 2048

func (f *fleet) newRelay(t *testing.T, ip, listen, upstream string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp4", listen)
	assert.NilError(t, err)
	to, err := net.ResolveUDPAddr("udp4", upstream)
	assert.NilError(t, err)
	conn, err := net.ListenUDP("udp4", at)
	assert.NilError(t, err)
	r := &relay{f: f, ip: ip, upstream: to, conn: conn, upstreamConns: map[string]*net.UDPConn{}}
	t.Cleanup(r.close)
	go r.run()
}

func (r *relay) close() {
	r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.upstreamConns {
		c.Close()
	}
}

func (r *relay) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if r.f.isCut(from.IP.String(), r.ip) {
			continue
		}
		if c := r.upstreamConn(from); c != nil {
			c.Write(buf[:n]) //nolint:errcheck // datagrams may be lost
		}
	}
}

// upstreamConn returns the socket that forwards the datagrams of one sender.
func (r *relay) upstreamConn(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.upstreamConns[from.String()]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp4", nil, r.upstream)
	if err != nil {
		return nil
	}
	r.upstreamConns[from.String()] = c
	go r.relayReplies(c, from)
	return c
}

func (r *relay) relayReplies(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the daemon is not listening
		}
		if !r.f.isCut(r.ip, to.IP.String()) {
			r.conn.WriteToUDP(buf[:n], to) //nolint:errcheck // datagrams may be lost
		}
	}
}
