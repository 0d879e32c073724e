package hostd

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/slowlink"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	// largeDocumentRoutes and applyDeadline are those of the largest installation.
	largeDocumentRoutes = 8000
	applyDeadline       = 2500 * time.Millisecond
)

func startSlowLink(t *testing.T, listen, to string) {
	t.Helper()
	l, err := slowlink.Start(listen, to, slowlink.TenMegabit)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
}

// newSlowFleet returns a fleet whose gates and ways to the store are behind slow links.
func newSlowFleet(t *testing.T, hosts int) *testFleet {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	f := &testFleet{t: t, subnet: 1 + fleetsStarted.Add(1)%maxSubnets, store: store, routes: defaultRoutes(), workspaces: []standin.Workspace{{Name: testWorkspace, Key: testKey}}}
	f.closeStoreAfterHosts()
	f.configure(1)
	f.gateBinds = map[string]string{}
	for n := 1; n <= hosts; n++ {
		set := f.settings(n)
		f.gateBinds[set.Host] = freeAddr(t, set.IP)
		startSlowLink(t, set.GateListen, f.gateBinds[set.Host])
		set.StoreAddress = freeAddr(t, set.IP)
		startSlowLink(t, set.StoreAddress, f.store.Addr())
		set.MemoryBytes = 4 << 30 // the limit of the runtime, which all hosts of the test share
		f.add(n, set)
	}
	f.await("all hosts know each other", func() bool {
		for _, h := range f.hosts {
			if v := h.control.View(); !v.Ready() || !h.control.proven() || len(v.Targets("svc")) != hosts {
				return false
			}
		}
		return true
	})
	return f
}

func manyRoutes(n int) []standin.Route {
	list := defaultRoutes()
	for i := len(list); i < n; i++ {
		list = append(list, standin.Route{Name: fmt.Sprintf("route-%x", i*7919), Host: fmt.Sprintf("h%x.example", i*104729%65537), Prefix: fmt.Sprintf("/p%x/%x/", i*31, i%256),
			Kind: "idempotent", Service: "svc", Timeout: 8 * time.Second, Objective: 3 * time.Second})
	}
	return list
}

// Guards against a change that is late, or never arrives, because the document is large and the
// links are slow: requests went on to be handled as before the change.
func TestChangeOfALargeDocumentIsInForceInTimeOverSlowLinks(t *testing.T) {
	f := newSlowFleet(t, 20)
	for i, change := range []struct {
		name string
		make func()
	}{
		{"6,600 routes", func() { f.routes = manyRoutes(largeDocumentRoutes - 1400) }},
		{"1,400 routes more", func() { f.routes = manyRoutes(largeDocumentRoutes) }},
		{"one route", func() { f.routes[2].Timeout = 19 * time.Second }},
		{"another route", func() { f.routes[5000].Timeout = 7 * time.Second }},
		{"a key", func() { f.workspaces = []standin.Workspace{{Name: testWorkspace, Key: "another-key"}} }},
	} {
		time.Sleep(500 * time.Millisecond)
		change.make()
		f.configure(i + 2)
		took := f.awaitRevision(i + 2)
		t.Logf("%s: in force everywhere after %s", change.name, took)
		assert.Check(t, took <= applyDeadline, "%s: %s", change.name, took)
	}
}
