package overload

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/internal/freeport"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Limits of the daemon's process in its settings. The process of an idle daemon has a
// VmHWM of about 30 MB.
const (
	memoryLimit = 96 << 20
	maxFds      = 800
)

const (
	callerHost = "shop.example"
	callerKey  = "key-one"
	// targetSlots is the number of requests that the target runs at once.
	targetSlots = 8
	// awaitLimit bounds waiting for a service that does not come. It is far above what
	// a slow machine needs.
	awaitLimit = time.Minute
)

// program is the path of the daemon's binary, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gooseberryshed-overload-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "gooseberryshedd")
	out, err := exec.Command("go", "build", "-o", program, "github.com/gooseberryshed/gooseberryshed/cmd/gooseberryshedd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is the process under test with its store and target.
type daemon struct {
	t      *testing.T
	set    *karpithaz.Settings
	store  *standin.Platform
	target *standin.Target
	pid    int
	ended  chan struct{}
	fds    *peakFds
	calls  int
}

// startDaemon starts a daemon and returns when it serves. ip is a loopback address of its
// own.
func startDaemon(t *testing.T, ip string) *daemon {
	t.Helper()
	store, err := standin.Start()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, standin.EncodeConfig(1, []string{"svc"}, []standin.Route{
		{Name: "read", Host: callerHost, Prefix: "/read/", Kind: "idempotent", Service: "svc", Timeout: 20 * time.Second, Objective: time.Second},
		{Name: "order", Host: callerHost, Prefix: "/order/", Kind: "non_idempotent", Service: "svc", Timeout: 20 * time.Second, Objective: time.Second},
	}, []standin.Workspace{{Name: "ws", Key: callerKey}}))
	addr := func() string {
		free, err := freeport.On(ip)
		assert.NilError(t, err)
		return free
	}
	d := &daemon{t: t, store: store, ended: make(chan struct{}), set: &karpithaz.Settings{
		Host: "host-1", DataCentre: "dc", Region: "r", IP: ip,
		CallerListen: addr(), GateListen: addr(), ReadinessListen: addr(), AnnounceListen: addr(), DatagramListen: addr(), TargetAddress: addr(),
		Service: "svc", StoreAddress: store.Addr(), MemoryBytes: memoryLimit,
		Bounds: karpithaz.Bounds{RevocationDeadline: 5 * time.Second, ShutdownGracePeriod: 6 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20},
	}}
	d.target, err = standin.StartTarget("i-1", "svc", d.set.TargetAddress, targetSlots, time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(d.target.Close)
	d.start()
	d.announce()
	d.awaitAnswer("at the start")
	return d
}

// start starts the process, which is killed at the end of the test.
func (d *daemon) start() {
	dir := d.t.TempDir()
	settings := filepath.Join(dir, "host.conf")
	text := standin.SettingsFile(d.set) + fmt.Sprintf("limits.maxFds=%d\n", maxFds)
	assert.NilError(d.t, os.WriteFile(settings, []byte(text), 0o600))
	logs, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(d.t, err)
	cmd := exec.Command(program, "host", "--gate-bind", d.set.GateListen, "--datagram-bind", d.set.DatagramListen)
	cmd.Env = append(os.Environ(), karpithaz.SettingsEnvVar+"="+settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	assert.NilError(d.t, cmd.Start())
	d.pid = cmd.Process.Pid
	go func() {
		defer close(d.ended)
		cmd.Wait() //nolint:errcheck // killed at the end of the test
	}()
	d.fds = watchFds(d.pid)
	d.t.Cleanup(func() {
		d.fds.stop()
		cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-d.ended
		logs.Close()
		if d.t.Failed() {
			d.logTail(logs.Name())
		}
	})
}

// maxLogTail is how much of the daemon's log a failed test shows.
const maxLogTail = 4 << 10

func (d *daemon) logTail(name string) {
	data, err := os.ReadFile(name)
	assert.Check(d.t, err)
	d.t.Logf("end of the daemon's log:\n%s", data[max(0, len(data)-maxLogTail):])
}

// announce announces the target until the end of the test.
func (d *daemon) announce() {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			d.target.Announce(d.set.AnnounceListen, d.set.DataCentre, "ready") //nolint:errcheck // repeated
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	d.t.Cleanup(func() { close(done); running.Wait() })
}

// awaitAnswer sends an ordinary order, and again with a new id after a refusal, until one
// is answered by the target.
func (d *daemon) awaitAnswer(when string) {
	d.t.Helper()
	for deadline := time.Now().Add(awaitLimit); ; time.Sleep(100 * time.Millisecond) {
		d.calls++
		c := standin.Call{Attempt: fmt.Sprintf("ordinary-%d", d.calls), Method: "POST", Host: callerHost, URI: "/order/1", Key: callerKey,
			Body: strings.Repeat("o", 1<<10), Timeout: 5 * time.Second}
		res, err := c.Do(d.set.CallerListen)
		if err == nil && res.Status == 200 {
			return
		}
		if time.Now().After(deadline) || !d.alive() {
			d.t.Fatalf("%s: no ordinary request was answered; alive: %t, last status %d, error %v", when, d.alive(), res.Status, err)
		}
	}
}

func (d *daemon) alive() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far.
func (d *daemon) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid))
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			assert.NilError(d.t, err)
			return kib << 10
		}
	}
	d.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// assertBounds checks that the process lives within its limits.
func (d *daemon) assertBounds() {
	d.t.Helper()
	assert.Assert(d.t, d.alive(), "the daemon has ended")
	memory, fds := d.peakMemory(), d.fds.stop()
	d.t.Logf("at the peak %d MB of %d MB, %d descriptors of %d", memory>>20, memoryLimit>>20, fds, maxFds)
	assert.Check(d.t, memory < memoryLimit, "%d bytes at the peak", memory)
	assert.Check(d.t, fds < maxFds, "%d descriptors at the peak", fds)
}

// peakFds records the largest number of open descriptors of a process.
type peakFds struct {
	end     sync.Once
	done    chan struct{}
	watched chan struct{}
	peak    int
}

func watchFds(pid int) *peakFds {
	p := &peakFds{done: make(chan struct{}), watched: make(chan struct{})}
	go func() {
		defer close(p.watched)
		for {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err == nil {
				p.peak = max(p.peak, len(entries))
			}
			select {
			case <-p.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return p
}

// stop ends the recording and returns the largest number.
func (p *peakFds) stop() int {
	p.end.Do(func() { close(p.done) })
	<-p.watched
	return p.peak
}
