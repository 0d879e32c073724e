package soak

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/internal/slowlink"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// fleet is the daemons of one run with their simulated store, targets and network.
type fleet struct {
	t     *testing.T
	dir   string
	store *standin.Platform
	// revision is that of the latest configuration.
	revision int
	// listEmptied is set while the list of workspaces is empty.
	listEmptied bool
	hosts       []*host
	// ipPrefix is the common prefix of the hosts' addresses, which differs by
	// seed so that concurrent runs do not collide.
	ipPrefix string
	// links proxies connections to the store and, if useFabric is set, between
	// daemons, and injects network faults.
	links *fabric.Fabric
	// useFabric tells whether connections between daemons go through links as well.
	useFabric bool
	// linkRate, if set, limits the link of each host, in bytes a second, without a fabric
	// between daemons.
	linkRate float64
	// moreRoutes are in each document beside those that callers use.
	moreRoutes []standin.Route
	// rollouts is set if operators order roll-outs of versions.
	rollouts bool
	mu       sync.Mutex
	// cutPaths holds the paths, by the IP addresses of sender and receiver, on
	// which datagrams are dropped.
	cutPaths map[[2]string]bool
}

// cut drops all traffic from a to b or, with fabric.BothWays, in both directions.
func (f *fleet) cut(a, b *host, way fabric.Direction) {
	f.links.Partition(a.set.Host, b.set.Host, way)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutPaths[[2]string{a.set.IP, b.set.IP}] = true
	if way == fabric.BothWays {
		f.cutPaths[[2]string{b.set.IP, a.set.IP}] = true
	}
}

// heal clears all network faults between hosts and between hosts and the store.
func (f *fleet) heal() {
	for i, a := range f.hosts {
		f.links.Heal(a.set.Host, storeHost)
		for _, b := range f.hosts[:i] {
			f.links.Heal(a.set.Host, b.set.Host)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cutPaths)
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPaths[[2]string{from, to}]
}

// Names of the fabric's endpoints.
const (
	storeHost = "store"
	gatePort  = "gate"
)

// host is one daemon process and its target.
type host struct {
	fleet    *fleet
	set      *karpithaz.Settings
	settings string
	// version is that of the host's targets.
	version string
	// gate and datagrams are the addresses on which the daemon listens. Other
	// daemons connect to the addresses in set.
	gate, datagrams string

	mu           sync.Mutex
	cmd          *exec.Cmd
	target       *standin.Target
	targets      []*standin.Target
	targetStarts int
	// signedOff is set once the target has signed off and until it is replaced, left if
	// that was acknowledged, and departures are the targets of which it was.
	signedOff, left bool
	departures      []departure
	logs            *os.File
}

// program is the path of the daemon's binary, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "gooseberryshed-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if program, err = daemonProgram(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemonProgram returns the path of the daemon: the one that -soak.daemon names, or one that
// it builds in a directory.
func daemonProgram(dir string) (string, error) {
	if *daemonFlag != "" {
		return filepath.Abs(*daemonFlag)
	}
	path := filepath.Join(dir, "gooseberryshedd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/gooseberryshed/gooseberryshed/cmd/gooseberryshedd").CombinedOutput()
	return path, errors.Wrapf(err, "build the daemon: %s", out)
}

// maxFabricHosts is the largest fleet whose daemons are connected through the
// fabric. Each pair of daemons uses file descriptors of the test process, and 100
// daemons exhausted the limit of 20,000.
const maxFabricHosts = 40

func newFleet(t *testing.T, seed uint64, hosts int, options ...func(*fleet)) *fleet {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := &fleet{t: t, dir: t.TempDir(), store: store, links: fabric.New(), cutPaths: map[[2]string]bool{}, ipPrefix: fmt.Sprintf("127.%d.%d", 2+seed%200, seed/200%250)}
	t.Cleanup(f.links.Close)
	f.useFabric = hosts <= maxFabricHosts
	for _, set := range options {
		set(f)
	}
	f.configure(1, firstKey)
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i+1, "v1"))
	}
	return f
}

// API keys of the workspace. The second replaces the first during a run.
const (
	firstKey  = "key-one"
	secondKey = "key-two"
	// limitedKey is the key of a workspace that sends at twice its rate.
	limitedKey = "key-of-limited"
	shopHost   = "shop.example"
)

func (f *fleet) configure(revision int, key string) {
	f.revision = revision
	routes := []standin.Route{
		{Name: "long", Host: shopHost, Prefix: "/long/", Kind: "non_idempotent", Service: "svc", Timeout: 20 * time.Second, Objective: 10 * time.Second},
		{Name: "read", Host: shopHost, Prefix: "/read/", Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 500 * time.Millisecond},
		{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 500 * time.Millisecond},
	}
	routes = append(routes, f.moreRoutes...)
	workspaces := []standin.Workspace{{Name: "ws", Key: key}, {Name: limitedWorkspace, Key: limitedKey, Rate: limitedRate, Burst: limitedBurst}}
	if f.listEmptied {
		workspaces = nil
	}
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfig(revision, []string{"svc"}, routes, workspaces))
}

