package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Times of the case "signoff", from its begin.
const (
	signOffHosts = 4
	cutAt        = 200 * time.Millisecond
	signOffAt    = 700 * time.Millisecond
	restartAfter = 500 * time.Millisecond // after the acknowledgement
	downFor      = 500 * time.Millisecond
	lateAt       = 3500 * time.Millisecond
	healAt       = 5500 * time.Millisecond
	// staysFor is how long the worker goes on after the acknowledgement.
	staysFor    = 15 * time.Second
	signOffWork = 400 * time.Millisecond
)

// playSignOff lets a worker sign off while its machine is cut off from the store. The daemon
// acknowledges that and is then killed and started again, and a heartbeat that the worker had
// sent before arrives late.
func playSignOff(r *record) int {
	f := newFleet(r)
	defer f.stop()
	order := standin.Route{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	f.services, f.routes = []string{"orders"}, []standin.Route{order}
	f.configure(1)
	for i := range signOffHosts {
		f.addHost("orders", fmt.Sprintf("zone-%d", i%2))
	}
	f.start(signOffWork)
	h := f.hosts[0]
	w := h.current()

	begun := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	h.stopBeating()
	late := w.heartbeat("ready")
	r.line("worker %s sends a heartbeat, which arrives late", w.id)
	at(cutAt)
	if trouble() {
		f.store.SetHostFault(h.set.IP, standin.ModeSilent)
		r.line("%s is cut off from the store", h.set.Host)
	}
	at(signOffAt)
	w.setLeaving()
	if !w.signOff(h.set.AnnounceListen) {
		r.note("the sign-off was not acknowledged, so that nothing is promised")
		return exitHeld
	}
	acknowledged := time.Now()
	r.note("the sign-off of %s was acknowledged after %.2f s", w.id, (acknowledged.Sub(begun) - signOffAt).Seconds())
	time.Sleep(restartAfter)
	h.kill()
	r.line("the daemon of %s was killed", h.set.Host)
	time.Sleep(downFor)
	h.startDaemon()
	r.line("the daemon of %s was started again", h.set.Host)
	at(lateAt)
	r.note("the late heartbeat was acknowledged: %t", w.announce(h.set.AnnounceListen, late))
	at(healAt)
	f.store.SetHostFault(h.set.IP, standin.ModeOK)
	r.line("%s reaches the store", h.set.Host)
	time.Sleep(contact + 500*time.Millisecond)
	inTouch := time.Now()
	r.line("all machines are in touch")

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, from := range f.hosts[1:] {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				attempt := fmt.Sprintf("order-%s-%d", from.set.Host, n)
				wg.Go(func() { f.callPath(from, attempt, order, attempt, shopKey, 4*time.Second) }) //nolint:errcheck // it is in the record
			}
		})
	}
	time.Sleep(time.Until(acknowledged.Add(staysFor)))
	w.mu.Lock()
	inProgress := w.running
	w.mu.Unlock()
	w.end()
	r.line("worker %s ends", w.id)
	close(stop)
	wg.Wait()

	reached := 0
	for _, a := range w.received() {
		if a.at.After(inTouch) && a.at.Sub(acknowledged) > drain {
			reached++
		}
	}
	r.note("%d orders reached the worker later than %s after the acknowledgement, sent when all machines were in touch; %d of them were lost when it ended", reached, drain, inProgress)
	if reached > 0 {
		return exitBroken
	}
	return exitHeld
}
