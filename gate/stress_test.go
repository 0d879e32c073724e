package gate_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestStress lets many callers send copies, give up at random, and settle,
// while kept answers expire and generations pass. No order may run twice or
// behind a "not run", and the target never bears more than its limit.
func TestStress(t *testing.T) {
	const callers, attempts, limit = 16, 40, 3
	var mu sync.Mutex
	runs := map[string]int{}
	var bearing, most atomic.Int64
	b := startBackend(t, func(rc *fasthttp.RequestCtx) {
		n := bearing.Add(1)
		defer bearing.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		mu.Lock()
		runs[string(rc.Request.Header.Peek("Gooseberryshed-Attempt"))]++
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		hello(rc)
	})
	f := start(t, b, "orders", func(o *gate.Options) {
		o.Clock = nil
		o.Linger = time.Minute
		o.NewLimiter = fixedLimit(limit)
		o.Ledger.Interval = 200 * time.Millisecond
		o.KeepFor = 5 * time.Millisecond
		o.Permission = time.Hour
	})
	stop := make(chan struct{})
	var ticker sync.WaitGroup
	ticker.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				f.Tick(time.Now())
			}
		}
	})
	denied := map[string]bool{}
	var wg sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(7, uint64(c)))
		wg.Go(func() {
			for range attempts {
				att := f.attempt()
				att.Idempotent = rng.IntN(4) == 0
				if sendSomehow(f, att, rng) {
					mu.Lock()
					denied[att.ID.String()] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	assert.NilError(t, f.Drain(context.Background()))
	close(stop)
	ticker.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		assert.Assert(t, n == 1, "%s ran %d times", id, n)
		assert.Assert(t, !denied[id], "%s ran behind a \"not run\"", id)
	}
	t.Logf("%d ran, %d were denied, at most %d at once", len(runs), len(denied), most.Load())
	assert.Assert(t, most.Load() <= limit)
	assert.Assert(t, len(runs) > 0 && len(denied) > 0)
}

// sendSomehow sends up to two copies of an attempt, gives some up, settles
// some, and reports whether the caller was told "not run" for good. The
// refusal of one copy says so only when there is no other.
func sendSomehow(f *fixture, att wire.Attempt, rng *rand.Rand) bool {
	copies := 1
	if !att.Idempotent && rng.IntN(3) == 0 {
		copies = 2
	}
	patience := time.Duration(rng.IntN(12)) * time.Millisecond
	settle := rng.IntN(2) == 0
	results := make(chan *wire.Refusal, copies)
	for n := range copies {
		delay := time.Duration(n*rng.IntN(20)) * time.Millisecond
		go func() {
			time.Sleep(delay)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			answer, err := f.Forward(ctx, att, order())
			if err == nil {
				answer.Body.Close()
			}
			results <- wire.AsRefusal(err)
		}()
	}
	notRun := false
	if settle {
		state, _ := f.Settle(context.Background(), att.ID, att.Epoch)
		notRun = state == wire.NotRun
	}
	for range copies {
		ref := <-results
		if ref != nil && ref.Run == wire.NotRun && copies == 1 {
			notRun = true
		}
	}
	return notRun
}
