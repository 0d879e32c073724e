package coldstart

import "math"

const (
	// meanWeight is the weight of an answer in the warm mean.
	meanWeight = 1.0 / 64
	// quantile of the warm latency that is tracked, and the step in log
	// latency by which its estimate moves.
	quantile     = 0.9
	quantileStep = 0.02
	// initialP90Offset is where the quantile is first thought to lie above the
	// mean.
	initialP90Offset = 0.7
	// peerP90Offset is the same for the latency of other targets. It is small,
	// because work of even length has no spread at all, and a target as fast as
	// the others must not count as slow.
	peerP90Offset = 0.2
	// slowFactor times the quantile makes an answer slow.
	slowFactor = 1.4
	// warmSlowShare and slowCold are the shares of slow answers of a warm and of a
	// cold target.
	warmSlowShare = 0.06
	coldSlowShare = 0.5
	// slowThreshold is the evidence that a target has turned cold; a warm one
	// gives it once in at least e^slowThreshold answers.
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

// latencyProfile is what is known of a target at its full slots, in log latency.
type latencyProfile struct {
	mean    float64
	p90     float64 // the tracked quantile
	slowSum float64 // cumulative sum of the evidence for a cold target
	// overdueCount is how many requests gave evidence while in flight.
	overdueCount int
	// fromPeers tells that mean and high come from other targets, forgotten
	// that they were found outdated and are not to be taken again.
	fromPeers bool
	discarded bool
}

func (w *latencyProfile) known() bool { return w.p90 != 0 }

// seedFromPeers takes the quantile of other targets.
func (w *latencyProfile) seedFromPeers(high float64) {
	if w.discarded || w.known() && !w.fromPeers {
		return
	}
	w.fromPeers = true
	w.p90 = high
	w.mean = high - peerP90Offset
}

// discard drops what was known until the next start.
func (w *latencyProfile) discard() { *w = latencyProfile{discarded: true} }

// clearEvidence drops the evidence.
func (w *latencyProfile) clearEvidence() {
	w.slowSum = 0
	w.overdueCount = 0
	w.discarded = false
}

// learn takes the latency with which the target reached its slots. A target
// slower than before is taken as it is now.
func (w *latencyProfile) learn(got float64) {
	if !w.known() || w.fromPeers {
		w.fromPeers = false
		w.discarded = false
		w.mean = got
		w.p90 = got + initialP90Offset
		return
	}
	if got > w.mean+math.Log(warmFactor) {
		w.p90 += got - w.mean
		w.mean = got
	}
}

// observe takes an answer at the full slots and reports whether the target has
// turned cold.
func (w *latencyProfile) observe(lat float64) bool {
	if !w.known() {
		w.learn(lat)
	}
	switch {
	case lat <= w.p90+math.Log(slowFactor):
		w.slowSum = max(0, w.slowSum+fastLLR)
	case w.overdueCount > 0:
		w.overdueCount--
	default:
		w.slowSum += slowLLR
	}
	w.mean += meanWeight * (lat - w.mean)
	if lat > w.p90 {
		w.p90 += quantileStep * quantile
	} else {
		w.p90 -= quantileStep * (1 - quantile)
	}
	return w.slowSum >= slowThreshold
}

// observeOverdue takes a request that is slow already while in flight.
func (w *latencyProfile) observeOverdue() bool {
	w.overdueCount++
	w.slowSum += slowLLR
	return w.slowSum >= slowThreshold
}
