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
	// orderAttempts is the maximum number of attempts to send one order.
	orderAttempts   = 4
	orderRetryDelay = 200 * time.Millisecond
)

// Request rates by type, in requests per second.
const (
	menuRate   = 60
	statusRate = 60
	orderRate  = 30
)

// loadGenerator sends requests and records their outcomes.
type loadGenerator struct {
	hosts   []*host
	clients []*fasthttp.HostClient

	mu     sync.Mutex
	calls  []trace.Call
	nextID int
}

func newLoadGenerator(hosts []*host) *loadGenerator {
	c := &loadGenerator{hosts: hosts}
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

// request describes a request to send.
type request struct {
	host      int
	workspace string
	method    string
	path      string
	order     string
}

// send sends one request without retries and records its outcome.
func (c *loadGenerator) send(r request) trace.Call {
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
	buildRequest(req, r, rec.ID, c.clients[r.host].Addr)
	rec.Sent = time.Now()
	err := c.clients[r.host].DoTimeout(req, resp, callTimeout)
	rec.Done = time.Now()
	if err != nil {
		rec.Err = err.Error()
	} else {
		recordResponse(&rec, resp)
	}
	c.mu.Lock()
	c.calls = append(c.calls, rec)
	c.mu.Unlock()
	return rec
}

func (c *loadGenerator) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("request-%d", c.nextID)
}

func buildRequest(req *fasthttp.Request, r request, id, addr string) {
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

// problemDocument contains the recorded field of a problem document.
type problemDocument struct {
	Reason string `json:"reason"`
}

func recordResponse(rec *trace.Call, resp *fasthttp.Response) {
	rec.Status = resp.StatusCode()
	rec.RunState = string(resp.Header.Peek("Gooseberryshed-Run"))
	rec.ResponseID, rec.Complete = answer.Check(resp.Body())
	if strings.HasPrefix(string(resp.Header.ContentType()), "application/problem+json") {
		var p problemDocument
		if json.Unmarshal(resp.Body(), &p) == nil {
			rec.Reason = p.Reason
		}
	}
}

// sendOrder sends one order, and retries it through the next host with the same
// Idempotency-Key until a target responds or the attempts are exhausted.
func (c *loadGenerator) sendOrder(ctx context.Context, r request) {
	for range orderAttempts {
		rec := c.send(r)
		if rec.Err == "" && rec.RunState == "" {
			return
		}
		if !pause.For(ctx, orderRetryDelay) {
			return
		}
		r.host = (r.host + 1) % len(c.hosts)
	}
}

// run generates all types of load until ctx ends, then waits for requests in
// flight.
func (c *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.stream(ctx, menuRate, func(n int) { c.send(c.menuRequest(n)) }) })
	wg.Go(func() { c.stream(ctx, statusRate, func(n int) { c.send(c.statusRequest(n)) }) })
	wg.Go(func() {
		c.stream(ctx, orderRate, func(n int) { c.sendOrder(context.WithoutCancel(ctx), c.orderRequest(n)) })
	})
	wg.Wait()
}

func (c *loadGenerator) menuRequest(n int) request {
	return request{host: n % len(c.hosts), method: http.MethodGet, path: pathMenus}
}

func (c *loadGenerator) statusRequest(n int) request {
	return request{host: n % len(c.hosts), method: http.MethodGet, path: pathOrders, workspace: workspaces[n%len(workspaces)]}
}

func (c *loadGenerator) orderRequest(n int) request {
	r := c.statusRequest(n)
	r.method = http.MethodPost
	r.order = fmt.Sprintf("order-%d", n)
	return r
}

// stream calls send at a constant rate until ctx ends, then waits for all calls to
// return.
func (c *loadGenerator) stream(ctx context.Context, rate int, send func(n int)) {
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

// recorded returns a copy of the requests recorded so far.
func (c *loadGenerator) recorded() []trace.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]trace.Call(nil), c.calls...)
}
