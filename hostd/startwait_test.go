package hostd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Guards against refusing the requests that arrive in the moment between the start of a
// host and its first read of the store: after a restart of the whole fleet these are
// all requests.
func TestRequestsWaitForAHostThatHasJustStarted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	h := f.hosts[0]
	h.cancel()
	<-h.done
	restart := func(away time.Duration) *testHostd {
		f.store.SetHostFault("", standin.ModeDown)
		h := f.start(h.settings, h.target)
		time.AfterFunc(away, func() { f.store.SetHostFault("", standin.ModeOK) })
		return h
	}
	started := restart(300 * time.Millisecond)
	r, err := started.call(standin.Call{Attempt: "w1", Method: "POST", URI: "/order/1", Key: testKey, Timeout: 6 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200)
	assert.Equal(t, f.runsOf("w1"), 1)
	started.cancel()
	<-started.done

	started = restart(time.Minute)
	for _, c := range []struct {
		timeout, within time.Duration
	}{{6 * time.Second, 2 * maxStartWait}, {time.Second, 500 * time.Millisecond}} {
		begun := time.Now()
		r, err = started.call(standin.Call{Attempt: "w2", Method: "POST", URI: "/order/1", Key: testKey, Timeout: c.timeout})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, 503, "a host without a configuration says that the request has not run")
		assert.Assert(t, time.Since(begun) < c.within, "refused after %s", time.Since(begun))
	}
	assert.Equal(t, f.runsOf("w2"), 0)
}
