package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the case "born".
const (
	bornHosts = 8
	// clockAhead is by how much the time of day of one machine is ahead for a while.
	clockAhead = 2400 * time.Millisecond
	// upFor and awayFor are how long the worker runs between its two crashes, and is away
	// after each.
	upFor   = 900 * time.Millisecond
	awayFor = 500 * time.Millisecond
	// drainsFor is how long the worker goes on after the acknowledgement.
	drainsFor = 8 * time.Second
	bornWork  = 400 * time.Millisecond
	// orderPause keeps nearly all slots in use, so that each worker gets orders.
	orderPause = 62 * time.Millisecond
)

// playBorn lets a worker crash and start again under its id twice, while the time of day of its
// machine is ahead and after it has jumped back. Then the worker reports that it is draining.
func playBorn(r *record) int {
	f := newFleet(r)
	defer f.stop()
	order := standin.Route{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	f.services, f.routes = []string{"orders"}, []standin.Route{order}
	f.configure(1)
	for i := range bornHosts {
		f.addHost("orders", fmt.Sprintf("zone-%d", i%2))
	}
	f.start(bornWork)
	h := f.hosts[0]
	id := h.current().id

	timeOfDay := func() time.Time { return time.Now() }
	if trouble() {
		timeOfDay = func() time.Time { return time.Now().Add(clockAhead) }
		r.line("the time of day of %s jumps %s ahead", h.set.Host, clockAhead)
	}
	restart := func() *worker {
		h.stopBeating()
		h.current().end()
		r.line("worker %s crashes", id)
		time.Sleep(awayFor)
		w := h.startWorker(id, "orders", timeOfDay(), bornWork)
		r.note("worker %s starts again under its id, born %d", id, w.born)
		if !w.announce(h.set.AnnounceListen, w.heartbeat("ready")) {
			panic(cannotRun{"the heartbeat was not acknowledged"})
		}
		h.beat()
		return w
	}
	restart()
	time.Sleep(upFor)
	timeOfDay = func() time.Time { return time.Now() }
	r.line("the time of day of %s is right again", h.set.Host)
	w := restart()
	time.Sleep(contact + time.Second)
	r.line("all machines are in touch")

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, from := range f.hosts[1:] {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(orderPause):
				}
				attempt := fmt.Sprintf("order-%s-%d", from.set.Host, n)
				wg.Go(func() { f.callPath(from, attempt, order, attempt, shopKey, 4*time.Second) }) //nolint:errcheck // it is in the record
			}
		})
	}
	time.Sleep(2 * time.Second)
	h.stopBeating()
	w.setLeaving()
	if !w.announce(h.set.AnnounceListen, w.heartbeat("draining")) {
		r.note("the report that the worker is draining was not acknowledged, so that nothing is promised")
		close(stop)
		wg.Wait()
		return exitHeld
	}
	acknowledged := time.Now()
	r.note("the report that worker %s is draining was acknowledged", id)
	for time.Since(acknowledged) < drainsFor {
		time.Sleep(heartbeatInterval)
		w.announce(h.set.AnnounceListen, w.heartbeat("draining"))
	}
	w.mu.Lock()
	inProgress := w.running
	w.mu.Unlock()
	w.end()
	r.line("worker %s ends", id)
	close(stop)
	wg.Wait()

	reached := 0
	for _, a := range w.received() {
		if a.at.Sub(acknowledged) > drain {
			reached++
		}
	}
	r.note("%d orders reached the worker later than %s after the acknowledgement; %d were lost when it ended", reached, drain, inProgress)
	if reached > 0 {
		return exitBroken
	}
	return exitHeld
}
