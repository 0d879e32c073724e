package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// The tenant and its key, and a key that no configuration has ever held.
const (
	tenant    = "retail"
	key       = "key-of-retail"
	unheldKey = "key-that-was-never-issued"
)

// playRevoke has the operator take away the keys of a deployment's last tenant, by a version
// without it. Its clients go on to send.
func playRevoke(f *fleet, trouble bool) (broken bool, err error) {
	routes := []standin.Route{
		{Name: "order-booking", Host: shopHost, Prefix: "/orders/", Kind: "non_idempotent", Service: service, Timeout: 4 * time.Second, Objective: 2500 * time.Millisecond},
		{Name: "status-check", Host: shopHost, Prefix: "/status/", Kind: "idempotent", Service: service, Timeout: 4 * time.Second, Objective: 2500 * time.Millisecond},
		{Name: "stock-reserve-read", Host: shopHost, Prefix: "/stock/", Kind: "idempotent", Service: service, Timeout: 2 * time.Second, Objective: 600 * time.Millisecond, AuthExempt: true},
	}
	tenants := []standin.Workspace{{Name: tenant, Key: key}}
	f.configure(1, routes, tenants)
	zones := []string{"alfold-a", "alfold-b", "alfold-c"}
	for i := range 6 {
		if _, err := f.add(fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := &clients{}
	// Before: the key is valid, and one that was never issued is not.
	probe := standin.Call{Method: http.MethodPost, URI: "/orders/1", Key: unheldKey, Body: "a headboard", Timeout: 4 * time.Second}
	before := c.send(f.hosts[0], probe)
	f.rec.note("r1 holds one tenant with one key; an order with a key that was never issued is answered %d", before.result.Status)
	stop := make(chan struct{})
	go c.load(f.hosts, 12, standin.Call{Method: http.MethodPost, URI: "/orders/1", Key: key, Body: "a headboard", Timeout: 4 * time.Second}, stop)
	go c.load(f.hosts, 6, standin.Call{URI: "/status/1", Key: key, Timeout: 4 * time.Second}, stop)
	time.Sleep(3 * time.Second)
	if trouble {
		tenants = nil
	}
	f.configure(2, routes, tenants)
	acked := time.Now()
	f.rec.note("the store acknowledges r2, with %d tenants in its list", len(tenants))
	time.Sleep(revokeAfter + 5*time.Second)
	close(stop)
	after := c.send(f.hosts[0], probe)
	f.rec.note("an order with a key that was never issued is answered %d", after.result.Status)
	sent := c.all()
	runs := f.runs()
	f.rec.answers(sent, runs)
	ran := map[string]run{}
	for _, r := range runs {
		ran[r.Attempt] = r
	}
	late, statuses, noTenant, never := 0, map[int]int{}, 0, 0
	for _, s := range sent {
		r, hasRun := ran[s.attempt]
		if s == before || s == after {
			if hasRun {
				never++
			}
			continue
		}
		if !s.sent.After(acked.Add(revokeAfter)) {
			continue
		}
		statuses[s.result.Status]++
		if hasRun {
			late++
			if r.Workspace == "" {
				noTenant++
			}
		}
	}
	f.rec.note("requests with the tenant's key sent later than %s after the acknowledgement, by status: %v", revokeAfter, statuses)
	f.rec.note("ROUTE: %d requests ran whose key no configuration ever held", never)
	if !trouble {
		return never > 0, nil
	}
	f.rec.note("CONFIG: %d of them ran, %d of these without a tenant's name", late, noTenant)
	return late > 0 || never > 0, nil
}
