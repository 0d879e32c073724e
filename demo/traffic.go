package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/answer"
)

const (
	callTimeout = 15 * time.Second
	maxConns    = 256
	// orderTries bounds how often a caller sends one order.
	orderTries = 4
	orderPause = 200 * time.Millisecond
)

// Rates of the streams in requests per second.
const (
	menuRate   = 60
	statusRate = 60
	orderRate  = 30
)

// callers sends requests and records what came of them.
type callers struct {
	hosts   []*host
	clients []*fasthttp.HostClient

	mu     sync.Mutex
	calls  []trace.Call
	nextID int
}

func newCallers(hosts []*host) *callers {
	c := &callers{hosts: hosts}
	for _, h := range hosts {
		c.clients = append(c.clients, &fasthttp.HostClient{
			Addr:                      h.addrs.Caller,
			MaxConns:                  maxConns,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return c
}

// request is what a caller sends.
type request struct {
	host      int
	workspace string
	method    string
	path      string
	order     string
}

// call sends one request, never twice.
func (c *callers) call(r request) trace.Call {
	rec := trace.Call{
		ID:          c.newID(),
		Workspace:   r.workspace,
		DataCentre:  c.hosts[r.host].dataCentre,
		Idempotent:  r.method == http.MethodGet,
		OperationID: r.order,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, r, rec.ID, c.clients[r.host].Addr)
	rec.Sent = time.Now()
	err := c.clients[r.host].DoTimeout(req, resp, callTimeout)
	rec.Done = time.Now()
	if err != nil {
		rec.Err = err.Error()
	} else {
		take(&rec, resp)
	}
	c.mu.Lock()
	c.calls = append(c.calls, rec)
	c.mu.Unlock()
	return rec
}

func (c *callers) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("request-%d", c.nextID)
}

func fill(req *fasthttp.Request, r request, id, addr string) {
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + addr + r.path)
	req.Header.Set("X-Request-Id", id)
	if r.workspace != "" {
		req.Header.Set("Authorization", "Bearer "+secret(r.workspace))
	}
	if r.order != "" {
		req.Header.Set("Idempotency-Key", r.order)
		req.SetBodyString("one tray for " + r.order)
	}
}

// refusal is the part of a problem document that is recorded.
type refusal struct {
	Reason string `json:"reason"`
}

func take(rec *trace.Call, resp *fasthttp.Response) {
	rec.Status = resp.StatusCode()
	rec.RunState = string(resp.Header.Peek("Gooseberryshed-Run"))
	rec.ResponseID, rec.Complete = answer.Check(resp.Body())
	if strings.HasPrefix(string(resp.Header.ContentType()), "application/problem+json") {
		var p refusal
		if json.Unmarshal(resp.Body(), &p) == nil {
			rec.Reason = p.Reason
		}
	}
}

// order sends one order until it has a target's answer, each time through the
// next host and with the same Idempotency-Key.
func (c *callers) order(ctx context.Context, r request) {
	for range orderTries {
		rec := c.call(r)
		if rec.Err == "" && rec.RunState == "" {
			return
		}
		if !pause.For(ctx, orderPause) {
			return
		}
		r.host = (r.host + 1) % len(c.hosts)
	}
}

// run sends all streams until ctx ends and waits for their ends.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.stream(ctx, menuRate, func(n int) { c.call(c.menu(n)) }) })
	wg.Go(func() { c.stream(ctx, statusRate, func(n int) { c.call(c.status(n)) }) })
	wg.Go(func() { c.stream(ctx, orderRate, func(n int) { c.order(context.WithoutCancel(ctx), c.newOrder(n)) }) })
	wg.Wait()
}

func (c *callers) menu(n int) request {
	return request{host: n % len(c.hosts), method: http.MethodGet, path: pathMenus}
}

func (c *callers) status(n int) request {
	return request{host: n % len(c.hosts), method: http.MethodGet, path: pathOrders, workspace: workspaces[n%len(workspaces)]}
}

func (c *callers) newOrder(n int) request {
	r := c.status(n)
	r.method = http.MethodPost
	r.order = fmt.Sprintf("order-%d", n)
	return r
}

// stream calls send at a steady rate until ctx ends and waits for the ends.
func (c *callers) stream(ctx context.Context, rate int, send func(n int)) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			wg.Go(func() { send(n) })
		}
	}
}

// all returns the calls recorded so far.
func (c *callers) all() []trace.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]trace.Call(nil), c.calls...)
}
