package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
)

// Bounds of the rule QUOTA, and the tenant's limit.
const (
	quotaWindow  = 5 * time.Second // quotaWindowS
	quotaOverage = 0.1             // quotaOverage
	quotaSlack   = 20              // quotaSlack
	tenantRate   = 1               // ratePerS
	tenantBurst  = 1               // burst
	// tenantSends is what the tenant sends a second.
	tenantSends = 15
	// machines are those of kar-tray.
	machines = 24
	// darkTime is for how long machines that lose power are dark.
	darkTime = 3500 * time.Millisecond
)

// mostInWindow returns the largest number of requests that were both sent and run in one
// window, and when that window began.
func mostInWindow(sent []*sentRequest, runs []run) (most int, from time.Time) {
	ranAt := map[string]time.Time{}
	for _, r := range runs {
		if at, ok := ranAt[r.Attempt]; !ok || r.At.Before(at) {
			ranAt[r.Attempt] = r.At
		}
	}
	for _, first := range sent {
		n := 0
		for _, s := range sent {
			at, ran := ranAt[s.attempt]
			if ran && !s.sent.Before(first.sent) && at.Before(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

// playOwners has a tenant send far above its limit while the two machines of highest rank for
// the tenant's bucket lose power.
func playOwners(f *fleet, trouble bool) (broken bool, err error) {
	zones := []string{"sk-central-a", "sk-central-b", "sk-central-c"}
	names := make([]string, machines)
	for i := range names {
		names[i] = fmt.Sprintf("sidecar-%s-%d", zones[i%len(zones)], i/len(zones)+1)
	}
	const name = "parish"
	owners := quota.RankOwners("rate "+name, names)[:2]
	routes := []standin.Route{
		{Name: "slot-check", Host: shopHost, Prefix: "/slots/", Kind: "idempotent", Service: service, Timeout: 6 * time.Second, Objective: 2 * time.Second},
	}
	f.configure(1, routes, []standin.Workspace{{Name: name, Key: key, Rate: tenantRate, Burst: tenantBurst}})
	for i, n := range names {
		if _, err := f.add(n, zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var lost, rest []*host
	for _, h := range f.hosts {
		if slices.Contains(owners, h.set.Host) {
			lost = append(lost, h)
		} else {
			rest = append(rest, h)
		}
	}
	c := &clients{}
	stop := make(chan struct{})
	f.rec.note("%s begins to send %d a second; its limit is %d a second, burst %d", name, tenantSends, tenantRate, tenantBurst)
	go c.load(rest, tenantSends, standin.Call{Method: http.MethodGet, URI: "/slots/1", Key: key, Timeout: 6 * time.Second}, stop)
	time.Sleep(time.Second)
	if trouble {
		for _, h := range lost {
			h.signal(syscall.SIGKILL)
			h.worker.Close()
		}
		f.rec.note("%v lose power", owners)
	}
	time.Sleep(darkTime)
	if trouble {
		for _, h := range lost {
			<-h.done
			if err := h.startWorker(); err != nil {
				return false, err
			}
			if err := h.startDaemon(); err != nil {
				return false, err
			}
		}
		f.rec.note("they have power again")
	}
	time.Sleep(3500 * time.Millisecond)
	close(stop)
	sent := c.all()
	runs := f.runs()
	f.rec.answers(sent, runs)
	most, from := mostInWindow(sent, runs)
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	f.rec.note("QUOTA: %d requests sent and run within %s from %.3f on; allowed are %.1f", most, quotaWindow, f.rec.at(from), bound)
	return float64(most) > bound, nil
}
