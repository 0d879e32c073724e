package placing

import (
	"math"
	"time"
)

const (
	// balanceMemory is the time constant of the load of a data centre. It is longer than
	// a burst of arrivals and shorter than the swings of demand, which take some ten
	// seconds.
	balanceMemory = 2 * time.Second
	// balanceReportWeight is the least weight of a report, so that a few reports suffice.
	balanceReportWeight = 0.15
	// balanceFadeTime is the age at which the load of a data centre counts for 1/e. Without
	// reports it returns to defaultLoad.
	balanceFadeTime = 5 * time.Second
	// startSpillMargin is by how much a remote data centre must be cheaper for a spill to
	// begin, and stopSpillMargin for it to go on.
	startSpillMargin = 0.03
	stopSpillMargin  = 0.0
	// maxSpillShare bounds the share of the requests that leave a data centre.
	maxSpillShare = 0.5
)

// Balance holds the loads of one service's targets by data centre, as one ingress
// knows them from reports, and decides which requests go to another data centre. The
// zero value is ready for use. It is not safe for concurrent use.
type Balance struct {
	byDC map[string]*dcLoad
}

type dcLoad struct {
	load       float64
	observedAt time.Time
	// spilling is set while requests may go there.
	spilling bool
}

// Observe records a report on a target in a data centre.
func (b *Balance) Observe(now time.Time, dc string, r Report) {
	if r.ReceivedAt.IsZero() || r.Slots <= 0 {
		return
	}
	if b.byDC == nil {
		b.byDC = map[string]*dcLoad{}
	}
	load := min(float64(r.Running+r.Waiting)/float64(r.Slots), maxBalanceLoad)
	d := b.byDC[dc]
	if d == nil {
		b.byDC[dc] = &dcLoad{load: load, observedAt: now}
		return
	}
	weight := 1 - math.Exp(-max(now.Sub(d.observedAt).Seconds(), 0)/balanceMemory.Seconds())
	d.load += max(weight, balanceReportWeight) * (load - d.load)
	d.observedAt = now
}

// maxBalanceLoad bounds the load of a target with a queue.
const maxBalanceLoad = 2.0

// Load is the present load of a data centre.
func (b *Balance) Load(now time.Time, dc string) float64 {
	d := b.byDC[dc]
	if d == nil {
		return defaultLoad
	}
	weight := math.Exp(-max(now.Sub(d.observedAt).Seconds(), 0) / balanceFadeTime.Seconds())
	return defaultLoad + weight*(d.load-defaultLoad)
}

// Choose returns the data centre among remote that a request of the home data centre is
// to be offered to first, or "" for home. A data centre is chosen if the expected delay
// there is clearly smaller than at home, by more than the price of the distance, and
// then for the share of requests that evens the two loads.
func (b *Balance) Choose(now time.Time, home string, remote []string, r Request, rnd Rand) string {
	here := b.Load(now, home)
	cost := loadCost * here * here
	best, bestScore, share := "", 0.0, 0.0
	for _, dc := range remote {
		there := b.Load(now, dc)
		saved := cost - loadCost*there*there - distanceCost(r)
		d := b.byDC[dc]
		margin := startSpillMargin
		if d != nil && d.spilling {
			margin = stopSpillMargin
		}
		spills := saved > margin
		if d != nil && r.typicalSize() {
			d.spilling = spills
		}
		if !spills {
			continue
		}
		// A random choice in proportion to the saving keeps the ingresses from choosing
		// the same data centre.
		if score := saved * rnd.Float64(); best == "" || score > bestScore {
			best, bestScore = dc, score
		}
		share = max(share, (here-there)/(2*here))
	}
	if best == "" || rnd.Float64() >= min(share, maxSpillShare) {
		return ""
	}
	return best
}
