package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/fabric"
	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
	"github.com/valyala/fasthttp"
)

const (
	// PlatformHost is the host name of the platform in the fabric.
	PlatformHost    = "platform"
	platformIP      = "127.20.0.1"
	dataCentreCount = 3
	defaultHosts    = 6
	// readyTimeout bounds the time until every daemon of a new fleet serves.
	readyTimeout = 30 * time.Second
	// clusterSecret is shared by the daemons of a fleet.
	clusterSecret = "cluster-secret-of-the-tests"
	// maxConcurrentFleets limits the number of processes started by parallel tests.
	maxConcurrentFleets = 3
)

// fleetSlots limits the number of concurrently running fleets.
var fleetSlots = make(chan struct{}, maxConcurrentFleets)

// Options configures a fleet.
type Options struct {
	// Hosts is the number of daemons, each with one target. It defaults to 6.
	Hosts int
	// Config is the configuration document. It defaults to Config(nil, nil).
	Config string
	// Slots is the number of slots of each target. It defaults to 7.
	Slots int
	// ConcurrencyLimit is the number of concurrent requests that a target can
	// handle while it is cold. If it is not 0, targets start cold.
	ConcurrencyLimit int
}

// Host is one daemon with its target.
type Host struct {
	Name, DataCentre string
	Daemon, Target   *Process
	ip               string
	args             []string
	runLog           string
}

// Fleet is a running fleet.
type Fleet struct {
	Fabric   *fabric.Fabric
	Platform *Process
	Hosts    []*Host
	t        testing.TB
	opts     Options
	dir      string
	// peers lists the rpc addresses of all daemons, separated by commas.
	peers       string
	platformURL string

	mu sync.Mutex
	// startupCalls are the calls made before the fleet was ready.
	startupCalls, calls []trace.Call
	// clients holds persistent clients by daemon address and workspace.
	clients map[clientKey]*fasthttp.HostClient
	nextID  int
}

// Start starts a fleet and waits until every daemon serves and every
// workspace is served.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	if opts.Hosts == 0 {
		opts.Hosts = defaultHosts
	}
	if opts.Config == "" {
		opts.Config = Config(nil, nil)
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &Fleet{Fabric: fabric.New(), t: t, opts: opts, dir: t.TempDir(), clients: make(map[clientKey]*fasthttp.HostClient)}
	t.Cleanup(f.Fabric.Close)
	t.Cleanup(f.dumpLogs)
	f.startPlatform()
	f.MustCLI("config", "apply", f.WriteFile("document.yaml", opts.Config))
	for i := range opts.Hosts {
		f.addHost(i)
	}
	for _, h := range f.Hosts {
		f.StartDaemon(h)
	}
	for _, h := range f.Hosts {
		f.StartTarget(h, opts.ConcurrencyLimit)
	}
	for i := range f.Hosts {
		f.WaitUntilServing(i)
	}
	f.waitForWorkspaces()
	t.Cleanup(f.dumpStatus) // runs before the processes are stopped
	f.mu.Lock()
	f.startupCalls, f.calls = f.calls, nil
	f.mu.Unlock()
	return f
}

func (f *Fleet) startPlatform() {
	f.Platform = startProcess(f.t, PlatformHost, binaries.platform, nil, "--listen", "127.0.0.1:0")
	f.Fabric.AddHost(PlatformHost, platformIP)
	addr, err := f.Fabric.Advertise(PlatformHost, "http", platformIP)
	f.requireNoError(err)
	f.Fabric.SetUpstream(PlatformHost, "http", f.Platform.Addrs["address"])
	f.platformURL = "http://" + addr
}

// addHost adds the host with index i and reserves its advertised addresses.
func (f *Fleet) addHost(i int) {
	dc := i % dataCentreCount
	h := &Host{
		Name:       fmt.Sprintf("host%d", i+1),
		DataCentre: fmt.Sprintf("dc%d", dc+1),
		ip:         fmt.Sprintf("127.21.%d.%d", dc+1, i+1),
	}
	h.runLog = filepath.Join(f.dir, h.Name+".runs")
	f.Fabric.AddHost(h.Name, h.ip)
	h.args = []string{
		"--host", h.Name, "--datacentre", h.DataCentre, "--source-address", h.ip,
		"--platform", f.platformURL, "--cluster-secret", clusterSecret,
	}
	for _, port := range []string{"caller", "forward", "rpc", "admin"} {
		h.args = append(h.args, "--"+port+"-listen", h.ip+":0")
	}
	// The target keeps announcing to this address while the daemon restarts. Fleets that run
	// at the same time share IP addresses, and a port of the ephemeral range could go to
	// another one meanwhile.
	announce, err := freeport.On(h.ip)
	f.requireNoError(err)
	h.args = append(h.args, "--announce-listen", announce)
	for _, port := range []string{"forward", "rpc"} {
		addr, err := f.Fabric.Advertise(h.Name, port, h.ip)
		f.requireNoError(err)
		h.args = append(h.args, "--"+port+"-advertise", addr)
		if port == "rpc" {
			f.peers = strings.TrimPrefix(f.peers+","+addr, ",")
		}
	}
	f.Hosts = append(f.Hosts, h)
}

// StartDaemon starts or restarts the daemon of a host.
func (f *Fleet) StartDaemon(h *Host) {
	f.t.Helper()
	args := append([]string{"--peers", f.peers}, h.args...)
	p := startProcess(f.t, h.Name, binaries.daemon, nil, args...)
	f.mu.Lock()
	h.Daemon = p
	f.mu.Unlock()
	for _, port := range []string{"forward", "rpc"} {
		f.Fabric.SetUpstream(h.Name, port, p.Addrs[port])
	}
}

