package link_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/gooseberryshed/gooseberryshed/link"
	"gotest.tools/v3/assert"
)

// BenchmarkIdleConnection reports the memory of an idle connection in the pool.
// The figure includes the net.Conn of the other end, which is in the same process.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 2000
	for b.Loop() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		pool := link.New(link.Options{MaxIdlePerAddr: conns})
		before := memoryInUse()
		ends := make(chan net.Conn, conns)
		go serveOnce(ln, ends)
		openIdle(b, pool, ln.Addr().String(), conns)
		b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
		pool.Close()
		ln.Close()
		for range conns {
			(<-ends).Close()
		}
	}
}

// serveOnce responds to one request on each connection and retains no buffers.
func serveOnce(ln net.Listener, ends chan<- net.Conn) {
	buf := make([]byte, 1<<10)
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := c.Read(buf); err == nil {
			io.WriteString(c, okResponse) //nolint:errcheck
		}
		ends <- c
	}
}

// openIdle creates n idle connections. It waits for all response headers before it
// reads a body, so that each exchange needs its own connection.
func openIdle(b *testing.B, pool *link.Pool, addr string, n int) {
	b.Helper()
	bodies := make([]io.ReadCloser, n)
	var wg sync.WaitGroup
	limit := make(chan struct{}, 64)
	for i := range n {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			resp, err := pool.Do(context.Background(), addr, request("GET"), link.RequestOptions{})
			if err != nil {
				b.Error(err)
				return
			}
			bodies[i] = resp.Body
		})
	}
	wg.Wait()
	for _, body := range bodies {
		if body != nil {
			io.Copy(io.Discard, body) //nolint:errcheck
		}
	}
}

// memoryInUse returns the size of the live heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
