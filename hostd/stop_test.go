package hostd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// A request that is queued when its caller's host stops is refused, not cut. A
// running one is answered.
func TestPlannedStopAnswersEverything(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.target.Work = 2 * time.Second // four slots, so the other requests are queued
	var wg sync.WaitGroup
	results := make([]standin.Result, 10)
	errs := make([]error, 10)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], errs[i] = h.call(standin.Call{Attempt: fmt.Sprintf("s%d", i), Method: "POST", URI: "/order/1", Key: testKey, Timeout: 8 * time.Second})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	h.cancel()
	wg.Wait()
	for i, r := range results {
		assert.NilError(t, errs[i])
		runs := f.runsOf(fmt.Sprintf("s%d", i))
		assert.Assert(t, r.Status == 200 && runs == 1 || r.Status == 503 && runs == 0, "status %d after %d runs", r.Status, runs)
	}
	select {
	case err := <-h.done:
		assert.NilError(t, err)
	case <-time.After(6 * time.Second):
		t.Fatal("the host did not stop within its bound")
	}
}

// Guards against requests that are cut without an answer when the platform kills a host
// that still waits for a target, or that counts its time limit from a repeated signal.
func TestStoppingHostAnswersAndEndsWithinItsGraceTime(t *testing.T) {
	const grace = 4 * time.Second
	for _, c := range []struct {
		name   string
		method string
		uri    string
		again  bool
	}{
		{"order, one signal", "POST", "/long/1", false},
		{"order, repeated signal", "POST", "/long/1", true},
		{"read, one signal", "GET", "/read/1", false},
		{"read, repeated signal", "GET", "/read/1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			h := f.hosts[0]
			h.settings.Bounds.ShutdownGracePeriod = grace
			f.routes[0].Timeout = 20 * time.Second
			f.configure(2)
			f.awaitRevision(2)
			h.target.SetHanging(true)
			answered := make(chan standin.Result, 1)
			signals := make(chan os.Signal, signalBuffer)
			go handleSignals(h.Host, signals, h.cancel)
			go func() {
				r, err := h.call(standin.Call{Attempt: "long", Method: c.method, URI: c.uri, Key: testKey, Timeout: 15 * time.Second})
				if err != nil {
					t.Log(err)
				}
				answered <- r
			}()
			f.await("running", func() bool { return f.runsOf("long") >= 1 })
			signalled := time.Now()
			signals <- syscall.SIGTERM
			if c.again {
				time.Sleep(2 * time.Second)
				signals <- syscall.SIGTERM
			}
			r := <-answered
			took := time.Since(signalled)
			assert.Equal(t, r.Status, 504)
			assert.Assert(t, took > grace*5/6, "answered in the host's name after %s", took)
			assert.NilError(t, <-h.done)
			assert.Assert(t, time.Since(signalled) < grace, "ended after %s", time.Since(signalled))
		})
	}
}

// A repeated signal does not make the host cut short work that its grace time allows.
func TestSecondSignalLeavesRunningWorkItsTime(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.settings.Bounds.ShutdownGracePeriod = 4 * time.Second
	h.target.Work = 3 * time.Second
	signals := make(chan os.Signal, signalBuffer)
	go handleSignals(h.Host, signals, h.cancel)
	answered := make(chan standin.Result, 1)
	go func() {
		r, err := h.call(standin.Call{Attempt: "long", Method: "POST", URI: "/long/1", Key: testKey, Timeout: 8 * time.Second})
		if err != nil {
			t.Log(err)
		}
		answered <- r
	}()
	f.await("running", func() bool { return f.runsOf("long") == 1 })
	for range 3 {
		signals <- syscall.SIGTERM
		time.Sleep(500 * time.Millisecond)
	}
	assert.Equal(t, (<-answered).Status, 200)
}

func TestNotReadyWhileStopping(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	ask := func() int {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+h.settings.ReadinessListen+"/readiness", time.Second)
		assert.NilError(t, err)
		return status
	}
	assert.Equal(t, ask(), 200)
	h.cancel()
	f.await("not ready", func() bool { return ask() == 503 })
}

// A caller's disconnect cancels repeatable work.
func TestCallerDisconnectCancelsRepeatableWork(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.target.SetHanging(true)
	conn, err := net.Dial("tcp", h.settings.CallerListen)
	assert.NilError(t, err)
	bw := bufio.NewWriter(conn)
	var req fasthttp.Request
	standin.Call{Attempt: "g", Host: testHost, URI: "/read/1", Key: testKey, Timeout: 3 * time.Second}.Write(&req)
	assert.NilError(t, req.Write(bw))
	assert.NilError(t, bw.Flush())
	f.await("running", func() bool { return f.runsOf("g") == 1 })
	conn.Close()
	left := time.Now()
	f.await("slot free", func() bool { return h.gate.report().Running == 0 })
	assert.Assert(t, time.Since(left) < 500*time.Millisecond, "freed after %s", time.Since(left))
}
