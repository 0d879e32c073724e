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
	// slowWork is how long a worker works on a request. It has begun its answer before
	// that if the request asks for it, and is silent until it ends it.
	slowWork = 5700 * time.Millisecond
	// slowOrders is how many such requests are under way when a machine stops.
	slowOrders = 12
	// lastSixth is the time after the signal from which a worker that is still at work
	// excuses the machine.
	lastSixth = stopGrace * 5 / 6
)

// playSilence stops a machine while workers are silent in the middle of their answers.
func playSilence(trouble bool, recordPath string) (bool, error) {
	conf := shopConfig()
	conf.routes = append(conf.routes, standin.Route{Name: "big-order", Host: clientHost, Prefix: "/big-order/", Kind: "non_idempotent", Service: "orders", Timeout: 12 * time.Second, Objective: 6 * time.Second})
	f, err := newFleet(recordPath, conf)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.slots = 20
	workers, err := f.startShop("orders", "menus", "orders", "menus", "orders", "menus")
	if err != nil {
		return false, err
	}
	c := &clients{f: f}
	signalled := map[string]time.Time{}
	for i := range 3 {
		m := f.machines[2*i+1]
		term := time.Now().Add(1500 * time.Millisecond)
		signalled[m.name] = term
		h := kept()
		for range slowOrders {
			at := term.Add(-1450*time.Millisecond + time.Duration(rand.N(150))*time.Millisecond)
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				time.Sleep(time.Until(at))
				path := fmt.Sprintf("/big-order/1?work=%d", slowWork.Milliseconds())
				if trouble {
					path += "&begin=1"
				}
				c.call(h, m, "order", path, orderBody(), 25*time.Second)
			}()
		}
		time.Sleep(time.Until(term))
		f.record.line("SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
		select {
		case <-m.exited:
		case <-time.After(time.Until(term.Add(stopGrace))):
			m.kill()
		}
		f.record.line("%s ended %.2f s after the signal", m.name, time.Since(term).Seconds())
		c.wg.Wait()
		if err := m.start(false); err != nil {
			return false, err
		}
		if err := f.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second) // contactMs
	}
	runs := allRuns(workers)
	c.write(runs)
	lost, ends := 0, map[string]int{}
	for _, a := range c.all {
		ends[fmt.Sprintf("%d signed %t", a.status, a.signed)]++
		for _, r := range runs[a.id] {
			cutBefore := time.Unix(0, r.ended.Load()).Before(signalled[a.machine].Add(lastSixth))
			if !a.signed && cutBefore && (r.status.Load() == callerLeft || r.status.Load() == 200) {
				lost++
				f.record.line("LOST: attempt %s got %d, error %q, while its worker was at work on its answer", a.id, a.status, a.err)
			}
		}
	}
	f.record.line("%d orders by end %v, lost %d", len(c.all), ends, lost)
	fmt.Fprintf(os.Stdout, "%d orders by end %v, lost %d\n", len(c.all), ends, lost)
	return lost > 0, nil
}
