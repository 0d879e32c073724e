package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// Figures of the case "leavers".
const (
	maxBody = 64 << 20 // maxBodyBytes of the configuration
	// Of the callers of a machine a share of 0.3 send large orders and leave.
	largeCallers = 9
	smallCallers = 21
	largeBody    = 40 << 20
	// sendRate is below that of a machine's link, 1,000 Mbit/s.
	sendRate = 115 << 20
	// leaveWithin is how long after the whole order has been sent a caller leaves, at the
	// latest. It has then waited for less than 1.5 s.
	leaveWithin = 300 * time.Millisecond
	largeRounds = 4
	roundEvery  = 9 * time.Second
	largeWork   = 2800 * time.Millisecond // the longest of order-place
	smallWork   = 300 * time.Millisecond
	smallPause  = 1500 * time.Millisecond
	// allowedLost is how many requests of kept connections may lose their answer.
	allowedLost = 3
	// faultEnds is how often processes may not end on each of two machines.
	faultEnds = 3
)

// playLeavers lets callers send large orders and leave before the answer. The platform kills a
// process that exceeds its memory and starts it again.
func playLeavers(r *record) int {
	f := newFleet(r)
	defer f.stop()
	order := standin.Route{Name: "order", Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", Service: "orders", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	menu := standin.Route{Name: "menu", Host: shopHost, Prefix: "/menu/", Kind: "idempotent", Service: "menus", Timeout: 4 * time.Second, Objective: 2 * time.Second}
	f.services, f.routes = []string{"orders", "menus"}, []standin.Route{order, menu}
	f.store.Put(karpithaz.OperatorTable, karpithaz.ConfigKey, withMaxBody(standin.EncodeConfig(1, f.services, f.routes, f.workspaces)))
	for i := range 6 {
		f.addHost(f.services[i%2], fmt.Sprintf("zone-%d", i/2))
	}
	f.start(smallWork)
	for _, h := range f.hosts {
		h.current().workOf = func(a arrival) time.Duration {
			if strings.Contains(a.uri, "large") {
				return largeWork
			}
			return smallWork
		}
	}
	busy := []*host{f.hosts[0], f.hosts[2]}
	stop := make(chan struct{})
	var watching, calling sync.WaitGroup
	m := &memoryWatch{rec: r, ends: map[*host]int{}, most: map[*host]int64{}}
	for _, h := range busy {
		watching.Go(func() { m.watch(h, stop) })
	}
	small := &smallOrders{f: f}
	for i, h := range busy {
		for n := range smallCallers {
			calling.Go(func() { small.send(h, fmt.Sprintf("small-%d-%d", i, n), order, stop) })
		}
	}
	for round := range largeRounds {
		began := time.Now()
		var large sync.WaitGroup
		for i, h := range busy {
			large.Go(func() { f.sendLarge(h, fmt.Sprintf("large-%d-%d", i, round), order) })
		}
		large.Wait()
		time.Sleep(time.Until(began.Add(roundEvery)))
	}
	close(stop)
	calling.Wait()
	watching.Wait()

	ran := map[string]bool{}
	for _, h := range f.hosts {
		for _, a := range h.current().received() {
			ran[a.attempt] = true
		}
	}
	lost := 0
	for _, attempt := range small.unanswered {
		if ran[attempt] {
			lost++
			r.line("%s was passed on to a worker, and its kept connection ended without an answer", attempt)
		}
	}
	often := 0
	for _, h := range busy {
		r.note("%s: %d MB at most, %d are allowed; killed %d times for its memory", h.set.Host, m.most[h]>>20, memoryMb, m.ends[h])
		if m.ends[h] >= faultEnds {
			often++
		}
	}
	r.note("%d small orders sent; %d on kept connections were passed on to workers and got no answer, %d may", small.count, lost, allowedLost)
	if lost > allowedLost || often >= 2 {
		return exitBroken
	}
	return exitHeld
}

// withMaxBody returns a configuration with the limit on bodies of the site.
func withMaxBody(document []byte) []byte {
	var d map[string]any
	must(json.Unmarshal(document, &d))
	d["limits"].(map[string]any)["maxBodyBytes"] = maxBody
	out, err := json.Marshal(d)
	must(err)
	return out
}

// memoryWatch is the platform's watch on the memory of processes.
type memoryWatch struct {
	rec  *record
	mu   sync.Mutex
	ends map[*host]int
	most map[*host]int64
}

func (m *memoryWatch) watch(h *host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		h.mu.Lock()
		pid := h.cmd.Process.Pid
		h.mu.Unlock()
		used := residentBytes(pid)
		m.mu.Lock()
		m.most[h] = max(m.most[h], used)
		m.mu.Unlock()
		if used <= memoryMb<<20 {
			continue
		}
		m.rec.line("%s uses %d MB and is killed", h.set.Host, used>>20)
		h.kill()
		m.mu.Lock()
		m.ends[h]++
		m.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		h.startDaemon()
	}
}

