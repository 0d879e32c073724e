package gate_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func TestQueueSharesSlotsBetweenWorkspaces(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	var order []string
	target := startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		mu.Lock()
		order = append(order, string(rc.Request.Header.Peek("Gooseberryshed-Workspace")))
		mu.Unlock()
		<-release
	})
	f := start(t, target, "orders", func(o *gate.Options) { o.NewLimiter = newFixedLimiter(1) })
	var wg sync.WaitGroup
	send := func(workspace string, waiting int64) {
		att := f.attempt()
		att.Workspace = workspace
		wg.Go(func() { f.forward(att) })
		for f.Stats().Waiting < waiting || f.Stats().InFlight < 1 {
			time.Sleep(time.Millisecond)
		}
	}
	for i := range int64(4) {
		send("large", i)
	}
	send("small", 4)
	close(release)
	wg.Wait()
	assert.DeepEqual(t, order, []string{"large", "large", "small", "large", "large"})
}

func TestBusyIsNotRun(t *testing.T) {
	release := make(chan struct{})
	f := start(t, startFakeTarget(t, func(*fasthttp.RequestCtx) { <-release }), "orders", nil)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(release)
	for range 1 + services["orders"].Queue {
		wg.Go(func() { f.forward(f.attempt()) })
	}
	for f.Stats().Waiting < int64(services["orders"].Queue) {
		time.Sleep(time.Millisecond)
	}
	att := f.attempt()
	_, ref := f.forward(att)
	assertRefused(t, ref, wire.ReasonBusy, wire.NotRun)
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
}

// TestSettledAttemptIsNotDispatchedFromQueue checks that a queued attempt that
// is settled as not run is not dispatched when a slot becomes free.
func TestSettledAttemptIsNotDispatchedFromQueue(t *testing.T) {
	release := make(chan struct{})
	target := startFakeTarget(t, func(*fasthttp.RequestCtx) { <-release })
	f := start(t, target, "orders", nil)
	var wg sync.WaitGroup
	wg.Go(func() { f.forward(f.attempt()) })
	for target.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	att := f.attempt()
	waited := make(chan *wire.Refusal, 1)
	go func() {
		_, ref := f.forward(att)
		waited <- ref
	}()
	for f.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
	close(release)
	assertRefused(t, <-waited, wire.ReasonSettled, wire.NotRun)
	wg.Wait()
	assert.Equal(t, target.runs(), 1)
}
