package forward_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/forward"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/ledger"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// chain is a client, server, gate and target in one process, connected over TCP.
type chain struct {
	gate   *gate.Gate
	client *forward.Client
	addr   string // of the server
	target string // address of the target
	runs   atomic.Int64
}

const (
	chainSlots       = 64
	chainReadTimeout = time.Second
)

func startChain(t testing.TB, dialAddr func(addr string) string, handle fasthttp.RequestHandler) *chain {
	t.Helper()
	c := &chain{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{
		Handler: func(rc *fasthttp.RequestCtx) {
			c.runs.Add(1)
			handle(rc)
		},
		DisablePreParseMultipartForm: true, // parsing would drop the epilogue
	}
	go srv.Serve(ln) //nolint:errcheck
	t.Cleanup(func() { ln.Close() })
	c.target = ln.Addr().String()
	c.gate = gate.New(gate.Options{
		Host: "h", Incarnation: 1,
		Service: func(string) (config.Service, bool) {
			return config.Service{Queue: 1000, ColdLimit: chainSlots}, true
		},
		SoleDaemon: func() bool { return true },
		// The benchmark sends far more requests than a host must handle.
		Ledger: ledger.Options{Capacity: 1 << 23},
		// Announcements must not expire during a test.
		AnnouncementTTL: time.Hour,
	})
	assert.NilError(t, c.gate.Announce(announce.Announcement{
		Name: "a", Service: "orders", Address: c.target, Incarnation: 1, Slots: chainSlots, State: announce.StateReady,
	}))
	c.addr, _ = serve(t, forward.ServerOptions{Forwarder: c.gate})
	serverAddr := dialAddr(c.addr)
	c.client = forward.NewClient(forward.ClientOptions{
		Address:     func(string) (string, bool) { return serverAddr, true },
		Secrets:     []string{"new"},
		ReadTimeout: chainReadTimeout,
	})
	t.Cleanup(c.client.Close)
	return c
}

func direct(addr string) string { return addr }

func (c *chain) attempt() wire.Attempt {
	att := attempt()
	att.Epoch = c.gate.Epoch()
	return att
}

// forwardAndSettle sends a non-idempotent request as callers of Client must: if
// the outcome is unknown, it settles the attempt and retries only if the attempt
// did not run.
func (c *chain) forwardAndSettle(ctx context.Context) (ok bool, unknown bool) {
	for range 2 {
		att := c.attempt()
		att.Idempotent = false
		response, err := c.client.Forward(ctx, "h", att, request())
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
			return err == nil, err != nil
		}
		run := wire.AsRefusal(err).Run
		if run == wire.Unknown {
			run, _ = c.gate.Settle(ctx, att.ID, att.Epoch)
		}
		if run != wire.NotRun {
			return false, true
		}
	}
	return false, false
}