// residentBytes returns the resident memory of a process, or 0.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if words := strings.Fields(line); len(words) == 3 && words[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(words[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// head returns the head of an order with a body of some bytes.
func orderHead(attempt string, route standin.Route, body int) []byte {
	var req fasthttp.Request
	standin.Call{Attempt: attempt, Method: "POST", Host: shopHost, URI: route.Prefix + attempt, Key: shopKey, Timeout: 8 * time.Second}.Write(&req)
	req.Header.SetContentLength(body)
	return bytes.Clone(req.Header.Header())
}

// sendLarge lets one caller after the other send a large order. With the disruption it leaves
// shortly after the last byte, otherwise it waits for the answer.
func (f *fleet) sendLarge(h *host, name string, route standin.Route) {
	var waiting sync.WaitGroup
	piece := make([]byte, 1<<20)
	for n := range largeCallers {
		attempt := fmt.Sprintf("%s-%d", name, n)
		c, err := net.DialTimeout("tcp", h.set.CallerListen, time.Second)
		if err != nil {
			f.rec.line("caller on %s cannot connect for %s: %v", h.set.Host, attempt, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		began := time.Now()
		c.SetDeadline(began.Add(8 * time.Second))
		_, err = c.Write(orderHead(attempt, route, largeBody))
		for sent := 0; err == nil && sent < largeBody; sent += len(piece) {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / sendRate * float64(time.Second)))))
			_, err = c.Write(piece)
		}
		f.rec.line("caller on %s has sent %s in %d ms, err %v", h.set.Host, attempt, time.Since(began).Milliseconds(), err)
		waiting.Go(func() {
			defer c.Close()
			if trouble() {
				time.Sleep(rand.N(leaveWithin))
				f.rec.line("caller of %s leaves after %d ms", attempt, time.Since(began).Milliseconds())
				return
			}
			line, err := bufio.NewReader(c).ReadString('\n')
			f.rec.line("answer to %s: %q, %v", attempt, strings.TrimSpace(line), err)
		})
	}
	waiting.Wait()
}

// smallOrders are orders of other callers, each of which keeps its connection.
type smallOrders struct {
	f     *fleet
	mu    sync.Mutex
	count int
	// unanswered are the orders, not the first of their connections, that got no answer.
	unanswered []string
}

func (s *smallOrders) send(h *host, name string, route standin.Route, stop <-chan struct{}) {
	time.Sleep(rand.N(smallPause))
	var c net.Conn
	var br *bufio.Reader
	on := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(smallPause/2 + rand.N(smallPause)):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", h.set.CallerListen, time.Second); err != nil {
				c = nil
				continue
			}
			br, on = bufio.NewReader(c), 0
		}
		attempt := fmt.Sprintf("%s-%d", name, n)
		c.SetDeadline(time.Now().Add(9 * time.Second))
		_, err := c.Write(append(orderHead(attempt, route, len(name)), name...))
		var resp fasthttp.Response
		if err == nil {
			err = resp.Read(br)
		}
		s.mu.Lock()
		s.count++
		if err != nil && on > 0 {
			s.unanswered = append(s.unanswered, attempt)
		}
		s.mu.Unlock()
		s.f.rec.line("order %s on connection %s, number %d: status %d, %v", attempt, name, on+1, resp.StatusCode(), err)
		on++
		if err != nil || resp.ConnectionClose() {
			if err != nil && err != io.EOF {
				s.f.rec.line("connection %s: %v", name, err)
			}
			c.Close()
			c = nil
		}
	}
}
