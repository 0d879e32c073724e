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

func (p *peerLatencies) forService(service string) *peerLatency {
	v, _ := p.byService.LoadOrStore(service, &peerLatency{})
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
func (p *peerLatency) setReported(p90 time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = p90
}

// observe records the latency of a response from another host.
func (p *peerLatency) observe(now time.Time, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSample) > sampleMaxAge {
		p.count = 0
	}
	p.samples[p.count%sampleCount] = latency
	p.count++
	p.lastSample = now
}

// p90 estimates the 90th percentile at other hosts; it is 0 if unknown.
func (p *peerLatency) p90(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count < sampleCount || now.Sub(p.lastSample) > sampleMaxAge {
		return p.reported
	}
	sorted := p.samples
	slices.Sort(sorted[:])
	return max(p.reported, p90ToMedianRatio*sorted[sampleCount/2])
}
