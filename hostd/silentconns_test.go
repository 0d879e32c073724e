package hostd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// streamRelay forwards connections. It can make those that are open silent for good, or
// reset them; later ones are sound. It can also lose what the far side sends, on all
// connections, until the cut is healed; a connection that has lost something stays silent.
type streamRelay struct {
	cutBack atomic.Bool
	// dropped is set once the cut has taken bytes.
	dropped atomic.Bool
	// forwarded counts the bytes sent to the far side.
	forwarded atomic.Int64

	mu    sync.Mutex
	conns []*relayedConn
}

type relayedConn struct {
	near, far *net.TCPConn
	silent    atomic.Bool
}

func startStreamRelay(t *testing.T, listen, to string) *streamRelay {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &streamRelay{}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			c := &relayedConn{near: near.(*net.TCPConn), far: far.(*net.TCPConn)}
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
			go c.pipe(c.near, c.far, func() bool { return false }, &r.forwarded)
			go c.pipe(c.far, c.near, r.takesBack, &atomic.Int64{})
		}
	}()
	return r
}

// takesBack reports whether the cut takes the bytes that have just arrived.
func (r *streamRelay) takesBack() bool {
	cut := r.cutBack.Load()
	if cut {
		r.dropped.Store(true)
	}
	return cut
}

// pipe copies bytes, and the end of the stream, until the connection is silent or cut.
func (c *relayedConn) pipe(from, to *net.TCPConn, cut func() bool, copied *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		copied.Add(int64(n))
		if c.silent.Load() || cut() {
			io.Copy(io.Discard, from) //nolint:errcheck // what is sent on a silent connection is lost
			return
		}
		if n > 0 {
			to.Write(buf[:n]) //nolint:errcheck // the other side sees the failure
		}
		if err != nil {
			to.CloseWrite() //nolint:errcheck // it may be closed
			return
		}
	}
}

func (r *streamRelay) each(do func(*relayedConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		do(c)
	}
}

func (r *streamRelay) silence() { r.each(func(c *relayedConn) { c.silent.Store(true) }) }

func (r *streamRelay) reset() {
	r.each(func(c *relayedConn) {
		for _, end := range []*net.TCPConn{c.near, c.far} {
			end.SetLinger(0) //nolint:errcheck // it may be closed
			end.Close()
		}
	})
}

// newRelayedFleet returns a fleet of two hosts. The first one's target accepts no
// requests, and the second one's gate is behind a relay.
func newRelayedFleet(t *testing.T) (*testFleet, *streamRelay) {
	t.Helper()
	f := newFleet(t, 1)
	set := f.settings(2)
	f.gateBinds = map[string]string{set.Host: freeAddr(t, set.IP)}
	relay := startStreamRelay(t, set.GateListen, f.gateBinds[set.Host])
	f.add(2, set)
	ingress := f.hosts[0]
	status, err := ingress.target.Announce(ingress.settings.AnnounceListen, ingress.settings.DataCentre, "draining")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	f.await("only the second target is used", func() bool {
		v := ingress.control.View()
		_, relayed := v.TargetOf(set.Host)
		return relayed && len(v.Targets("svc")) == 1
	})
	var warm sync.WaitGroup
	for _, id := range []string{"warm-1", "warm-2", "warm-3"} {
		warm.Go(func() {
			r, err := ingress.call(standin.Call{Attempt: id, URI: "/read/1", Key: testKey})
			if err != nil || r.Status != 200 {
				t.Errorf("%s: status %d, error %v", id, r.Status, err)
			}
		})
	}
	warm.Wait()
	return f, relay
}

// Requests were offered on connections between hosts that had gone silent, one after the
// other, and orders on them ended with 504 although no target had them.
func TestSilentConnectionsCostARequestNoMoreThanAMoment(t *testing.T) {
	t.Parallel()
	f, relay := newRelayedFleet(t)
	relay.silence()
	for _, c := range []struct{ id, method, uri string }{{"order", "POST", "/order/1"}, {"read", "GET", "/read/1"}} {
		begun := time.Now()
		r, err := f.hosts[0].call(standin.Call{Attempt: c.id, Method: c.method, URI: c.uri, Key: testKey})
		took := time.Since(begun)
		assert.NilError(t, err)
		assert.Equal(t, r.Status, 200, c.id)
		assert.Equal(t, f.runsOf(c.id), 1)
		assert.Assert(t, took < 2*gateResponseTimeout, "%s took %s", c.id, took)
	}
}

// A run that ended well after its connection had gone silent or been reset was lost: its
// caller got 502 or 504, and a read ran again.
func TestReplyIsNotLostWithItsConnection(t *testing.T) {
	const work = 1500 * time.Millisecond
	for _, c := range []struct {
		name        string
		method, uri string
		lose        func(*streamRelay)
	}{
		{"order, silent", "POST", "/order/1", (*streamRelay).silence},
		{"read, silent", "GET", "/read/1", (*streamRelay).silence},
		{"order, reset", "POST", "/order/1", (*streamRelay).reset},
		{"read, reset", "GET", "/read/1", (*streamRelay).reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, relay := newRelayedFleet(t)
			f.hosts[1].target.Work = work
			answered := make(chan standin.Result, 1)
			begun := time.Now()
			go func() {
				r, err := f.hosts[0].call(standin.Call{Attempt: "a", Method: c.method, URI: c.uri, Key: testKey})
				if err != nil {
					t.Log(err)
				}
				answered <- r
			}()
			f.await("running", func() bool { return f.runsOf("a") == 1 })
			c.lose(relay)
			r := <-answered
			took := time.Since(begun)
			assert.Equal(t, r.Status, 200)
			assert.Assert(t, r.Signed)
			assert.Equal(t, f.runsOf("a"), 1)
			assert.Assert(t, took < work+heartbeatTimeout, "answered after %s", took)
		})
	}
}

// A connection that is lost again while the reply is awaited on it is replaced again.
func TestReplyIsNotLostWithItsSecondConnection(t *testing.T) {
	t.Parallel()
	f, relay := newRelayedFleet(t)
	f.hosts[1].target.Work = 2500 * time.Millisecond
	answered := make(chan standin.Result, 1)
	go func() {
		r, err := f.hosts[0].call(standin.Call{Attempt: "a", Method: "POST", URI: "/long/1", Key: testKey, Timeout: 8 * time.Second})
		if err != nil {
			t.Log(err)
		}
		answered <- r
	}()
	f.await("running", func() bool { return f.runsOf("a") == 1 })
	relay.silence()
	time.Sleep(heartbeatTimeout + 100*time.Millisecond) // it has been offered again
	time.Sleep(200 * time.Millisecond)
	relay.silence()
	assert.Equal(t, (<-answered).Status, 200)
	assert.Equal(t, f.runsOf("a"), 1)
}
