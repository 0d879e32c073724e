package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// addrReuse is longer than addrReuseS, 2 s.
	addrReuse = 2500 * time.Millisecond
	// settled is how long after the change of the settings requests count.
	settled = 6 * time.Second
)

// playCaller gives the address of a worker that has ended to a worker of another service.
// The settings file of the machine changes without a signal.
func playCaller(trouble bool, recordPath string) (bool, error) {
	f, err := newFleet(recordPath, shopConfig())
	if err != nil {
		return false, err
	}
	defer f.close()
	workers, err := f.startShop("orders", "menus", "orders", "menus", "orders", "menus")
	if err != nil {
		return false, err
	}
	c := &clients{f: f}
	stop := make(chan struct{})
	for _, m := range f.machines {
		go c.traffic(m, stop)
	}
	time.Sleep(5 * time.Second)
	m := f.machines[1]
	f.record.line("the worker of %s ends", m.name)
	m.worker.stop()
	time.Sleep(addrReuse)
	if trouble {
		m.service = "orders"
	}
	if err := m.writeSettings(false); err != nil {
		return false, err
	}
	f.record.line("the settings of %s have changed, service %s, without a signal", m.name, m.service)
	changed := time.Now()
	if err := m.startWorker("i-9"); err != nil {
		return false, err
	}
	workers = append(workers, m.worker)
	f.record.line("worker %s of %s has the address", m.worker.id, m.service)
	time.Sleep(settled + 10*time.Second)
	close(stop)
	c.wg.Wait()
	runs := allRuns(workers)
	c.write(runs)
	n, wrong := 0, 0
	for _, a := range c.all {
		if a.machine != m.name || a.sent.Before(changed.Add(settled)) {
			continue
		}
		for _, r := range runs[a.id] {
			n++
			if r.caller != m.service {
				wrong++
				f.record.line("UNASKED: attempt %s from %s ran at %s with the caller service %s", a.id, m.name, r.worker, r.caller)
			}
		}
	}
	own := 0
	for _, r := range runs {
		for _, r := range r {
			if r.worker == "i-9" {
				own++
			}
		}
	}
	f.record.line("%d runs of requests of %s, %d with another caller service; the new worker ran %d requests", n, m.name, wrong, own)
	fmt.Fprintf(os.Stdout, "%d runs of requests of %s, %d with another caller service; the new worker ran %d requests\n", n, m.name, wrong, own)
	return wrong > 0, nil
}