// StartTarget starts or restarts the target of a host.
func (f *Fleet) StartTarget(h *Host, concurrencyLimit int) {
	f.t.Helper()
	h.Target = startProcess(f.t, h.Name+"-target", binaries.target, nil,
		"--name", h.Name, "--service", Service, "--announce", "http://"+h.Daemon.Addrs["announce"],
		"--record", h.runLog, "--secrets", strings.Join(Secrets(), ","),
		"--slots", fmt.Sprint(f.opts.Slots), "--bears", fmt.Sprint(concurrencyLimit))
}

// SetFaults sets the faults that a host's target injects.
func (f *Fleet) SetFaults(h *Host, faults target.Faults) {
	f.t.Helper()
	f.postJSON("http://"+h.Target.Addrs["control"]+"/faults", faults)
}

// platformFaults is the request body of the stand-in platform's fault endpoint.
type platformFaults struct {
	Mode    string `json:"mode"`
	DelayMS int    `json:"delay_ms"`
}

// SetPlatformMode sets the fault mode of the platform: ok, down, slow or
// lose-replies.
func (f *Fleet) SetPlatformMode(mode string) {
	f.t.Helper()
	f.postJSON("http://"+f.Platform.Addrs["address"]+"/faults", platformFaults{Mode: mode, DelayMS: 500})
}

func (f *Fleet) postJSON(url string, v any) {
	f.t.Helper()
	body, err := json.Marshal(v)
	f.requireNoError(err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	f.requireNoError(err)
	resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		f.t.Fatalf("%s: status %d", url, resp.StatusCode)
	}
}

// WaitUntilServing waits until a request to the daemon with index i succeeds. The
// daemon uses its own target when that is up.
func (f *Fleet) WaitUntilServing(i int) {
	f.t.Helper()
	var last trace.Call
	ok := Poll(readyTimeout, func() bool {
		last = f.Call(Request{Host: i, Workspace: "w1", Method: "GET"})
		return last.Succeeded()
	})
	if !ok {
		f.t.Fatalf("%s did not serve a request within %v: %+v", f.Hosts[i].Name, readyTimeout, last)
	}
}

// waitForWorkspaces waits until a request of each workspace succeeds, so that the
// fleet knows its limits.
func (f *Fleet) waitForWorkspaces() {
	f.t.Helper()
	for _, ws := range workspaces {
		ok := Poll(readyTimeout, func() bool { return f.Call(Request{Workspace: ws, Method: "GET"}).Succeeded() })
		if !ok {
			f.t.Fatalf("workspace %s was not served within %v", ws, readyTimeout)
		}
	}
}

// Poll calls done until it returns true and reports whether that happened within
// timeout.
func Poll(timeout time.Duration, done func() bool) bool {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pause) {
		if done() {
			return true
		}
	}
	return false
}

// Runs returns the runs recorded by all targets.
func (f *Fleet) Runs() []record.Run {
	f.t.Helper()
	var all []record.Run
	for _, h := range f.Hosts {
		runs, err := record.Read(h.runLog)
		f.requireNoError(err)
		all = append(all, runs...)
	}
	return all
}

// Verify fails the test for each violation of trace.CheckInvariants. It returns
// the calls and runs for further checks.
func (f *Fleet) Verify() ([]trace.Call, []record.Run) {
	f.t.Helper()
	calls, runs := f.Calls(), f.Runs()
	f.ReportViolations(trace.CheckInvariants(append(f.startupCalls, calls...), runs))
	return calls, runs
}

// ReportViolations fails the test for each violation and prints the first few.
func (f *Fleet) ReportViolations(violations []trace.Violation) {
	f.t.Helper()
	const shown = 5
	for i, v := range violations {
		if i == shown {
			f.t.Errorf("and %d more", len(violations)-shown)
			return
		}
		f.t.Errorf("violation: %s", v)
	}
}

func (f *Fleet) dumpLogs() {
	if !f.t.Failed() {
		return
	}
	f.t.Log(f.Platform.Log())
	for _, h := range f.Hosts {
		for _, p := range []*Process{h.Daemon, h.Target} {
			if p != nil {
				f.t.Log(p.Log())
			}
		}
	}
}

func (f *Fleet) dumpStatus() {
	if !f.t.Failed() {
		return
	}
	for _, h := range f.Hosts {
		f.t.Log(h.Name + " status: " + h.status())
	}
}

// warmupTimeout bounds the time until all targets are warm under load.
const warmupTimeout = 20 * time.Second

// WaitUntilWarm waits until the concurrency limit of every target has reached its
// slots. Limits grow only under load.
func (f *Fleet) WaitUntilWarm() {
	f.t.Helper()
	for _, h := range f.Hosts {
		if !Poll(warmupTimeout, h.isWarm) {
			f.t.Fatalf("the target of %s did not warm up within %v", h.Name, warmupTimeout)
		}
	}
}

func (h *Host) isWarm() bool {
	var st struct {
		Targets []struct{ Limit, Slots int }
	}
	if json.Unmarshal([]byte(h.status()), &st) != nil || len(st.Targets) == 0 {
		return false
	}
	for _, t := range st.Targets {
		if t.Limit < t.Slots {
			return false
		}
	}
	return true
}

// status returns the response of the daemon's status endpoint, or the error.
func (h *Host) status() string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.Daemon.Addrs["admin"] + "/status")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

func (f *Fleet) requireNoError(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}
