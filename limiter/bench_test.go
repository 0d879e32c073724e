package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// The simulated workspaces: one with a large burst, one split with a small
// burst, and one that is not split.
var benchLimits = map[string]Limits{
	"large":  {Rate: 20, Burst: 20, LastChanged: 1},
	"medium": {Rate: 2, Burst: 6, LastChanged: 1},
	"small":  {Rate: 0.5, Burst: 3, LastChanged: 1},
}

const (
	benchSeed     = 20261204
	benchDuration = 10 * time.Minute
)

// referenceBucket is the central bucket that decides which requests are within
// the rate.
type referenceBucket struct {
	limit.Bucket
	params limit.Params
}

// runLoad simulates requests to one workspace at a fraction of its rate. It
// returns the number of requests within the rate and how many of these were
// refused. skew is the fraction of requests that always come from the first
// data centre.
func runLoad(f *fleet, workspace string, load, skew float64, take func(dc int, now time.Time) bool) (within, refused int) {
	rng := rand.New(rand.NewPCG(benchSeed, 1))
	l := benchLimits[workspace]
	ref := referenceBucket{params: limit.Params{Rate: l.Rate, Capacity: float64(l.Burst)}}
	ref.Bucket = limit.NewBucket(f.clock.Now(), ref.params, ref.params.Capacity)
	end := f.clock.Now().Add(benchDuration)
	step := f.clock.Now()
	for f.clock.Now().Before(end) {
		f.clock.Advance(time.Duration(rng.ExpFloat64() / (l.Rate * load) * float64(time.Second)))
		for ; step.Before(f.clock.Now()); step = step.Add(stepInterval) {
			f.step()
		}
		dc := rng.IntN(3)
		if rng.Float64() < skew {
			dc = 0
		}
		if ref.Take(f.clock.Now(), ref.params, 1) == 0 {
			continue
		}
		within++
		if !take(dc, f.clock.Now()) {
			refused++
		}
	}
	return within, refused
}

type benchScenario struct {
	name   string
	inject func(f *fleet, workspace string)
}

var benchScenarios = []benchScenario{
	{"healthy", func(*fleet, string) {}},
	{"owner-lost", func(f *fleet, w string) {
		h := limit.NewLayout(f.config.dataCentres, w, benchLimits[w].Burst).Order("a", w)[0]
		lost := ownerHost(f, h.DataCentre, w)
		f.network.setUnreachable(lost+":1", true)
		f.peers = slices.DeleteFunc(slices.Clone(f.peers), func(d member.Daemon) bool {
			return d.Host == lost
		})
	}},
	{"table-out", func(f *fleet, _ string) {
		f.table.unavailable = true
		for range 20 {
			f.clock.Advance(stepInterval)
			f.step()
		}
	}},
}

func newBenchFleet(graceFraction float64) *fleet {
	f := newFleetWith(&fakeConfig{
		revision: 1, since: 1, dataCentres: []string{"a", "b", "c"}, limits: benchLimits,
	}, 3, graceFraction)
	for range 60 {
		f.step()
		f.clock.Advance(stepInterval)
	}
	f.step()
	return f
}

// BenchmarkWrongfulRefusals measures which part of the requests within the rate
// is refused, in permille, for each grace fraction.
func BenchmarkWrongfulRefusals(b *testing.B) {
	b.Logf("seed %d", benchSeed)
	for _, sc := range benchScenarios {
		for _, graceFraction := range []float64{0.5, 0.6, 0.75} {
			for _, load := range []float64{0.4, 0.9} {
				for _, skew := range []float64{0, 0.8} {
					for _, w := range []string{"large", "medium", "small"} {
						name := fmt.Sprintf("%s/f=%v/load=%v/skew=%v/%s", sc.name, graceFraction, load, skew, w)
						b.Run(name, func(b *testing.B) {
							for range b.N {
								benchRefusals(b, sc, graceFraction, load, skew, w)
							}
						})
					}
				}
			}
		}
	}
}

func benchRefusals(b *testing.B, sc benchScenario, graceFraction, load, skew float64, workspace string) {
	f := newBenchFleet(graceFraction)
	sc.inject(f, workspace)
	within, refused := runLoad(f, workspace, load, skew, func(dc int, _ time.Time) bool {
		s := f.services[f.hostIn(f.config.dataCentres[dc])]
		d, err := s.Take(context.Background(), workspace)
		return err == nil && d.Allowed
	})
	b.ReportMetric(1000*float64(refused)/float64(within), "refused-permille")
	b.ReportMetric(0, "ns/op")
}

