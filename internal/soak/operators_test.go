package soak

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// The tests in this file provoke, one by one, failures that operators of similar
// systems have met, with the production binary and fixed schedules.

// drainWithin is how long after its sign-off was acknowledged a target may get
// requests.
const drainWithin = 2 * time.Second

// scenarioSeeds gives each scenario addresses of its own.
const (
	departedSeed = 9001 + iota
	withdrawnSeed
	pausedSeed
	pausedStartSeed
	silentSeed
	stopSeed
	repeatSeed
	lostSeed
	endlessSeed
	rolloutSeed
)

// scenario starts a fleet whose targets are announced until the end of the test.
func scenario(t *testing.T, seed uint64, hosts int) *run {
	t.Helper()
	t.Parallel()
	r := &run{f: newFleet(t, seed, hosts), key: firstKey, startedAt: time.Now()}
	done := make(chan struct{})
	var background sync.WaitGroup
	for _, h := range r.f.hosts {
		background.Go(func() { h.announceTarget(done) })
	}
	t.Cleanup(func() {
		close(done)
		background.Wait()
		if t.Failed() {
			r.saveLogs(t, seed)
		}
	})
	r.awaitService(t, "at the start")
	return r
}

// order calls a host with an order and returns its result.
func (r *run) order(h *host, attempt, uri, key string, timeout time.Duration) (standin.Result, error) {
	c := standin.Call{Attempt: attempt, Method: "POST", Host: shopHost, URI: uri, Key: key, Timeout: timeout}
	return c.Do(h.set.CallerListen)
}

// runsOf returns how often an attempt ran on all targets.
func (r *run) runsOf(attempt string) int {
	n := 0
	for _, h := range r.f.hosts {
		for _, target := range h.targets {
			for _, seen := range target.Runs() {
				if seen.Attempt == attempt {
					n++
				}
			}
		}
	}
	return n
}

// replaceKey withdraws the first key and returns when the store has acknowledged
// that.
func (r *run) replaceKey(revision int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.configure(revision, secondKey)
	r.key, r.revoked = secondKey, time.Now()
	return r.revoked
}

// assertKeyStaysOut sends requests with the withdrawn key to a host for a while,
// none of which may run.
func (r *run) assertKeyStaysOut(t *testing.T, h *host, tag string, duration time.Duration) {
	t.Helper()
	for end, n := time.Now().Add(duration), 0; time.Now().Before(end); n++ {
		sent := time.Now()
		id := fmt.Sprintf("%s-%d", tag, n)
		r.order(h, id, "/order/1", firstKey, time.Second) //nolint:errcheck // the daemon may not listen yet
		if sent.After(r.revoked.Add(revokeWithin)) && r.runsOf(id) > 0 {
			t.Fatalf("request %s with a withdrawn key ran, sent %s after the withdrawal", id, sent.Sub(r.revoked))
		}
	}
}

// A target that has signed off stays out of use when its daemon is killed and
// started again, though its health check succeeds and a late heartbeat arrives.
func TestDepartedTargetStaysOutAfterRestart(t *testing.T) {
	t.Parallel()
	r := &run{f: newFleet(t, departedSeed, 2), key: firstKey, startedAt: time.Now()}
	t.Cleanup(func() {
		if t.Failed() {
			r.saveLogs(t, departedSeed)
		}
	})
	leaving, staying := r.f.hosts[0], r.f.hosts[1]
	done := make(chan struct{})
	defer close(done)
	go staying.announceTarget(done)
	target := leaving.currentTarget()
	announced := func() bool {
		status, err := target.Announce(leaving.set.AnnounceListen, leaving.set.DataCentre, "ready")
		return err == nil && status == 200
	}
	await(t, "announcement accepted", announced)
	r.awaitService(t, "before the departure")

	late := target.Heartbeat(leaving.set.DataCentre, "ready")
	status, err := target.SignOff(leaving.set.AnnounceListen)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	left := time.Now()
	leaving.restart()
	await(t, "late heartbeat delivered", func() bool {
		status, err := target.SendHeartbeat(leaving.set.AnnounceListen, late)
		return err == nil && status == 200
	})
	for n := 0; time.Since(left) < 3*drainWithin; n++ {
		before := len(target.Runs())
		sent := time.Now()
		for i, h := range r.f.hosts {
			r.order(h, fmt.Sprintf("departed-%d-%d", i, n), "/order/1", firstKey, time.Second) //nolint:errcheck // only its runs matter
		}
		if sent.Sub(left) > drainWithin && len(target.Runs()) > before {
			t.Fatalf("the target got a request %s after its sign-off was acknowledged", sent.Sub(left))
		}
		time.Sleep(20 * time.Millisecond)
	}
	// A new incarnation at the same address is used again.
	leaving.restartTarget()
	target = leaving.currentTarget()
	await(t, "new incarnation announced", announced)
	await(t, "new incarnation used", func() bool {
		r.order(leaving, fmt.Sprintf("new-%d", time.Now().UnixNano()), "/order/1", firstKey, time.Second) //nolint:errcheck // only its runs matter
		return len(target.Runs()) > 0
	})
}

