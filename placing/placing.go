package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/gray"
)

// Report is what a gate last told of its target.
type Report struct {
	// At is when the report arrived; zero means that there was none.
	At time.Time
	// Life is that of the gate's process.
	Life int64
	// Running and Waiting count requests; Slots is how many run at once.
	Running, Waiting, Slots int
	// Wait is the expected wait of a new request for a slot.
	Wait time.Duration
	// Gray is the gate's belief that the target fails much of its work.
	Gray float64
	// Cold is set while the target bears little.
	Cold bool
}

// Candidate is a target that may be chosen.
type Candidate struct {
	// Target names it; Host runs it.
	Target, Host string
	// Near is set for targets of the own data centre.
	Near bool
	// Doubtful paths failed a short while ago.
	Doubtful bool
	Report   Report
}

// Request is what matters of a request for its placing.
type Request struct {
	// Repeatable requests can be saved by a second target.
	Repeatable bool
	// Inner requests are calls of work that fails with them.
	Inner bool
	// Large answers make distance dear.
	Large bool
	// Objective is the latency that earns full credit.
	Objective time.Duration
}

// Costs in units of one request's worth.
const (
	// grayCostUnrepeatable and grayDelayed weigh the chance that a target is gray, for
	// requests that cannot and that can be repeated.
	grayCostUnrepeatable = 1.0
	grayCostRepeatable   = 0.6
	// loadCost multiplies the square of the share of slots in use: targets
	// slow down when they are nearly full.
	loadCost = 0.2
	// waitCost is that of a wait as long as the objective.
	waitCost = 0.5
	// maxWaitObjectives bounds the cost of waiting, in objectives.
	maxWaitObjectives = 2.0
	// crossDCCost is the price of the bytes of a usual request between data
	// centres, farLargeCost that of a large answer.
	crossDCCost      = 0.06
	crossDCLargeCost = 0.6
	// pathFailureCost keeps requests from paths that failed lately.
	pathFailureCost = 0.7
	// coldCost keeps requests from targets that bear little.
	coldCost = 0.3
	// explorationBonus draws requests that can be repeated to targets of which nothing
	// was heard for a while: new ones, and those that were gray.
	explorationBonus = 0.15
	// noise spreads requests over targets of the same cost.
	noise = 0.04
	// defaultLoad is assumed where nothing is known.
	defaultLoad = 0.4
	// loadFadeTime is the time in which a known load loses most of its meaning.
	loadFadeTime = 1500 * time.Millisecond
)

// Rand is a source of randomness; *rand.Rand of math/rand/v2 is one.
type Rand interface{ Float64() float64 }

// Cost is a candidate's cost for a request.
func Cost(now time.Time, c Candidate, r Request) float64 {
	grayProbability, load := estimate(now, c.Report)
	cost := loadCost * min(load, 1) * min(load, 1)
	cost += waitCost * waitInObjectives(now, c.Report, r.Objective)
	if r.Repeatable {
		cost += grayCostRepeatable * grayProbability
		if r.Inner {
			cost += (grayCostUnrepeatable - grayCostRepeatable) * grayProbability
		}
		if now.Sub(c.Report.At) > loadFadeTime {
			cost -= explorationBonus
		}
	} else {
		cost += grayCostUnrepeatable * grayProbability
	}
	switch {
	case c.Near:
	case r.Large:
		cost += crossDCLargeCost
	default:
		cost += crossDCCost
	}
	if c.Doubtful {
		cost += pathFailureCost
	}
	if c.Report.Cold {
		cost += coldCost
	}
	return cost
}

// waitInObjectives is the expected wait in objectives; what is known of it fades.
func waitInObjectives(now time.Time, r Report, objective time.Duration) float64 {
	if r.Wait <= 0 || objective <= 0 {
		return 0
	}
	weight := max(0, 1-now.Sub(r.At).Seconds()/loadFadeTime.Seconds())
	return weight * min(r.Wait.Seconds()/objective.Seconds(), maxWaitObjectives)
}

// estimate is what a report is worth at its age.
func estimate(now time.Time, r Report) (grayProbability, load float64) {
	if r.At.IsZero() || r.Slots <= 0 {
		return gray.Unknown(), defaultLoad
	}
	age := now.Sub(r.At)
	load = float64(r.Running+r.Waiting) / float64(r.Slots)
	weight := max(0, 1-age.Seconds()/loadFadeTime.Seconds())
	return gray.Drift(r.Gray, age), defaultLoad + weight*(load-defaultLoad)
}

// Order sorts candidates by cost, cheapest first.
func Order(now time.Time, cands []Candidate, r Request, rnd Rand) {
	type scored struct {
		c    Candidate
		cost float64
	}
	list := make([]scored, len(cands))
	for i, c := range cands {
		list[i] = scored{c, Cost(now, c, r) + noise*rnd.Float64()}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	for i := range list {
		cands[i] = list[i].c
	}
}
