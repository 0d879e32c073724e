package hostd

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

const (
	testHost      = "shop.example"
	testKey       = "key-of-ws"
	testWorkspace = "ws"
)

// testFleet is a set of hosts in this process with a simulated store and
// simulated targets.
type testFleet struct {
	t *testing.T
	// subnet keeps the addresses of fleets apart that run at the same time.
	subnet     int64
	store      *standin.Platform
	running    sync.WaitGroup
	hosts      []*testHostd
	routes     []standin.Route
	workspaces []standin.Workspace
	// gateBinds are the addresses at which hosts listen behind a relay, by host.
	gateBinds map[string]string
	// rolloutStore, if set, wraps the store of the hosts' roll-outs.
	rolloutStore func(store) store
}

type testHostd struct {
	*Host
	// unreachable keeps the host from answering other hosts, and its control from
	// reaching them.
	unreachable *atomic.Bool
	target      *standin.Target
	cancel      context.CancelFunc
	done        chan error
	logs        *logBuffer
}

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) count(decision string) int {
	return strings.Count(l.String(), `"msg":"`+decision+`"`)
}

func freeAddr(t *testing.T, ip string) string {
	t.Helper()
	addr, err := freeport.On(ip)
	assert.NilError(t, err)
	return addr
}

func defaultRoutes() []standin.Route {
	return []standin.Route{
		{Name: "read", Host: testHost, Prefix: "/read/", Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 400 * time.Millisecond},
		{Name: "order", Host: testHost, Prefix: "/order/", Kind: "non_idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 400 * time.Millisecond},
		{Name: "long", Host: testHost, Prefix: "/long/", Kind: "non_idempotent", Service: "svc", Timeout: 20 * time.Second, Objective: 10 * time.Second},
		{Name: "inner", Host: testHost, Prefix: "/inner/", Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 400 * time.Millisecond, AuthExempt: true},
	}
}

func newFleet(t *testing.T, hosts int) *testFleet {
	t.Helper()
	return newFleetIn(t, slices.Repeat([]string{"dc-a"}, hosts)...)
}

const maxSubnets = 200

var fleetsStarted atomic.Int64

// newFleetIn starts a host in each of the data centres given.
func newFleetIn(t *testing.T, dataCentres ...string) *testFleet {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	f := &testFleet{t: t, subnet: 1 + fleetsStarted.Add(1)%maxSubnets, store: store, routes: defaultRoutes(), workspaces: []standin.Workspace{{Name: testWorkspace, Key: testKey}}}
	f.closeStoreAfterHosts()
	f.configure(1)
	for i, dc := range dataCentres {
		set := f.settings(i + 1)
		set.DataCentre, set.Regions[dc] = dc, "r"
		f.add(i+1, set)
	}
	f.await("all hosts know each other", func() bool {
		for _, h := range f.hosts {
			if v := h.control.View(); !v.Ready() || !h.control.proven() || len(v.Targets("svc")) != len(f.hosts) {
				return false
			}
		}
		return true
	})
	return f
}

func (f *testFleet) configure(revision int) {
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfig(revision, []string{"svc"}, f.routes, f.workspaces))
}

func (f *testFleet) settings(n int) *karpithaz.Settings {
	ip := fmt.Sprintf("127.0.%d.%d", f.subnet, n)
	addr := func() string { return freeAddr(f.t, ip) }
	return &karpithaz.Settings{
		Host: fmt.Sprintf("host-%d", n), DataCentre: "dc-a", Region: "r", Regions: map[string]string{"dc-a": "r"}, IP: ip,
		CallerListen: addr(), GateListen: addr(), ReadinessListen: addr(), AnnounceListen: addr(), DatagramListen: addr(),
		TargetAddress: addr(), Service: "svc", StoreAddress: f.store.Addr(),
		FeedRetention: 20 * time.Second, HeartbeatInterval: 1500 * time.Millisecond, MemoryBytes: 256 << 20,
		Bounds: karpithaz.Bounds{
			RevocationDeadline: 5 * time.Second, StrictRevocation: true, ConfigApplyDeadline: 2 * time.Second, ShutdownGracePeriod: 6 * time.Second,
			RetryBudgetRatio: 0.2, RetryBudgetSlack: 50, RetryBudgetWindow: 10 * time.Second,
			RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20, ColdRateFactor: 1.5, ColdRateSlack: 5, ProbesPerSecond: 3, FloorShare: 0.7,
		},
	}
}

