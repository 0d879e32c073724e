package h1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/memory"
)

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
	const large, smallBytes = 4 << 20, 32 << 10
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			// What is above memory.SmallBytes finds room for two bodies, and their overhead.
			account := memory.NewAccount(memory.Limits{Bytes: 2*large + 2<<20, LargeBytes: 2*large + 1<<20, Connections: 100, CallerConnections: 100})
			block := make(chan struct{})
			s := New(Options{Memory: account, Handler: func(_ context.Context, x *Exchange) {
				if len(x.Request.Body()) > smallBytes {
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
			status, err := upload(l.Addr().String(), smallBytes, chunked)
			assert.NilError(t, err)
			assert.Equal(t, status, 200, "a small body has its place")
			close(block)
			for range 2 {
				if status := <-statuses; !chunked || status != fasthttp.StatusServiceUnavailable {
					assert.Equal(t, status, 200)
				}
			}
			assert.Assert(t, account.Stats().Peak <= 2*large+2<<20)
			for end := time.Now().Add(2 * time.Second); account.Stats().Used != 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes stay taken", account.Stats().Used)
			}
		})
	}
}

// A body whose sender leaves gives its memory back.
func TestBodyOfASenderThatLeavesIsReleased(t *testing.T) {
	account := memory.NewAccount(memory.Limits{Bytes: 1 << 30, LargeBytes: 1 << 30, Connections: 100, CallerConnections: 100})
	s := New(Options{Memory: account, Handler: func(context.Context, *Exchange) {}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l) //nolint:errcheck // ends with the listener
	defer l.Close()
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"} {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+head+string(make([]byte, 200_000)))
		assert.NilError(t, err)
		for end := time.Now().Add(2 * time.Second); account.Stats().Used < 100_000; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "nothing is taken")
		}
		conn.Close()
		for end := time.Now().Add(2 * time.Second); account.Stats().Used != 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d bytes stay taken", account.Stats().Used)
		}
	}
}
