package daemon

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the latency estimate.
const (
	// sampleCount is the number of recent responses of other hosts considered.
	sampleCount = 5
	// sampleMaxAge is how long samples stay valid after the last one.
	sampleMaxAge = time.Second
	// p90ToMedianRatio is the assumed ratio of the 90th percentile to the
	// median.
	p90ToMedianRatio = 2
)

// peerLatencies holds the current latency of each service at other hosts.
type peerLatencies struct{ byService sync.Map }

func (r *peerLatencies) forService(service string) *peerLatency {
	v, _ := r.byService.LoadOrStore(service, &peerLatency{})
	return v.(*peerLatency)
}

// peerLatency estimates the latency of one service at other hosts. Latencies
// measured by the local ingress are more recent than those in member records.
type peerLatency struct {
	mu         sync.Mutex
	reported   time.Duration
	samples    [sampleCount]time.Duration
	count      int
	lastSample time.Time
}

// setReported sets the 90th percentile that the member records of other targets
// report.
func (r *peerLatency) setReported(p90 time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = p90
}

// observe records the latency of a response from another host.
func (r *peerLatency) observe(now time.Time, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastSample) > sampleMaxAge {
		r.count = 0
	}
	r.samples[r.count%sampleCount] = latency
	r.count++
	r.lastSample = now
}

// p90 estimates the 90th percentile at other hosts; it is 0 if unknown.
func (r *peerLatency) p90(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < sampleCount || now.Sub(r.lastSample) > sampleMaxAge {
		return r.reported
	}
	sorted := r.samples
	slices.Sort(sorted[:])
	return max(r.reported, p90ToMedianRatio*sorted[sampleCount/2])
}
