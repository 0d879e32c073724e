package harness

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// startBound is how long a process may take to listen.
	startBound = 20 * time.Second
	// stopBound is how long a graceful stop may take.
	stopBound = 40 * time.Second
	// shownLog bounds the log printed of a process after a failure, in lines.
	shownLog = 60
)

// Process is a running binary of the project.
type Process struct {
	Name string
	// Addrs are the addresses of the log line "listening", by name.
	Addrs map[string]string
	cmd   *exec.Cmd
	done  chan struct{}

	mu    sync.Mutex
	lines []string
	err   error
}

// startProcess starts a binary and waits until it listens.
func startProcess(t testing.TB, name, binary string, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, done: make(chan struct{}), cmd: exec.Command(binary, args...)}
	p.cmd.Env = append(os.Environ(), env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(p.Kill)
	listening := make(chan map[string]string, 1)
	go p.read(stderr, listening)
	select {
	case p.Addrs = <-listening:
	case <-p.done:
		t.Fatalf("%s ended before it listened: %v\n%s", name, p.err, p.Log())
	case <-time.After(startBound):
		t.Fatalf("%s does not listen after %v\n%s", name, startBound, p.Log())
	}
	return p
}

// read keeps the log and finds the addresses.
func (p *Process) read(stderr io.Reader, listening chan<- map[string]string) {
	scan := bufio.NewScanner(stderr)
	for scan.Scan() {
		line := scan.Text()
		p.mu.Lock()
		p.lines = append(p.lines, line)
		p.mu.Unlock()
		if fields := logfmt(line); fields["msg"] == "listening" {
			select {
			case listening <- fields:
			default:
			}
		}
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// logfmt reads the fields of a line whose values hold no spaces.
func logfmt(line string) map[string]string {
	fields := make(map[string]string)
	for _, word := range strings.Fields(line) {
		if name, value, ok := strings.Cut(word, "="); ok {
			fields[name] = strings.Trim(value, `"`)
		}
	}
	return fields
}

// Log returns the last lines of the process's log.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	lines := p.lines
	if len(lines) > shownLog {
		lines = lines[len(lines)-shownLog:]
	}
	return p.Name + ":\n  " + strings.Join(lines, "\n  ") + "\n"
}

// Up reports whether the process still runs.
func (p *Process) Up() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.Up() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may just have ended
	}
	<-p.done
}

// Freeze pauses the process.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop asks for a graceful stop and fails the test unless it ends well.
func (p *Process) Stop(t testing.TB) {
	t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopBound):
		t.Errorf("%s has not stopped after %v\n%s", p.Name, stopBound, p.Log())
		p.Kill()
		return
	}
	if p.err != nil {
		t.Errorf("%s ended with %v\n%s", p.Name, p.err, p.Log())
	}
}

// Wait reports whether the process ended by itself within bound.
func (p *Process) Wait(bound time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(bound):
		return false
	}
}
