package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// run is a request that a worker began to work on.
type run struct {
	attempt, worker, service, caller string
	at                               time.Time
	ended                            atomic.Int64
	status                           atomic.Int64
}

// worker is a sound worker: it runs slots requests at once, queues some, stops at the
// deadline and when its caller leaves.
type worker struct {
	m       *machine
	id      string
	born    time.Time
	seq     atomic.Int64
	slots   chan struct{}
	waiting atomic.Int64
	server  *http.Server
	done    chan struct{}
	// work returns the time to work on a request.
	work func(r *http.Request) time.Duration

	mu   sync.Mutex
	runs []*run
}

const workerQueue = 72

// callerLeft is recorded as the status of a run whose caller closed its connection.
const callerLeft = 499

func startWorker(m *machine, id string) (*worker, error) {
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	w := &worker{m: m, id: id, born: time.Now(), slots: make(chan struct{}, m.slots), done: make(chan struct{})}
	w.work = func(r *http.Request) time.Duration {
		ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
		return time.Duration(ms) * time.Millisecond
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go w.server.Serve(l) //nolint:errcheck // returns when it is closed
	return w, nil
}

// stop ends the worker at once.
func (w *worker) stop() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	w.server.Close()
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(w.slots), w.waiting.Load(), cap(w.slots)))
	h.Set(headerInstance, w.id)
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, attempt)
	if e := r.Header.Get(headerExpected); e != "" && e != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if err != nil {
		ms = 30000
	}
	// The context ends when the caller closes its connection.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	if w.waiting.Add(1) > workerQueue {
		w.waiting.Add(-1)
		w.shed(rw)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-ctx.Done():
		w.waiting.Add(-1)
		w.shed(rw)
		return
	}
	defer func() { <-w.slots }()
	n := &run{attempt: attempt, worker: w.id, service: w.m.service, caller: r.Header.Get(headerCaller), at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, n)
	w.mu.Unlock()
	answer := fmt.Sprintf("%s ran %s", w.id, attempt)
	if size, _ := strconv.Atoi(r.URL.Query().Get("size")); size > len(answer) {
		answer += strings.Repeat(".", size-len(answer))
	}
	begun := r.URL.Query().Get("begin") != ""
	if begun {
		// The first bytes of the answer go out before the work is done.
		h.Set(headerSigned, fmt.Sprintf("%s.%d", w.id, len(body)))
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		rw.WriteHeader(http.StatusOK)
		io.WriteString(rw, answer[:1]) //nolint:errcheck // the context tells
		rw.(http.Flusher).Flush()      //nolint:errcheck // every writer of the server is one
		answer = answer[1:]
	}
	timer := time.NewTimer(w.work(r))
	defer timer.Stop()
	status := http.StatusOK
	select {
	case <-timer.C:
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
		if r.Context().Err() != nil {
			status = callerLeft
		}
	}
	n.status.Store(int64(status))
	n.ended.Store(time.Now().UnixNano())
	if begun && status != http.StatusOK {
		panic(http.ErrAbortHandler) // the answer stays incomplete
	}
	if !begun {
		h.Set(headerSigned, fmt.Sprintf("%s.%d", w.id, len(body)))
		rw.WriteHeader(status)
	}
	io.WriteString(rw, answer) //nolint:errcheck // the caller may have left
}

func (w *worker) shed(rw http.ResponseWriter) {
	rw.Header().Set(headerNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// heartbeat returns the next heartbeat.
func (w *worker) heartbeat(state string) []byte {
	data, _ := json.Marshal(map[string]any{"service": w.m.service, "address": w.m.app, "zone": w.m.zone, "version": "v1", standin.FieldSlots: w.m.slots,
		"state": state, standin.FieldCold: 0, "sequence": w.seq.Add(1), "born": w.born.UnixMilli()})
	return data
}

func (w *worker) announce() error {
	req, err := http.NewRequest(http.MethodPut, "http://"+w.m.control+"/instances/"+w.id, bytes.NewReader(w.heartbeat("ready")))
	if err != nil {
		return err
	}
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// beat sends heartbeats until the worker stops.
func (w *worker) beat() {
	for {
		if w.announce() != nil {
			// No daemon listens; the next heartbeat follows soon.
			time.Sleep(300 * time.Millisecond)
		}
		select {
		case <-w.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// allRuns returns the runs of all workers that there were.
func allRuns(workers []*worker) map[string][]*run {
	out := map[string][]*run{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			out[r.attempt] = append(out[r.attempt], r)
		}
		w.mu.Unlock()
	}
	return out
}
