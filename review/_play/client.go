package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id, machine, kind string
	sent, ended       time.Time
	status            int
	// kept is set if the request went over a connection that had carried others.
	signed, kept bool
	err, body    string
}

// clients sends requests to daemons and keeps what became of them.
type clients struct {
	f  *fleet
	n  atomic.Int64
	wg sync.WaitGroup

	mu  sync.Mutex
	all []*attempt
}

// kept returns an HTTP client that keeps its connections, like most clients.
func kept() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// call sends a request and waits for its end.
func (c *clients) call(h *http.Client, m *machine, kind, path string, body io.Reader, deadline time.Duration) *attempt {
	return c.callKey(h, m, kind, path, body, deadline, clientKey)
}

// callKey sends a request with the key of another tenant.
func (c *clients) callKey(h *http.Client, m *machine, kind, path string, body io.Reader, deadline time.Duration, key string) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", c.n.Add(1)), machine: m.name, kind: kind}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, body)
	if err != nil {
		a.err = err.Error()
		return a
	}
	// A transport of Go repeats some requests by itself unless it cannot read their
	// body again; an attempt must be sent once.
	req.GetBody = nil
	req.Host = clientHost
	req.Header.Set(headerAttempt, a.id)
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Api-Key", key)
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }}))
	a.sent = time.Now()
	resp, err := h.Do(req)
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get(headerSigned) != ""
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.body = string(data)
		resp.Body.Close()
	}
	a.ended = time.Now()
	if err != nil {
		a.err = err.Error()
	}
	return a
}

func (c *clients) goCall(h *http.Client, m *machine, kind, path, body string, deadline time.Duration) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		var r io.Reader
		if body != "" {
			r = struct{ io.Reader }{strings.NewReader(body)}
		}
		c.call(h, m, kind, path, r, deadline)
	}()
}

// write writes all attempts and their runs to the record.
func (c *clients) write(runs map[string][]*run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t0 := c.f.record.t0
	for _, a := range c.all {
		line := fmt.Sprintf("attempt %s %s at %s sent %.3f ended %.3f status %d signed %t kept %t", a.id, a.kind, a.machine, a.sent.Sub(t0).Seconds(), a.ended.Sub(t0).Seconds(), a.status, a.signed, a.kept)
		if a.err != "" {
			line += " error " + a.err
		}
		for _, r := range runs[a.id] {
			line += fmt.Sprintf(" | run at %s begun %.3f status %d", r.worker, r.at.Sub(t0).Seconds(), r.status.Load())
		}
		c.f.record.line("%s", line)
	}
}

// orderBody returns the body of an order, which cannot be read again.
func orderBody() io.Reader { return struct{ io.Reader }{strings.NewReader("a tray")} }