func (f *testFleet) add(n int, set *karpithaz.Settings) *testHostd {
	target, err := standin.StartTarget(fmt.Sprintf("i-%d", n), "svc", set.TargetAddress, 4, 20*time.Millisecond)
	assert.NilError(f.t, err)
	f.t.Cleanup(target.Close)
	h := f.start(set, target)
	f.hosts = append(f.hosts, h)
	return h
}

// closeStoreAfterHosts keeps the store's port until the hosts have stopped, some seconds
// after the test. A server of another test on that port would receive their calls.
func (f *testFleet) closeStoreAfterHosts() {
	f.t.Cleanup(func() {
		go func() {
			f.running.Wait()
			f.store.Close()
		}()
	})
}

// runningHosts are the hosts of all tests. They stop for some seconds after the end of
// their test.
var runningHosts sync.WaitGroup

func (f *testFleet) start(set *karpithaz.Settings, target *standin.Target) *testHostd {
	logs := &logBuffer{}
	host, err := New(Options{Settings: set, Output: logs, GateBind: f.gateBinds[set.Host]})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	unreachable, answer := &atomic.Bool{}, host.datagrams.answer
	host.datagrams.answer = func(ctx context.Context, q datagram) datagram {
		if unreachable.Load() {
			<-ctx.Done()
		}
		return answer(ctx, q)
	}
	host.control.peers = cutPeers{host.control.peers, unreachable}
	if f.rolloutStore != nil {
		host.rollouts.store = f.rolloutStore(host.rollouts.store)
	}
	host.rollouts.query = cutPeers{host.control.peers, unreachable}.query
	h := &testHostd{Host: host, unreachable: unreachable, target: target, cancel: cancel, done: make(chan error, 1), logs: logs}
	runningHosts.Add(1)
	f.running.Add(1)
	go func() {
		defer runningHosts.Done()
		defer f.running.Done()
		h.done <- host.Run(ctx)
	}()
	f.t.Cleanup(cancel)
	f.await("announcement accepted", func() bool {
		status, err := target.Announce(set.AnnounceListen, set.DataCentre, "ready")
		return err == nil && status == 200
	})
	return h
}

func (f *testFleet) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within 10 s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *testHostd) call(c standin.Call) (standin.Result, error) {
	if c.Host == "" {
		c.Host = testHost
	}
	if c.Timeout == 0 {
		c.Timeout = 3 * time.Second
	}
	return c.Do(h.settings.CallerListen)
}

// cutPeers are peers whose answers do not arrive while cut is set.
type cutPeers struct {
	peers
	cut *atomic.Bool
}

func (p cutPeers) query(ctx context.Context, addr string, q datagram) (datagram, error) {
	if p.cut.Load() {
		for _, pause := range queryTimeouts {
			time.Sleep(pause)
		}
		return datagram{}, errNoAnswer
	}
	return p.peers.query(ctx, addr, q)
}

// freeze keeps hosts from answering others and from reaching the store, as if their
// processes stood still.
func (f *testFleet) freeze(names ...string) {
	f.setFrozen(names, true, standin.ModeSilent)
}

func (f *testFleet) thaw(names ...string) {
	f.setFrozen(names, false, standin.ModeOK)
}

func (f *testFleet) setFrozen(names []string, frozen bool, store standin.Mode) {
	for _, h := range f.hosts {
		if slices.Contains(names, h.settings.Host) {
			h.unreachable.Store(frozen)
			f.store.SetHostFault(h.settings.IP, store)
		}
	}
}

// awaitRevision waits until all hosts but some have a configuration, and returns how
// long that took.
func (f *testFleet) awaitRevision(revision int, except ...string) time.Duration {
	f.t.Helper()
	begun := time.Now()
	f.await(fmt.Sprintf("revision %d", revision), func() bool {
		for _, h := range f.hosts {
			if !slices.Contains(except, h.settings.Host) && h.control.View().Config.Revision < uint64(revision) {
				return false
			}
		}
		return true
	})
	return time.Since(begun)
}

// runsOf returns how often an attempt ran on all targets.
func (f *testFleet) runsOf(attempt string) int {
	n := 0
	for _, h := range f.hosts {
		for _, r := range h.target.Runs() {
			if r.Attempt == attempt {
				n++
			}
		}
	}
	return n
}
