package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberryshed/gooseberryshed/gray"
)

// Report is the latest report of a gate on its target.
type Report struct {
	// ReceivedAt is when the report arrived; zero means that there is none.
	ReceivedAt time.Time
	// Incarnation identifies the gate's process.
	Incarnation int64
	// Running and Waiting are numbers of requests; Slots is the concurrency
	// limit.
	Running, Waiting, Slots int
	// ExpectedWait is the expected wait of a new request for a slot.
	ExpectedWait time.Duration
	// GrayProbability is the probability that the target is in a gray failure.
	GrayProbability float64
	// Slowness is the duration of requests at the target relative to the usual one. 0
	// stands for 1, also in reports of versions that do not know it.
	Slowness float64
	// MeanLoad is the mean share of its limit that the target has used in the last
	// seconds, or 0 if it is not known.
	MeanLoad float64
	// Typical is the typical duration of the request's route at the target, or 0 if it
	// is not known.
	Typical time.Duration
	// Shortage is that of the host's processor or link, from 0 to 1 (package hostload).
	Shortage float64
	// Cold is set while the target is warming up and has little capacity.
	Cold bool
	// Resumes is set if the gate sends heartbeats while an attempt is in progress and
	// keeps its reply for a while.
	Resumes bool
}

// Candidate is a target to which the request may be sent.
type Candidate struct {
	// Target is the target's ID; Host is the host that runs it.
	Target, Host string
	// DataCentre is that of the host.
	DataCentre string
	// Local is set for targets in the own data centre.
	Local bool
	// PathFailed is set if the path to the host failed recently.
	PathFailed bool
	Report     Report
}

// Request holds the properties of a request that affect the ranking.
type Request struct {
	// Repeatable is set if the request can be retried on another target.
	Repeatable bool
	// Nested is set for a nested request, whose failure makes its parent fail.
	Nested bool
	// LargeResponse is set if the response is large, which makes traffic between
	// data centres expensive.
	LargeResponse bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Objective is the latency objective.
	Objective time.Duration
}

// Costs as a share of the value of one request.
const (
	// grayCostUnrepeatable and grayCostRepeatable multiply the probability that
	// the target is gray, for requests that cannot and that can be retried.
	grayCostUnrepeatable = 1.0
	grayCostRepeatable   = 0.6
	// loadCost multiplies the square of the share of slots in use, because
	// targets slow down when they are nearly full, and the square root of the slowness.
	loadCost = 0.2
	// waitCost is the cost of a wait as long as the objective.
	waitCost = 0.5
	// maxWaitObjectives bounds the wait that is counted, in objectives.
	maxWaitObjectives = 2.0
	// crossDCCost is the price of the traffic between data centres for a typical
	// request, crossDCLargeCost for one with a large response.
	crossDCCost      = 0.06
	crossDCLargeCost = 0.6
	// largeBodyBytes is the size of a body that costs as much as a large response:
	// the mean size of uploads.
	largeBodyBytes = 60_000
	// pathFailureCost is the penalty for a path that failed recently.
	pathFailureCost = 0.7
	// shortageCost multiplies the shortage of the host. A host without processor time
	// is as costly as a full target.
	shortageCost = 0.2
	// coldCost is the penalty for a cold target.
	coldCost = 0.3
	// explorationBonus attracts retriable requests to targets without a recent
	// report: new ones, and those that were gray.
	explorationBonus = 0.15
	// noise spreads requests over targets of equal cost.
	noise = 0.04
	// defaultLoad is the load assumed for a target without a report, and for one whose
	// report is old and without a mean load.
	defaultLoad = 0.4
	// loadFadeTime is the age at which a reported load no longer counts.
	loadFadeTime = 1500 * time.Millisecond
	// slownessFadeTime is the age at which a reported slowness or mean load counts for
	// 1/e. An ingress gets a report of one target every few seconds.
	slownessFadeTime = 20 * time.Second
	// shortageFadeTime is the same for a shortage, which lasts for seconds.
	shortageFadeTime = 3 * time.Second
)

// Rand is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Rand interface{ Float64() float64 }

