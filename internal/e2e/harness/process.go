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
	// startTimeout bounds the time until a process listens.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the duration of a graceful stop.
	stopTimeout = 40 * time.Second
	// maxLogLines limits the log lines of a process that are printed after a failure.
	maxLogLines = 60
)

// Process is a running binary of the project.
type Process struct {
	Name string
	// Addrs holds the addresses from the log line "listening", by name.
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
	go p.readLog(stderr, listening)
	select {
	case p.Addrs = <-listening:
	case <-p.done:
		t.Fatalf("%s exited before it was listening: %v\n%s", name, p.err, p.Log())
	case <-time.After(startTimeout):
		t.Fatalf("%s was not listening within %v\n%s", name, startTimeout, p.Log())
	}
	return p
}

// readLog collects the log, sends the fields of the line "listening" and waits for
// the process to exit.
func (p *Process) readLog(stderr io.Reader, listening chan<- map[string]string) {
	scan := bufio.NewScanner(stderr)
	for scan.Scan() {
		line := scan.Text()
		p.mu.Lock()
		p.lines = append(p.lines, line)
		p.mu.Unlock()
		if fields := parseLogfmt(line); fields["msg"] == "listening" {
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

// parseLogfmt returns the fields of a line whose values contain no spaces.
func parseLogfmt(line string) map[string]string {
	fields := make(map[string]string)
	for _, word := range strings.Fields(line) {
		if name, value, ok := strings.Cut(word, "="); ok {
			fields[name] = strings.Trim(value, `"`)
		}
	}
	return fields
}

// Log returns the last lines of the log.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	lines := p.lines
	if len(lines) > maxLogLines {
		lines = lines[len(lines)-maxLogLines:]
	}
	return p.Name + ":\n  " + strings.Join(lines, "\n  ") + "\n"
}

func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // the process may have exited meanwhile
	}
	<-p.done
}

// Suspend stops the process with SIGSTOP.
func (p *Process) Suspend() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and fails the test unless the process exits in time and
// without an error.
func (p *Process) Stop(t testing.TB) {
	t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		t.Errorf("%s did not stop within %v\n%s", p.Name, stopTimeout, p.Log())
		p.Kill()
		return
	}
	if p.err != nil {
		t.Errorf("%s exited with an error: %v\n%s", p.Name, p.err, p.Log())
	}
}

// WaitExit reports whether the process exited within timeout.
func (p *Process) WaitExit(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}
