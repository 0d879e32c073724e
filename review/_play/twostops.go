package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// secondStop is the time from the first SIGTERM to the second one.
	secondStop = 2 * time.Second
	// busyWork is how long a worker works on the orders that occupy all workers.
	busyWork = 9 * time.Second
	// waitingOrders is how many orders wait for a worker when their machine stops.
	waitingOrders = 10
)

// playTwoStops has two planned stops of a machine overlap while orders wait for a worker.
// SIGKILL comes when the grace time of the first is over.
func playTwoStops(trouble bool, recordPath string) (bool, error) {
	conf := shopConfig()
	conf.routes = append(conf.routes, standin.Route{Name: "big-order", Host: clientHost, Prefix: "/big-order/", Kind: "non_idempotent", Service: "orders", Timeout: 12 * time.Second, Objective: 6 * time.Second})
	f, err := newFleet(recordPath, conf)
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
	close(stop)
	c.wg.Wait()
	m := f.machines[1]
	// More orders than there are slots, from the other machines.
	for range 6 {
		for _, other := range f.machines {
			if other == m {
				continue
			}
			h := kept()
			for range 3 {
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.call(h, other, "long", fmt.Sprintf("/big-order/1?work=%d", busyWork.Milliseconds()), orderBody(), 25*time.Second)
				}()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	term := time.Now().Add(500 * time.Millisecond)
	h := kept()
	for range waitingOrders {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			time.Sleep(time.Until(term.Add(-time.Duration(50+rand.N(300)) * time.Millisecond)))
			c.call(h, m, "order", "/big-order/9?work=300", orderBody(), 25*time.Second)
		}()
	}
	time.Sleep(time.Until(term))
	f.record.line("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(time.Until(term.Add(secondStop)))
		f.record.line("SIGTERM to %s again", m.name)
		m.signal(syscall.SIGTERM)
	}
	select {
	case <-m.exited:
	case <-time.After(time.Until(term.Add(stopGrace))):
		f.record.line("SIGKILL to %s", m.name)
		m.kill()
	}
	f.record.line("%s ended %.2f s after the first signal", m.name, time.Since(term).Seconds())
	c.wg.Wait()
	runs := allRuns(workers)
	c.write(runs)
	lost, ends := 0, map[string]int{}
	for _, a := range c.all {
		if a.kind != "order" || a.machine != m.name || a.sent.Before(term.Add(-time.Second)) {
			continue
		}
		ends[fmt.Sprintf("%d", a.status)]++
		if a.status == 0 {
			lost++
			f.record.line("LOST: attempt %s was sent %.2f s before the signal and ended %.2f s after it with %q, run %d times", a.id, term.Sub(a.sent).Seconds(), a.ended.Sub(term).Seconds(), a.err, len(runs[a.id]))
		}
	}
	fmt.Fprintf(os.Stdout, "%d orders by status %v, lost %d\n", waitingOrders, ends, lost)
	return lost > 0, nil
}
