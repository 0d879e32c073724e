package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
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
	seedFlag   = flag.Uint64("soak.seed", 0, "seed of the run; 0 runs the regression seeds")
	timeFlag   = flag.Duration("soak.time", 12*time.Second, "how long faults are injected")
	hostsFlag  = flag.Int("soak.hosts", 4, "number of daemons")
	daemonFlag = flag.String("soak.daemon", "", "daemon to test, such as one of another commit; empty builds this one")
	stepsFlag  = flag.String("soak.steps", "", "comma-separated numbers of the faults to inject; empty for all")
	// shrinkFlag is of use with soak.seed; each trial takes as long as a run.
	shrinkFlag = flag.Bool("soak.shrink", false, "after a failure, look for the smallest set of faults that still fails")
)

// Time limits of the guarantees, as the platform specifies them.
const (
	revokeWithin  = 5 * time.Second
	stopWithin    = 6 * time.Second
	recoverWithin = 15 * time.Second
)

// call is a request with its result.
type call struct {
	standin.Call
	sent   time.Time
	ended  time.Time
	result standin.Result
	err    error
}

// run is the state of one soak run.
type run struct {
	f    *fleet
	seed uint64
	// steps are the numbers of the faults that are injected; nil stands for all.
	steps []int
	// injected are the numbers of the faults injected so far.
	injected []int
	// rnd is the source of random numbers of the current fault.
	rnd       *rand.Rand
	startedAt time.Time
	schedule  []string
	// impaired are the hosts whose way to the store has been disturbed. The empty
	// name stands for all.
	impaired map[string]bool

	mu      sync.Mutex
	calls   []call
	revoked time.Time
	key     string
	// emptiedAt and givenBackAt are when the list of workspaces became empty and had
	// entries again.
	emptiedAt, givenBackAt time.Time
}

func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		steps, err := parseSteps(*stepsFlag)
		assert.NilError(t, err)
		var injected []int
		passed := t.Run(fmt.Sprint(seed), func(t *testing.T) { injected = runSeed(t, seed, steps) })
		if passed || !*shrinkFlag {
			continue
		}
		smallest := shrink(injected, func(steps []int) bool {
			return !t.Run(fmt.Sprintf("%d with %d faults", seed, len(steps)), func(t *testing.T) { runSeed(t, seed, steps) })
		})
		t.Logf("smallest failing set: -soak.seed %d -soak.steps %s", seed, formatSteps(smallest))
	}
}

// runSeed makes one run with some of the faults of a seed, or all of them if steps is
// nil. It returns the numbers of those injected.
func runSeed(t *testing.T, seed uint64, steps []int) []int {
	t.Logf("seed %d, %s of faults, %d hosts", seed, *timeFlag, *hostsFlag)
	r := &run{f: newFleet(t, seed, *hostsFlag, largeDocument(seed)), seed: seed, steps: steps, key: firstKey, impaired: map[string]bool{}}
	done := make(chan struct{})
	var background sync.WaitGroup
	for _, h := range r.f.hosts {
		background.Go(func() { h.announceTarget(done) })
	}
	r.awaitService(t, "before the faults")
	r.startedAt = time.Now()
	for i, h := range r.f.hosts {
		background.Go(func() { r.sendCalls(h, i, done) })
		background.Go(func() { r.sendPipelined(t, h, i, done) })
		background.Go(func() { r.sendBeyondRate(h, i, done) })
		background.Go(func() { r.sendUnissued(h, done) })
	}
	r.injectFaults()
	r.clearFaults()
	r.awaitService(t, "after the faults")
	r.checkEvacuation(t)
	r.checkCrashes(t)
	r.checkChangesInTime(t)
	close(done)
	background.Wait()
	r.checkInvariants(t)
	r.checkRate(t)
	r.checkDepartures(t)
	if t.Failed() {
		t.Logf("schedule:\n%s", strings.Join(r.schedule, "\n"))
		r.saveLogs(t, seed)
	}
	return r.injected
}

// saveLogs copies the daemons' logs to a directory that outlives the test.
func (r *run) saveLogs(t *testing.T, seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	for _, h := range r.f.hosts {
		data, err := os.ReadFile(h.logs.Name())
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, filepath.Base(h.logs.Name())), data, 0o600))
	}
	t.Logf("daemon logs saved in %s", dir)
}

