package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// BenchmarkFleet measures gossip traffic, convergence time and CPU time at the
// design size, for several rates of changes to target records.
func BenchmarkFleet(b *testing.B) {
	for _, changes := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("changes-%d", changes), func(b *testing.B) {
			for range b.N {
				benchFleet(b, changes)
			}
		})
	}
}

func benchFleet(b *testing.B, changes int) {
	const n, probes, between = 1200, 4, 15
	f := NewFleet(n, 8, member.Options{})
	f.Run(20)
	clear(f.BytesSent)
	begun, start := time.Now(), f.Now
	var times []float64
	f.UpdatesPerSecond = changes
	for range probes {
		f.Run(between)
		times = append(times, f.PropagationTimes()...)
	}
	span := f.Now.Sub(start).Seconds()
	b.ReportMetric(float64(time.Since(begun).Microseconds())/span/n, "µs/node/s")
	slices.Sort(f.BytesSent)
	b.ReportMetric(float64(f.BytesSent[n/2])/span, "B/s-p50")
	b.ReportMetric(float64(f.BytesSent[n*99/100])/span, "B/s-p99")
	b.ReportMetric(float64(total(f.BytesSent))/span/n, "B/s-mean")
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "s-p50")
	b.ReportMetric(times[len(times)*99/100], "s-p99")
	b.ReportMetric(times[len(times)-1], "s-max")
	b.ReportMetric(f.TimeToDetect(7), "s-unreachable")
	for _, g := range f.Nodes {
		assert.Assert(b, len(g.Unreachable()) <= 1)
	}
}

// BenchmarkMemory measures the memory of a membership table of 1,200 daemons with
// 8 targets each.
func BenchmarkMemory(b *testing.B) {
	const n = 1200
	var records []member.Daemon
	for i := range n {
		records = append(records, NewRecord(i, 8, time.Unix(1, 0)))
	}
	raw, err := json.Marshal(records)
	assert.NilError(b, err)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var decoded []member.Daemon
		assert.NilError(b, json.Unmarshal(raw, &decoded))
		g := member.New(time.Unix(1, 0), NewRecord(n, 8, time.Unix(1, 0)), member.Options{})
		g.MergeRecords(time.Unix(1, 0), decoded)
		decoded = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/record")
		runtime.KeepAlive(g)
	}
	b.ReportMetric(float64(len(raw))/n, "B/record-json")
}
