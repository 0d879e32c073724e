package soak

import "math/rand/v2"

const (
	// brokenSeeds is the first seed whose targets also send broken answers. The schedules of
	// earlier seeds stay as they were when they failed.
	brokenSeeds = 10000
	// brokenShare is the share of the faults that such a change follows.
	brokenShare = 0.3
)

// breakAnswers changes the share of a target's answers that are invalid.
func (r *run) breakAnswers(h *host, n int) {
	if r.seed < brokenSeeds {
		return
	}
	rnd := rand.New(rand.NewPCG(r.seed, uint64(n)<<40))
	if rnd.Float64() >= brokenShare {
		return
	}
	percent := []int{0, 5, 50, 100}[rnd.IntN(4)]
	r.recordEvent("target of %s breaks %d%% of its answers", h.set.Host, percent)
	h.currentTarget().SetBrokenPercent(percent)
}