// awaitService waits until every host has served an order.
func (r *run) awaitService(t *testing.T, what string) {
	t.Helper()
	deadline := time.Now().Add(recoverWithin)
	for _, h := range r.f.hosts {
		for n := 0; ; n++ {
			c := standin.Call{Attempt: fmt.Sprintf("await-%s-%d-%d", h.set.Host, time.Now().UnixNano(), n), Method: "POST",
				Host: shopHost, URI: "/order/1", Key: r.currentKey(), Timeout: time.Second}
			if res, err := c.Do(h.set.CallerListen); err == nil && res.Status == 200 {
				break
			} else if time.Now().After(deadline) {
				t.Errorf("%s: %s does not serve after %s: last status %d, error %v", what, h.set.Host, recoverWithin, res.Status, err)
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

// sendCalls sends orders and reads to one host, with the first or the current key,
// until done is closed.
func (r *run) sendCalls(h *host, n int, done <-chan struct{}) {
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
			c.ended = time.Now()
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

// injectFaults injects faults, which may overlap, for the duration of the run. Each
// fault has random numbers of its own, so that it stays the same if others are left
// out.
func (r *run) injectFaults() {
	end := time.Now().Add(*timeFlag)
	var copies storeCopies
	for n := 2; time.Now().Before(end); n++ {
		r.rnd = rand.New(rand.NewPCG(r.seed, uint64(n)))
		pause := time.Duration(r.rnd.IntN(1200)) * time.Millisecond
		h := r.f.hosts[r.rnd.IntN(len(r.f.hosts))]
		if r.steps == nil || slices.Contains(r.steps, n) {
			r.injected = append(r.injected, n)
			r.inject(h, n)
			r.drill(n, &copies)
			r.breakAnswers(h, n)
			r.testMemory(h, n)
		}
		r.emptyList(n)
		time.Sleep(pause)
	}
}

// recordEvent adds a line to the schedule.
func (r *run) recordEvent(format string, args ...any) {
	step := 0
	if len(r.injected) > 0 {
		step = r.injected[len(r.injected)-1]
	}
	r.schedule = append(r.schedule, fmt.Sprintf("%6.2f s  fault %2d: ", time.Since(r.startedAt).Seconds(), step)+fmt.Sprintf(format, args...))
}

// linkDelay, in milliseconds, is several times the latency between data centres.
const linkDelay = 120

// inject injects or clears one random fault.
func (r *run) inject(h *host, n int) {
	other := r.f.hosts[r.rnd.IntN(len(r.f.hosts))]
	switch r.rnd.IntN(19) {
	case 0:
		r.recordEvent("kill %s", h.set.Host)
		h.signal(syscall.SIGKILL)
	case 1:
		r.recordEvent("stop %s", h.set.Host)
		h.signal(syscall.SIGTERM)
	case 2:
		r.recordEvent("freeze %s", h.set.Host)
		h.signal(syscall.SIGSTOP)
	case 3, 4:
		r.recordEvent("resume and start all daemons")
		for _, each := range r.f.hosts {
			each.signal(syscall.SIGCONT)
			each.start()
		}
	case 5:
		fault := standin.Modes[r.rnd.IntN(len(standin.Modes))]
		r.recordEvent("store: fault %s for %s", fault, h.set.IP)
		r.f.store.SetHostFault(h.set.IP, fault)
		r.impaired[h.set.Host] = true
	case 6:
		fault := standin.Modes[r.rnd.IntN(len(standin.Modes))]
		r.recordEvent("store: fault %s for all", fault)
		r.f.store.SetHostFault("", fault)
		r.impaired[""] = true
	case 7:
		r.recordEvent("store: faults cleared")
		r.f.store.SetHostFault("", standin.ModeOK)
		delete(r.impaired, "")
	case 8:
		on := r.rnd.IntN(2) == 0
		r.recordEvent("target of %s hangs: %v", h.set.Host, on)
		h.currentTarget().SetHanging(on)
	case 9:
		r.recordEvent("restart target of %s", h.set.Host)
		h.restartTarget()
	case 10:
		r.recordEvent("configuration revision %d, store history dropped", n)
		r.f.configure(n, r.currentKey())
		r.f.store.DropHistory()
	case 12:
		way := fabric.Direction(r.rnd.IntN(2))
		r.recordEvent("cut link from %s to %s (one way: %v)", h.set.Host, other.set.Host, way == fabric.OneWay)
		r.f.cut(h, other, way)
	case 13:
		r.recordEvent("cut or delay link between %s and the store", h.set.Host)
		r.impaired[h.set.Host] = true
		if r.rnd.IntN(2) == 0 {
			r.f.links.Partition(h.set.Host, storeHost, fabric.Direction(r.rnd.IntN(2)))
		} else {
			r.f.links.Delay(storeHost, h.set.Host, linkDelay)
		}
	case 14:
		r.recordEvent("blackhole connections between %s and %s, delay new ones", h.set.Host, other.set.Host)
		r.impaired[h.set.Host] = true
		r.f.links.Blackhole(h.set.Host, other.set.Host)
		r.f.links.Blackhole(h.set.Host, storeHost)
		r.f.links.Delay(h.set.Host, other.set.Host, linkDelay)
	case 15:
		r.recordEvent("all network faults cleared")
		r.f.heal()
	case 16:
		after := time.Duration(r.rnd.IntN(2)*(1+r.rnd.IntN(60))) * time.Millisecond
		r.recordEvent("target of %s repeats its answers after %s (0: no more)", h.set.Host, after)
		h.currentTarget().SetRepeating(after)
	case 17:
		on := r.rnd.IntN(2) == 0
		r.recordEvent("target of %s runs requests and loses its answers: %v", h.set.Host, on)
		h.currentTarget().SetLosing(on)
	case 18:
		r.recordEvent("target of %s signs off: %s", h.set.Host, r.signOff(h))
	case 11:
		r.recordEvent("API key replaced")
		r.mu.Lock()
		r.f.configure(n, secondKey)
		if r.key == firstKey {
			r.key, r.revoked = secondKey, time.Now()
		}
		r.mu.Unlock()
	}
}

func (h *host) currentTarget() *standin.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

// clearFaults clears all faults and restarts all daemons.
func (r *run) clearFaults() {
	r.recordEvent("clear all faults")
	r.mu.Lock()
	r.giveListBack(r.f.revision + 1)
	r.mu.Unlock()
	r.f.heal()
	r.f.store.SetHostFault("", standin.ModeOK)
	for _, h := range r.f.hosts {
		r.f.store.SetHostFault(h.set.IP, standin.ModeOK)
		h.signal(syscall.SIGCONT)
		h.currentTarget().SetHanging(false)
		h.currentTarget().SetRepeating(0)
		h.currentTarget().SetLosing(false)
		h.currentTarget().SetBrokenPercent(0)
		if h.hasSignedOff() {
			h.restartTarget()
		}
	}
	// A process that received SIGTERM may take up to stopWithin to exit.
	deadline := time.Now().Add(stopWithin)
	for time.Now().Before(deadline) {
		for _, h := range r.f.hosts {
			h.start()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkInvariants compares the results of callers with the executions that targets
// recorded.
func (r *run) checkInvariants(t *testing.T) {
	runs := map[string]int{}
	for _, h := range r.f.hosts {
		for _, target := range h.targets {
			for _, seen := range target.Runs() {
				runs[seen.Attempt]++
				if seen.Key != "" {
					t.Errorf("target %s received the API key of %s", target.ID, seen.Attempt)
				}
				if seen.Workspace != workspaceOf(seen.Attempt) || seen.Caller != "svc" {
					t.Errorf("target %s received workspace %q and caller %q", target.ID, seen.Workspace, seen.Caller)
				}
			}
		}
	}
	served := 0
	for _, c := range r.calls {
		r.checkCall(t, c, runs[c.Attempt])
		r.checkKeyless(t, c, runs[c.Attempt])
		if c.err == nil && c.result.Status == 200 {
			served++
		}
	}
	t.Logf("%d calls, %d served", len(r.calls), served)
}

func (r *run) checkCall(t *testing.T, c call, runs int) {
	refused := c.err == nil && (c.result.Status == 503 || c.result.Status == 429)
	switch {
	case c.Method == "POST" && runs > 1:
		t.Errorf("order %s ran %d times", c.Attempt, runs)
	case c.Method == "POST" && refused && runs > 0:
		t.Errorf("order %s was refused with %d but ran", c.Attempt, c.result.Status)
	case c.err == nil && c.result.Status == 200 && (!c.result.Signed || runs == 0 || !strings.HasSuffix(c.result.Body, " to "+c.Attempt)):
		t.Errorf("call %s got a response that is not its own: %q after %d runs", c.Attempt, c.result.Body, runs)
	case c.Key == firstKey && !r.revoked.IsZero() && c.sent.After(r.revoked.Add(revokeWithin)) && runs > 0:
		t.Errorf("call %s was sent %s after its key was revoked and ran", c.Attempt, c.sent.Sub(r.revoked))
	}
}