// await waits until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(recoverWithin); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, recoverWithin)
		}
	}
}

// A withdrawn key stays withdrawn at a daemon that restarts and learns the
// configuration from its peers only.
func TestWithdrawnKeyStaysOutAfterRestart(t *testing.T) {
	r := scenario(t, withdrawnSeed, 3)
	h := r.f.hosts[0]
	r.f.links.Partition(h.set.Host, storeHost, fabric.BothWays)
	h.restart()
	r.replaceKey(2)
	r.assertKeyStaysOut(t, h, "cut", revokeWithin+2*time.Second)
	r.f.links.Heal(h.set.Host, storeHost)
	h.restart()
	r.assertKeyStaysOut(t, h, "healed", 2*time.Second)
}

// A daemon that was suspended while a key was withdrawn does not accept it when
// it resumes.
func TestSuspendedDaemonDoesNotUseAWithdrawnKey(t *testing.T) {
	r := scenario(t, pausedSeed, 3)
	h := r.f.hosts[0]
	h.signal(syscall.SIGSTOP)
	r.replaceKey(2)
	time.Sleep(revokeWithin + 500*time.Millisecond)
	var each sync.WaitGroup
	for i := range 20 { // they wait in the sockets of the suspended daemon
		each.Go(func() {
			r.order(h, fmt.Sprintf("waiting-%d", i), "/order/1", firstKey, 3*time.Second) //nolint:errcheck // only its runs matter
		})
	}
	time.Sleep(200 * time.Millisecond)
	h.signal(syscall.SIGCONT)
	r.assertKeyStaysOut(t, h, "resumed", 2*time.Second)
	each.Wait()
	for i := range 20 {
		assert.Equal(t, r.runsOf(fmt.Sprintf("waiting-%d", i)), 0)
	}
}

// The same for a daemon that is suspended while its first reads of the store are
// under way, at ten different moments of its start.
func TestDaemonSuspendedAtItsStartDoesNotUseAWithdrawnKey(t *testing.T) {
	r := scenario(t, pausedStartSeed, 10)
	for i, h := range r.f.hosts {
		h.restart()
		time.Sleep(time.Duration(5*i) * time.Millisecond)
		h.signal(syscall.SIGSTOP)
	}
	r.replaceKey(2)
	time.Sleep(revokeWithin + 500*time.Millisecond)
	var each sync.WaitGroup
	for _, h := range r.f.hosts {
		h.signal(syscall.SIGCONT)
		each.Go(func() { r.assertKeyStaysOut(t, h, "resumed-"+h.set.Host, 2*time.Second) })
	}
	each.Wait()
}

