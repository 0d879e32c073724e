package forward_test

import (
	"context"
	"io"
	"runtime"
	"sync"
	"testing"

	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// BenchmarkIdlePeer reports the memory use of an idle connection between daemons
// that has served one attempt. Both ends are included.
func BenchmarkIdlePeer(b *testing.B) {
	const conns = 1000
	for b.Loop() {
		var together sync.WaitGroup
		together.Add(conns)
		addr, _ := serve(b, forward.ServerOptions{Forwarder: forwarderFunc(
			func(context.Context, wire.Attempt, *fasthttp.Request) (*wire.Response, error) {
				together.Done()
				together.Wait() // forces one connection per attempt
				return responseWith(emptyReader{}, 0), nil
			})})
		c := forward.NewClient(forward.ClientOptions{
			Address: func(string) (string, bool) { return addr, true },
			Secrets: []string{"new"},
			Pool:    link.Options{MaxIdlePerAddr: conns},
		})
		before := memory()
		var wg sync.WaitGroup
		for range conns {
			wg.Go(func() {
				answer, err := c.Forward(context.Background(), "h", attempt(), request())
				if assert.Check(b, err) {
					answer.Body.Close()
				}
			})
		}
		wg.Wait()
		b.ReportMetric(float64(memory()-before)/conns, "B/conn")
		c.Close()
	}
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// memory returns the size of the live heap and the stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
