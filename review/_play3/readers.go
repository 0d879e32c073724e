package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
)

// Figures of the case "readers".
const (
	// largeRate and largeBurst are the limit of a large tenant of kar-tray.
	largeRate  = 45
	largeBurst = 45
	// largeSends is what the tenant sends a second while it is hot: its limit is 1.6 times its
	// usual, and this is 6.4 times its usual.
	largeSends = 180
	// hotFor is for how long it does (for_s of the site file).
	hotFor = 6500 * time.Millisecond
	// refusedFor is for how long the store turns machines away (for_s of the site file).
	refusedFor = 9 * time.Second
	// leadTime is the time from then to the first of the two machines that join, and joinGap
	// the one between them. Their tenant begins in between.
	leadTime = 1400 * time.Millisecond
	joinGap  = 2 * time.Second
	// settleTime is the pause after the store serves all machines again.
	settleTime = 4 * time.Second
	// rounds is how often that is played, with another tenant each time.
	rounds = 6
	// readersPerZone is the number of machines of a zone that read the store for the others.
	readersPerZone = 2
)

var readersZones = []string{"sk-central-a", "sk-central-b", "sk-central-c"}

// round is one tenant and the two machines that join.
type round struct {
	tenant, owner string
	joining       [2]string
}

// planRounds chooses the tenants: each one's bucket is owned by a machine of the last zone, and
// by the second of the joining machines once that is there.
func planRounds(names []string) []round {
	known := slices.Clone(names)
	var plan []round
	for tenant := 0; len(plan) < rounds; tenant++ {
		n := len(names)/len(readersZones) + 1 + 2*len(plan)
		r := round{tenant: fmt.Sprintf("parish-%d", tenant)}
		r.joining = [2]string{machineName(0, n), machineName(0, n+1)}
		with := append(slices.Clone(known), r.joining[0])
		r.owner = quota.RankOwners("rate "+r.tenant, with)[0]
		with = append(with, r.joining[1])
		if quota.RankOwners("rate "+r.tenant, with)[0] == r.joining[1] && slices.Contains(zoneOf(names, len(readersZones)-1), r.owner) {
			plan, known = append(plan, r), with
		}
	}
	return plan
}

func machineName(zone, n int) string { return fmt.Sprintf("sidecar-%s-%d", readersZones[zone], n) }

// zoneOf returns the machines of a zone.
func zoneOf(names []string, zone int) (in []string) {
	for i := zone; i < len(names); i += len(readersZones) {
		in = append(in, names[i])
	}
	return in
}

// playReaders adds two machines while the store turns away the machines of two zones that read
// it for the others. The second of the two machines becomes the owner of a hot tenant's bucket,
// which a machine of one of the two zones has owned.
func playReaders(f *fleet, trouble bool) (broken bool, err error) {
	names := make([]string, machines)
	for i := range names {
		names[i] = machineName(i%len(readersZones), i/len(readersZones)+1)
	}
	plan := planRounds(names)
	routes := []standin.Route{
		{Name: "slot-check", Host: shopHost, Prefix: "/slots/", Kind: "idempotent", Service: service, Timeout: 6 * time.Second, Objective: 2 * time.Second},
	}
	var tenants []standin.Workspace
	for _, r := range plan {
		tenants = append(tenants, standin.Workspace{Name: r.tenant, Key: "key-of-" + r.tenant, Rate: largeRate, Burst: largeBurst})
	}
	f.configure(1, routes, tenants)
	for i, n := range names {
		if _, err := f.add(n, readersZones[i%len(readersZones)]); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var refused []*host
	for zone := 1; zone < len(readersZones); zone++ {
		readers := quota.RankOwners("reader", zoneOf(names, zone))[:readersPerZone]
		for _, h := range f.hosts {
			if slices.Contains(readers, h.set.Host) {
				refused = append(refused, h)
			}
		}
	}
	for i, r := range plan {
		broken, err := playRound(f, i, r, refused, trouble)
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

func playRound(f *fleet, n int, r round, refused []*host, trouble bool) (broken bool, err error) {
	clientsAt := slices.Clone(f.hosts)
	end := time.Now().Add(refusedFor)
	if trouble {
		for _, h := range refused {
			f.store.SetHostFault(h.set.IP, standin.ModeDown)
		}
		f.rec.note("round %d: the store turns away %d of %d machines, %s among them", n+1, len(refused), len(f.hosts), refused[0].set.Host)
		time.AfterFunc(refusedFor, func() {
			for _, h := range refused {
				f.store.SetHostFault(h.set.IP, standin.ModeOK)
			}
		})
	}
	time.Sleep(leadTime)
	if _, err := f.add(r.joining[0], readersZones[0]); err != nil {
		return false, err
	}
	time.Sleep(joinGap / 2)
	c := &clients{prefix: r.tenant + "-"}
	stop := make(chan struct{})
	f.rec.note("%s begins to send %d a second; its bucket is at %s", r.tenant, largeSends, r.owner)
	go c.load(clientsAt, largeSends, standin.Call{Method: http.MethodGet, URI: "/slots/1", Key: "key-of-" + r.tenant, Timeout: 6 * time.Second}, stop)
	time.Sleep(joinGap / 2)
	if _, err := f.add(r.joining[1], readersZones[0]); err != nil {
		return false, err
	}
	f.rec.note("%v have joined; the bucket of %s goes to the second", r.joining, r.tenant)
	time.Sleep(hotFor - joinGap/2)
	close(stop)
	sent := c.all()
	runs := f.runs()
	f.rec.answers(sent, slices.DeleteFunc(slices.Clone(runs), func(x run) bool { return x.Workspace != r.tenant }))
	most, from := mostInWindow(sent, runs)
	bound := (largeRate*quotaWindow.Seconds()+largeBurst)*(1+quotaOverage) + quotaSlack
	f.rec.note("QUOTA: %d requests of %s sent and run within %s from %.3f on; allowed are %.1f", most, r.tenant, quotaWindow, f.rec.at(from), bound)
	time.Sleep(time.Until(end.Add(settleTime)))
	return float64(most) > bound, nil
}
