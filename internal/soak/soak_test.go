package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

var (
	seedFlag  = flag.Uint64("soak.seed", 0, "seed of the run; 0 plays the kept seeds")
	timeFlag  = flag.Duration("soak.time", 12*time.Second, "how long faults are injected")
	hostsFlag = flag.Int("soak.hosts", 4, "number of daemons")
)

// Bounds of the promises, as the platform states them.
const (
	revokeWithin = 5 * time.Second
	stopWithin   = 6 * time.Second
	recoverIn    = 15 * time.Second
)

// kept are seeds that are played in CI: one that is usual, and those that ever
// failed, each with its cause.
var kept = []uint64{1}

// call is what a caller sent and got.
type call struct {
	standin.Call
	sent   time.Time
	result standin.Result
	err    error
}

// run is one run of the soak.
type run struct {
	f        *fleet
	rnd      *rand.Rand
	begun    time.Time
	schedule []string

	mu      sync.Mutex
	calls   []call
	revoked time.Time
	key     string
}

func TestSoak(t *testing.T) {
	program := build(t)
	seeds := kept
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func soak(t *testing.T, program string, seed uint64) {
	t.Logf("seed %d, %s of faults, %d hosts", seed, *timeFlag, *hostsFlag)
	r := &run{f: newFleet(t, program, seed, *hostsFlag), rnd: rand.New(rand.NewPCG(seed, seed)), key: firstKey}
	done := make(chan struct{})
	var background sync.WaitGroup
	for _, h := range r.f.hosts {
		background.Go(func() { h.beat(done) })
	}
	r.awaitService(t, "service at the start")
	r.begun = time.Now()
	for i, h := range r.f.hosts {
		background.Go(func() { r.callers(h, i, done) })
		background.Go(func() { r.pipelined(t, h, i, done) })
	}
	r.faults()
	r.calm()
	r.awaitService(t, "service after the faults")
	close(done)
	background.Wait()
	r.check(t)
	if t.Failed() {
		t.Logf("schedule:\n%s", strings.Join(r.schedule, "\n"))
		r.keepLogs(t, seed)
	}
}

// keepLogs copies the daemons' logs out of the test's folder.
func (r *run) keepLogs(t *testing.T, seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	for _, h := range r.f.hosts {
		data, err := os.ReadFile(h.logs.Name())
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, filepath.Base(h.logs.Name())), data, 0o600))
	}
	t.Logf("logs are in %s", dir)
}

// awaitService waits until every host has served an order and a read.
func (r *run) awaitService(t *testing.T, what string) {
	t.Helper()
	deadline := time.Now().Add(recoverIn)
	for _, h := range r.f.hosts {
		for n := 0; ; n++ {
			c := standin.Call{Attempt: fmt.Sprintf("await-%s-%d-%d", h.set.Host, time.Now().UnixNano(), n), Method: "POST",
				Host: shopHost, URI: "/order/1", Key: r.currentKey(), Timeout: time.Second}
			if res, err := c.Do(h.set.CallerListen); err == nil && res.Status == 200 {
				break
			} else if time.Now().After(deadline) {
				t.Errorf("%s: %s answers %d (%v) after %s", what, h.set.Host, res.Status, err, recoverIn)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (r *run) currentKey() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.key
}

// callers sends orders and reads to one host, with both keys, until done.
func (r *run) callers(h *host, n int, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(n), 7))
	var each sync.WaitGroup
	defer each.Wait()
	for i := 0; ; i++ {
		c := call{Call: standin.Call{Attempt: fmt.Sprintf("%s-%d", h.set.Host, i), Method: "GET", Host: shopHost, URI: "/read/1",
			Key: firstKey, Timeout: 2 * time.Second}}
		if rnd.IntN(2) == 0 {
			c.Method, c.URI, c.Body = "POST", "/order/1", "order "+c.Attempt
		}
		if rnd.IntN(2) == 0 {
			c.Key = r.currentKey()
		}
		each.Go(func() {
			c.sent = time.Now()
			c.result, c.err = c.Do(h.set.CallerListen)
			r.mu.Lock()
			r.calls = append(r.calls, c)
			r.mu.Unlock()
		})
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+rnd.IntN(60)) * time.Millisecond):
		}
	}
}

// faults injects faults, some of them together, for the run's time.
func (r *run) faults() {
	end := time.Now().Add(*timeFlag)
	for n := 2; time.Now().Before(end); n++ {
		h := r.f.hosts[r.rnd.IntN(len(r.f.hosts))]
		r.inject(h, n)
		time.Sleep(time.Duration(r.rnd.IntN(1200)) * time.Millisecond)
	}
}

