package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Load of the ids case, in orders a second: the usual one, which is about what the workers bear,
// and a burst of 1.7 times that for 3 s.
const (
	usualOrders = 78
	burstOrders = 132
	burstTime   = 3 * time.Second
	orderWork   = 600 * time.Millisecond
)

// playIDs stops a machine as planned while orders of its clients wait for a slot. The clients
// number their orders with a sign that is not in ASCII, in Latin-1.
func playIDs(f *fleet, trouble bool) (broken bool, err error) {
	f.configure(1, []standin.Route{
		{Name: "order-booking", Host: shopHost, Prefix: "/orders/", Kind: "non_idempotent", Service: service, Timeout: 8 * time.Second, Objective: 5 * time.Second},
	}, []standin.Workspace{{Name: tenant, Key: key}})
	zones := []string{"alfold-a", "alfold-b", "alfold-c"}
	for i := range 7 {
		h, err := f.add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zones[i%3])
		if err != nil {
			return false, err
		}
		h.worker.SetWork(orderWork)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := &clients{prefix: "n\xb0 "}
	if os.Getenv("IDS") == "ascii" { // to see that the sign makes the difference
		c.prefix = "nr "
	}
	m := f.hosts[0]
	order := standin.Call{Method: http.MethodPost, URI: "/orders/1", Key: key, Body: "a headboard", Timeout: 8 * time.Second}
	phase := func(perSecond float64, d time.Duration) {
		stop := make(chan struct{})
		go c.load([]*host{m}, perSecond, order, stop)
		time.Sleep(d)
		close(stop)
	}
	phase(usualOrders, 3*time.Second)
	go func() {
		time.Sleep(burstTime - 2800*time.Millisecond)
		if trouble {
			m.signal(syscall.SIGTERM)
			f.rec.note("SIGTERM to %s", m.set.Host)
		}
	}()
	f.rec.note("a burst begins")
	phase(burstOrders, burstTime) // it ends when the platform has seen two misses of readiness
	f.rec.note("the burst ends")
	time.Sleep(6 * time.Second)
	sent := c.all()
	time.Sleep(2 * time.Second) // what was to run has run
	runs := f.runs()
	f.rec.answers(sent, runs)
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.Attempt]++
	}
	statuses, refused, twice := map[string]int{}, 0, 0
	for _, s := range sent {
		statuses[fmt.Sprintf("%d %v", s.result.Status, s.err)]++
		promise := s.result.Status == http.StatusServiceUnavailable || s.result.Status == http.StatusTooManyRequests
		if s.err == nil && promise && ran[s.attempt] > 0 {
			refused++
			f.rec.note("%q was answered %d at %.3f and has run, or runs later", s.attempt, s.result.Status, f.rec.at(s.done))
		}
		if ran[s.attempt] > 1 {
			twice++
		}
	}
	f.rec.note("answers: %v", statuses)
	f.rec.note("REFUSED: %d; TWICE: %d", refused, twice)
	return refused+twice > 0, nil
}
