package hostd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// restart ends a host's daemon and starts it again beside the same target.
func (f *testFleet) restart(i int) {
	f.t.Helper()
	old := f.hosts[i]
	old.cancel()
	assert.NilError(f.t, <-old.done)
	f.hosts[i] = f.start(old.settings, old.target)
	f.awaitServing(i)
}

func (f *testFleet) awaitServing(i int) {
	f.t.Helper()
	f.await("the daemon serves", func() bool {
		h := f.hosts[i]
		return h.control.View().Ready() && h.control.proven() && len(h.control.View().Targets("svc")) == len(f.hosts)
	})
}

// crashTarget sends the request that crashes targets at a host, which is not refused, and
// starts the target again.
func (f *testFleet) crashTarget(i int, attempt string) {
	f.t.Helper()
	deaths := map[*testHostd]int{}
	for _, h := range f.hosts {
		deaths[h] = h.logs.count("death")
	}
	r, err := f.hosts[i].call(standin.Call{Attempt: attempt, Method: "POST", URI: "/order/1", Key: testKey, Body: standin.CrashMarker})
	assert.NilError(f.t, err)
	assert.Assert(f.t, !strings.Contains(r.Body, "quarantined"), "%s", r.Body)
	for n, h := range f.hosts {
		if conn, err := net.Dial("tcp", h.settings.TargetAddress); err == nil {
			conn.Close()
			continue
		}
		f.await("the death is recorded", func() bool { return h.logs.count("death") > deaths[h] })
		target, err := standin.StartTarget(fmt.Sprintf("i-%d-%s", n+1, attempt), "svc", h.settings.TargetAddress, 4, 20*time.Millisecond)
		assert.NilError(f.t, err)
		f.t.Cleanup(target.Close)
		h.target = target
		status, err := target.Announce(h.settings.AnnounceListen, "dc-a", "ready")
		assert.NilError(f.t, err)
		assert.Equal(f.t, status, 200)
	}
}

func (f *testFleet) refusesCrash(i int, attempt string) bool {
	f.t.Helper()
	r, err := f.hosts[i].call(standin.Call{Attempt: attempt, Method: "POST", URI: "/order/1", Key: testKey, Body: standin.CrashMarker})
	assert.NilError(f.t, err)
	return r.Status == 503 && strings.Contains(r.Body, "quarantined")
}

// A request that crashes targets is refused after the third crash, also if all daemons are
// restarted in turn in between, and stays refused if they are restarted again (review/8).
func TestQuarantineOutlivesEveryDaemon(t *testing.T) {
	f := newFleet(t, 3)
	for _, h := range f.hosts {
		h.settings.Bounds.ShutdownGracePeriod = time.Second
	}
	f.crashTarget(0, "first")
	f.crashTarget(1, "second")
	for i := range f.hosts {
		f.restart(i)
	}
	f.crashTarget(2, "third")
	f.await("all hosts know the third crash", func() bool {
		for _, h := range f.hosts {
			if h.logs.count("quarantine") == 0 {
				return false
			}
		}
		return true
	})
	for i := range f.hosts {
		f.restart(i)
		assert.Assert(t, f.refusesCrash(i, fmt.Sprint("after-restart-", i)))
	}
}

// A host that is cut off while targets crash learns of it when it can be reached again.
func TestCrashesAreToldToAHostThatWasCutOff(t *testing.T) {
	f := newFleet(t, 3)
	f.freeze("host-3")
	for i := range quarantineDeaths {
		f.hosts[0].crashes.reportDeath("i-9", int64(i), []uint64{7})
	}
	assert.Equal(t, f.hosts[0].crashes.registry.Check(time.Now(), 7).Level, suspect.Quarantined)
	f.await("a host in touch knows", func() bool { return f.hosts[1].crashes.quarantined(context.Background(), 7) })
	assert.Assert(t, !f.hosts[2].crashes.quarantined(context.Background(), 7))
	f.thaw("host-3")
	f.await("the host that was cut off knows", func() bool { return f.hosts[2].crashes.quarantined(context.Background(), 7) })
}

// A request that merely ran beside one that crashes targets is cleared, at all hosts, when
// it is served.
func TestServedRequestIsClearedOfDeaths(t *testing.T) {
	f := newFleet(t, 2)
	var req fasthttp.Request
	req.Header.SetMethod("GET")
	req.Header.SetHost(testHost)
	req.Header.SetRequestURI("/read/1")
	fp := fingerprintOf(&req, testWorkspace)
	levels := func() (out []suspect.Level) {
		for _, h := range f.hosts {
			out = append(out, h.crashes.registry.Check(time.Now(), fp).Level)
		}
		return out
	}
	for i := range quarantineDeaths - 1 {
		f.hosts[0].crashes.reportDeath("i-9", int64(i), []uint64{fp})
	}
	f.await("both hosts suspect the request", func() bool {
		l := levels()
		return l[0] == suspect.Suspected && l[1] == suspect.Suspected
	})
	r, err := f.hosts[1].call(standin.Call{Attempt: "served", Method: "GET", URI: "/read/1", Key: testKey})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200)
	f.await("both hosts clear the request", func() bool {
		l := levels()
		return l[0] == suspect.Clear && l[1] == suspect.Clear
	})
	f.hosts[0].crashes.reportDeath("i-9", 100, []uint64{fp})
	assert.Equal(t, levels()[0], suspect.Suspected)
}
