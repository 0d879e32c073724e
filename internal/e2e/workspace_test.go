package e2e

import (
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/harness"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"gotest.tools/v3/assert"
)

// spoofed holds internal headers that must be ignored when a caller sends them.
var spoofed = map[string]string{
	"Gooseberryshed-Workspace":  "w2",
	"gooseberryshed-workspace":  "w2",
	"Gooseberryshed-Attempt":    "00000000000000000000000000000000",
	"Gooseberryshed-Key-Id":     "w2-k1",
	"Gooseberryshed-Revision":   "999999",
	"Gooseberryshed-Idempotent": "true",
}

func TestRequestsRunOnlyForTheWorkspaceOfTheirKey(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	foreign := map[string]string{"Authorization": "Bearer no-such-key"}
	twoKeys := map[string]string{"X-Api-Key": harness.Secret("w2", "k1")}
	nominated := map[string]string{"Connection": "keep-alive, X-Api-Key, Authorization"}
	for _, c := range []struct {
		name   string
		r      harness.Request
		status int
	}{
		{"bearer", harness.Request{Workspace: "w1"}, 200},
		{"api key", harness.Request{Workspace: "w1", KeyForm: harness.KeyHeader}, 200},
		{"spoofed headers", harness.Request{Workspace: "w1", Headers: spoofed}, 200},
		{"no key", harness.Request{Workspace: "w1", KeyForm: harness.KeyNone}, 401},
		{"no key and spoofed headers", harness.Request{KeyForm: harness.KeyNone, Headers: spoofed}, 401},
		{"unknown key", harness.Request{Workspace: "w1", KeyForm: harness.KeyNone, Headers: foreign}, 401},
		{"route of another workspace", harness.Request{Workspace: "w2", Path: "/w1"}, 403},
		{"route of its own workspace", harness.Request{Workspace: "w1", Path: "/w1"}, 200},
		{"route of another workspace by path traversal", harness.Request{Workspace: "w2", Path: "/orders/../w1"}, 403},
		{"keys of two workspaces", harness.Request{Workspace: "w1", Headers: twoKeys}, 400},
		{"key named in Connection", harness.Request{Workspace: "w1", KeyForm: harness.KeyHeader, Headers: nominated}, 200},
		{"open route", harness.Request{KeyForm: harness.KeyNone, Path: "/open", Method: "GET"}, 200},
	} {
		for i := range f.Hosts {
			c.r.Host = i
			got := f.Call(c.r)
			assert.Check(t, got.Status == c.status, "%s at host %d: %+v", c.name, i, got)
			assert.Check(t, c.status == 200 || got.RunState == "not-run", "%s: %+v", c.name, got)
		}
	}
	f.Verify()
}

func TestKeyOnAnOpenRouteIsNotSeenByTargets(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Hosts: 3})
	for i := range f.Hosts {
		for _, form := range []harness.KeyForm{harness.KeyBearer, harness.KeyHeader} {
			f.Call(harness.Request{Host: i, Workspace: "w1", KeyForm: form, Path: "/open", Method: "GET", Headers: spoofed})
		}
	}
	f.ReportViolations(trace.CheckNoKeyExposed(f.Runs()))
	assertAllSucceeded(t, f.Calls())
}

// revokeKey removes key k1 of w1 and returns the time at which the change was
// accepted.
func revokeKey(f *harness.Fleet) time.Time {
	return f.Apply(harness.WorkspaceSection(map[string]harness.WorkspaceSpec{
		"w1": {Rate: "2000/s", Burst: 2000, Keys: []string{"k2"}},
	}))
}

func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		cut  func(f *harness.Fleet)
	}{
		{"fully connected", func(*harness.Fleet) {}},
		{"a daemon cut off from the table", func(f *harness.Fleet) {
			f.Fabric.Partition(f.Hosts[0].Name, harness.PlatformHost, fabric.BothWays)
		}},
		{"a daemon that gets no table replies", func(f *harness.Fleet) {
			f.Fabric.Partition(harness.PlatformHost, f.Hosts[0].Name, fabric.OneWay)
		}},
		{"an isolated daemon", func(f *harness.Fleet) { isolate(f, f.Hosts[0]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := harness.Start(t, harness.Options{})
			stop := f.StartLoad(harness.Load{Rate: 120, Request: getRequest()})
			other := getRequest()
			other.KeyID = "k2"
			stopOther := f.StartLoad(harness.Load{Rate: 30, Hosts: []int{1, 2, 3, 4, 5}, Request: other})
			pause(time.Second)
			c.cut(f)
			accepted := revokeKey(f)
			pause(drainTimeout + 3*time.Second)
			stop()
			stopOther()
			calls, runs := f.Verify()
			f.ReportViolations(trace.CheckNoRuns("new request with a revoked key", accepted.Add(drainTimeout), time.Now(), runs, ranWithKey(calls, "w1", "k1")))
			t.Log(countByResult(sentSince(calls, accepted.Add(drainTimeout))))
			assert.Check(t, anyRunAfter(runs, accepted.Add(drainTimeout), ranWithKey(calls, "w1", "k2")), "the other key must still work")
		})
	}
}

// isolate partitions a host from the platform and from all other hosts.
func isolate(f *harness.Fleet, h *harness.Host) {
	f.Fabric.Partition(h.Name, harness.PlatformHost, fabric.BothWays)
	for _, other := range f.Hosts {
		if other != h {
			f.Fabric.Partition(h.Name, other.Name, fabric.BothWays)
		}
	}
}

// reconnect reverses isolate.
func reconnect(f *harness.Fleet, h *harness.Host) {
	f.Fabric.Heal(h.Name, harness.PlatformHost)
	for _, other := range f.Hosts {
		if other != h {
			f.Fabric.Heal(h.Name, other.Name)
		}
	}
}
