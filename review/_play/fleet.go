// Command play plays one case of the review: it starts daemons as separate
// processes beside stand-ins of the platform, of workers and of clients.
package main

import (
	"bytes"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// bounds are those of the site kar-tray.
const bounds = "seedLagS=3,addrReuseS=2,contactMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000," +
	"rollbackSlackMs=250,maxStretchMs=5000,strictRevoke=true,revokeMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,budgetSlack=62," +
	"quotaWindowS=5,quotaOverage=0.1,quotaSlack=20,coldOverage=1.5,coldSlack=5,evacuationMs=5000,recoveryS=15,probesPerS=3,floorShare=0.7"

// memoryMb is the memory limit of a process.
const memoryMb = 284

const (
	clientHost = "shop.example"
	clientKey  = "key-of-parish"
	tenant     = "parish"
)

// machine is a sidecar machine with its daemon and its worker.
type machine struct {
	f                   *fleet
	name, zone, service string
	ip                  string
	// Addresses of the settings.
	inbound, outbound, ready, control, app, datagrams string
	// gateBind is where the daemon listens if a proxy stands at inbound.
	gateBind string
	slots    int

	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	worker   *worker
}

// fleet is the machines of one play with the platform's store.
type fleet struct {
	dir      string
	store    *standin.Platform
	config   config
	revision int
	machines []*machine
	record   *record
	// slots is the number of slots of a worker, 0 for the usual one.
	slots int
}

// config is what the operator writes.
type config struct {
	routes       []standin.Route
	services     []string
	workspaces   []standin.Workspace
	maxBodyBytes int
}

// record is the file of the case.
type record struct {
	mu sync.Mutex
	f  *os.File
	t0 time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.t0).Seconds()}, args...)...)
}

func newFleet(recordPath string, c config) (*fleet, error) {
	dir, err := os.MkdirTemp("", "gooseberryshed-review-")
	if err != nil {
		return nil, err
	}
	rf, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := standin.Start()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: store, config: c, record: &record{f: rf, t0: time.Now()}}
	f.configure()
	current = f
	return f, nil
}

// configure writes the next configuration.
func (f *fleet) configure() {
	f.revision++
	data := standin.EncodeConfig(f.revision, f.config.services, f.config.routes, f.config.workspaces)
	if f.config.maxBodyBytes > 0 {
		data = bytes.Replace(data, []byte(`"maxBodyBytes":1048576`), []byte(`"maxBodyBytes":`+strconv.Itoa(f.config.maxBodyBytes)), 1)
	}
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, data)
}

// add makes a machine without starting it.
func (f *fleet) add(name, zone, service, ip string) (*machine, error) {
	m := &machine{f: f, name: name, zone: zone, service: service, ip: ip, slots: cmp.Or(f.slots, 7)}
	for _, a := range []*string{&m.inbound, &m.outbound, &m.ready, &m.control, &m.app, &m.datagrams} {
		addr, err := freeport.On(ip)
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	f.machines = append(f.machines, m)
	return m, nil
}

func port(addr string) string {
	_, p, _ := net.SplitHostPort(addr)
	return p
}

// writeSettings writes the settings file, in the form of the platform.
func (m *machine) writeSettings(bootstrap bool) error {
	first, _ := strconv.Atoi(port(m.datagrams))
	var b strings.Builder
	for _, l := range []string{
		"nodeName=" + m.name, "role=host", "machineClass=sidecar", "serves=sidecar", "ip=" + m.ip, "zone=" + m.zone, "region=sk-central",
		"zones.sk-central-a=sk-central", "zones.sk-central-b=sk-central", "zones.sk-central-c=sk-central",
		"listen.inbound=" + m.inbound, "listen.outbound=" + m.outbound, "listen.ready=" + m.ready, "listen.control=" + m.control,
		fmt.Sprintf("portRange=%d,%d", first, first), "seedNodes=", fmt.Sprintf("bootstrap=%t", bootstrap), "lossCounts=false",
		"limits.cpuShare=0.32", "limits.cpuCores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMb), "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=static", "entryMode=static", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,retry,recover,health,tenants,quota,places,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0", "bounds=" + bounds,
		"appAddr=" + m.app, "service=" + m.service, "platform.address=" + m.f.store.Addr(), "platform.form=table",
		"platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=3.0", "platform.partWritesS=300", "platform.rowBytes=65536",
		"platform.across=true", "platform.historyS=20", "platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbS=80.0",
	} {
		b.WriteString(l + "\n")
	}
	m.settings = filepath.Join(m.f.dir, m.name+".conf")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	args := []string{"host", "--metrics-port", "9464"}
	if m.gateBind != "" {
		args = append(args, "--gate-bind", m.gateBind)
	}
	cmd := exec.Command("target/gooseberryshedd", args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), karpithaz.SettingsEnvVar + "=" + m.settings}
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		cmd.Wait() //nolint:errcheck // the process is usually killed
		close(exited)
	}()
	m.f.record.line("daemon of %s started, pid %d", m.name, cmd.Process.Pid)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.running() {
		m.cmd.Process.Signal(s) //nolint:errcheck // it may have exited
	}
}

func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// kill ends the daemon and waits for its end.
func (m *machine) kill() {
	if m.running() {
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// startWorker starts a worker and its heartbeats.
func (m *machine) startWorker(id string) error {
	w, err := startWorker(m, id)
	if err != nil {
		return err
	}
	m.worker = w
	go w.beat()
	return nil
}

// ok asks the daemon's readiness, as the platform does.
func (m *machine) ok(timeout time.Duration) bool {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready and know all machines.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ok(time.Second) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready within %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for {
		if _, n := f.rows(); n >= len(f.machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all machines have a row within %s", limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// rows returns the machines that have a row in the table of the daemons.
func (f *fleet) rows() (names []string, n int) {
	for _, m := range f.machines {
		if _, ok := f.store.Row("hosts", m.name); ok {
			names = append(names, m.name)
		}
	}
	return names, len(names)
}

// close ends all processes that the play has started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
		if m.worker != nil {
			m.worker.stop()
		}
	}
	f.store.Close()
	f.record.f.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// rss returns the resident memory of the daemon in MB, 0 if it does not run.
func (m *machine) rss() float64 {
	if !m.running() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
