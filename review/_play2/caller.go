package main

import (
	"fmt"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the case "caller".
const (
	// addrReuse is addrReuseS, after which an address may be given to another service.
	addrReuse = 2 * time.Second
	// noticeTime is how long the daemon has to notice the change.
	noticeTime = 15 * time.Second
	callerWork = 20 * time.Millisecond
)

// playCaller replaces the worker beside a daemon by one of another service at the same address.
// The platform changes the settings file and sends no signal.
func playCaller(r *record) int {
	f := newFleet(r)
	defer f.stop()
	order := standin.Route{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	menu := standin.Route{Name: "menu", Host: shopHost, Prefix: "/menu/", Kind: "idempotent", Service: "menus", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	f.services, f.routes = []string{"orders", "menus"}, []standin.Route{order, menu}
	f.configure(1)
	for i := range 4 {
		f.addHost(f.services[i%2], fmt.Sprintf("zone-%d", i/2))
	}
	f.start(callerWork)
	h := f.hosts[0]
	if trouble() {
		w := h.current()
		h.stopBeating()
		w.setLeaving()
		r.note("the sign-off of %s (%s) was acknowledged: %t", w.id, w.service, w.signOff(h.set.AnnounceListen))
		time.Sleep(drain + time.Second)
		w.end()
		r.line("worker %s ends", w.id)
		time.Sleep(addrReuse + 500*time.Millisecond)
		h.set.Service = "menus"
		h.writeSettings()
		next := h.startWorker("i-next", "menus", time.Now(), callerWork)
		r.line("the settings file of %s names service menus, and a worker of it starts", h.set.Host)
		r.note("its first heartbeat was acknowledged: %t", next.announce(h.set.AnnounceListen, next.heartbeat("ready")))
		h.beat()
		time.Sleep(noticeTime)
	}
	for i := range 20 {
		route := f.routes[i%2]
		attempt := fmt.Sprintf("late-%d", i)
		if _, err := f.callPath(h, attempt, route, attempt, shopKey, 3*time.Second); err != nil {
			r.note("no answer to %s: %v", attempt, err)
		}
	}
	wrong, right := 0, 0
	for _, at := range f.hosts {
		for _, a := range at.current().received() {
			var n int
			if _, err := fmt.Sscanf(a.attempt, "late-%d", &n); err != nil {
				continue
			}
			if a.caller == h.set.Service {
				right++
				continue
			}
			wrong++
		}
	}
	r.note("requests of %s, where service %s runs: %d ran with its name as the caller, %d with another", h.set.Host, h.set.Service, right, wrong)
	switch {
	case wrong > 0:
		return exitBroken
	case right == 0:
		return exitCannot
	}
	return exitHeld
}
