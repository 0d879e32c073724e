package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the deployment, those of the site kar-tray.
const (
	contact           = 3 * time.Second
	drain             = 2 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	rateWindow        = 5 * time.Second
	rateOverage       = 0.1
	rateSlack         = 20
	shopHost          = "shop.example"
	shopKey           = "key-of-shop"
	memoryMb          = 284
)

// daemonCommand is the command of the role in deploy/system.toml.
var daemonCommand = []string{"target/gooseberryshedd", "host", "--metrics-port", "9464"}

// host is a machine: a daemon and the worker beside it.
type host struct {
	f        *fleet
	set      *karpithaz.Settings
	settings string
	logs     *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// worker is the present worker; beating is closed to end its heartbeats.
	worker  *worker
	beating chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	rec        *record
	dir        string
	store      *standin.Platform
	names      names
	hosts      []*host
	services   []string
	routes     []standin.Route
	workspaces []standin.Workspace
	prefix     string
}

func newFleet(r *record) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	store, err := standin.Start()
	must(err)
	pid := os.Getpid()
	return &fleet{rec: r, dir: dir, store: store, names: learnNames(), prefix: fmt.Sprintf("127.%d.%d", 2+pid%200, pid/200%250),
		workspaces: []standin.Workspace{{Name: "shop", Key: shopKey}}}
}

// configure writes a configuration, like the operator.
func (f *fleet) configure(revision int) {
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfig(revision, f.services, f.routes, f.workspaces))
}

// addHost adds a machine without starting anything on it.
func (f *fleet) addHost(service, zone string) *host {
	n := len(f.hosts) + 1
	ip := fmt.Sprintf("%s.%d", f.prefix, n)
	addr := func() string {
		a, err := freeport.On(ip)
		must(err)
		return a
	}
	set := &karpithaz.Settings{Host: fmt.Sprintf("sidecar-%s-%d", zone, n), DataCentre: zone, Region: "region", IP: ip,
		CallerListen: addr(), GateListen: addr(), ReadinessListen: addr(), AnnounceListen: addr(), DatagramListen: addr(), TargetAddress: addr(),
		Service: service, StoreAddress: f.store.Addr(), MemoryBytes: memoryMb << 20,
		Bounds: karpithaz.Bounds{RevocationDeadline: 5 * time.Second, ShutdownGracePeriod: 6 * time.Second, RateWindow: rateWindow, RateOverage: rateOverage, RateSlack: rateSlack}}
	h := &host{f: f, set: set, settings: filepath.Join(f.dir, set.Host+".conf")}
	h.writeSettings()
	var err error
	h.logs, err = os.Create(filepath.Join(f.dir, set.Host+".log"))
	must(err)
	f.hosts = append(f.hosts, h)
	return h
}

// writeSettings writes the settings file, like the platform.
func (h *host) writeSettings() {
	must(os.WriteFile(h.settings, []byte(standin.SettingsFile(h.set)), 0o600))
}

// startDaemon starts the daemon's process.
func (h *host) startDaemon() {
	cmd := exec.Command(daemonCommand[0], daemonCommand[1:]...)
	cmd.Env = append(os.Environ(), karpithaz.SettingsEnvVar+"="+h.settings)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	must(cmd.Start())
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		cmd.Wait()
		close(exited)
	}()
}

// kill ends the daemon's process at once.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// stopPlanned stops the daemon like the platform: SIGTERM, and SIGKILL after the grace time.
func (h *host) stopPlanned() {
	h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(h.set.Bounds.ShutdownGracePeriod):
		h.kill()
	}
}

// startWorker starts a worker beside the daemon.
func (h *host) startWorker(id, service string, born time.Time, work time.Duration) *worker {
	w := startWorker(id, service, h.set.TargetAddress, h.set.DataCentre, born, h.f.names, h.f.rec, work)
	h.mu.Lock()
	h.worker = w
	h.mu.Unlock()
	return w
}

func (h *host) current() *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker
}

// beat sends heartbeats of the present worker until stopBeating.
func (h *host) beat() {
	stop := make(chan struct{})
	h.mu.Lock()
	h.beating = stop
	w := h.worker
	h.mu.Unlock()
	go func() {
		for {
			w.announce(h.set.AnnounceListen, w.heartbeat("ready"))
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

func (h *host) stopBeating() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beating != nil {
		close(h.beating)
		h.beating = nil
	}
}

// ready asks the daemon's readiness, like the platform.
func (h *host) ready() bool {
	return exchange(h.set.ReadinessListen, "GET /readiness HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n", time.Second) == 200
}

// awaitReady waits until the daemon is ready.
func (h *host) awaitReady() {
	for end := time.Now().Add(15 * time.Second); !h.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cannotRun{"the daemon of " + h.set.Host + " is not ready"})
		}
	}
}

// start starts the daemons and workers of all machines and waits until all serve.
func (f *fleet) start(work time.Duration) {
	for i, h := range f.hosts {
		h.startWorker(fmt.Sprintf("i-%d", i+1), h.set.Service, time.Now(), work)
		h.startDaemon()
		h.beat()
	}
	for _, h := range f.hosts {
		h.awaitReady()
	}
	time.Sleep(2 * contact)
	for i, h := range f.hosts {
		for j, r := range f.routes {
			if status, err := f.call(h, fmt.Sprintf("first-%d-%d", i, j), r, shopKey, time.Second); err != nil || status >= 500 {
				f.rec.line("first request of %s on %s: status %d, err %v", h.set.Host, r.Name, status, err)
			}
		}
	}
}

// stop ends all that was started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.stopBeating()
		h.kill()
		if w := h.current(); w != nil {
			w.end()
		}
		h.logs.Close()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// call sends one request from a caller on a machine and returns the status of the answer.
func (f *fleet) call(h *host, attempt string, route standin.Route, key string, timeout time.Duration) (status int, err error) {
	return f.callPath(h, attempt, route, "x", key, timeout)
}

func (f *fleet) callPath(h *host, attempt string, route standin.Route, rest, key string, timeout time.Duration) (status int, err error) {
	c := standin.Call{Attempt: attempt, Method: "GET", Host: shopHost, URI: route.Prefix + rest, Key: key, Timeout: timeout}
	if strings.HasPrefix(route.Kind, "non") {
		c.Method, c.Body = "POST", "an order"
	}
	f.rec.line("caller on %s sends %s %s", h.set.Host, attempt, c.URI)
	result, err := c.Do(h.set.CallerListen)
	if err != nil {
		f.rec.line("caller on %s: no answer to %s: %v", h.set.Host, attempt, err)
		return 0, err
	}
	f.rec.line("caller on %s: answer to %s: %d", h.set.Host, attempt, result.Status)
	return result.Status, nil
}
