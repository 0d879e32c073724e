package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// maxBody is the maxBodyBytes that "fleetbench wire" shows in op/config.
	maxBody = 64 << 20
	// uploadBytes and uploaders are the size of one upload and how many clients of a
	// machine send one at the same time: 240 MiB together.
	uploadBytes = 40 << 20
	uploaders   = 6
	// uploadRate is how fast one client sends, in bytes a second. All of a machine's
	// clients together stay below its link.
	uploadRate = 10 << 20
)

// slowBody is a body that a client sends at uploadRate.
type slowBody struct {
	left  int
	begun time.Time
	sent  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.begun.IsZero() {
		b.begun = time.Now()
	}
	n := min(len(p), b.left, 64<<10)
	copy(p[:n], bytes.Repeat([]byte{'x'}, n))
	b.left -= n
	b.sent += n
	due := b.begun.Add(time.Duration(float64(b.sent) / uploadRate * float64(time.Second)))
	time.Sleep(time.Until(due))
	return n, nil
}

// playUploads has some clients of two machines send large requests at once, within the
// limits of the configuration.
func playUploads(trouble bool, recordPath string) (bool, error) {
	conf := shopConfig()
	conf.maxBodyBytes = maxBody
	conf.routes = append(conf.routes, standin.Route{Name: "photo", Host: clientHost, Prefix: "/photo/", Kind: "non_idempotent", Service: "menus", Timeout: 20 * time.Second, Objective: 10 * time.Second})
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
	ended := map[*machine]int{}
	// The platform kills a process that exceeds its memory, and starts it again.
	platformDone := make(chan struct{})
	go func() {
		defer close(platformDone)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, m := range f.machines {
				if r := m.rss(); r > memoryMb {
					m.signal(syscall.SIGKILL)
					<-m.exited
					ended[m]++
					f.record.line("daemon of %s had %.0f MB of %d and was killed by the platform, time %d", m.name, r, memoryMb, ended[m])
					time.Sleep(500 * time.Millisecond)
					if err := m.start(false); err != nil {
						f.record.line("start: %v", err)
					}
				}
			}
		}
	}()
	time.Sleep(5 * time.Second)
	size := uploadBytes
	if !trouble {
		size = 24000 // the largest request of the site
	}
	for range 4 {
		for _, m := range f.machines[:2] {
			for range uploaders {
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					h := kept()
					defer h.CloseIdleConnections()
					c.call(h, m, "photo", "/photo/1?work=300", &slowBody{left: size}, 20*time.Second)
				}()
			}
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	<-platformDone
	c.wg.Wait()
	runs := allRuns(workers)
	c.write(runs)
	// Fault: on two machines or more, processes end by themselves three times, memory
	// over the limit counts. LOST: more than three requests of kept connections that were
	// passed on to a worker end with a closed connection. Only orders are counted, as
	// Go's client sends a GET again by itself.
	machinesEnded := 0
	for _, n := range ended {
		if n >= 3 {
			machinesEnded++
		}
	}
	lost := 0
	for _, a := range c.all {
		if a.kind == "order" && a.status == 0 && a.kept && len(runs[a.id]) > 0 {
			lost++
		}
	}
	f.record.line("machines on which the daemon was over its memory three times: %d; requests passed on and cut without an answer: %d", machinesEnded, lost)
	fmt.Fprintf(os.Stdout, "machines with three ends: %d, requests lost: %d\n", machinesEnded, lost)
	return machinesEnded >= 2 || lost > 3, nil
}