// hostIn returns a peer in the given data centre.
func (f *fleet) hostIn(dc string) string {
	for _, p := range f.peers {
		if p.DataCentre == dc {
			return p.Host
		}
	}
	return f.peers[0].Host
}

// BenchmarkStaticSplit measures the same for a static split without transfers.
func BenchmarkStaticSplit(b *testing.B) {
	for _, load := range []float64{0.4, 0.9} {
		for _, skew := range []float64{0, 0.8} {
			for _, w := range []string{"large", "medium", "small"} {
				b.Run(fmt.Sprintf("load=%v/skew=%v/%s", load, skew, w), func(b *testing.B) {
					for range b.N {
						benchStatic(b, load, skew, w)
					}
				})
			}
		}
	}
}

func benchStatic(b *testing.B, load, skew float64, workspace string) {
	f := &fleet{clock: newFakeClock()}
	l := benchLimits[workspace]
	params := limit.Params{Rate: l.Rate / 3, Capacity: float64(l.Burst) / 3}
	var buckets [3]limit.Bucket
	for i := range buckets {
		buckets[i] = limit.NewBucket(f.clock.Now(), params, params.Capacity)
	}
	within, refused := runLoad(f, workspace, load, skew, func(dc int, now time.Time) bool {
		return buckets[dc].Take(now, params, 1) == 1
	})
	b.ReportMetric(1000*float64(refused)/float64(within), "refused-permille")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOwnerTake measures the owner's work per request without the RPC.
func BenchmarkOwnerTake(b *testing.B) {
	f := newFleet(&fakeConfig{revision: 1, since: 1, dataCentres: []string{"a"}, limits: map[string]Limits{
		"fast": {Rate: 1e9, Burst: 1e9, LastChanged: 1},
	}}, 1)
	f.step()
	f.step()
	owner := f.services["a-0"]
	req := takeRequest{
		Row:   rowID{Holder: limit.Holder{DataCentre: "a"}, Shard: limit.Shard("fast", 2)},
		Items: []takeItem{{Workspace: "fast", N: 1}},
	}
	b.ResetTimer()
	for range b.N {
		f.clock.Advance(time.Microsecond)
		reply, _ := owner.serveTake(context.Background(), req) //nolint:errcheck // serveTake returns no errors
		if len(reply.Grants) != 1 || reply.Grants[0].Granted != 1 {
			b.Fatalf("not granted: %+v", reply)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "asks/s")
}

// BenchmarkBucketMemory measures the memory per workspace at an owner.
func BenchmarkBucketMemory(b *testing.B) {
	const workspaces = 20000
	limits := make(map[string]Limits, workspaces)
	for i := range workspaces {
		limits[fmt.Sprintf("workspace-%d", i)] = Limits{Rate: 1, Burst: 30, LastChanged: 1}
	}
	cfg := &fakeConfig{revision: 1, since: 1, dataCentres: []string{"a"}, limits: limits}
	for range b.N {
		f := newFleet(cfg, 1)
		before := heapBytes()
		f.step()
		b.ReportMetric(float64(heapBytes()-before)/workspaces, "bytes/bucket")
		runtime.KeepAlive(f)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTableWrites measures the row writes and reads in steady state, with
// 16 shards in 9 data centres and 5 hosts in each.
func BenchmarkTableWrites(b *testing.B) {
	cfg := &fakeConfig{revision: 1, since: 1, limits: benchLimits}
	for i := range 9 {
		cfg.dataCentres = append(cfg.dataCentres, fmt.Sprintf("dc%d", i))
	}
	for range b.N {
		f := newFleetShards(cfg, 5, 0.5, 16)
		f.step()
		f.step()
		var writes, reads int64
		count := func() (w, r int64) {
			for _, s := range f.services {
				w += s.Stats().TableWrites
				r += s.Stats().TableReads
			}
			return w, r
		}
		w0, r0 := count()
		const steps = 20
		for range steps {
			f.clock.Advance(stepInterval)
			f.step()
		}
		writes, reads = count()
		seconds := steps * stepInterval.Seconds()
		b.ReportMetric(float64(writes-w0)/seconds, "writes/s")
		b.ReportMetric(float64(reads-r0)/seconds, "reads/s")
	}
}
