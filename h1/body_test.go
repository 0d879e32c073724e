package h1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// testBudget is a Budget that records its maximum.
type testBudget struct {
	limit      int64
	used, peak atomic.Int64
}

func (b *testBudget) Take(n int64) bool {
	used := b.used.Add(n)
	if used > b.limit {
		b.used.Add(-n)
		return false
	}
	for p := b.peak.Load(); used > p && !b.peak.CompareAndSwap(p, used); p = b.peak.Load() {
	}
	return true
}

func (b *testBudget) Release(n int64) { b.used.Add(-n) }

// upload sends a request with a body of n bytes and returns the status of the response.
func upload(addr string, n int, chunked bool) (int, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	req := &fasthttp.Request{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	if chunked {
		req.SetBodyStream(bytes.NewReader(make([]byte, n)), -1)
	} else {
		req.SetBodyRaw(make([]byte, n))
	}
	go func() {
		bw := bufio.NewWriter(conn)
		if req.Write(bw) == nil {
			bw.Flush() //nolint:errcheck // the response shows the result
		}
	}()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	resp := &fasthttp.Response{}
	err = resp.Read(bufio.NewReader(conn))
	return resp.StatusCode(), err
}

// Requests within the limit of a body exceeded the memory of the process together.
func TestBodiesShareABudget(t *testing.T) {
	const large = 4 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			budget := &testBudget{limit: 2 * large}
			block := make(chan struct{})
			s := New(Options{Bodies: budget, Handler: func(_ context.Context, x *Exchange) {
				if len(x.Request.Body()) > smallBodyBytes {
					<-block
				}
			}})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go s.Serve(l) //nolint:errcheck // ends with the listener
			defer l.Close()
			statuses := make(chan int, 6)
			for range cap(statuses) {
				go func() {
					status, err := upload(l.Addr().String(), large, chunked)
					if err != nil {
						status = -1
					}
					statuses <- status
				}()
			}
			refused := 0
			for refused < cap(statuses)-2 {
				assert.Equal(t, <-statuses, fasthttp.StatusServiceUnavailable)
				refused++
			}
			status, err := upload(l.Addr().String(), smallBodyBytes, chunked)
			assert.NilError(t, err)
			assert.Equal(t, status, 200, "a small body has its place")
			close(block)
			for range 2 {
				if status := <-statuses; !chunked || status != fasthttp.StatusServiceUnavailable {
					assert.Equal(t, status, 200)
				}
			}
			assert.Assert(t, budget.peak.Load() <= budget.limit)
			for end := time.Now().Add(2 * time.Second); budget.used.Load() != 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes stay taken", budget.used.Load())
			}
		})
	}
}

// A body whose sender leaves gives its memory back.
func TestBodyOfASenderThatLeavesIsReleased(t *testing.T) {
	budget := &testBudget{limit: 1 << 30}
	s := New(Options{Bodies: budget, Handler: func(context.Context, *Exchange) {}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l) //nolint:errcheck // ends with the listener
	defer l.Close()
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"} {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+head+string(make([]byte, 200_000)))
		assert.NilError(t, err)
		for end := time.Now().Add(2 * time.Second); budget.used.Load() == 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "nothing is taken")
		}
		conn.Close()
		for end := time.Now().Add(2 * time.Second); budget.used.Load() != 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d bytes stay taken", budget.used.Load())
		}
	}
}
