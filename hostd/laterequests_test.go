package hostd

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// keptCaller is a caller with a connection that is kept open.
type keptCaller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func newKeptCaller(t *testing.T, h *testHostd) *keptCaller {
	t.Helper()
	conn, err := net.Dial("tcp", h.settings.CallerListen)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &keptCaller{t: t, conn: conn, br: bufio.NewReader(conn)}
}

func (k *keptCaller) call(c standin.Call) (standin.Result, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	c.Write(&req)
	bw := bufio.NewWriter(k.conn)
	if err := req.Write(bw); err != nil {
		return standin.Result{}, err
	}
	if err := bw.Flush(); err != nil {
		return standin.Result{}, err
	}
	err := resp.Read(k.br)
	return standin.ReadResult(&resp), err
}

// Guards against orders that come late in the grace time, are passed on and are cut without
// an answer when the process ends.
func TestOrdersThatComeLateInAStopAreAnsweredOrNotPassedOn(t *testing.T) {
	const (
		work     = 2500 * time.Millisecond
		interval = 100 * time.Millisecond
		// lastPassedOn is when the platform's rules stop to excuse work that the end
		// of the process cuts.
		lastPassedOn = 3 * time.Second
	)
	f := newFleet(t, 2)
	h := f.hosts[0]
	var kept []*keptCaller
	for i := range int(h.settings.Bounds.ShutdownGracePeriod / interval) {
		k := newKeptCaller(t, h)
		r, err := k.call(standin.Call{Attempt: fmt.Sprintf("before-%d", i), Host: testHost, URI: "/read/1", Key: testKey, Timeout: 3 * time.Second})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, 200)
		kept = append(kept, k)
	}
	for _, other := range f.hosts {
		other.target.Work = work
	}
	signalled := time.Now()
	h.cancel()
	var calls sync.WaitGroup
	check := func(at time.Duration, id string, call func(standin.Call) (standin.Result, error)) {
		calls.Go(func() {
			time.Sleep(time.Until(signalled.Add(at)))
			r, err := call(standin.Call{Attempt: id, Method: "POST", Host: testHost, URI: "/long/1", Key: testKey, Timeout: 8 * time.Second})
			runs := f.runsOf(id)
			switch {
			case err != nil, r.Status == 503, at > lastPassedOn:
				if runs != 0 {
					t.Errorf("order sent %s after the signal ran %d times and ended with status %d, error %v", at, runs, r.Status, err)
				}
			case r.Status != 200 && r.Status != 504:
				t.Errorf("order sent %s after the signal: status %d", at, r.Status)
			}
		})
	}
	for i, k := range kept {
		at := time.Duration(i) * interval
		check(at, fmt.Sprintf("kept-%d", i), k.call)
		check(at, fmt.Sprintf("new-%d", i), h.call)
	}
	calls.Wait()
	assert.NilError(t, <-h.done)
	assert.Assert(t, time.Since(signalled) < h.settings.Bounds.ShutdownGracePeriod, "ended after %s", time.Since(signalled))
}