// faultProxy starts a fault-injecting proxy in front of addr.
func faultProxy(t testing.TB, addr string) *toxiproxy.Proxy {
	t.Helper()
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = t.Name(), "127.0.0.1:0", addr
	assert.NilError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

func blackhole(t testing.TB, p *toxiproxy.Proxy, stream string) {
	t.Helper()
	_, err := p.Toxics.AddToxicJson(toxicJSON(stream))
	assert.NilError(t, err)
}

// TestOneWayPartitionIsSettled drops all data in one direction between client and
// server. If the direction to the gate is cut, the attempt did not run and must be
// settled as such. If the direction from the gate is cut, the attempt ran once and
// must not be reported as not run.
func TestOneWayPartitionIsSettled(t *testing.T) {
	for _, tc := range []struct {
		stream  string
		runs    int64
		unknown bool
	}{{"upstream", 1, false}, {"downstream", 2, true}} {
		t.Run(tc.stream, func(t *testing.T) {
			var proxy *toxiproxy.Proxy
			c := startChain(t, func(addr string) string {
				proxy = faultProxy(t, addr)
				return proxy.Listen
			}, func(rc *fasthttp.RequestCtx) { rc.SetBodyString("ok") })
			ok, _ := c.forwardAndSettle(context.Background())
			assert.Assert(t, ok)
			blackhole(t, proxy, tc.stream)
			ok, unknown := c.forwardAndSettle(context.Background())
			assert.Assert(t, !ok)
			assert.Equal(t, unknown, tc.unknown)
			assert.Equal(t, c.runs.Load(), tc.runs)
		})
	}
}

// TestConnectionCutsDoNotDuplicateAttempts sends requests while the connections
// between client and server are cut repeatedly. No attempt may run twice, and the
// number of runs must agree with the reported outcomes.
func TestConnectionCutsDoNotDuplicateAttempts(t *testing.T) {
	var proxy *toxiproxy.Proxy
	var mu sync.Mutex
	ran := map[string]int{}
	c := startChain(t, func(addr string) string {
		proxy = faultProxy(t, addr)
		return proxy.Listen
	}, func(rc *fasthttp.RequestCtx) {
		mu.Lock()
		ran[string(rc.Request.Header.Peek("Gooseberryshed-Attempt"))]++
		mu.Unlock()
		rc.SetBodyString("ok")
	})
	var wg sync.WaitGroup
	var oks, unknowns atomic.Int64
	done := make(chan struct{})
	for range 8 {
		wg.Go(func() {
			for range 60 {
				ok, unknown := c.forwardAndSettle(context.Background())
				if ok {
					oks.Add(1)
				}
				if unknown {
					unknowns.Add(1)
				}
			}
		})
	}
	var cutter sync.WaitGroup
	cutter.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				proxy.Stop()
				assert.Check(t, proxy.Start())
			}
		}
	})
	wg.Wait()
	close(done)
	cutter.Wait()
	for id, n := range ran {
		assert.Equal(t, n, 1, id)
	}
	total := int64(len(ran))
	t.Logf("%d runs, %d complete responses, %d unknown", total, oks.Load(), unknowns.Load())
	assert.Assert(t, oks.Load() <= total && total <= oks.Load()+unknowns.Load())
}

func toxicJSON(stream string) io.Reader {
	return strings.NewReader(`{"name":"cut","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`)
}

// measure sends requests from several workers and reports latency percentiles and
// CPU time per request.
func measure(b *testing.B, send func() error) {
	const workers = 8
	var mu sync.Mutex
	hist := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	left := atomic.Int64{}
	left.Store(int64(b.N))
	before := cpuTime()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if err := send(); err != nil {
					b.Error(err)
					return
				}
				micros := time.Since(began).Microseconds()
				mu.Lock()
				hist.RecordValue(micros) //nolint:errcheck
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru) //nolint:errcheck
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func readAll(response *wire.Response, err error) error {
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// BenchmarkPath compares requests sent directly to the target, through a gate in
// the same process, and through a remote gate. All components run in one process
// on one machine.
func BenchmarkPath(b *testing.B) {
	c := startChain(b, direct, func(rc *fasthttp.RequestCtx) { rc.SetBodyString("ok") })
	ctx := context.Background()
	b.Run("target", func(b *testing.B) {
		pool := link.New(link.Options{})
		defer pool.Close()
		measure(b, func() error {
			resp, err := pool.Do(ctx, c.target, request(), link.RequestOptions{})
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	})
	for _, kind := range []struct {
		name       string
		idempotent bool
	}{{"idempotent", true}, {"once", false}} {
		att := func() wire.Attempt {
			att := c.attempt()
			att.Idempotent = kind.idempotent
			return att
		}
		b.Run("gate/"+kind.name, func(b *testing.B) {
			measure(b, func() error { return readAll(c.gate.Forward(ctx, att(), request())) })
		})
		b.Run("remote/"+kind.name, func(b *testing.B) {
			measure(b, func() error { return readAll(c.client.Forward(ctx, "h", att(), request())) })
		})
	}
}