func (r *run) note(format string, args ...any) {
	r.schedule = append(r.schedule, fmt.Sprintf("%6.2f s ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// linkDelay in milliseconds is several times the way between data centres.
const linkDelay = 120

// inject makes one thing go wrong, or right again.
func (r *run) inject(h *host, n int) {
	other := r.f.hosts[r.rnd.IntN(len(r.f.hosts))]
	switch r.rnd.IntN(16) {
	case 0:
		r.note("kill %s", h.set.Host)
		h.signal(syscall.SIGKILL)
	case 1:
		r.note("stop %s", h.set.Host)
		h.signal(syscall.SIGTERM)
	case 2:
		r.note("freeze %s", h.set.Host)
		h.signal(syscall.SIGSTOP)
	case 3, 4:
		r.note("wake and start all")
		for _, each := range r.f.hosts {
			each.signal(syscall.SIGCONT)
			each.start()
		}
	case 5:
		fault := standin.Modes[r.rnd.IntN(len(standin.Modes))]
		r.note("store: fault %s for %s", fault, h.set.IP)
		r.f.store.SetHostFault(h.set.IP, fault)
	case 6:
		fault := standin.Modes[r.rnd.IntN(len(standin.Modes))]
		r.note("store: fault %s for all", fault)
		r.f.store.SetHostFault("", fault)
	case 7:
		r.note("store: whole again")
		r.f.store.SetHostFault("", standin.ModeOK)
	case 8:
		on := r.rnd.IntN(2) == 0
		r.note("target of %s hangs: %v", h.set.Host, on)
		h.current().SetHanging(on)
	case 9:
		r.note("new target at %s", h.set.Host)
		h.renewTarget()
	case 10:
		r.note("configuration %d, history dropped", n)
		r.f.configure(n, r.currentKey())
		r.f.store.DropHistory()
	case 12:
		way := fabric.Way(r.rnd.IntN(2))
		r.note("cut %s and %s (one way: %v)", h.set.Host, other.set.Host, way == fabric.OneWay)
		r.f.cut(h, other, way)
	case 13:
		r.note("cut %s from the store, or delay it", h.set.Host)
		if r.rnd.IntN(2) == 0 {
			r.f.links.Cut(h.set.Host, storeHost, fabric.Way(r.rnd.IntN(2)))
		} else {
			r.f.links.Delay(storeHost, h.set.Host, linkDelay)
		}
	case 14:
		r.note("connections of %s and %s fall silent, new ones are slow", h.set.Host, other.set.Host)
		r.f.links.Silence(h.set.Host, other.set.Host)
		r.f.links.Silence(h.set.Host, storeHost)
		r.f.links.Delay(h.set.Host, other.set.Host, linkDelay)
	case 15:
		r.note("all links whole again")
		r.f.heal()
	case 11:
		r.note("key replaced")
		r.mu.Lock()
		r.f.configure(n, secondKey)
		if r.key == firstKey {
			r.key, r.revoked = secondKey, time.Now()
		}
		r.mu.Unlock()
	}
}

func (h *host) current() *standin.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

// calm ends all faults.
func (r *run) calm() {
	r.note("calm")
	r.f.heal()
	r.f.store.SetHostFault("", standin.ModeOK)
	for _, h := range r.f.hosts {
		r.f.store.SetHostFault(h.set.IP, standin.ModeOK)
		h.signal(syscall.SIGCONT)
		h.current().SetHanging(false)
	}
	// A process that was told to stop may need its whole time.
	deadline := time.Now().Add(stopWithin)
	for time.Now().Before(deadline) {
		for _, h := range r.f.hosts {
			h.start()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check judges what callers got by what targets saw.
func (r *run) check(t *testing.T) {
	runs := map[string]int{}
	for _, h := range r.f.hosts {
		for _, target := range h.targets {
			for _, seen := range target.Runs() {
				runs[seen.Attempt]++
				if seen.Key != "" {
					t.Errorf("target %s saw the key of %s", target.ID, seen.Attempt)
				}
				if seen.Workspace != "ws" || seen.Caller != "svc" {
					t.Errorf("target %s saw workspace %q and caller %q", target.ID, seen.Workspace, seen.Caller)
				}
			}
		}
	}
	served := 0
	for _, c := range r.calls {
		r.judge(t, c, runs[c.Attempt])
		if c.err == nil && c.result.Status == 200 {
			served++
		}
	}
	t.Logf("%d calls, %d served", len(r.calls), served)
}

func (r *run) judge(t *testing.T, c call, runs int) {
	promise := c.err == nil && (c.result.Status == 503 || c.result.Status == 429)
	switch {
	case c.Method == "POST" && runs > 1:
		t.Errorf("order %s ran %d times", c.Attempt, runs)
	case c.Method == "POST" && promise && runs > 0:
		t.Errorf("order %s was answered %d and ran", c.Attempt, c.result.Status)
	case c.err == nil && c.result.Status == 200 && (!c.result.Signed || runs == 0 || !strings.HasSuffix(c.result.Body, " to "+c.Attempt)):
		t.Errorf("call %s got an answer that is not its own: %q after %d runs", c.Attempt, c.result.Body, runs)
	case c.Key == firstKey && !r.revoked.IsZero() && c.sent.After(r.revoked.Add(revokeWithin)) && runs > 0:
		t.Errorf("call %s ran %s after its key had been withdrawn", c.Attempt, c.sent.Sub(r.revoked))
	}
}
