package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the cases with a request that crashes workers.
const (
	poisonHosts = 6
	// workerReturn is how long a worker is away after a crash: "some seconds".
	workerReturn = 2 * time.Second
	// poisonRetries is how often the request comes again, and poisonInterval the time between.
	poisonRetries  = 12
	poisonInterval = 3 * time.Second
	// allowedRetries is how many retries may reach a worker later than contact after the
	// request has crashed the third one.
	allowedRetries = 3
	poisonWork     = 150 * time.Millisecond
)

// poison counts what a request that crashes workers does.
type poison struct {
	// after is how long a worker runs the request before it crashes, and harmless is set if
	// it does not crash.
	after    time.Duration
	harmless bool

	mu      sync.Mutex
	crashes int
	third   time.Time
	// reached counts the workers that an attempt reached.
	reached map[string]int
}

// crashed records a crash by an attempt.
func (p *poison) crashed(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached[attempt]++
	if p.crashes++; p.crashes == 3 {
		p.third = time.Now()
	}
}

// reachedBy returns how many workers an attempt has crashed, and when the third crash was.
func (p *poison) reachedBy(attempt string) (n int, third time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached[attempt], p.third
}

// arm makes the worker of a host crash on the request. It comes back after a while.
func (p *poison) arm(h *host) {
	w := h.current()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash = func(a arrival) bool {
		if p.harmless || !strings.HasSuffix(a.uri, "/poison") {
			return false
		}
		time.Sleep(p.after)
		w.end()
		p.crashed(a.attempt)
		h.stopBeating()
		go func() {
			time.Sleep(workerReturn)
			h.startWorker(w.id, w.service, time.Now(), w.work)
			p.arm(h)
			h.beat()
		}()
		return true
	}
}

// poisonFleet starts a fleet with one service and callers that read and order all the time.
type poisonFleet struct {
	*fleet
	p           *poison
	read, order standin.Route
	sent        int
	endLoad     func() (ordersLost int)
}

func newPoisonFleet(r *record, p *poison) *poisonFleet {
	f := newFleet(r)
	p.reached = map[string]int{}
	pf := &poisonFleet{fleet: f, p: p,
		read:  standin.Route{Name: "read", Host: shopHost, Prefix: "/read/", Kind: "idempotent", Service: "orders", Timeout: 3 * time.Second, Objective: 2 * time.Second},
		order: standin.Route{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second}}
	f.services, f.routes = []string{"orders"}, []standin.Route{pf.read, pf.order}
	f.configure(1)
	for i := range poisonHosts {
		f.addHost("orders", fmt.Sprintf("zone-%d", i%3))
	}
	return pf
}

// begin starts the fleet and the callers.
func (pf *poisonFleet) begin() {
	pf.start(poisonWork)
	for _, h := range pf.hosts {
		pf.p.arm(h)
	}
	pf.endLoad = pf.load()
	time.Sleep(2 * time.Second)
}

// send sends the request at a machine and returns how many workers it crashed.
func (pf *poisonFleet) send(h *host) (n int, third time.Time) {
	pf.sent++
	attempt := fmt.Sprintf("poison-%d", pf.sent)
	pf.callPath(h, attempt, pf.read, "poison", shopKey, 4*time.Second) //nolint:errcheck // only what it reaches matters
	time.Sleep(200 * time.Millisecond)
	return pf.p.reachedBy(attempt)
}

// load sends reads and orders of many different things at all machines that are ready. The
// function that it returns ends that, and returns how many orders that a worker had begun got
// no answer of their own because it crashed.
func (pf *poisonFleet) load() func() int {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	caller := func(h *host, route standin.Route, name string, pause time.Duration) {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			if !h.ready() {
				continue // callers get no new work at this machine
			}
			attempt := fmt.Sprintf("%s-%s-%d", name, h.set.Host, n)
			status, err := pf.callPath(h, attempt, route, attempt, shopKey, 4*time.Second)
			if route.Name == "order" && (err != nil || status == 502 || status == 504) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}
	}
	for _, h := range pf.hosts {
		wg.Add(3)
		go caller(h, pf.read, "read-a", 50*time.Millisecond)
		go caller(h, pf.read, "read-b", 70*time.Millisecond)
		go caller(h, pf.order, "order", 60*time.Millisecond)
	}
	return func() int {
		close(stop)
		wg.Wait()
		return lost
	}
}

// crashAfter returns CRASH_AFTER_MS, or a default.
func crashAfter(fallback time.Duration) time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("CRASH_AFTER_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return fallback
}

// playPoison sends a request again and again that crashes each worker as soon as it begins to
// run it, while other requests keep the connections of the daemons to the workers in use.
func playPoison(r *record) int {
	pf := newPoisonFleet(r, &poison{after: crashAfter(0), harmless: !trouble()})
	defer pf.stop()
	pf.begin()
	late := 0
	for i := range poisonRetries {
		h := pf.hosts[i%poisonHosts]
		began := time.Now()
		n, third := pf.send(h)
		r.note("retry %d at %s crashed %d workers", i+1, h.set.Host, n)
		if n > 0 && !third.IsZero() && began.Sub(third) > contact {
			late++
		}
		time.Sleep(poisonInterval)
	}
	lost := pf.endLoad()
	return pf.verdict(late, lost)
}

func (pf *poisonFleet) verdict(late, lost int) int {
	pf.rec.note("%d crashes; %d retries reached a worker later than %s after the third crash, %d may; %d orders were answered 502 or 504 or not at all", pf.p.crashes, late, contact, allowedRetries, lost)
	if late > allowedRetries {
		return exitBroken
	}
	return exitHeld
}

// playPoisonAfterRestarts sends the request until the fleet refuses it at all machines, stops
// and starts the daemons in turn, and sends the request again at each of them when that
// machine is in touch again.
func playPoisonAfterRestarts(r *record) int {
	pf := newPoisonFleet(r, &poison{after: crashAfter(100 * time.Millisecond)})
	defer pf.stop()
	pf.begin()
	for i := 0; i < 4; i++ {
		n, _ := pf.send(pf.hosts[i])
		r.note("retry %d at %s crashed %d workers", i+1, pf.hosts[i].set.Host, n)
		time.Sleep(workerReturn)
	}
	time.Sleep(contact)
	late := 0
	for _, h := range pf.hosts {
		if n, third := pf.send(h); n > 0 {
			r.note("%s lets the request through before any restart", h.set.Host)
			if !third.IsZero() {
				late++
			}
		}
	}
	for _, h := range pf.hosts {
		if trouble() {
			r.line("SIGTERM to the daemon of %s", h.set.Host)
			h.stopPlanned()
			h.startDaemon()
			h.awaitReady()
			r.line("the daemon of %s is ready again", h.set.Host)
		}
		time.Sleep(contact + 500*time.Millisecond) // in touch again
		n, third := pf.send(h)
		r.note("retry at %s, %.1f s after the third crash, crashed %d workers", h.set.Host, time.Since(third).Seconds(), n)
		if n > 0 {
			late++
		}
		time.Sleep(workerReturn)
	}
	lost := pf.endLoad()
	return pf.verdict(late, lost)
}