// An order that runs on a host whose daemon is silent for longer than it takes to
// be dropped from the hosts table is neither given up nor run elsewhere.
func TestSilentHostKeepsItsRunningOrder(t *testing.T) {
	r := scenario(t, silentSeed, 3)
	const work = 9 * time.Second
	silent := r.f.hosts[2]
	for _, h := range r.f.hosts[:2] {
		h.restartTargetWithWork(work)
	}
	silent.restartTargetWithWork(work)
	time.Sleep(time.Second) // the new instances are announced
	type answer struct {
		result standin.Result
		err    error
	}
	const orders = 2*targetSlots + 1 // one more than the other two targets have slots for
	answers := make([]answer, orders)
	var each sync.WaitGroup
	for i := range orders {
		each.Go(func() {
			answers[i].result, answers[i].err = r.order(r.f.hosts[i%2], fmt.Sprintf("long-%d", i), "/long/1", firstKey, 18*time.Second)
		})
	}
	await(t, "an order runs on the silent host", func() bool { return len(silent.currentTarget().Runs()) > 0 })
	time.Sleep(500 * time.Millisecond)
	silent.signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second) // a silent host is dropped after 5 s
	silent.signal(syscall.SIGCONT)
	each.Wait()
	for i, a := range answers {
		id := fmt.Sprintf("long-%d", i)
		assert.NilError(t, a.err, id)
		if runs := r.runsOf(id); runs > 1 || runs == 1 && a.result.Status != 200 {
			t.Errorf("order %s ran %d times and was answered with %d", id, runs, a.result.Status)
		}
	}
}

// Under load, a stopping daemon answers every request whose connection it has let
// in, until it refuses connections.
func TestPlannedStopUnderLoadAnswersWhatItAccepted(t *testing.T) {
	r := scenario(t, stopSeed, 3)
	h := r.f.hosts[0]
	var stopping atomic.Bool
	var each sync.WaitGroup
	done := make(chan struct{})
	for client := range 24 {
		each.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("stop-%d-%d", client, n)
				result, err := r.order(h, id, "/order/1", firstKey, 3*time.Second)
				switch runs := r.runsOf(id); {
				case errors.Is(err, syscall.ECONNREFUSED) && stopping.Load():
					return // the daemon no longer accepts connections
				case err != nil:
					t.Errorf("order %s was sent, got no answer and ran %d times: %v", id, runs, err)
					return
				case result.Status != 200 && runs > 0:
					t.Errorf("order %s ran and was answered with %d", id, result.Status)
				}
			}
		})
	}
	time.Sleep(time.Second)
	stopping.Store(true)
	h.signal(syscall.SIGTERM)
	stopped := time.Now()
	await(t, "daemon stopped", func() bool { return !h.running() })
	took := time.Since(stopped)
	close(done)
	each.Wait()
	assert.Assert(t, took < stopWithin, "the stop took %s", took)
}

// A target that sends each answer a second time, late, on a connection that is in
// use again never makes a caller get an answer that is not its own.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	r := scenario(t, repeatSeed, 2)
	for i, h := range r.f.hosts {
		h.currentTarget().SetRepeating(time.Duration(i)*targetWork/2 + time.Millisecond)
	}
	var each sync.WaitGroup
	served := atomic.Int64{}
	for client := range 8 {
		each.Go(func() {
			for n := range 60 {
				id := fmt.Sprintf("twice-%d-%d", client, n)
				result, err := r.order(r.f.hosts[client%2], id, "/order/1", firstKey, 3*time.Second)
				if err == nil && result.Status == 200 {
					served.Add(1)
					if result.Attempt != id || !strings.HasSuffix(result.Body, " to "+id) {
						t.Errorf("order %s got the answer of another: attempt %q, body %q", id, result.Attempt, result.Body)
					}
				}
				if runs := r.runsOf(id); runs > 1 {
					t.Errorf("order %s ran %d times", id, runs)
				}
			}
		})
	}
	each.Wait()
	assert.Assert(t, served.Load() > 0)
}

// An order whose answer is lost is not run again, and its caller is not told that
// it has not run.
func TestOrderWhoseAnswerIsLostIsNotRunAgain(t *testing.T) {
	r := scenario(t, lostSeed, 2)
	for _, h := range r.f.hosts {
		h.currentTarget().SetLosing(true)
	}
	ran := 0
	for n := range 20 {
		id := fmt.Sprintf("lost-%d", n)
		result, err := r.order(r.f.hosts[n%2], id, "/order/1", firstKey, 2*time.Second)
		runs := r.runsOf(id)
		ran += runs
		notRun := err == nil && (result.Status == 503 || result.Status == 429 || result.Status == 408 || result.Status == 421)
		if runs > 1 || runs > 0 && notRun {
			t.Errorf("order %s ran %d times and was answered with %d, error %v", id, runs, result.Status, err)
		}
	}
	assert.Assert(t, ran > 0)
}
