package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is graceS.
	stopGrace = 6 * time.Second
	// longOrders is how many long orders the clients of a machine have under way when it
	// stops.
	longOrders = 40
	// orderWork is how long a worker works on such an order.
	orderWork = 2850 * time.Millisecond
)

// playStops stops and starts machines in turn while orders are under way that take long.
func playStops(trouble bool, recordPath string) (bool, error) {
	f, err := newFleet(recordPath, shopConfig())
	if err != nil {
		return false, err
	}
	defer f.close()
	services := make([]string, 12)
	for i := range services {
		services[i] = "orders"
	}
	f.slots = 60
	workers, err := f.startShop(services...)
	if err != nil {
		return false, err
	}
	c := &clients{f: f}
	end := time.Now().Add(78 * time.Second)
	var wg sync.WaitGroup
	stops := 0
	var mu sync.Mutex
	for i, m := range f.machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * time.Second)
			for time.Now().Before(end) {
				begun := time.Now()
				if trouble {
					f.record.line("SIGTERM to %s", m.name)
					m.signal(syscall.SIGTERM)
					mu.Lock()
					stops++
					mu.Unlock()
				}
				// Clients come until the platform has seen two misses, one a second.
				h := kept()
				for range longOrders {
					at := begun.Add(1930*time.Millisecond + time.Duration(rand.N(50))*time.Millisecond)
					c.wg.Add(1)
					go func() {
						defer c.wg.Done()
						time.Sleep(time.Until(at))
						c.call(h, m, "order", fmt.Sprintf("/order/1?work=%d", orderWork.Milliseconds()), orderBody(), 8*time.Second)
					}()
				}
				if trouble {
					select {
					case <-m.exited:
					case <-time.After(time.Until(begun.Add(stopGrace))):
						m.kill()
					}
					f.record.line("%s ended %.2f s after the signal", m.name, time.Since(begun).Seconds())
					if err := m.start(false); err != nil {
						return
					}
				}
				time.Sleep(time.Until(begun.Add(12 * time.Second)))
			}
		}()
	}
	wg.Wait()
	c.wg.Wait()
	runs := allRuns(workers)
	c.write(runs)
	refused, ran := 0, 0
	ends := map[string]int{}
	for _, a := range c.all {
		ends[fmt.Sprint(a.status)]++
		switch a.status {
		case 429, 503, 408, 421:
			refused++
			if len(runs[a.id]) > 0 {
				ran++
				f.record.line("REFUSED: attempt %s was answered %d and has run", a.id, a.status)
			}
		}
	}
	f.record.line("%d stops, %d orders by status %v, %d refused, of which %d ran", stops, len(c.all), ends, refused, ran)
	fmt.Printf("%d stops, %d orders by status %v, %d refused, of which %d ran\n", stops, len(c.all), ends, refused, ran)
	return ran > 0, nil
}
