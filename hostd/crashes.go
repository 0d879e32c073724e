package hostd

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/suspect"
)

// Some requests crash each target that begins to run them, and come again at
// any host. A gate that sees its target die tells, for each request that it had
// in flight, the host that owns the request's fingerprint; the owner counts
// deaths and tells all hosts when a request is to be refused.

// Questions about requests that crash targets.
const (
	// questionCrash tells an owner of a death with a fingerprint in flight.
	questionCrash = "crash"
	// questionQuarantine tells a host to refuse a fingerprint.
	questionQuarantine = "quarantine"
)

const (
	// crashDeaths is how many targets a request takes down before it is refused.
	// A bystander of that many deaths with no other end is unlikely.
	crashDeaths = 3
	// crashMemory is how long deaths count together.
	crashMemory = time.Minute
	// quarantineTime is how long a request is refused; then it is tried again.
	quarantineTime = time.Minute
	// fingerprintBase is the base in which fingerprints are written.
	fingerprintBase = 16
)

// crashes counts deaths for the fingerprints that this host owns, and knows the
// requests under quarantine.
type crashes struct {
	host string
	view func() *View
	ask  func(ctx context.Context, addr string, q datagram) (datagram, error)
	log  *decisions.Log

	registry *suspect.Registry
	mu       sync.Mutex
	refused  map[uint64]time.Time
}

func newCrashes(host string, view func() *View, ask func(context.Context, string, datagram) (datagram, error), l *decisions.Log) *crashes {
	return &crashes{
		host: host,
		view: view,
		ask:  ask,
		log:  l,
		registry: suspect.NewRegistry(suspect.Options{
			DeathThreshold:   crashDeaths,
			SuspicionPeriod:  crashMemory,
			QuarantinePeriod: quarantineTime,
		}),
		refused: map[uint64]time.Time{},
	}
}

// fingerprintOf identifies a request by its sender and content.
func fingerprintOf(req *fasthttp.Request, workspace string) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), []byte(workspace), req.Body()} {
		d.Write(part)      //nolint:errcheck // a hash takes all
		d.Write([]byte{0}) //nolint:errcheck // a hash takes all
	}
	return d.Sum64()
}

// quarantined reports whether a request is to be refused.
func (c *crashes) quarantined(fp uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.refused[fp]
	if ok && now.After(until) {
		delete(c.refused, fp)
		return false
	}
	return ok
}

// died tells the owners of fingerprints that a target's life ended with them in
// flight.
func (c *crashes) died(ctx context.Context, target string, life int64, fps []uint64) {
	view := c.view()
	for _, fp := range fps {
		name := strconv.FormatUint(fp, fingerprintBase)
		q := datagram{Kind: questionCrash, Name: name, Host: target, Life: life}
		owners := quota.RankOwners(questionCrash+" "+name, view.hostNames())
		c.log.Decide("death", "target", target, "fingerprint", name)
		if len(owners) == 0 || owners[0] == c.host {
			c.count(ctx, q)
			continue
		}
		if t, ok := view.TargetOf(owners[0]); ok {
			if _, err := c.ask(ctx, t.Control, q); err != nil {
				c.log.Decide("death-not-told", "fingerprint", name, "owner", owners[0], "err", err)
			}
		}
	}
}

// answer takes another host's word on a fingerprint.
func (c *crashes) answer(ctx context.Context, q datagram) datagram {
	if q.Kind == questionCrash {
		go c.count(context.WithoutCancel(ctx), q)
	} else if fp, err := strconv.ParseUint(q.Name, fingerprintBase, 64); err == nil {
		c.refuse(fp)
	}
	return datagram{Yes: true}
}

// count counts a death, and tells all hosts when there have been too many.
func (c *crashes) count(ctx context.Context, q datagram) {
	fp, err := strconv.ParseUint(q.Name, fingerprintBase, 64)
	if err != nil {
		return
	}
	now := time.Now()
	c.registry.OnDeath(now, q.Host, uint64(q.Life), []uint64{fp})
	if c.registry.Check(now, fp).Level != suspect.Quarantined {
		return
	}
	c.refuse(fp)
	view := c.view()
	for _, host := range view.hostNames() {
		if t, ok := view.TargetOf(host); ok && host != c.host {
			go c.ask(ctx, t.Control, datagram{Kind: questionQuarantine, Name: q.Name}) //nolint:errcheck // a host that is not reached hears of the next death
		}
	}
}

func (c *crashes) refuse(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[fp] = time.Now().Add(quarantineTime)
	c.log.Decide("quarantine", "fingerprint", strconv.FormatUint(fp, fingerprintBase), "for_s", quarantineTime.Seconds())
}

// sweep drops what no longer counts.
func (c *crashes) sweep(now time.Time) {
	c.registry.Tick(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for fp, until := range c.refused {
		if now.After(until) {
			delete(c.refused, fp)
		}
	}
}

// Times of the look whether a target has died.
const (
	// deathLook is how long after a connection broke the target is looked for.
	deathLook = 30 * time.Millisecond
	// deathLookTimeout bounds that look; the target is on the same host.
	deathLookTimeout = 300 * time.Millisecond
	// deathTold bounds telling others.
	deathTold = 2 * time.Second
)

// lookForDeath finds out whether a target whose connection broke has died, and
// tells with which requests in flight.
func (g *Gate) lookForDeath(t *local) {
	time.Sleep(deathLook)
	ctx, cancel := context.WithTimeout(context.Background(), deathLookTimeout)
	err := g.links.Probe(ctx, t.address)
	cancel()
	g.mu.Lock()
	broken := t.broken
	t.broken, t.looking = nil, false
	born := t.born
	g.mu.Unlock()
	if err == nil || len(broken) == 0 {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), deathTold)
	defer cancel()
	g.died(ctx, t.id, born, broken)
}
