package coldstart

import "math"

const (
	// meanWeight is the weight of an answer in the warm mean.
	meanWeight = 1.0 / 64
	// quantile of the warm latency that is tracked, and the step in log
	// latency by which its estimate moves.
	quantile     = 0.9
	quantileStep = 0.02
	// initialSpread is where the quantile is first thought to lie above the
	// mean.
	initialSpread = 0.7
	// referSpread is the same for the latency of other targets. It is small,
	// because work of even length has no spread at all, and a target as fast as
	// the others must not count as slow.
	referSpread = 0.2
	// slowFactor times the quantile makes an answer slow.
	slowFactor = 1.4
	// slowWarm and slowCold are the shares of slow answers of a warm and of a
	// cold target.
	slowWarm = 0.06
	slowCold = 0.5
	// slowBound is the evidence that a target has turned cold; a warm one
	// gives it once in at least e^slowBound answers.
	slowBound = 14.0
)

var (
	slowGain = math.Log(slowCold / slowWarm)
	fastLoss = math.Log((1 - slowCold) / (1 - slowWarm))
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

// warmth is what is known of a target at its full slots, in log latency.
type warmth struct {
	mean float64
	high float64 // the tracked quantile
	slow float64 // cumulative sum of the evidence for a cold target
	// counted is how many requests gave evidence while in flight.
	counted int
	// referred tells that mean and high come from other targets, forgotten
	// that they were found outdated and are not to be taken again.
	referred  bool
	forgotten bool
}

func (w *warmth) known() bool { return w.high != 0 }

// refer takes the quantile of other targets.
func (w *warmth) refer(high float64) {
	if w.forgotten || w.known() && !w.referred {
		return
	}
	w.referred = true
	w.high = high
	w.mean = high - referSpread
}

// forget drops what was known until the next start.
func (w *warmth) forget() { *w = warmth{forgotten: true} }

// reset drops the evidence.
func (w *warmth) reset() {
	w.slow = 0
	w.counted = 0
	w.forgotten = false
}

// start takes the latency with which the target reached its slots. A target
// slower than before is taken as it is now.
func (w *warmth) start(got float64) {
	if !w.known() || w.referred {
		w.referred = false
		w.forgotten = false
		w.mean = got
		w.high = got + initialSpread
		return
	}
	if got > w.mean+math.Log(asWarm) {
		w.high += got - w.mean
		w.mean = got
	}
}

// observe takes an answer at the full slots and reports whether the target has
// turned cold.
func (w *warmth) observe(lat float64) bool {
	if !w.known() {
		w.start(lat)
	}
	switch {
	case lat <= w.high+math.Log(slowFactor):
		w.slow = max(0, w.slow+fastLoss)
	case w.counted > 0:
		w.counted--
	default:
		w.slow += slowGain
	}
	w.mean += meanWeight * (lat - w.mean)
	if lat > w.high {
		w.high += quantileStep * quantile
	} else {
		w.high -= quantileStep * (1 - quantile)
	}
	return w.slow >= slowBound
}

// overdue takes a request that is slow already while in flight.
func (w *warmth) overdue() bool {
	w.counted++
	w.slow += slowGain
	return w.slow >= slowBound
}
