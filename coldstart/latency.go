package coldstart

import "math"

const (
	// meanWeight is the weight of a response in the moving average of the warm
	// latency.
	meanWeight = 1.0 / 64
	// quantile is the tracked quantile of the warm latency, quantileStep the
	// step of its estimate in log latency.
	quantile     = 0.9
	quantileStep = 0.02
	// initialP90Offset is the initial distance of the p90 above the mean, in log
	// latency.
	initialP90Offset = 0.7
	// peerP90Offset is the same for the latency of other targets. It is small,
	// because requests of uniform duration have no spread at all, and a target
	// as fast as the others must not count as slow.
	peerP90Offset = 0.2
	// slowFactor times the p90 is the latency above which a response is slow.
	slowFactor = 1.4
	// warmSlowShare and coldSlowShare are the shares of slow responses of a warm
	// and of a cold target.
	warmSlowShare = 0.06
	coldSlowShare = 0.5
	// slowThreshold is the value of the cumulative sum at which a target counts
	// as cold. A warm target reaches it once in at least e^slowThreshold
	// responses on average.
	slowThreshold = 14.0
)

var (
	slowLLR = math.Log(coldSlowShare / warmSlowShare)
	fastLLR = math.Log((1 - coldSlowShare) / (1 - warmSlowShare))
)

// mean is a running mean of log latencies.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	m.sum += v
	m.n++
}

func (m *mean) value() float64 { return m.sum / float64(m.n) }

// latencyProfile holds the warm latency of a target, measured at its full slots,
// and the evidence that the target has turned cold. Latencies are logarithms.
type latencyProfile struct {
	mean    float64
	p90     float64 // the tracked quantile
	slowSum float64 // CUSUM of the evidence of a cold target
	// overdueCount is the number of requests that were counted as slow while in
	// flight and whose responses are outstanding.
	overdueCount int
	// fromPeers is set if mean and p90 come from other targets, discarded if
	// they were found to be outdated and must not be taken from them again.
	fromPeers bool
	discarded bool
}

func (p *latencyProfile) known() bool { return p.p90 != 0 }

// seedFromPeers initializes the profile from the p90 of other targets, unless
// the target's own latency is known.
func (p *latencyProfile) seedFromPeers(p90 float64) {
	if p.discarded || p.known() && !p.fromPeers {
		return
	}
	p.fromPeers = true
	p.p90 = p90
	p.mean = p90 - peerP90Offset
}

// discard drops the profile. It is not taken from other targets again before the
// next call of learn or clearEvidence.
func (p *latencyProfile) discard() { *p = latencyProfile{discarded: true} }

// clearEvidence resets the evidence and keeps the latency.
func (p *latencyProfile) clearEvidence() {
	p.slowSum = 0
	p.overdueCount = 0
	p.discarded = false
}

// learn sets the profile from the latency at which the target reached its slots.
// A known latency is only replaced by a clearly higher one.
func (p *latencyProfile) learn(latency float64) {
	if !p.known() || p.fromPeers {
		p.fromPeers = false
		p.discarded = false
		p.mean = latency
		p.p90 = latency + initialP90Offset
		return
	}
	if latency > p.mean+math.Log(warmFactor) {
		p.p90 += latency - p.mean
		p.mean = latency
	}
}

// observe records a response at the full slots and reports whether the target
// has turned cold.
func (p *latencyProfile) observe(latency float64) bool {
	if !p.known() {
		p.learn(latency)
	}
	switch {
	case latency <= p.p90+math.Log(slowFactor):
		p.slowSum = max(0, p.slowSum+fastLLR)
	case p.overdueCount > 0:
		p.overdueCount--
	default:
		p.slowSum += slowLLR
	}
	p.mean += meanWeight * (latency - p.mean)
	if latency > p.p90 {
		p.p90 += quantileStep * quantile
	} else {
		p.p90 -= quantileStep * (1 - quantile)
	}
	return p.slowSum >= slowThreshold
}

// observeOverdue records a request that is already slow while in flight and
// reports whether the target has turned cold.
func (p *latencyProfile) observeOverdue() bool {
	p.overdueCount++
	p.slowSum += slowLLR
	return p.slowSum >= slowThreshold
}
