package hostd

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// crashingTarget answers the requests on each connection but the second one of the first
// connection, which it closes. dies is set if it closes its listener as well.
func crashingTarget(t *testing.T, dies bool) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					if first && n == 1 {
						if dies {
							l.Close()
						}
						return
					}
					io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the gate sees the failure
				}
			}()
		}
	}()
	return l
}

// reusedConnection sends two requests to a target, with the fingerprints 1 and 2, and returns
// the gate, and the fingerprints that are reported as in flight at a death.
func reusedConnection(t *testing.T, l net.Listener) (*Gate, chan []uint64) {
	t.Helper()
	deaths := make(chan []uint64, 8)
	g, _ := newTestGate(t)
	g.onDeath = func(_ string, _ int64, fingerprints []uint64) { deaths <- fingerprints }
	b := newHeartbeat("a", 1, 1, false)
	b.Address = l.Addr().String()
	g.applyHeartbeat(b, time.Now())
	for i, attempt := range []string{"first", "second"} {
		req := &fasthttp.Request{}
		req.Header.SetRequestURI("/" + attempt)
		req.Header.SetHost("h")
		g.Forward(context.Background(), Forward{Attempt: attempt, Target: "a", TimeLeftMs: 2000, MaxGray: 1, Repeatable: true,
			Route: "r", ObjectiveMs: 100, Fingerprint: uint64(i + 1)}, req, nil)
	}
	return g, deaths
}

// A target that dies as soon as a request arrives on a connection that was used before has
// died with it, although the request is sent again and that finds nobody (review/6).
func TestCrashOnAReusedConnectionIsADeath(t *testing.T) {
	_, deaths := reusedConnection(t, crashingTarget(t, true))
	select {
	case fingerprints := <-deaths:
		assert.DeepEqual(t, fingerprints, []uint64{2})
	case <-time.After(5 * time.Second):
		t.Fatal("no death is reported")
	}
}

// A target that answers a probe after a connection broke, and then starts as another
// incarnation, has died, unless it has served the request or left as planned.
func TestStartAfterABrokenConnectionIsADeath(t *testing.T) {
	start := func(g *Gate) {
		g.applyHeartbeat(newHeartbeat("a", 2, 1, false), time.Now())
	}
	broken := func(g *Gate, fingerprint uint64) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordBroken(&ticket{f: Forward{Fingerprint: fingerprint}, target: g.target}, time.Now())
	}
	probed := func(g *Gate) {
		for probing := true; probing; time.Sleep(time.Millisecond) {
			g.mu.Lock()
			probing = g.target.probing
			g.mu.Unlock()
		}
	}
	t.Run("died", func(t *testing.T) {
		g, deaths := reusedConnection(t, crashingTarget(t, false))
		broken(g, 3)
		probed(g)
		start(g)
		assert.DeepEqual(t, <-deaths, []uint64{3})
	})
	t.Run("served", func(t *testing.T) {
		g, deaths := reusedConnection(t, crashingTarget(t, false))
		probed(g)
		start(g)
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, len(deaths), 0)
	})
	t.Run("left as planned", func(t *testing.T) {
		g, deaths := reusedConnection(t, crashingTarget(t, false))
		broken(g, 3)
		probed(g)
		g.markLeaving("a")
		start(g)
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, len(deaths), 0)
	})
}
