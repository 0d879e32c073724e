package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/settings"
)

const (
	benchSecret  = "the secret of the benchmark"
	benchSlots   = 64
	benchWorkers = 8
	benchReady   = 20 * time.Second
)

// benchFleet is a fleet of two daemons in one process; only the first has a target.
type benchFleet struct {
	target        string
	local, remote string // caller addresses of the first and the second daemon
}

func startBenchFleet(b *testing.B) *benchFleet {
	b.Helper()
	p := standin.New()
	applyBenchDocument(b, p)
	first := startBenchDaemon(b, p, "h1")
	second := startBenchDaemon(b, p, "h2", first.listen.rpc.Addr().String())
	f := &benchFleet{
		target: startBenchTarget(b, first),
		local:  first.listen.caller.Addr().String(),
		remote: second.listen.caller.Addr().String(),
	}
	for _, addr := range []string{f.local, f.remote} {
		awaitServing(b, addr)
	}
	return f
}

func applyBenchDocument(b *testing.B, p *standin.Platform) {
	b.Helper()
	sum := sha256.Sum256([]byte(benchSecret))
	section := config.Section{
		Name:        "bench",
		Team:        "bench",
		DataCentres: []config.DataCentre{{Name: "dc", Region: "r"}},
		Workspaces: []config.Workspace{{
			Name: "w", Rate: 1e6, Burst: 1e6,
			Keys: []config.Key{{ID: "k", SHA256: hex.EncodeToString(sum[:])}},
		}},
		Services: []config.Service{{Name: "s", ColdLimit: benchSlots, Queue: 1000}},
		Routes: []config.Route{
			{Path: "/keyed", Service: "s", Access: config.AccessKeyed},
			{Path: "/open", Service: "s", Access: config.AccessOpen},
		},
	}
	_, err := configstore.New(p, p.Objects()).Apply(context.Background(), configstore.Change{
		ID: configstore.NewChangeID(), Author: "bench", Edits: []configstore.Edit{{Name: "bench", Section: &section}},
	})
	assert.NilError(b, err)
}

func startBenchDaemon(b *testing.B, p *standin.Platform, host string, peers ...string) *Daemon {
	b.Helper()
	const anyPort = "127.0.0.1:0"
	d, err := New(Options{
		Settings: settings.Settings{
			Host: host, DataCentre: "dc", Peers: peers, ClusterSecret: "the cluster secret of the benchmark", RateShards: 1, MaxConns: 1000,
			CallerListen: anyPort, ForwardListen: anyPort, RPCListen: anyPort, AnnounceListen: anyPort, AdminListen: anyPort,
		},
		Table: p, Objects: p.Objects(), Logger: log.New(io.Discard),
	})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// startBenchTarget runs a target that responds immediately and announces itself
// periodically.
func startBenchTarget(b *testing.B, d *Daemon) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.SetBodyString("ok") }}
	go srv.Serve(ln) //nolint:errcheck
	stop := make(chan struct{})
	b.Cleanup(func() {
		close(stop)
		ln.Close()
	})
	announcement := announce.Announcement{
		Name: "t", Service: "s", Address: ln.Addr().String(), Incarnation: 1, Slots: benchSlots, State: announce.StateReady,
	}
	go func() {
		for {
			d.gate.Announce(announcement) //nolint:errcheck // refused until the configuration is loaded
			select {
			case <-stop:
				return
			case <-time.After(time.Second / 2):
			}
		}
	}()
	return ln.Addr().String()
}

func awaitServing(b *testing.B, addr string) {
	b.Helper()
	pool := link.New(link.Options{})
	defer pool.Close()
	var err error
	for end := time.Now().Add(benchReady); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = exchange(pool, addr, "GET", "/keyed"); err == nil {
			return
		}
	}
	b.Fatalf("%s does not serve: %v", addr, err)
}

func exchange(pool *link.Pool, addr, method, path string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("X-Api-Key", benchSecret)
	resp, err := pool.Do(context.Background(), addr, req, link.RequestOptions{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if string(data) != "ok" {
		return errors.Errorf("%d %s", resp.Header.StatusCode(), data)
	}
	return nil
}

// sampleLatency sends n requests from several workers and returns their latencies.
func sampleLatency(b *testing.B, n int, addr, method, path string) *hdrhistogram.Histogram {
	pool := link.New(link.Options{})
	defer pool.Close()
	hist := hdrhistogram.New(1, (10 * time.Second).Microseconds(), 3)
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(n))
	var wg sync.WaitGroup
	for range benchWorkers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if err := exchange(pool, addr, method, path); err != nil {
					b.Error(err)
					return
				}
				took := time.Since(began).Microseconds()
				mu.Lock()
				hist.RecordValue(took) //nolint:errcheck // within the range
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return hist
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru) //nolint:errcheck
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// BenchmarkAddedLatency reports the latency that the proxy adds to a request at
// the 50th and the 99th percentile, as the difference to requests sent directly to
// the target in the same run, and the CPU time added per request. Callers, daemons
// and target share one process, and the callers send requests back to back.
func BenchmarkAddedLatency(b *testing.B) {
	f := startBenchFleet(b)
	for _, gate := range []struct{ name, addr string }{{"local", f.local}, {"remote", f.remote}} {
		for _, kind := range []struct{ name, method, path string }{
			{"open", "GET", "/open"}, {"keyed", "GET", "/keyed"}, {"order", "POST", "/keyed"},
		} {
			b.Run(gate.name+"/"+kind.name, func(b *testing.B) {
				start := cpuTime()
				direct := sampleLatency(b, b.N, f.target, kind.method, kind.path)
				directCPU := cpuTime() - start
				b.ResetTimer()
				start = cpuTime()
				proxied := sampleLatency(b, b.N, gate.addr, kind.method, kind.path)
				cpu := cpuTime() - start - directCPU
				for _, q := range []struct {
					name string
					at   float64
				}{{"p50-added-us", 50}, {"p99-added-us", 99}} {
					b.ReportMetric(float64(proxied.ValueAtQuantile(q.at)-direct.ValueAtQuantile(q.at)), q.name)
				}
				b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-added-us/op")
			})
		}
	}
}
