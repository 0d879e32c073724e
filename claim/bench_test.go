package claim

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// BenchmarkGroupCommit measures the transactions and rows written per keyed
// request (one claim and one response), for several degrees of concurrency,
// with and without batching.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []int{1, DefaultMaxBatch} {
		for _, atOnce := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("batch=%d/at-once=%d", batch, atOnce), func(b *testing.B) {
				benchGroupCommit(b, batch, atOnce)
			})
		}
	}
}

func benchGroupCommit(b *testing.B, batch, atOnce int) {
	s := New(newFakeTable(), Options{MaxBatch: batch})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var waited time.Duration
	next := make(chan int)
	for range atOnce {
		wg.Go(func() {
			for i := range next {
				start := time.Now()
				res, err := s.Begin(ctx, Request{Workspace: "parish", Key: fmt.Sprint(i)}, attempt("a"))
				if err != nil {
					b.Error(err)
					continue
				}
				mu.Lock()
				waited += time.Since(start)
				mu.Unlock()
				if err := res.Claim.Finish(ctx, StoredResponse{Status: 201}); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	st := s.Stats()
	n := float64(b.N)
	b.ReportMetric(float64(st.Transactions)/n, "txns/request")
	b.ReportMetric(float64(st.Rows)/n, "rows/request")
	b.ReportMetric(float64(st.Reads)/n, "reads/request")
	b.ReportMetric(n/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(waited.Microseconds())/n, "begin-µs")
}
