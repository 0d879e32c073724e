package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// sentRequest is a request of a client and its answer.
type sentRequest struct {
	attempt, host string
	sent, done    time.Time
	result        standin.Result
	err           error
}

// clients send requests and keep them.
type clients struct {
	// prefix begins the ids of attempts.
	prefix string
	mu     sync.Mutex
	next   int
	sent   []*sentRequest
	wg     sync.WaitGroup
}

// send sends one request to the daemon of a host, without retries.
func (c *clients) send(h *host, call standin.Call) *sentRequest {
	c.mu.Lock()
	c.next++
	call.Attempt = fmt.Sprintf("%sa%07d", c.prefix, c.next)
	s := &sentRequest{attempt: call.Attempt, host: h.set.Host, sent: time.Now()}
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	call.Host = shopHost
	result, err := call.Do(h.set.CallerListen)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.result, s.err, s.done = result, err, time.Now()
	return s
}

// load sends requests at a rate, to the hosts in turn, until stop is closed.
func (c *clients) load(hosts []*host, perSecond float64, call standin.Call, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		h := hosts[n%len(hosts)]
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(h, call)
		}()
	}
}

// all returns the requests sent, after all have ended.
func (c *clients) all() []*sentRequest {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}
