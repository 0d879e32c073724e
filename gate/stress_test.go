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

// TestRandomDuplicatesCancellationsAndSettlements runs many callers that send
// duplicates, cancel at random and settle attempts, while retained responses
// expire and generations advance. No attempt may run twice or after "not run"
// was reported, and the target must never exceed its concurrency limit.
func TestRandomDuplicatesCancellationsAndSettlements(t *testing.T) {
	const callers, attempts, limit = 16, 40, 3
	var mu sync.Mutex
	runs := map[string]int{}
	var inFlight, maxInFlight atomic.Int64
	target := startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		n := inFlight.Add(1)
		defer inFlight.Add(-1)
		for m := maxInFlight.Load(); n > m && !maxInFlight.CompareAndSwap(m, n); m = maxInFlight.Load() {
		}
		mu.Lock()
		runs[string(rc.Request.Header.Peek("Gooseberryshed-Attempt"))]++
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		hello(rc)
	})
	f := start(t, target, "orders", func(o *gate.Options) {
		o.Clock = nil
		o.Linger = time.Minute
		o.NewLimiter = newFixedLimiter(limit)
		o.Ledger.Interval = 200 * time.Millisecond
		o.ReplayTTL = 5 * time.Millisecond
		o.AnnouncementTTL = time.Hour
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
	reportedNotRun := map[string]bool{}
	var wg sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(7, uint64(c)))
		wg.Go(func() {
			for range attempts {
				att := f.attempt()
				att.Idempotent = rng.IntN(4) == 0
				if sendRandomly(f, att, rng) {
					mu.Lock()
					reportedNotRun[att.ID.String()] = true
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
		assert.Assert(t, !reportedNotRun[id], "%s ran after \"not run\" was reported", id)
	}
	t.Logf("%d ran, %d were reported not run, at most %d in flight", len(runs), len(reportedNotRun), maxInFlight.Load())
	assert.Assert(t, maxInFlight.Load() <= limit)
	assert.Assert(t, len(runs) > 0 && len(reportedNotRun) > 0)
}

// sendRandomly sends up to two copies of an attempt, cancels some, settles
// some, and reports whether "not run" was definite. The refusal of one copy is
// definite only if there is no other copy.
func sendRandomly(f *fixture, att wire.Attempt, rng *rand.Rand) bool {
	copies := 1
	if !att.Idempotent && rng.IntN(3) == 0 {
		copies = 2
	}
	timeout := time.Duration(rng.IntN(12)) * time.Millisecond
	settle := rng.IntN(2) == 0
	results := make(chan *wire.Refusal, copies)
	for n := range copies {
		delay := time.Duration(n*rng.IntN(20)) * time.Millisecond
		go func() {
			time.Sleep(delay)
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			answer, err := f.Forward(ctx, att, newRequest())
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
