package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// The rate of a workspace, in requests per second, and the platform's tolerance,
// which holds on all hosts whatever faults they have.
const (
	limitedWorkspace = "limited"
	limitedRate      = 20
	limitedBurst     = 20
	rateWindow       = 5 * time.Second
	rateOverage      = 0.1
	rateSlack        = 20
)

// evacuateWithin is how long after an evacuation was acknowledged the targets of
// its data centre may get requests.
const evacuateWithin = 5 * time.Second

// workspaceOf returns the workspace that sends an attempt, or an empty name if it needs no key.
func workspaceOf(attempt string) string {
	if strings.HasPrefix(attempt, probePrefix) {
		return ""
	}
	if strings.HasPrefix(attempt, limitedWorkspace+"-") {
		return limitedWorkspace
	}
	return "ws"
}

// sendBeyondRate sends reads of the limited workspace to one host until done is
// closed. All hosts together get twice its rate.
func (r *run) sendBeyondRate(h *host, n int, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(n), 13))
	mean := float64(time.Second) * float64(len(r.f.hosts)) / (2 * limitedRate)
	var each sync.WaitGroup
	defer each.Wait()
	for i := 0; ; i++ {
		c := call{Call: standin.Call{Attempt: fmt.Sprintf("%s-%s-%d", limitedWorkspace, h.set.Host, i), Method: "GET", Host: shopHost,
			URI: "/read/1", Key: limitedKey, Timeout: 2 * time.Second}}
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
		case <-time.After(time.Duration(rnd.ExpFloat64() * mean)):
		}
	}
}

// checkRate checks that in no window more requests of the limited workspace were
// sent and ran than the platform allows.
func (r *run) checkRate(t *testing.T) {
	ran := map[string]time.Time{}
	for _, h := range r.f.hosts {
		for _, target := range h.targets {
			for _, seen := range target.TimedRuns() {
				if first, known := ran[seen.Attempt]; !known || seen.At.Before(first) {
					ran[seen.Attempt] = seen.At
				}
			}
		}
	}
	const bound = (limitedRate*float64(rateWindow/time.Second)+limitedBurst)*(1+rateOverage) + rateSlack
	most := 0
	for _, first := range r.calls {
		if first.Key != limitedKey {
			continue
		}
		n := 0
		for _, c := range r.calls {
			at, known := ran[c.Attempt]
			if c.Key == limitedKey && known && !c.sent.Before(first.sent) && at.Before(first.sent.Add(rateWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("at most %d requests of the limited workspace in a window, bound %.0f", most, float64(bound))
	if float64(most) > bound {
		t.Errorf("%d requests of the limited workspace ran within %s, more than %.0f", most, rateWindow, float64(bound))
	}
}

// departure is a target that has signed off, and when that was acknowledged.
type departure struct {
	target *standin.Target
	at     time.Time
}

// signOff lets a host's target sign off and returns what came of it. In runs of
// seeds before memorySeeds the acknowledgement is not checked later if the host's
// way to the store is disturbed.
func (r *run) signOff(h *host) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left {
		return "it had left"
	}
	h.signedOff = true
	status, err := h.target.SignOff(h.set.AnnounceListen)
	switch {
	case err != nil || status != 200:
		return fmt.Sprintf("not acknowledged, status %d, error %v", status, err)
	case r.seed < memorySeeds && (r.impaired[""] || r.impaired[h.set.Host]):
		return "acknowledged without the store"
	}
	h.left = true
	h.departures = append(h.departures, departure{h.target, time.Now()})
	return "acknowledged"
}

// hasSignedOff reports whether the host's target has said that it leaves, acknowledged or not.
// Its daemon sends it nothing more either way, as it would exit soon.
func (h *host) hasSignedOff() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.signedOff
}

// checkDepartures checks that no departed target ran a request that was sent too
// late after its departure.
func (r *run) checkDepartures(t *testing.T) {
	sent := map[string]time.Time{}
	for _, c := range r.calls {
		sent[c.Attempt] = c.sent
	}
	for _, h := range r.f.hosts {
		for _, d := range h.departures {
			for _, seen := range d.target.TimedRuns() {
				if at, known := sent[seen.Attempt]; known && at.After(d.at.Add(drainWithin)) {
					t.Errorf("target %s ran %s, sent %s after its departure was acknowledged", d.target.ID, seen.Attempt, at.Sub(d.at))
				}
			}
		}
	}
}

// checkEvacuation evacuates a data centre when all faults are over.
func (r *run) checkEvacuation(t *testing.T) {
	evacuated := r.f.hosts[0].set.DataCentre
	row := "evacuate/" + evacuated
	r.f.store.Put(karpithaz.OperatorTable, row, []byte("{}"))
	r.recordEvent("evacuate %s", evacuated)
	time.Sleep(evacuateWithin)
	since := time.Now()
	r.awaitOthersServe(t, evacuated)
	time.Sleep(time.Second)
	for _, h := range r.f.hosts {
		if h.set.DataCentre != evacuated {
			continue
		}
		for _, seen := range h.currentTarget().TimedRuns() {
			if seen.At.After(since) {
				t.Errorf("target of %s ran %s, %s after the evacuation of %s", h.set.Host, seen.Attempt, seen.At.Sub(since)+evacuateWithin, evacuated)
			}
		}
	}
	r.f.store.Remove(karpithaz.OperatorTable, row)
	r.awaitService(t, "after the evacuation")
}

// awaitOthersServe waits until a host of the evacuated data centre, whose callers
// stay, has an order served elsewhere.
func (r *run) awaitOthersServe(t *testing.T, evacuated string) {
	t.Helper()
	for _, h := range r.f.hosts {
		if h.set.DataCentre == evacuated {
			n := 0
			await(t, "an order of the evacuated data centre served elsewhere", func() bool {
				n++
				res, err := r.order(h, fmt.Sprintf("evacuated-%s-%d", h.set.Host, n), "/order/1", r.currentKey(), time.Second)
				return err == nil && res.Status == 200
			})
			return
		}
	}
}
