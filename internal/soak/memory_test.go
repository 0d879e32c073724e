package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// memorySeeds is the first seed whose daemons also restart with facts in memory that
	// the store does not have: departures in an outage, and requests that crash targets.
	memorySeeds = 20000
	// departureShare and crashShare are the shares of the faults that these follow.
	departureShare = 0.15
	crashShare     = 0.25
	// outageAfterStart is how long the store stays away from a daemon that has restarted.
	outageAfterStart = time.Second
	// inTouchAfter is how long after the last fault all hosts are in touch.
	inTouchAfter = 3 * time.Second
	// lateCrashes is how many requests that crash targets may still reach one after that.
	lateCrashes = 3
)

// testMemory makes a daemon restart with a departure that the store does not have, or sends a
// request that crashes its target.
func (r *run) testMemory(h *host, n int) {
	if r.seed < memorySeeds {
		return
	}
	rnd := rand.New(rand.NewPCG(r.seed, uint64(n)<<48))
	switch p := rnd.Float64(); {
	case p < departureShare:
		r.departInOutage(h)
	case p < departureShare+crashShare:
		r.crash(h, fmt.Sprint("crash-", n))
		r.recordEvent("request that crashes targets at %s, %d crashes so far", h.set.Host, r.crashes())
	}
}

// departInOutage has a target sign off at a daemon that is cut off from the store and then
// restarted.
func (r *run) departInOutage(h *host) {
	r.f.store.SetHostFault(h.set.IP, standin.ModeSilent)
	r.recordEvent("target of %s signs off without the store, and its daemon restarts: %s", h.set.Host, r.signOff(h))
	h.restart()
	time.Sleep(outageAfterStart)
	r.f.store.SetHostFault(h.set.IP, standin.ModeOK)
}

// crash sends a request that crashes the target that runs it, and starts that target again.
func (r *run) crash(h *host, attempt string) {
	c := call{Call: standin.Call{Attempt: attempt, Method: "POST", Host: shopHost, URI: "/order/1", Key: r.currentKey(),
		Body: standin.CrashMarker, Timeout: time.Second}, sent: time.Now()}
	c.result, c.err = c.Do(h.set.CallerListen)
	c.ended = time.Now()
	r.mu.Lock()
	r.calls = append(r.calls, c)
	r.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // the gate probes a target after 30 ms
	for _, each := range r.f.hosts {
		if conn, err := net.Dial("tcp", each.set.TargetAddress); err == nil {
			conn.Close()
		} else {
			each.restartTarget()
		}
	}
}

// crashes returns how many targets have crashed.
func (r *run) crashes() int {
	n := 0
	for _, h := range r.f.hosts {
		for _, target := range h.targets {
			for _, seen := range target.Runs() {
				if seen.Body == standin.CrashMarker {
					n++
				}
			}
		}
	}
	return n
}

// checkCrashes checks that a request which has crashed three targets reaches hardly any more,
// whatever has restarted since.
func (r *run) checkCrashes(t *testing.T) {
	before := r.crashes()
	if r.seed < memorySeeds || before < 3 {
		return
	}
	time.Sleep(inTouchAfter)
	for range 2 {
		for i, h := range r.f.hosts {
			r.crash(h, fmt.Sprint("crash-late-", i, "-", time.Now().UnixNano()))
		}
	}
	late := r.crashes() - before
	t.Logf("%d targets crashed, and %d later", before, late)
	if late > lateCrashes {
		t.Errorf("a request that had crashed %d targets reached %d more, %d may", before, late, lateCrashes)
	}
}
