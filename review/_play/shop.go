package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// shopConfig is the configuration of a shop with two services.
func shopConfig() config {
	return config{
		services:   []string{"orders", "menus"},
		workspaces: []standin.Workspace{{Name: tenant, Key: clientKey}},
		routes: []standin.Route{
			{Name: "order", Host: clientHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second},
			{Name: "menu", Host: clientHost, Prefix: "/menu/", Kind: "idempotent", Service: "menus", Timeout: 3 * time.Second, Objective: 2 * time.Second},
		},
	}
}

// subnet returns the first three numbers of the play's loopback addresses.
func subnet() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 20+pid%200, pid/200%250)
}

// startShop starts two machines in each of three zones, with a worker of a service on
// each, and waits until they are ready.
func (f *fleet) startShop(services ...string) ([]*worker, error) {
	for i, service := range services {
		zone := "sk-central-" + string(rune('a'+i/2%3))
		if _, err := f.add(fmt.Sprintf("sidecar-%s-%d", zone, i%2+1+i/6*2), zone, service, fmt.Sprintf("%s.%d", subnet(), i+1)); err != nil {
			return nil, err
		}
	}
	var workers []*worker
	for i, m := range f.machines {
		if err := m.start(true); err != nil {
			return nil, err
		}
		if err := m.startWorker(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
		workers = append(workers, m.worker)
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return workers, nil
}

// traffic sends the usual requests of a machine's clients until stop is closed.
func (c *clients) traffic(m *machine, stop <-chan struct{}) {
	h := kept()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(150*time.Millisecond))):
		}
		c.goCall(h, m, "order", "/order/1?work=300", "a tray", 8*time.Second)
		c.goCall(h, m, "menu", "/menu/1?work=200", "", 6*time.Second)
	}
}
