// Command play3 plays the cases of review/11 to review/15. It starts the daemons of a small
// deployment as processes, with the command of the deploy file, and plays the platform's store,
// the workers and the clients with the project's stand-ins, on loopback addresses.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the small deployment (SYSTEM.md, karpithaz-mesh).
const (
	shopHost    = "shop.example"
	service     = "orders"
	memoryMB    = 284
	slots       = 7
	work        = 50 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	revokeAfter = 5 * time.Second // revokeMs
	grace       = 6 * time.Second // graceS
)

type fleet struct {
	dir      string
	ipPrefix string
	store    *standin.Platform
	hosts    []*host
	rec      *record
}

// host is one machine: a daemon and the worker next to it.
type host struct {
	f        *fleet
	set      *karpithaz.Settings
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	logs    *os.File
	worker  *standin.Target
	workers []*standin.Target
	state   string
	starts  int
	stop    chan struct{}
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "play3-")
	if err != nil {
		return nil, err
	}
	store, err := standin.Start()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &fleet{dir: dir, store: store, rec: rec, ipPrefix: fmt.Sprintf("127.%d.%d", 3+pid%200, pid/200%250)}, nil
}

// configure writes a configuration as the operator does. The store's return is the
// acknowledgement.
func (f *fleet) configure(revision int, routes []standin.Route, tenants []standin.Workspace) {
	doc := standin.EncodeConfig(revision, []string{service}, routes, tenants)
	doc = bytes.Replace(doc, []byte(`"rows":null`), []byte(`"rows":[]`), 1) // a list without entries
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, doc)
}

// add starts a machine. The daemon's command is that of the deploy file.
func (f *fleet) add(name, zone string) (*host, error) {
	ip := fmt.Sprintf("%s.%d", f.ipPrefix, len(f.hosts)+1)
	var addrs [6]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeport.On(ip); err != nil {
			return nil, err
		}
	}
	set := &karpithaz.Settings{
		Host: name, DataCentre: zone, Region: "alfold", IP: ip,
		CallerListen: addrs[0], GateListen: addrs[1], ReadinessListen: addrs[2], AnnounceListen: addrs[3], DatagramListen: addrs[4], TargetAddress: addrs[5],
		Service: service, StoreAddress: f.store.Addr(), MemoryBytes: memoryMB << 20,
		Bounds: karpithaz.Bounds{RevocationDeadline: revokeAfter, ShutdownGracePeriod: grace, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20},
	}
	h := &host{f: f, set: set, settings: filepath.Join(f.dir, name+".conf"), state: "ready", stop: make(chan struct{})}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	var err error
	if h.logs, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	if err := h.startWorker(); err != nil {
		return nil, err
	}
	if err := h.startDaemon(); err != nil {
		return nil, err
	}
	go h.beat()
	return h, nil
}

// writeSettings writes the settings file. It replaces the file as a whole.
func (h *host) writeSettings() error {
	next := h.settings + ".next"
	if err := os.WriteFile(next, []byte(standin.SettingsFile(h.set)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, h.settings)
}

func (h *host) startDaemon() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command("target/gooseberryshedd", "host", "--metrics-port", "9464")
	cmd.Env = append(os.Environ(), karpithaz.SettingsEnvVar+"="+h.settings)
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() {
		cmd.Wait() //nolint:errcheck // it is usually killed
		close(done)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// kill ends the daemon with SIGKILL and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

// startWorker starts a new incarnation of the worker, with a new id, of the service in the
// machine's settings.
func (h *host) startWorker() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	w, err := standin.StartTarget(fmt.Sprintf("i-%s-%d", h.set.Host, h.starts), h.set.Service, h.set.TargetAddress, slots, work)
	if err != nil {
		return err
	}
	h.worker, h.state = w, "ready"
	h.workers = append(h.workers, w)
	return nil
}

// beat sends the worker's heartbeats, each beatEvery, and half as often again if one fails.
func (h *host) beat() {
	for {
		h.mu.Lock()
		w, state := h.worker, h.state
		h.mu.Unlock()
		wait := beatEvery
		if state != "" {
			if status, err := w.Announce(h.set.AnnounceListen, h.set.DataCentre, state); err != nil || status != http.StatusOK {
				wait = beatEvery / 3
			}
		}
		select {
		case <-h.stop:
			return
		case <-time.After(wait):
		}
	}
}

// sayState sends a heartbeat with a state now, and lets later ones say the same. It reports
// whether it was acknowledged.
func (h *host) sayState(state string) bool {
	h.mu.Lock()
	w := h.worker
	h.state = state
	h.mu.Unlock()
	for range 3 {
		if status, err := w.Announce(h.set.AnnounceListen, h.set.DataCentre, state); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// ready reports whether the daemon answers 200 at its readiness address.
func (h *host) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.set.ReadinessListen + "/readiness")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // it is empty
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", h.set.Host, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// run is a request that a worker has run.
type run struct {
	standin.TimedRun
	worker string
}

func (f *fleet) runs() []run {
	var out []run
	for _, h := range f.hosts {
		h.mu.Lock()
		workers := h.workers
		h.mu.Unlock()
		for _, w := range workers {
			for _, r := range w.TimedRuns() {
				out = append(out, run{r, w.ID})
			}
		}
	}
	return out
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		select {
		case <-h.stop:
		default:
			close(h.stop)
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.mu.Lock()
		done, w := h.done, h.worker
		h.mu.Unlock()
		if done != nil {
			<-done
		}
		if w != nil {
			w.Close()
		}
		h.logs.Close()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
