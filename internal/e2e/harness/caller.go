package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/e2e/trace"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/answer"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	defaultTimeout = 15 * time.Second
	maxConns       = 512
)

// KeyForm selects how a caller sends its API key.
type KeyForm int

const (
	// KeyBearer sends the key as a bearer token in Authorization.
	KeyBearer KeyForm = iota
	// KeyHeader sends the key in X-Api-Key.
	KeyHeader
	// KeyNone sends no key.
	KeyNone
)

// Request describes a request of a caller.
type Request struct {
	// Host is the index of the daemon to send to.
	Host      int
	Workspace string
	// KeyID identifies a key of the workspace. It defaults to "k1".
	KeyID   string
	KeyForm KeyForm
	// Method defaults to POST, Path to "/orders".
	Method, Path string
	// Query controls how the target processes the request, for example
	// "work_ms=20".
	Query string
	Body  string
	// IdempotencyKey is sent in Idempotency-Key if it is not empty.
	IdempotencyKey string
	Headers        map[string]string
	// Timeout defaults to 15 s.
	Timeout time.Duration
}

func (r Request) withDefaults() Request {
	if r.KeyID == "" {
		r.KeyID = "k1"
	}
	if r.Method == "" {
		r.Method = fasthttp.MethodPost
	}
	if r.Path == "" {
		r.Path = "/orders"
	}
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	return r
}

type clientKey struct {
	addr, workspace string
}

// client returns the persistent client of a workspace for a daemon.
func (f *Fleet) client(r Request) *fasthttp.HostClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := clientKey{f.Hosts[r.Host].Daemon.Addrs["caller"], r.Workspace}
	c, ok := f.clients[key]
	if !ok {
		c = &fasthttp.HostClient{
			Addr:                      key.addr,
			MaxConns:                  maxConns,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		f.clients[key] = c
	}
	return c
}

// problemDetails is the body of a refusal.
type problemDetails struct {
	Reason string `json:"reason"`
}

// Call sends one request, never retrying one that may have been sent, and
// records the result.
func (f *Fleet) Call(r Request) trace.Call {
	r = r.withDefaults()
	f.mu.Lock()
	f.nextID++
	c := trace.Call{
		ID:         fmt.Sprintf("r%d", f.nextID),
		Workspace:  r.Workspace,
		KeyID:      r.KeyID,
		DataCentre: f.Hosts[r.Host].DataCentre,
		Idempotent: r.Method == fasthttp.MethodGet,
	}
	f.mu.Unlock()
	if r.IdempotencyKey != "" {
		c.OperationID = r.Workspace + " " + r.IdempotencyKey
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.Sent = time.Now()
	err := f.send(r, c.ID, req, resp)
	c.Done = time.Now()
	if err != nil {
		c.Err = err.Error()
	} else {
		readResponse(&c, resp)
	}
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	return c
}

// send sends the request to the daemon of r. If the connection is refused, no
// byte has been sent and the next daemon is tried, as by a caller that knows
// several addresses.
func (f *Fleet) send(r Request, id string, req *fasthttp.Request, resp *fasthttp.Response) error {
	for tries := 1; ; tries++ {
		client := f.client(r)
		buildRequest(req, r, id, client.Addr)
		err := client.DoTimeout(req, resp, r.Timeout)
		if !errors.Is(err, syscall.ECONNREFUSED) || tries == len(f.Hosts) {
			return err
		}
		r.Host = (r.Host + 1) % len(f.Hosts)
	}
}

func buildRequest(req *fasthttp.Request, r Request, id, addr string) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + addr + r.Path + "?" + r.Query)
	req.Header.Set("X-Request-Id", id)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	switch r.KeyForm {
	case KeyBearer:
		req.Header.Set("Authorization", "Bearer "+Secret(r.Workspace, r.KeyID))
	case KeyHeader:
		req.Header.Set("X-Api-Key", Secret(r.Workspace, r.KeyID))
	}
	for name, value := range r.Headers {
		req.Header.Set(name, value)
	}
	if r.Method != fasthttp.MethodGet {
		req.SetBodyString(r.Body)
	}
}

func readResponse(c *trace.Call, resp *fasthttp.Response) {
	c.Status = resp.StatusCode()
	c.RunState = string(resp.Header.Peek("Gooseberryshed-Run"))
	c.ResponseID, c.Complete = answer.Check(resp.Body())
	if strings.HasPrefix(string(resp.Header.ContentType()), "application/problem+json") {
		var p problemDetails
		if json.Unmarshal(resp.Body(), &p) == nil {
			c.Reason = p.Reason
		}
	}
}

// Calls returns all calls recorded since Start.
func (f *Fleet) Calls() []trace.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]trace.Call(nil), f.calls...)
}

// Load describes requests sent at a constant rate.
type Load struct {
	// Rate is in requests per second.
	Rate float64
	// Hosts holds the indexes of the daemons to send to in rotation. It
	// defaults to all.
	Hosts []int
	// UniqueIdempotencyKeys sends a unique Idempotency-Key with each request.
	UniqueIdempotencyKeys bool
	Request               Request
}

// StartLoad sends requests until stop is called. stop waits for the requests in
// flight.
func (f *Fleet) StartLoad(l Load) (stop func()) {
	if len(l.Hosts) == 0 {
		for i := range f.Hosts {
			l.Hosts = append(l.Hosts, i)
		}
	}
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-quit:
				return
			case <-tick.C:
			}
			r := l.Request
			r.Host = l.Hosts[n%len(l.Hosts)]
			if l.UniqueIdempotencyKeys {
				r.IdempotencyKey = fmt.Sprintf("order-%d-%d", n, rand.Uint64())
			}
			wg.Go(func() { f.Call(r) })
		}
	})
	var once sync.Once
	return func() {
		once.Do(func() { close(quit) })
		wg.Wait()
	}
}

// RunLoad sends requests for duration d and waits for those in flight.
func (f *Fleet) RunLoad(l Load, d time.Duration) {
	stop := f.StartLoad(l)
	time.Sleep(d)
	stop()
}
