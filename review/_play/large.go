package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// largeAnswer is the size of an answer. The pages set no limit to it.
	largeAnswer = 20 << 20
	// smallAnswer is the largest answer of the site's clients.
	smallAnswer = 540000
	// largeWork is how long a worker works before its answer.
	largeWork = 2500 * time.Millisecond
	// largeReqs is how many requests for such an answer are under way when a machine stops.
	largeReqs = 4
)

// playLarge stops a machine while its clients await large answers.
func playLarge(trouble bool, recordPath string) (bool, error) {
	conf := shopConfig()
	conf.routes = append(conf.routes, standin.Route{Name: "pdf", Host: clientHost, Prefix: "/pdf/", Kind: "download", Service: "orders", Timeout: 12 * time.Second, Objective: 6 * time.Second})
	f, err := newFleet(recordPath, conf)
	if err != nil {
		return false, err
	}
	defer f.close()
	workers, err := f.startShop("orders", "menus", "orders", "menus", "orders", "menus")
	if err != nil {
		return false, err
	}
	size := smallAnswer
	if trouble {
		size = largeAnswer
	}
	c := &clients{f: f}
	signalled := map[string]time.Time{}
	for i := range 3 {
		m := f.machines[2*i+1]
		term := time.Now().Add(time.Second)
		signalled[m.name] = term
		h := kept()
		for range largeReqs {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				time.Sleep(time.Until(term.Add(-500 * time.Millisecond)))
				c.call(h, m, "download", fmt.Sprintf("/pdf/1?work=%d&size=%d", largeWork.Milliseconds(), size), nil, 25*time.Second)
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
		if !a.signed && len(runs[a.id]) > 0 {
			lost++
			f.record.line("LOST: attempt %s got %d, error %q", a.id, a.status, a.err)
		}
	}
	fmt.Fprintf(os.Stdout, "%d requests by end %v, lost %d\n", len(c.all), ends, lost)
	return lost > 0, nil
}