// advertise returns an address at which a port of a host is reached through the
// fabric.
func (f *fleet) advertise(host, port, ip string) string {
	addr, err := f.links.Advertise(host, port, ip)
	assert.NilError(f.t, err)
	return addr
}

// serveStore serves the store at an address of its own for one host, so that
// faults can be injected for that host alone.
func (f *fleet) serveStore(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	go f.store.Server().Serve(l) //nolint:errcheck // returns when the listener is closed
	return l.Addr().String()
}

func (f *fleet) newHost(n int, version string) *host {
	ip := fmt.Sprintf("%s.%d", f.ipPrefix, n)
	addr := func() string {
		free, err := freeport.On(ip)
		assert.NilError(f.t, err)
		return free
	}
	name := fmt.Sprintf("host-%d", n)
	f.links.AddHost(name, ip)
	set := &karpithaz.Settings{
		Host: name, DataCentre: fmt.Sprintf("dc-%d", n%2), Region: "r", IP: ip,
		CallerListen: addr(), GateListen: addr(), ReadinessListen: addr(), AnnounceListen: addr(), DatagramListen: addr(), TargetAddress: addr(),
		Service: "svc", StoreAddress: f.advertise(storeHost, name, ip), MemoryBytes: 128 << 20, Rollouts: f.rollouts,
		Bounds: karpithaz.Bounds{RevocationDeadline: revokeWithin, ShutdownGracePeriod: stopWithin, RateWindow: rateWindow, RateOverage: rateOverage, RateSlack: rateSlack},
	}
	h := &host{fleet: f, set: set, version: version, settings: filepath.Join(f.dir, set.Host+".conf"), gate: set.GateListen, datagrams: set.DatagramListen}
	f.links.SetUpstream(storeHost, name, f.serveStore(ip))
	if f.linkRate > 0 {
		set.StoreAddress, h.gate = addr(), addr()
		f.startSlowLink(set.StoreAddress, f.serveStore(ip))
		f.startSlowLink(set.GateListen, h.gate)
	}
	if f.useFabric {
		h.gate, h.datagrams = addr(), addr()
		set.GateListen = f.advertise(name, gatePort, ip)
		f.links.SetUpstream(name, gatePort, h.gate)
		f.newRelay(f.t, ip, set.DatagramListen, h.datagrams)
	}
	assert.NilError(f.t, os.WriteFile(h.settings, []byte(standin.SettingsFile(set)), 0o600))
	var err error
	h.logs, err = os.Create(filepath.Join(f.dir, set.Host+".log"))
	assert.NilError(f.t, err)
	h.restartTarget()
	h.start()
	f.t.Cleanup(h.shutdown)
	return h
}

func (f *fleet) startSlowLink(listen, to string) {
	l, err := slowlink.Start(listen, to, f.linkRate)
	assert.NilError(f.t, err)
	f.t.Cleanup(l.Close)
}

// targetWork is how long a target works on a request.
const targetWork = 30 * time.Millisecond

// restartTarget replaces the target by a new instance.
func (h *host) restartTarget() { h.restartTargetWithWork(targetWork) }

// targetSlots is the number of requests that a target runs at once.
const targetSlots = 6

// restartTargetWithWork replaces the target by a new instance that works on each
// request for the given time.
func (h *host) restartTargetWithWork(work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target != nil {
		h.target.Close()
	}
	h.targetStarts++
	target, err := standin.StartTarget(fmt.Sprintf("i-%s-%d", h.set.Host, h.targetStarts), "svc", h.set.TargetAddress, targetSlots, work)
	if err != nil {
		h.fleet.t.Errorf("start target: %v", err)
		return
	}
	target.Version = h.version
	h.target, h.left, h.signedOff = target, false, false
	h.targets = append(h.targets, target)
}

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return
	}
	cmd := exec.Command(program, "host", "--gate-bind", h.gate, "--datagram-bind", h.datagrams)
	cmd.Env = append(os.Environ(), karpithaz.SettingsEnvVar+"="+h.settings)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	if err := cmd.Start(); err != nil {
		h.fleet.t.Errorf("start %s: %v", h.set.Host, err)
		return
	}
	h.cmd = cmd
	go func() {
		cmd.Wait() //nolint:errcheck // the process is usually killed
		h.mu.Lock()
		h.cmd = nil
		h.mu.Unlock()
	}()
}

// signal sends a signal to the daemon if it is running.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(s) //nolint:errcheck // the process may have exited
	}
}

func (h *host) shutdown() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target.Close()
}

// running reports whether the daemon's process runs.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil
}

// restart kills the daemon and starts it again.
func (h *host) restart() {
	h.signal(syscall.SIGKILL)
	for h.running() {
		time.Sleep(time.Millisecond)
	}
	h.start()
}

// announceTarget announces the target to the daemon until done is closed.
func (h *host) announceTarget(done <-chan struct{}) {
	for {
		h.mu.Lock()
		target, left := h.target, h.left
		h.mu.Unlock()
		if !left {
			target.Announce(h.set.AnnounceListen, h.set.DataCentre, "ready") //nolint:errcheck // the daemon may be down
		}
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
