package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"gotest.tools/v3/assert"
)

const orderCount = 40

// sendOrder sends an order to each of the hosts in turn until one succeeds, and
// reports whether one did.
func sendOrder(f *harness.Fleet, key string, hosts ...int) bool {
	for _, h := range hosts {
		r := orderRequest()
		r.Host, r.IdempotencyKey, r.Timeout = h, key, 10*time.Second
		if f.Call(r).Succeeded() {
			return true
		}
	}
	return false
}

// forEachOrder calls send concurrently for each order, 10 ms apart.
func forEachOrder(send func(n int, key string)) {
	var wg sync.WaitGroup
	for n := range orderCount {
		wg.Go(func() { send(n, fmt.Sprintf("order-%d", n)) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

func TestOrderSentAgainElsewhereRunsOnce(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	forEachOrder(func(n int, key string) {
		var wg sync.WaitGroup
		for _, h := range []int{n % 6, (n + 1) % 6} {
			wg.Go(func() { sendOrder(f, key, h, (h+2)%6, (h+3)%6) })
		}
		wg.Wait()
	})
	before := len(f.Runs())
	forEachOrder(func(n int, key string) {
		assert.Check(t, sendOrder(f, key, (n+4)%6), "the response to an order that ran was not replayed")
	})
	assert.Equal(t, len(f.Runs()), before)
	f.Verify()
}

func TestIdempotencyKeyOfAnotherOrderIsRefused(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	r := orderRequest()
	r.IdempotencyKey = "o"
	assert.Assert(t, f.Call(r).Succeeded())
	r.Body, r.Host = "two trays", 1
	c := f.Call(r)
	assert.Equal(t, c.Status, 422)
	assert.Equal(t, c.RunState, "not-run")
	r.Workspace = "w2"
	assert.Assert(t, f.Call(r).Succeeded(), "idempotency keys of different workspaces must not collide")
	f.Verify()
}

func TestOrdersRunOnceThoughDaemonsDie(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	slow := orderRequest()
	slow.Query = "work_ms=150"
	stop := f.StartLoad(harness.Load{Rate: 60, Request: slow})
	var wg sync.WaitGroup
	wg.Go(func() {
		forEachOrder(func(n int, key string) { sendOrder(f, key, n%6, (n+1)%6, (n+2)%6) })
	})
	for _, i := range []int{0, 1, 2} {
		pause(500 * time.Millisecond)
		f.Hosts[i].Daemon.Kill()
		pause(500 * time.Millisecond)
		f.StartDaemon(f.Hosts[i])
	}
	wg.Wait()
	stop()
	calls, _ := f.Verify()
	t.Log(countByResult(calls))
}

func TestOrdersRunOnceWhenTableRepliesAreLost(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	f.SetPlatformMode("lose-replies")
	forEachOrder(func(n int, key string) { sendOrder(f, key, n%6, (n+1)%6) })
	f.SetPlatformMode("ok")
	lost := 0
	forEachOrder(func(n int, key string) {
		if !sendOrder(f, key, n%6, (n+2)%6, (n+4)%6) {
			lost++
		}
	})
	calls, runs := f.Verify()
	t.Log(countByResult(calls))
	t.Logf("%d of %d orders succeeded, %d runs", orderCount-lost, orderCount, len(runs))
}

func TestKeyedOrdersAreRefusedWhileTheTableIsOut(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	f.SetPlatformMode("down")
	forEachOrder(func(n int, key string) { sendOrder(f, key, n%6) })
	refused := f.Calls()
	for _, c := range refused {
		assert.Equal(t, c.RunState, "not-run", "%+v", c)
	}
	f.SetPlatformMode("ok")
	forEachOrder(func(n int, key string) {
		assert.Check(t, sendOrder(f, key, n%6, (n+1)%6, (n+2)%6), "an order refused as not run did not succeed when sent again")
	})
	f.Verify()
}

func TestNotRunIsTrueUnderFaults(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	stop := f.StartLoad(harness.Load{Rate: 120, Request: orderRequest()})
	h := f.Hosts
	for _, fault := range []struct{ set, heal func() }{
		{func() { f.Fabric.Partition(h[0].Name, h[1].Name, 1) }, func() { f.Fabric.Heal(h[0].Name, h[1].Name) }},
		{func() { f.Fabric.Partition(h[2].Name, h[3].Name, 0) }, func() { f.Fabric.Heal(h[2].Name, h[3].Name) }},
		{func() { f.Fabric.Blackhole(h[4].Name, h[5].Name) }, func() {}},
		{h[1].Daemon.Suspend, h[1].Daemon.Resume},
		{h[3].Target.Suspend, h[3].Target.Resume},
		{h[5].Target.Kill, func() { f.StartTarget(h[5], 0) }},
		{h[4].Daemon.Kill, func() { f.StartDaemon(h[4]) }},
	} {
		fault.set()
		pause(1500 * time.Millisecond)
		fault.heal()
		pause(300 * time.Millisecond)
	}
	stop()
	calls, _ := f.Verify()
	t.Log(countByResult(calls))
	served := trace.CountByWorkspace(calls)["w1"]
	t.Logf("fraction served %.3f of %d requests", served.SuccessRatio(), served.Sent)
}

func TestDelayedRequestsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{
		Config: harness.Config(nil, harness.ServiceSpec{"timeout: 4s"}),
	})
	stop := f.StartLoad(harness.Load{Rate: 80, Request: orderRequest()})
	stopKeyed := f.StartLoad(harness.Load{Rate: 20, UniqueIdempotencyKeys: true, Request: orderRequest()})
	pause(time.Second)
	// Traffic from these hosts arrives after its senders have timed out.
	const delayMS = 6000
	f.Fabric.Delay(f.Hosts[0].Name, f.Hosts[3].Name, delayMS)
	f.Fabric.Delay(f.Hosts[1].Name, f.Hosts[4].Name, delayMS)
	f.Fabric.Delay(f.Hosts[5].Name, f.Hosts[2].Name, delayMS)
	pause(5 * time.Second)
	stop()
	stopKeyed()
	pause(delayMS * time.Millisecond)
	calls, _ := f.Verify()
	t.Log(countByResult(calls))
}

func TestOrdersRunOnceWhenDaemonsAreSuspended(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{})
	var wg sync.WaitGroup
	send := func(first int) {
		forEachOrder(func(n int, key string) {
			sendOrder(f, key, (first+n)%6, (first+n+1)%6, (first+n+2)%6)
		})
	}
	for round := range 2 {
		wg.Go(func() { send(3 * round) })
		for _, h := range f.Hosts[2*round : 2*round+2] {
			pause(100 * time.Millisecond)
			h.Daemon.Suspend()
		}
		// Longer than the claims, the leases and the timeouts of the callers.
		pause(12 * time.Second)
		for _, h := range f.Hosts[2*round : 2*round+2] {
			h.Daemon.Resume()
		}
		wg.Wait()
	}
	calls, runs := f.Verify()
	t.Logf("%d runs; %v", len(runs), countByResult(calls))
}
