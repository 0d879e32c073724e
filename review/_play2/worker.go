package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// workerSlots is the number of requests that a worker runs at once.
const workerSlots = 7

// arrival is a request that a worker has received.
type arrival struct {
	at                                 time.Time
	method, uri                        string
	attempt, expected, caller, tenancy string
	// ran is set if the worker began to run it.
	ran bool
}

// worker is a stand-in of an application worker.
type worker struct {
	id, service, addr, zone string
	// born is the Unix millisecond of its start, by the machine's time of day.
	born  int64
	names names
	rec   *record
	work  time.Duration
	// crash ends the worker if a request crashes it, and reports that.
	crash func(a arrival) bool
	// workOf, if set, returns how long a request takes.
	workOf func(a arrival) time.Duration

	listener net.Listener
	mu       sync.Mutex
	// leaving makes the health check fail.
	leaving  bool
	dead     bool
	running  int
	sequence int64
	conns    map[net.Conn]bool
	arrivals []arrival
}

func startWorker(id, service, addr, zone string, born time.Time, n names, r *record, work time.Duration) *worker {
	var l net.Listener
	var err error
	for range 20 { // the port of a worker that has just ended
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	must(err)
	w := &worker{id: id, service: service, addr: addr, zone: zone, born: born.UnixMilli(), names: n, rec: r, work: work,
		crash: func(arrival) bool { return false }, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			if w.dead {
				c.Close()
			} else {
				w.conns[c] = true
			}
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w
}

// end ends the worker and all its connections, as the end of its process does.
func (w *worker) end() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) setLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *worker) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		a, err := w.read(br)
		if err != nil || !w.answer(c, a) {
			return
		}
	}
}

// read reads a request and its body, which daemons send with a length.
func (w *worker) read(br *bufio.Reader) (arrival, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return arrival{}, err
	}
	words := strings.Fields(line)
	if len(words) != 3 {
		return arrival{}, fmt.Errorf("request line %q", line)
	}
	a := arrival{at: time.Now(), method: words[0], uri: words[1]}
	length := int64(0)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return a, err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case w.names.attempt:
			a.attempt = value
		case w.names.expected:
			a.expected = value
		case w.names.caller:
			a.caller = value
		case w.names.workspace:
			a.tenancy = value
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil {
				return a, err
			}
		}
	}
	_, err = io.CopyN(io.Discard, br, length)
	return a, err
}

// answer runs a request and answers it. It returns false if the connection has ended.
func (w *worker) answer(c net.Conn, a arrival) bool {
	if a.uri == "/health" {
		return w.answerHealth(c)
	}
	w.mu.Lock()
	switch {
	case w.dead:
		w.mu.Unlock()
		return false
	case a.expected != "" && a.expected != w.id:
		w.mu.Unlock()
		w.rec.line("worker %s: %s %s is for %s: 421, not run", w.id, a.attempt, a.uri, a.expected)
		_, err := io.WriteString(c, strings.Replace(standin.Refusal(a.attempt), "503 Service Unavailable", "421 Misdirected Request", 1))
		return err == nil
	case w.running >= workerSlots:
		w.mu.Unlock()
		w.rec.line("worker %s: %s %s: full, not run", w.id, a.attempt, a.uri)
		_, err := io.WriteString(c, standin.Refusal(a.attempt))
		return err == nil
	}
	a.ran = true
	w.arrivals = append(w.arrivals, a)
	w.running++
	crash, work := w.crash, w.work
	if w.workOf != nil {
		work = w.workOf(a)
	}
	w.mu.Unlock()
	w.rec.line("worker %s runs %s %s, caller service %q", w.id, a.attempt, a.uri, a.caller)
	if crash(a) {
		w.rec.line("worker %s has crashed", w.id)
		return false
	}
	time.Sleep(work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	body := "answer to " + a.attempt
	_, err := fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", standin.SignedHead, standin.AttemptHeader(a.attempt), len(body), body)
	return err == nil
}

func (w *worker) answerHealth(c net.Conn) bool {
	w.mu.Lock()
	status := "200 OK"
	if w.leaving {
		status = "503 Service Unavailable"
	}
	running := w.running
	w.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n%s: %s\r\n%s: %d,0,%d\r\n\r\n", status, w.names.instance, w.id, w.names.load, running, workerSlots)
	return err == nil
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat(state string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","%s":%d,"state":%q,"%s":0,"sequence":%d,"born":%d}`,
		w.service, w.addr, w.zone, standin.FieldSlots, workerSlots, state, standin.FieldCold, w.sequence, w.born)
}

// announceTimeout is how long a worker waits for the acknowledgement.
const announceTimeout = time.Second

// announce sends a heartbeat and reports whether it was acknowledged.
func (w *worker) announce(daemon, body string) bool {
	return exchange(daemon, fmt.Sprintf("PUT /instances/%s HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		w.id, len(body), body), announceTimeout) == 200
}

// signOff sends the worker's sign-off and reports whether it was acknowledged.
func (w *worker) signOff(daemon string) bool {
	return exchange(daemon, fmt.Sprintf("DELETE /instances/%s HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n", w.id), announceTimeout) == 200
}

// exchange sends a request and returns the status of the answer, or 0.
func exchange(addr, request string, timeout time.Duration) (status int) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return 0
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return 0
	}
	status, _ = strconv.Atoi(words[1])
	return status
}
