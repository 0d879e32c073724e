package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// fleet is the processes of one run and what is played for them.
type fleet struct {
	t       *testing.T
	dir     string
	program string
	store   *standin.Platform
	hosts   []*host
	// net begins the hosts' addresses, so that runs beside each other have
	// their own.
	net string
	// links stand between the daemons, and between them and the store.
	links *fabric.Fabric
	// linked is set while the paths between daemons go through links as well.
	linked bool
	mu     sync.Mutex
	// cuts are the paths, by the addresses of sender and receiver, on which
	// datagrams are lost.
	cuts map[[2]string]bool
}

// cut cuts what one host sends to another, or heals both ways.
func (f *fleet) cut(a, b *host, way fabric.Way) {
	f.links.Cut(a.set.Host, b.set.Host, way)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{a.set.IP, b.set.IP}] = true
	if way == fabric.BothWays {
		f.cuts[[2]string{b.set.IP, a.set.IP}] = true
	}
}

// heal ends all faults between hosts, and between them and the store.
func (f *fleet) heal() {
	for i, a := range f.hosts {
		f.links.Heal(a.set.Host, storeHost)
		for _, b := range f.hosts[:i] {
			f.links.Heal(a.set.Host, b.set.Host)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]string{from, to}]
}

// Names of the fabric's ends.
const (
	storeHost = "store"
	gatePort  = "gate"
)

// host is one daemon's process and its target.
type host struct {
	f        *fleet
	set      *karpithaz.Settings
	settings string
	// gate and datagrams are where the daemon listens for the others, who use
	// the addresses of the settings.
	gate, datagrams string

	mu      sync.Mutex
	cmd     *exec.Cmd
	target  *standin.Target
	targets []*standin.Target
	lives   int
	logs    *os.File
}

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gooseberryshedd")
	out, err := exec.Command("go", "build", "-o", program, "github.com/gooseberryshed/gooseberryshed/cmd/gooseberryshedd").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// maxLinked is how many daemons have the fabric between them: each pair takes
// some descriptors of the test's process, and 100 daemons took all 20,000.
const maxLinked = 40

func newFleet(t *testing.T, program string, seed uint64, hosts int) *fleet {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := &fleet{t: t, dir: t.TempDir(), program: program, store: store, links: fabric.New(), cuts: map[[2]string]bool{}, net: fmt.Sprintf("127.%d.%d", 2+seed%200, seed/200%250)}
	t.Cleanup(f.links.Close)
	f.configure(1, firstKey)
	f.linked = hosts <= maxLinked
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i+1))
	}
	return f
}

// Keys of the workspace; the second replaces the first in the middle of a run.
const (
	firstKey  = "key-one"
	secondKey = "key-two"
	shopHost  = "shop.example"
)

func (f *fleet) configure(revision int, key string) {
	routes := []standin.Route{
		{Name: "read", Host: shopHost, Prefix: "/read/", Kind: "idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 500 * time.Millisecond},
		{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "svc", Timeout: 3 * time.Second, Objective: 500 * time.Millisecond},
	}
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey,
		standin.EncodeConfig(revision, []string{"svc"}, routes, []standin.Workspace{{Name: "ws", Key: key}}))
}

// door is an address at which others reach a port of a host through the fabric.
func (f *fleet) door(host, port, ip string) string {
	addr, err := f.links.Advertise(host, port, ip)
	assert.NilError(f.t, err)
	return addr
}

// storeAt serves the store at a host's address, so that it can fail for that
// host alone.
func (f *fleet) storeAt(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	go f.store.Server().Serve(l) //nolint:errcheck // ends with the listener
	return l.Addr().String()
}

func (f *fleet) newHost(n int) *host {
	ip := fmt.Sprintf("%s.%d", f.net, n)
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
		Service: "svc", StoreAddress: f.door(storeHost, name, ip), MemoryBytes: 128 << 20,
		Bounds: karpithaz.Bounds{RevocationDeadline: revokeWithin, ShutdownGracePeriod: stopWithin},
	}
	h := &host{f: f, set: set, settings: filepath.Join(f.dir, set.Host+".conf"), gate: set.GateListen, datagrams: set.DatagramListen}
	f.links.SetUpstream(storeHost, name, f.storeAt(ip))
	if f.linked {
		h.gate, h.datagrams = addr(), addr()
		set.GateListen = f.door(name, gatePort, ip)
		f.links.SetUpstream(name, gatePort, h.gate)
		f.newRelay(f.t, ip, set.DatagramListen, h.datagrams)
	}
	assert.NilError(f.t, os.WriteFile(h.settings, []byte(standin.SettingsFile(set)), 0o600))
	var err error
	h.logs, err = os.Create(filepath.Join(f.dir, set.Host+".log"))
	assert.NilError(f.t, err)
	h.renewTarget()
	h.start()
	f.t.Cleanup(h.end)
	return h
}

// renewTarget starts a new life of the target.
func (h *host) renewTarget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target != nil {
		h.target.Close()
	}
	h.lives++
	target, err := standin.StartTarget(fmt.Sprintf("i-%s-%d", h.set.Host, h.lives), "svc", h.set.TargetAddress, 6, 30*time.Millisecond)
	if err != nil {
		h.f.t.Errorf("start a target: %v", err)
		return
	}
	h.target = target
	h.targets = append(h.targets, target)
}

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return
	}
	cmd := exec.Command(h.f.program, "host", "--gate-bind", h.gate, "--datagram-bind", h.datagrams)
	cmd.Env = append(os.Environ(), karpithaz.SettingsEnvVar+"="+h.settings)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	if err := cmd.Start(); err != nil {
		h.f.t.Errorf("start %s: %v", h.set.Host, err)
		return
	}
	h.cmd = cmd
	go func() {
		cmd.Wait() //nolint:errcheck // it is killed more often than not
		h.mu.Lock()
		h.cmd = nil
		h.mu.Unlock()
	}()
}

// signal signals the host's process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

func (h *host) end() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target.Close()
}

// beat announces the target until done is closed.
func (h *host) beat(done <-chan struct{}) {
	for {
		h.mu.Lock()
		target := h.target
		h.mu.Unlock()
		target.Announce(h.set.AnnounceListen, h.set.DataCentre, "ready") //nolint:errcheck // the daemon may be down
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
