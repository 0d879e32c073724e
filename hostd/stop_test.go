package hostd

import (
	"bufio"
	"fmt"
	"net"
	"sync"
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

// Guards against cutting a running request at the time limit counted from the
// first stop signal. The platform may repeat the signal and restarts its limit
// then.
func TestSecondSignalRestartsStopTimer(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.settings.Bounds.ShutdownGracePeriod = 4 * time.Second
	h.target.Work = 5 * time.Second
	answered := make(chan standin.Result, 1)
	go func() {
		r, err := h.call(standin.Call{Attempt: "long", Method: "POST", URI: "/long/1", Key: testKey, Timeout: 8 * time.Second})
		if err != nil {
			t.Log(err)
		}
		answered <- r
	}()
	f.await("running", func() bool { return f.runsOf("long") == 1 })
	h.cancel()
	time.Sleep(2 * time.Second)
	h.RestartStop()
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
