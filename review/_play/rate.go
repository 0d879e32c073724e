package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
)

const (
	hotRate, hotBurst = 20, 160
	hotTenant         = "wake-offices"
	hotKey            = "key-of-wake-offices"
	// hotDemand is 7.5 times the usual of a tenant whose limit is 1.6 times its usual, in
	// requests a second over all machines.
	hotDemand = 7.5 * hotRate / 1.6
	// killAfter is how long the tenant has been hot when the daemon is killed.
	killAfter = 2200 * time.Millisecond
	// hotFor is how long the tenant is hot, the site's longest at this strength.
	hotFor = 6500 * time.Millisecond
	// restartDelay is the time between the end of a process and its start.
	restartDelay = 300 * time.Millisecond
	// rateWindow, rateOverage and rateSlack are quotaWindowS, quotaOverage and quotaSlack.
	rateWindow  = 5 * time.Second
	rateOverage = 0.1
	rateSlack   = 20
)

// playRate kills the daemon that holds the tokens of a tenant while the tenant sends many
// times its usual.
func playRate(trouble bool, recordPath string) (bool, error) {
	conf := shopConfig()
	conf.workspaces = append(conf.workspaces, standin.Workspace{Name: hotTenant, Key: hotKey, Rate: hotRate, Burst: hotBurst})
	f, err := newFleet(recordPath, conf)
	if err != nil {
		return false, err
	}
	defer f.close()
	workers, err := f.startShop("orders", "menus", "orders", "menus", "orders", "menus")
	if err != nil {
		return false, err
	}
	var names []string
	for _, m := range f.machines {
		names = append(names, m.name)
	}
	owner := quota.RankOwners("rate "+hotTenant, names)[0]
	holder := f.machines[slices.Index(names, owner)]
	time.Sleep(8 * time.Second) // the tenant may send its burst again
	c := &clients{f: f}
	stop := make(chan struct{})
	for _, m := range f.machines {
		go func() {
			h := kept()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / hotDemand * float64(len(f.machines)) * float64(time.Second))):
				}
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.callKey(h, m, "hot", "/menu/1?work=5", orderBody(), 3*time.Second, hotKey)
				}()
			}
		}()
	}
	f.record.line("%s sends %.0f requests a second, its limit is %d with a burst of %d; %s holds its tokens", hotTenant, float64(hotDemand), hotRate, hotBurst, owner)
	hotSince := time.Now()
	time.Sleep(killAfter)
	if trouble {
		f.record.line("SIGKILL to %s", holder.name)
		holder.kill()
		time.Sleep(restartDelay)
		if err := holder.start(false); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(hotSince.Add(hotFor)))
	close(stop)
	c.wg.Wait()
	runs := allRuns(workers)
	c.write(runs)
	// A request counts in a window in which it was both sent and run.
	var sent, ran []time.Time
	for _, a := range c.all {
		for _, r := range runs[a.id] {
			sent, ran = append(sent, a.sent), append(ran, r.at)
		}
	}
	most, when := 0, time.Time{}
	for _, from := range sent {
		n := 0
		for i := range sent {
			if !sent[i].Before(from) && ran[i].Before(from.Add(rateWindow)) {
				n++
			}
		}
		if n > most {
			most, when = n, from
		}
	}
	allowed := (hotRate*rateWindow.Seconds()+hotBurst)*(1+rateOverage) + rateSlack
	text := fmt.Sprintf("%d requests of %s were sent and run within %s from %.3f s on, %.0f are allowed", most, hotTenant, rateWindow, when.Sub(f.record.t0).Seconds(), allowed)
	f.record.line("%s", text)
	fmt.Fprintln(os.Stdout, text)
	return float64(most) > allowed, nil
}
