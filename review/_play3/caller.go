package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// addrReuse is addrReuseS, after which an address may go to a worker of another service.
	addrReuse = 2 * time.Second
	// settleTime is how long after the change of the settings file requests are not judged. The
	// rule gives no time at all.
	settleTime = 5 * time.Second
)

// playCaller has the address of a machine's worker go to a worker of another service, which the
// settings file says from then on. The requests that begin on the machine come from that service.
func playCaller(f *fleet, trouble bool) (broken bool, err error) {
	f.configure(1, []standin.Route{
		{Name: "order-booking", Host: shopHost, Prefix: "/orders/", Kind: "non_idempotent", Service: service, Timeout: 4 * time.Second, Objective: 2500 * time.Millisecond},
		{Name: "stock-reserve-read", Host: shopHost, Prefix: "/stock/", Kind: "idempotent", Service: service, Timeout: 2 * time.Second, Objective: 600 * time.Millisecond, AuthExempt: true},
	}, []standin.Workspace{{Name: tenant, Key: key}})
	zones := []string{"alfold-a", "alfold-b", "alfold-c"}
	for i := range 6 {
		if _, err := f.add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := &clients{}
	stop := make(chan struct{})
	m := f.hosts[0]
	go c.load([]*host{m}, 10, standin.Call{Method: http.MethodPost, URI: "/orders/1", Key: key, Body: "a headboard", Timeout: 4 * time.Second}, stop)
	go c.load([]*host{m}, 5, standin.Call{URI: "/stock/1", Timeout: 2 * time.Second}, stop)
	time.Sleep(2 * time.Second)
	m.stopWorker()
	time.Sleep(addrReuse + 500*time.Millisecond)
	if trouble {
		m.set.Service = otherService
	}
	if err := m.writeSettings(); err != nil {
		return false, err
	}
	changed := time.Now()
	if err := m.startWorker(); err != nil {
		return false, err
	}
	f.rec.note("a worker of %s starts at its address, and the settings file of %s says so", m.set.Service, m.set.Host)
	if os.Getenv("SIGNAL") == "1" { // to see that a signal makes the difference
		m.signal(syscall.SIGHUP)
		f.rec.note("SIGHUP")
	}
	f.rec.note("its heartbeat is acknowledged: %t", m.sayState("ready"))
	time.Sleep(settleTime + 5*time.Second)
	close(stop)
	sent := c.all()
	runs := f.runs()
	f.rec.answers(sent, runs)
	sentAt := map[string]time.Time{}
	for _, s := range sent {
		sentAt[s.attempt] = s.sent
	}
	callers, wrong := map[string]int{}, 0
	for _, r := range runs {
		if sentAt[r.Attempt].Before(changed.Add(settleTime)) {
			continue
		}
		callers[r.Caller]++
		if r.Caller != m.set.Service {
			wrong++
		}
	}
	f.rec.note("of the requests that began on %s, machine of %s, later than %s after the change, ran by the name of the caller's service: %v", m.set.Host, m.set.Service, settleTime, callers)
	f.rec.note("UNASKED: %d ran under the name of another service", wrong)
	return wrong > 0, nil
}