// Cost returns the cost of a candidate for a request.
func Cost(now time.Time, c Candidate, r Request) float64 {
	grayProbability, load := estimate(now, c.Report)
	cost := loadCost * min(load, 1) * min(load, 1) * loadFactor(now, c.Report)
	cost += waitCost * waitInObjectives(now, c.Report, r.Objective)
	if r.Repeatable {
		cost += grayCostRepeatable * grayProbability
		if r.Nested {
			cost += (grayCostUnrepeatable - grayCostRepeatable) * grayProbability
		}
		if now.Sub(c.Report.ReceivedAt) > loadFadeTime {
			cost -= explorationBonus
		}
	} else {
		cost += grayCostUnrepeatable * grayProbability
	}
	if !c.Local {
		cost += distanceCost(r)
	}
	if c.PathFailed {
		cost += pathFailureCost
	}
	cost += shortageCost * shortage(now, c.Report)
	if c.Report.Cold {
		cost += coldCost
	}
	return cost
}

// distanceCost is the price of sending a request to another data centre.
func distanceCost(r Request) float64 {
	if r.LargeResponse {
		return crossDCLargeCost
	}
	return crossDCCost + (crossDCLargeCost-crossDCCost)*min(float64(r.BodyBytes)/largeBodyBytes, 1)
}

// typicalSize reports whether the request and its response have the usual size.
func (r Request) typicalSize() bool { return !r.LargeResponse && r.BodyBytes < largeBodyBytes/16 }

// waitInObjectives is the expected wait as a multiple of the objective, weighted
// by the age of the report.
func waitInObjectives(now time.Time, r Report, objective time.Duration) float64 {
	if r.ExpectedWait <= 0 || objective <= 0 {
		return 0
	}
	weight := max(0, 1-now.Sub(r.ReceivedAt).Seconds()/loadFadeTime.Seconds())
	return weight * min(r.ExpectedWait.Seconds()/objective.Seconds(), maxWaitObjectives)
}

// estimate returns the current probability of a gray failure and the current
// load, taking the age of the report into account.
func estimate(now time.Time, r Report) (grayProbability, load float64) {
	if r.ReceivedAt.IsZero() || r.Slots <= 0 {
		return gray.PriorProbability(), defaultLoad
	}
	age := now.Sub(r.ReceivedAt)
	load = float64(r.Running+r.Waiting) / float64(r.Slots)
	weight := max(0, 1-age.Seconds()/loadFadeTime.Seconds())
	usual := defaultLoad
	if r.MeanLoad > 0 {
		usual += math.Exp(-max(age.Seconds(), 0)/slownessFadeTime.Seconds()) * (min(r.MeanLoad, 1) - defaultLoad)
	}
	return gray.Decay(r.GrayProbability, age), usual + weight*(load-usual)
}

// slowness is the duration of requests at a target relative to the usual one. A report
// that is old is given less weight, because the target may have been replaced.
func slowness(now time.Time, r Report) float64 {
	if r.Slowness <= 0 {
		return 1
	}
	weight := math.Exp(-max(now.Sub(r.ReceivedAt).Seconds(), 0) / slownessFadeTime.Seconds())
	return math.Pow(r.Slowness, weight)
}

// shortage is the shortage of a target's host, weighted by the age of the report.
func shortage(now time.Time, r Report) float64 {
	return r.Shortage * math.Exp(-max(now.Sub(r.ReceivedAt).Seconds(), 0)/shortageFadeTime.Seconds())
}

// loadFactor multiplies the cost of load and the noise. It is the square root of the
// slowness: the factor itself sends so many requests to the fastest targets that they
// become the busiest (package documentation).
func loadFactor(now time.Time, r Report) float64 { return math.Sqrt(slowness(now, r)) }

// SortByCost sorts candidates by cost, lowest first.
func SortByCost(now time.Time, cands []Candidate, r Request, rnd Rand) {
	type scored struct {
		c    Candidate
		cost float64
	}
	list := make([]scored, len(cands))
	for i, c := range cands {
		list[i] = scored{c, Cost(now, c, r) + noise*loadFactor(now, c.Report)*rnd.Float64()}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	for i := range list {
		cands[i] = list[i].c
	}
}
