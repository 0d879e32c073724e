package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// endlessAnswers are the beginnings of answers that do not end, and what follows.
var endlessAnswers = [][2]string{
	{"", "garbage "},
	{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	{standin.SignedHead + "Connection: close\r\n\r\n", "x"},
	{standin.SignedHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{standin.SignedHead + "Content-Length: 2\r\n\r\nok", "more"},
}

// serveEndless answers each connection with another of the endless answers until the
// caller closes.
func serveEndless(t *testing.T, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answer := endlessAnswers[n%len(endlessAnswers)]
			go func() {
				defer c.Close()
				c.Read(make([]byte, 4096)) //nolint:errcheck // only starts the answer
				data := append([]byte(answer[0]), bytes.Repeat([]byte(answer[1]), 8<<10)...)
				for rest := data; ; rest = data[len(answer[0]):] {
					if _, err := c.Write(rest); err != nil {
						return
					}
				}
			}()
		}
	}()
}

// residentBytes returns the memory of the daemon's process.
func (h *host) residentBytes(t *testing.T) int64 {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			assert.NilError(t, err)
			return kib << 10
		}
	}
	return 0
}

// A target that sends bytes without end, which are no answer, must not use up the memory of
// the daemon beside it and with it the requests of other callers.
func TestTargetThatSendsWithoutEndDoesNotEndItsDaemon(t *testing.T) {
	const (
		callers  = 12
		duration = 6 * time.Second
	)
	r := scenario(t, endlessSeed, 2)
	faulty := r.f.hosts[0]
	faulty.mu.Lock()
	faulty.target.Close()
	pid := faulty.cmd.Process.Pid
	faulty.mu.Unlock()
	serveEndless(t, faulty.set.TargetAddress)

	var calls sync.WaitGroup
	var served, unanswered, sent atomic.Int64
	end := time.Now().Add(duration)
	for i := range callers {
		h := r.f.hosts[i%2]
		calls.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id, uri := fmt.Sprintf("e%d-%d", i, n), "/order/1"
				if n%2 == 0 {
					uri = "/read/1"
				}
				sent.Add(1)
				res, err := r.order(h, id, uri, firstKey, 2*time.Second)
				switch {
				case err != nil:
					unanswered.Add(1)
				case res.Status == 200:
					served.Add(1)
				}
			}
		})
	}
	peak := int64(0)
	for time.Now().Before(end) {
		peak = max(peak, faulty.residentBytes(t))
		time.Sleep(10 * time.Millisecond)
	}
	calls.Wait()
	t.Logf("%d calls, %d served, %d MB at the peak", sent.Load(), served.Load(), peak>>20)
	assert.Assert(t, faulty.running(), "the daemon has ended")
	assert.Equal(t, faulty.cmd.Process.Pid, pid)
	assert.Assert(t, peak < int64(faulty.set.MemoryBytes), "%d bytes", peak)
	assert.Equal(t, unanswered.Load(), int64(0))
	assert.Assert(t, served.Load() > sent.Load()/2, "%d of %d calls were served", served.Load(), sent.Load())
}
